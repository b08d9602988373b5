"""The state that the parts of a replica share: log, role, term, saves and outgoing messages."""

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

# Keys of the stored values: the hard state, and the log.
HARD_STATE, LOG = "ballot", "log"
# The random incarnation number of a replica is below this limit.
INCARNATION_LIMIT = 1 << 40
# Number of rounds whose sending times are stored.
MAX_ROUNDS = 64
# Number of messages that are queued while a save is in progress; beyond it the oldest is dropped.
MAX_INBOX = 256
# Number of messages that are queued for sending; beyond it the oldest is dropped.
MAX_OUTBOX = 512


@define
class Peer:
    """The progress of replication to another disk, as the leader knows it. All times are in ms.

    ``next_index`` is the index of the entry to send next, and ``match_index`` that of the last entry known to
    be saved there; entries between the two are in flight, or are assumed to be there. ``replied_at`` is the
    time of the last reply, ``stamp`` its stamp, and ``acked_round`` the newest round that was answered.
    ``sent_after`` is the index of the entry before the entries that were sent last (-1 if that was a
    snapshot, which fits any log); without an acknowledgement by ``deadline``, they count as lost.
    """

    next_index: int
    replied_at: float
    match_index: int = -1
    acked_round: int = 0
    sent_after: int = -1
    deadline: float = float("-inf")
    stamp: Stamp = (0, 0.0)


def version_of(document: dict[str, Any] | None) -> int:
    """Returns the version of a document, or 0 if there is no document."""
    version = document.get("version") if document else 0
    return version if type(version) is int else 0


def load(stored: dict[str, bytes]) -> tuple[HardState, Log]:
    """Restores the state from the values that were saved. Raises MalformedError.

    The two keys may come from different saves if the last save was interrupted. Nothing that depends on that
    save has been sent then, and the hard state (stored as ``ballot``) determines the group.
    """
    if HARD_STATE not in stored:
        return HardState(), Log()
    hard_state = HardState.from_json(decode(stored[HARD_STATE]))
    if not hard_state.group_id:  # a log would be that of a group whose votes are lost
        return hard_state, Log()
    stored_log = Log.from_bytes(stored[LOG]) if LOG in stored else Log()
    if stored_log.group_id != hard_state.group_id:
        stored_log = (
            Log(hard_state.group_id)
            if hard_state.bound
            else Log.for_new_group(hard_state.group_id, hard_state.listed)
        )
    if stored_log.last_position[0] > hard_state.term:
        hard_state.term, hard_state.vote = stored_log.last_position[0], ""
    return hard_state, stored_log


def blank_hard_state() -> bytes:
    """Returns the stored form of the hard state of a blank disk, which has accepted and voted nothing."""
    return encode(HardState().to_json())


class ReplicaState(ABC):
    """The state and the helpers that the parts of a replica share.

    ``disk`` is the id of the disk; a disk that was wiped gets a new one. ``stored`` holds all keys that were
    saved, or is None. ``now`` is in ms, as in all calls. ``tolerance`` is the number of disks that may be
    lost at once. ``apply`` returns the document that results from a change, with an integer ``version`` above
    the current one, and raises InvalidChangeError if the change is invalid.

    Raises ConsensusError if ``stored`` is malformed.
    """

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
        self._confirmed = False  # whether, since the start, the state was once as new as the leader's
        self._up_to_date_at = float("-inf")  # when the committed state was last as new as the leader's
        self._leader_contact_at = float("-inf")  # time of the leader's last message
        self._liveness = Liveness(now)
        self._votes: set[str] = set()  # disks that have granted their pre-vote or vote, with this one
        self._accepted: set[str] = set()  # disks that have accepted the founding, with this one
        self._in_other_groups: set[str] = set()  # listed disks that belong to another group
        self._proposed_at = float("-inf")  # when the founding was last sent to the listed disks
        self._peers: dict[str, Peer] = {}  # of a leader, by disk
        self._round = 0  # number of this replica's last broadcast as a leader
        self._round_times: deque[tuple[int, float]] = deque(maxlen=MAX_ROUNDS)  # (round, time of sending)
        self._quorum_contact_at = float("-inf")  # sending time of the newest round answered by a majority
        self._stopping = False
        self._broadcast_at = float("-inf")
        self._broadcast_due = False  # whether the leader starts a round with the next ``ready``
        self._calls = PendingCalls()
        self._dirty: set[str] = set()  # keys of the state that has changed since the last save
        self._saving_keys: set[str] = set()  # keys of the save in progress
        self._saving_since: float | None = None  # None if no save is in progress
        self._saving_last_index = -1  # last log index of the save in progress
        # The entries of the log up to this index are saved; those after it may exist in memory only.
        self._durable_index = self._log.last_index
        self._save_failed_at: float | None = None  # None if the last save succeeded
        self._inbox: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MAX_INBOX)
        self._outbox: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MAX_OUTBOX)
        self._answers: list[tuple[str, Answer]] = []
        self._election_deadline = self._initial_election_deadline()

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard_state.term

    @property
    def voters(self) -> dict[str, str]:
        """Disk ids and node names of the voters in the newest entry that lists them, committed or not."""
        return dict(self._log.voters)

    @property
    def current(self) -> dict[str, Any] | None:
        """The newest committed document, which the caller must not modify."""
        return self._log.state.document

    @property
    def version(self) -> int:
        """The version of ``current``, or 0 if there is none."""
        return version_of(self.current)

    @property
    def last_index(self) -> int:
        """Index of the last entry of the local log, committed or not; -1 on a blank disk."""
        return self._log.last_index

    @property
    def commit_index(self) -> int:
        """Index of the last entry that this replica knows to be committed; -1 on a blank disk."""
        return self._log.commit_index

    @property
    def founded(self) -> bool:
        """Whether this disk belongs to a group permanently: it has voted in it or followed its leader."""
        return self._hard_state.bound

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self._role == "leader"

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this replica leads and has committed an entry of its term, as calls require."""
        return self.is_leader and self._log.state.term == self.term

    @property
    def confirmed(self) -> bool:
        """Whether ``current`` has been as new as a leader's committed state since this replica started."""
        return self._confirmed or self.has_committed_in_term

    def has_recent_quorum(self, now: float) -> bool:
        """Returns whether a majority has answered a round that was sent within the last quorum timeout.

        What such a leader serves from memory is no older than that timeout.
        """
        return self.has_committed_in_term and now - self._quorum_contact_at <= self._timing.quorum_timeout

    def is_up_to_date(self, now: float) -> bool:
        """Returns whether the state here is no older than the quorum timeout.

        This holds for a leader with a recent quorum, and for a follower that was up to date with its leader
        within the timeout.
        """
        if self.is_leader:
            return self.has_recent_quorum(now)
        return self.leader is not None and now - self._up_to_date_at <= self._timing.quorum_timeout

    def _stamp(self) -> Stamp:
        """Returns the stamp of a message sent now."""
        return self._incarnation, self._now

    def _save_hangs(self) -> bool:
        """Returns whether the save in progress takes longer than the save timeout."""
        return self._saving_since is not None and self._now - self._saving_since > self._timing.save_timeout

    def _begin_save(self) -> dict[str, bytes]:
        """Marks all changed state as being saved, and returns its stored form by key."""
        save = {}
        if HARD_STATE in self._dirty:
            save[HARD_STATE] = encode(self._hard_state.to_json())
        if LOG in self._dirty:
            self._log.compact()
            save[LOG] = self._log.to_bytes()
        self._saving_keys, self._dirty = self._dirty, set()
        self._saving_since, self._saving_last_index = self._now, self._log.last_index
        return save

    def _send(self, receiver: str, kind: type[Message], **fields: Any) -> None:
        message = kind(disk=self.disk, group_id=self._hard_state.group_id, term=self.term, **fields)
        self._outbox.append((receiver, encode_message(message)))

    def _random_election_deadline(self) -> float:
        return self._now + self._rng.uniform(*self._timing.election_timeout)

    def _initial_election_deadline(self) -> float:
        """Returns an early deadline as long as no leader was in contact since this replica started.

        All replicas may have started together, and a pre-vote does no harm if there is a leader.
        """
        if self._leader_contact_at > float("-inf"):
            return self._random_election_deadline()
        return self._now + self._rng.uniform(*self._timing.split_vote_backoff)

    def _enter_term(self, term: int) -> None:
        """Enters a newer term as a follower that has not voted in it."""
        if self.is_leader:
            self._step_down("there is a newer term")
        self._hard_state.term, self._hard_state.vote = term, ""
        self._dirty.add("ballot")
        # An unsent reply of an older term might acknowledge entries that are truncated before it is sent.
        self._outbox.clear()
        self._role, self.leader = "follower", None

    def _step_down(self, reason: str) -> None:
        """Stops leading, and answers all pending calls that their outcome is unknown."""
        log.info("consensus: disk %s stepped down in term %d: %s", self.disk, self.term, reason)
        self._role, self.leader = "follower", None
        self._peers.clear()
        self._election_deadline = self._random_election_deadline()
        self._answer_all(self._calls.take_all(), LEADERSHIP_LOST)

    def _answer_all(self, tickets: list[str], answer: Answer) -> None:
        self._answers += [(ticket, answer) for ticket in tickets]

    def _take_answers(self) -> Ready:
        answers, self._answers = self._answers, []
        return Ready(answers=answers)

    # Operations that the parts provide to each other

    @abstractmethod
    def _start_pre_vote(self) -> None:
        """Asks whether other voters would vote for this replica (``election``)."""

    @abstractmethod
    def _become_leader(self) -> None:
        """Becomes the leader in the current term (``replication``)."""

    @abstractmethod
    def _append(self, kind: str, **fields: Any) -> int:
        """Appends an entry at the leader and returns its index (``replication``)."""

    @abstractmethod
    def _update_peers(self) -> None:
        """Updates the voters and learners that the leader replicates to (``replication``)."""

    @abstractmethod
    def _change_voters(self) -> None:
        """Appends the next change of the voters if one is due (``membership_change``)."""

    @abstractmethod
    def _confirm_round(self, answered: int) -> None:
        """Handles that a majority has answered a round (``proposals``)."""

    @abstractmethod
    def _answer_committed(self) -> None:
        """Answers the call whose entry is committed (``proposals``)."""

    @abstractmethod
    def _process_changes(self) -> None:
        """Processes the next changes (``proposals``)."""
