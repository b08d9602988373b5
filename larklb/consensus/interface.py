"""What goes in and out of a replica, beside the messages."""

from __future__ import annotations

from typing import Any

from attrs import define, field


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
