"""What goes in and out of a replica, and checked reading of messages."""

from __future__ import annotations

from typing import Any

from attrs import define, field

from larklb.consensus.errors import MalformedError

MOST_VOTERS = 32  # in any list that a message brings; far above any group that can be founded


@define(frozen=True)
class Answer:
    """To an operator's call. ``status`` 200, 400, 412, or 503: no leader or not settled, try again.

    ``problems``: of a 400, each thing that is wrong, where more than the text is known."""

    status: int
    text: str
    document: dict[str, Any] | None = None
    problems: tuple[str, ...] = ()


@define(frozen=True)
class Call:
    """An operator's call. ``kind`` is 'replace', 'amend' or 'read'; ``base`` the version it builds on;
    ``identity`` a digest of the other three, equal for a repeat of the same call."""

    kind: str
    base: int
    body: dict[str, Any]
    identity: str


@define
class Ready:
    """What the caller must do now: save, then, once that is durable, send ``messages`` and ``answers``.

    ``save``: changed keys only, all of which must be durable first (None: nothing to save, ``saved`` isn't
    called); ``messages``: (disk id of the receiver, message); ``answers``: (ticket, answer)."""

    save: dict[str, bytes] | None = None
    messages: list[tuple[str, dict[str, Any]]] = field(factory=list)
    answers: list[tuple[str, Answer]] = field(factory=list)


def number(source: dict[str, Any], name: str) -> int:
    """An integer field. Raises MalformedError."""
    value = source.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"{name} is no integer")
    return value


def string(source: dict[str, Any], name: str) -> str:
    """A string field. Raises MalformedError."""
    value = source.get(name)
    if not isinstance(value, str):
        raise MalformedError(f"{name} is no string")
    return value


def flag(source: dict[str, Any], name: str) -> bool:
    """A boolean field. Raises MalformedError."""
    value = source.get(name)
    if not isinstance(value, bool):
        raise MalformedError(f"{name} is no boolean")
    return value


def names(source: dict[str, Any], name: str) -> dict[str, str]:
    """A field that maps disk ids to node names. Raises MalformedError."""
    value = source.get(name)
    if (
        not isinstance(value, dict)
        or len(value) > MOST_VOTERS
        or not all(isinstance(part, str) for item in value.items() for part in item)
    ):
        raise MalformedError(f"{name} is no map of disks to nodes")
    return dict(value)


def mapping(source: dict[str, Any], name: str) -> dict[str, Any]:
    """A field that is an object. Raises MalformedError."""
    value = source.get(name)
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is no object")
    return value
