"""The inputs and outputs of a replica, other than messages between replicas."""

from __future__ import annotations

from typing import Any

from attrs import define, field


@define(frozen=True)
class Answer:
    """The answer to an operator's call.

    ``status`` is 200, 400, 412 or 503; the last means that there is no leader or the outcome is unknown, and
    that the call should be retried. ``problems`` lists the faults of a call answered 400, where there is more
    detail than ``text``.
    """

    status: int
    text: str
    document: dict[str, Any] | None = None
    problems: tuple[str, ...] = ()


@define(frozen=True)
class Call:
    """An operator's call.

    ``kind`` is 'replace', 'amend' or 'read', and ``base`` the version that the call builds on. ``identity``
    is a digest of the other three fields, so that retries of a call have the same identity.
    """

    kind: str
    base: int
    body: dict[str, Any]
    identity: str


@define
class Ready:
    """What the caller must do next: write ``save``, then send ``messages`` and ``answers``.

    ``save`` holds the changed keys only. All of them must be durable before anything is sent, and then
    ``Replica.saved`` is called; None means that there is nothing to write and ``saved`` isn't called.
    ``messages`` are pairs of the receiver's disk id and the message, ``answers`` pairs of ticket and answer.
    """

    save: dict[str, bytes] | None = None
    messages: list[tuple[str, dict[str, Any]]] = field(factory=list)
    answers: list[tuple[str, Answer]] = field(factory=list)
