"""What the parts of a replica share: its durable state, its role and term, its saves, what it has to send."""

from __future__ import annotations

import logging
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define

from larklb.consensus.calls import LEADERSHIP_LOST, PendingCalls
from larklb.consensus.founding import HardState
from larklb.consensus.group import Liveness
from larklb.consensus.interface import Answer, Call, Ready
from larklb.consensus.log import Log, decode, encode
from larklb.consensus.messages import Message, Stamp, encode_message
from larklb.consensus.timing import Timing

log = logging.getLogger(__name__)

INCARNATION_LIMIT = 1 << 40  # a replica's life is drawn below this
MAX_ROUNDS = 64  # whose times of sending are remembered
MAX_INBOX = 256  # messages kept while a save is under way
MAX_OUTBOX = 512


@define
class Peer:
    """How far the leader knows another's log. ``next``: the entry to send next; ``match``: saved up to there;
    ``round``: the newest it has answered; ``heard``: ms, its last message; ``behind``: the index that the
    last content sent follows (-1: a snapshot, which follows any); ``due``: ms from which on that counts as
    lost; ``stamp``: of its newest reply."""

    next_index: int
    replied_at: float
    match_index: int = -1
    acked_round: int = 0
    sent_after: int = -1
    deadline: float = float("-inf")
    stamp: Stamp = (0, 0.0)


def version_of(document: dict[str, Any] | None) -> int:
    """The version of a document, 0 of none."""
    version = document.get("version") if document else 0
    return version if type(version) is int else 0


def load(stored: dict[str, bytes]) -> tuple[HardState, Log]:
    """What the saves left. The two keys may be of different saves if the last one didn't end; nothing had
    been sent then, and the ballot tells which group counts."""
    if "ballot" not in stored:
        return HardState(), Log()
    ballot = HardState.from_json(decode(stored["ballot"]))
    kept = Log.from_bytes(stored["log"]) if "log" in stored else Log()
    if kept.group_id != ballot.group_id:
        kept = Log(ballot.group_id) if ballot.bound else Log.for_new_group(ballot.group_id, ballot.listed)
    if kept.last_position[0] > ballot.term:
        ballot.term, ballot.vote = kept.last_position[0], ""
    return ballot, kept


class ReplicaState(ABC):
    """``disk`` is the disk's id (a new one for an emptied disk), ``stored`` what its last saves left (all
    keys) or None, ``now`` in ms as in all calls, ``tolerance`` the disks that may be lost at once. ``apply``
    makes the new document of a change, with an integer ``version`` above the current one's, and raises
    RefusedError if it is invalid. Raises ConsensusError if ``stored`` can't be understood."""

    def __init__(
        self,
        disk: str,
        node: str,
        stored: dict[str, bytes] | None,
        now: float,
        seed: int,
        *,
        tolerance: int,
        apply: Callable[[dict[str, Any] | None, Call], dict[str, Any]],
        timing: Timing | None = None,
    ) -> None:
        self._timing = timing or Timing()
        self.disk = disk
        self.node = node
        self.leader: str | None = None
        self._tolerance = tolerance
        self._apply = apply
        self._now = now
        self._rng = random.Random(f"{seed} {disk}")
        self._hard_state, self._log = load(stored or {})
        self._role = "follower"
        self._incarnation = self._rng.randrange(1, INCARNATION_LIMIT)
        self._confirmed = False
        self._up_to_date_at = float("-inf")  # when what is committed here was last as new as at the leader
        self._leader_contact_at = float("-inf")  # when the leader was last heard
        self._liveness = Liveness(now)
        self._votes: set[str] = set()
        self._accepted: set[str] = set()
        self._in_other_groups: set[str] = set()  # listed ones that follow another group's leader
        self._proposed_at = float("-inf")
        self._peers: dict[str, Peer] = {}
        self._round = 0
        self._round_times: deque[tuple[int, float]] = deque(maxlen=MAX_ROUNDS)  # when each was sent
        self._quorum_contact_at = float("-inf")  # when the newest round that a majority has answered was sent
        self._stopping = False
        self._broadcast_at = float("-inf")
        self._broadcast_due = False
        self._calls = PendingCalls()
        self._dirty: set[str] = set()
        self._saving_keys: set[str] = set()
        self._saving_since: float | None = None
        self._saving_last_index = -1
        self._durable_index = self._log.last_index
        self._save_failed_at: float | None = None
        self._inbox: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MAX_INBOX)
        self._outbox: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MAX_OUTBOX)
        self._answers: list[tuple[str, Answer]] = []
        self._election_deadline = self._initial_election_deadline()

    @property
    def term(self) -> int:
        """The present term."""
        return self._hard_state.term

    @property
    def voters(self) -> dict[str, str]:
        """Disk ids with node names, of the newest group entry known (a change counts from its append on)."""
        return dict(self._log.voters)

    @property
    def current(self) -> dict[str, Any] | None:
        """The newest committed document; not to be changed."""
        return self._log.state.document

    @property
    def version(self) -> int:
        """Of ``current``; 0 if there is none."""
        return version_of(self.current)

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log here, known to a majority or not; -1 on a blank disk."""
        return self._log.last_index

    @property
    def commit_index(self) -> int:
        """Index up to which it is known here that a majority has the log; -1 on a blank disk."""
        return self._log.commit_index

    @property
    def founded(self) -> bool:
        """Whether this disk belongs to a group for good: it has voted in it or heard its leader."""
        return self._hard_state.bound

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self._role == "leader"

    @property
    def has_committed_in_term(self) -> bool:
        """Whether a leader is known and, here, has committed an entry of its term: calls can be judged."""
        return self.is_leader and self._log.state.term == self.term

    @property
    def confirmed(self) -> bool:
        """Whether ``current`` has, in this life, been as new as a leader's word of what is committed."""
        return self._confirmed or self.has_committed_in_term

    def has_recent_quorum(self, now: float) -> bool:
        """Whether a majority has answered, within the time after which a leader without it steps down, what
        this leader sent: what it hands out from memory can be no older than that."""
        return self.has_committed_in_term and now - self._quorum_contact_at <= self._timing.quorum_timeout

    def is_up_to_date(self, now: float) -> bool:
        """Whether what is known here can be no older than the time after which a leader without a majority
        steps down: a leader with one, or a follower that has taken a leader's word within it."""
        if self.is_leader:
            return self.has_recent_quorum(now)
        return self.leader is not None and now - self._up_to_date_at <= self._timing.quorum_timeout

    def _stamp(self) -> Stamp:
        """Of what is sent now."""
        return self._incarnation, self._now

    def _save_hangs(self) -> bool:
        return self._saving_since is not None and self._now - self._saving_since > self._timing.save_timeout

    def _begin_save(self) -> dict[str, bytes]:
        save = {}
        if "ballot" in self._dirty:
            save["ballot"] = encode(self._hard_state.to_json())
        if "log" in self._dirty:
            self._log.compact()
            save["log"] = self._log.to_bytes()
        self._saving_keys, self._dirty = self._dirty, set()
        self._saving_since, self._saving_last_index = self._now, self._log.last_index
        return save

    def _send(self, receiver: str, kind: type[Message], **fields: Any) -> None:
        message = kind(disk=self.disk, group_id=self._hard_state.group_id, term=self.term, **fields)
        self._outbox.append((receiver, encode_message(message)))

    def _random_election_deadline(self) -> float:
        return self._now + self._rng.uniform(*self._timing.election_timeout)

    def _initial_election_deadline(self) -> float:
        """Before any leader was heard in this life: all may have started together, and a pre-vote does no
        harm where there is a leader."""
        if self._leader_contact_at > float("-inf"):
            return self._random_election_deadline()
        return self._now + self._rng.uniform(*self._timing.split_vote_backoff)

    def _enter_term(self, term: int) -> None:
        if self.is_leader:
            self._step_down("there is a newer term")
        self._hard_state.term, self._hard_state.vote = term, ""
        self._dirty.add("ballot")
        # An answer of an older term, sent after the log it speaks of was cut, would count for what is gone.
        self._outbox.clear()
        self._role, self.leader = "follower", None

    def _step_down(self, why: str) -> None:
        log.info("consensus: %s leads no more in term %d: %s", self.disk, self.term, why)
        self._role, self.leader = "follower", None
        self._peers.clear()
        self._election_deadline = self._random_election_deadline()
        self._answer_all(self._calls.take_all(), LEADERSHIP_LOST)

    def _answer_all(self, tickets: list[str], answer: Answer) -> None:
        self._answers += [(ticket, answer) for ticket in tickets]

    def _take_answers(self) -> Ready:
        answers, self._answers = self._answers, []
        return Ready(answers=answers)

    # What the parts ask of each other

    @abstractmethod
    def _start_pre_vote(self) -> None:
        """Ask whether others would vote for this replica (``election``)."""

    @abstractmethod
    def _become_leader(self) -> None:
        """Begin to lead in the present term (``replication``)."""

    @abstractmethod
    def _append(self, kind: str, **fields: Any) -> int:
        """Append an entry at the leader; its index (``replication``)."""

    @abstractmethod
    def _update_peers(self) -> None:
        """Know all voters and newcomers that the leader sends to (``replication``)."""

    @abstractmethod
    def _change_voters(self) -> None:
        """Append the next change of the voters, if one is due (``membership_change``)."""

    @abstractmethod
    def _confirm_round(self, answered: int) -> None:
        """A majority has answered a round (``proposals``)."""

    @abstractmethod
    def _answer_committed(self) -> None:
        """Answer the call whose entry is committed (``proposals``)."""

    @abstractmethod
    def _process_changes(self) -> None:
        """Judge the calls whose turn it is (``proposals``)."""
