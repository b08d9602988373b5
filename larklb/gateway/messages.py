"""All messages between limiters, and their encoding: one JSON object per line."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from larklb.gateway.errors import MessageError
from larklb.membership.messages import Message as Message
from larklb.membership.messages import Row
from larklb.registry.messages import ConfigVersion, RegistryMessage
from larklb.schema.errors import MAX_PROBLEMS

# Version of the protocol between limiters; messages of any other version are rejected.
PROTOCOL = 2

Document = dict[str, Any]


class Raft(Message, frozen=True, kw_only=True, tag="raft"):
    """A message from the configuration replica on ``disk`` to another one; see ``consensus.messages``."""

    disk: str = msgspec.field(name="d")
    message: dict[str, Any] = msgspec.field(name="m")


class Peek(Message, frozen=True, kw_only=True, tag="peek"):
    """Requests the version of the newest configuration from a core machine."""


class ConfigurationOffer(Message, frozen=True, kw_only=True, tag="offer"):
    """The version of the newest configuration, in answer to ``Peek``."""

    offer: ConfigVersion = msgspec.field(name="cfg")


class Fetch(Message, frozen=True, kw_only=True, tag="fetch"):
    """Requests the newest configuration from a core machine."""


class Configuration(Message, frozen=True, kw_only=True, tag="config"):
    """A committed configuration, in answer to ``Fetch``."""

    document: Document = msgspec.field(name="doc")


class ForwardedCall(Message, frozen=True, kw_only=True):
    """A call that is forwarded to the receiver. The answer repeats ``number`` and ``session``, the random id
    of the process that forwards the call."""

    number: int = msgspec.field(default=0, name="n")
    session: str = msgspec.field(default="", name="l")


class ServerCall(ForwardedCall, frozen=True, kw_only=True, tag="server_call"):
    """A server's heartbeat, or its sign-off if ``row`` is None."""

    id: str
    row: Row | None


class OperatorCall(ForwardedCall, frozen=True, kw_only=True, tag="operator_call"):
    """An operator's call; ``hops`` is how often it has been forwarded."""

    kind: str
    base: int
    body: str
    hops: int = msgspec.field(name="h")


class CallResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of a call: an HTTP status, and a text or a document.

    ``report_to`` is the control address for a server's further heartbeats. ``problems`` lists each error of a
    call with status 400, if there is more to say than ``text`` does."""

    status: int
    text: str = ""
    document: Document | None = None
    report_to: str = ""
    problems: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_PROBLEMS)] = ()

    def answer_to(self, call: ForwardedCall) -> CallAnswer:
        """Returns the answer to the limiter that forwarded the call."""
        return CallAnswer(number=call.number, session=call.session, result=self)


class CallAnswer(Message, frozen=True, kw_only=True, tag="answer"):
    """The result of a forwarded call."""

    number: int = msgspec.field(name="n")
    session: str = msgspec.field(name="l")
    result: CallResult


class QuotaMessage(Message, frozen=True, kw_only=True, tag="quota"):
    """A message about quotas; see ``admission.quotas``."""

    message: dict[str, Any] = msgspec.field(name="m")


class InFlightMessage(Message, frozen=True, kw_only=True, tag="in_flight"):
    """The requests in flight at servers; see ``balancing.load``."""

    message: dict[str, Any] = msgspec.field(name="m")


class CapacityReport(Message, frozen=True, kw_only=True, tag="capacity"):
    """The estimated capacities of servers; see ``balancing.estimates``."""

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
    """The fields that are read from a message that can't be decoded."""

    kind: Any = msgspec.field(default=None, name="k")
    sender: Any = msgspec.field(default=None, name="s")
    protocol: Any = msgspec.field(default=None, name="p")


_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[AnyMessage] = msgspec.json.Decoder(AnyMessage)
_HEADER_DECODER = msgspec.json.Decoder(_Header)


def with_sender(message: Message, sender: str, address: str) -> AnyMessage:
    """Returns the message with its sender, the sender's address and the protocol version."""
    return msgspec.structs.replace(  # type: ignore[return-value]
        message, sender=sender, address=address, protocol=PROTOCOL
    )


def encode(message: Message) -> bytes:
    """Returns the message as one line, without the newline."""
    return _ENCODER.encode(message)


def decode(line: bytes) -> AnyMessage:
    """Decodes the message of one line.

    Raises ``MessageError`` if the line is not a message, or is one of another protocol version."""
    try:
        message = _DECODER.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _message_error(line, error) from error
    if message.protocol != PROTOCOL:
        raise MessageError(message.sender, message.protocol, "unsupported protocol version")
    return message


def _message_error(line: bytes, error: Exception) -> MessageError:
    try:
        header = _HEADER_DECODER.decode(line)
    except (msgspec.DecodeError, RecursionError):
        return MessageError("", PROTOCOL, str(error))
    return MessageError(str(header.sender), header.protocol, f"{header.kind!r}: {error}")
