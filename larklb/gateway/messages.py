"""All messages between limiters, and how they are encoded: one JSON object a line."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from larklb.gateway.errors import MessageError
from larklb.membership.messages import Message as Message
from larklb.membership.messages import Row
from larklb.registry.messages import ConfigVersion, RegistryMessage
from larklb.schema.errors import PROBLEMS_KEPT

PROTOCOL = 2  # of the messages between limiters; another one is not understood

Document = dict[str, Any]


class Raft(Message, frozen=True, kw_only=True, tag="raft"):
    """A message of the replica on ``disk`` to another replica: see ``consensus.messages``."""

    disk: str = msgspec.field(name="d")
    message: dict[str, Any] = msgspec.field(name="m")


class Peek(Message, frozen=True, kw_only=True, tag="peek"):
    """Asks a core machine for the newest configuration's version."""


class ConfigurationOffer(Message, frozen=True, kw_only=True, tag="offer"):
    """The newest configuration, in answer to ``Peek``."""

    offer: ConfigVersion = msgspec.field(name="cfg")


class Fetch(Message, frozen=True, kw_only=True, tag="fetch"):
    """Asks a core machine for the newest configuration."""


class Configuration(Message, frozen=True, kw_only=True, tag="config"):
    """A committed configuration, in answer to ``Fetch``."""

    document: Document = msgspec.field(name="doc")


class ForwardedCall(Message, frozen=True, kw_only=True):
    """A call that its receiver is to settle. The answer repeats ``number`` and ``session``, random of the
    process that passes the call on."""

    number: int = msgspec.field(default=0, name="n")
    session: str = msgspec.field(default="", name="l")


class ServerCall(ForwardedCall, frozen=True, kw_only=True, tag="server_call"):
    """A server's heartbeat, or, without ``row``, its end."""

    id: str
    row: Row | None


class OperatorCall(ForwardedCall, frozen=True, kw_only=True, tag="operator_call"):
    """An operator's call; ``hops``: how often it has been passed on."""

    kind: str
    base: int
    body: str
    hops: int = msgspec.field(name="h")


class CallResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """What became of a call: an HTTP status, a text or a document, and for servers where their home is.

    ``problems``: of a 400, each thing that is wrong, where more than the text is known."""

    status: int
    text: str = ""
    document: Document | None = None
    report_to: str = ""
    problems: Annotated[tuple[str, ...], msgspec.Meta(max_length=PROBLEMS_KEPT)] = ()

    def answer_to(self, call: ForwardedCall) -> CallAnswer:
        """The answer to the limiter that passed the call on."""
        return CallAnswer(number=call.number, session=call.session, result=self)


class CallAnswer(Message, frozen=True, kw_only=True, tag="answer"):
    """What became of a call that was passed on."""

    number: int = msgspec.field(name="n")
    session: str = msgspec.field(name="l")
    result: CallResult


class QuotaMessage(Message, frozen=True, kw_only=True, tag="quota"):
    """A message of the quotas: see ``admission.quotas``."""

    message: dict[str, Any] = msgspec.field(name="m")


class InFlightMessage(Message, frozen=True, kw_only=True, tag="in_flight"):
    """Requests in hand at servers: see ``balancing.load``."""

    message: dict[str, Any] = msgspec.field(name="m")


class CapacityReport(Message, frozen=True, kw_only=True, tag="capacity"):
    """What was found of servers: see ``balancing.estimates``."""

    message: dict[str, Any] = msgspec.field(name="m")


ControlMessage = (
    RegistryMessage
    | Raft
    | Peek
    | ConfigurationOffer
    | Fetch
    | Configuration
    | ServerCall
    | OperatorCall
    | CallAnswer
)
AnyMessage = ControlMessage | QuotaMessage | InFlightMessage | CapacityReport


class _Header(msgspec.Struct, frozen=True):
    """What is read of a message that is not understood."""

    kind: Any = msgspec.field(default=None, name="k")
    sender: Any = msgspec.field(default=None, name="s")
    protocol: Any = msgspec.field(default=None, name="p")


_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[AnyMessage] = msgspec.json.Decoder(AnyMessage)
_HEADER_DECODER = msgspec.json.Decoder(_Header)


def with_sender(message: Message, sender: str, address: str) -> AnyMessage:
    """The message as its sender sends it."""
    return msgspec.structs.replace(  # type: ignore[return-value]
        message, sender=sender, address=address, protocol=PROTOCOL
    )


def encode(message: Message) -> bytes:
    """One line, without its end."""
    return _ENCODER.encode(message)


def decode(line: bytes) -> AnyMessage:
    """The message of one line. MessageError where it is none, or its sender speaks another
    protocol."""
    try:
        message = _DECODER.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _explained(line, error) from error
    if message.protocol != PROTOCOL:
        raise MessageError(message.sender, message.protocol, "another protocol")
    return message


def _explained(line: bytes, error: Exception) -> MessageError:
    try:
        header = _HEADER_DECODER.decode(line)
    except (msgspec.DecodeError, RecursionError):
        return MessageError("", PROTOCOL, str(error))
    return MessageError(str(header.sender), header.protocol, f"{header.kind!r}: {error}")
