"""One disk's replica of the configuration: a Raft state machine without I/O.

The caller turns the crank: it gives ticks, messages and calls, and does what ``ready`` asks. Nothing that
depends on the durable state leaves before that state is saved: each Ready holds all that has changed since
the last save.
"""

from __future__ import annotations

import logging
import random
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define

from larklb.consensus.calls import FULL, LATE, LEFT, UNKNOWN, Calls
from larklb.consensus.errors import ConsensusError, MalformedError, RefusedError
from larklb.consensus.founding import HardState, new_group_id
from larklb.consensus.group import Liveness, majority, next_voters
from larklb.consensus.history import Repeat
from larklb.consensus.log import Entry, Log, Snapshot, decode, encode
from larklb.consensus.messages import (
    MOST_ENTRIES,
    AppendEntries,
    AppendReply,
    Founding,
    FoundingReply,
    InstallSnapshot,
    Message,
    PreVote,
    PreVoteReply,
    Stand,
    VoteReply,
    VoteRequest,
    decode_message,
    encode_message,
)
from larklb.consensus.timing import Timing
from larklb.consensus.words import Answer, Call, Ready

__all__ = ["Answer", "Call", "ConsensusError", "Ready", "RefusedError", "Replica"]

log = logging.getLogger(__name__)

OF_ANY_GROUP = (AppendEntries, InstallSnapshot, Founding, FoundingReply)  # also from another one
MOST_ROUNDS = 64  # whose times of sending are remembered
RETRY_MS = 200.0  # until a failed save is tried again
RESEND_MS = 300.0  # in which content may be on its way though a shorter message overtook it, ...
RESEND_BYTES = 4000  # ... and a ms more for so many bytes
FOUND_MS = 300.0  # between two askings of a founding
LEARNER_MS = 1000.0  # since a newcomer's last word in which it counts as keeping up
MOST_INBOX = 256  # messages kept while a save is under way
MOST_OUTBOX = 512
MOST_PEERS = 16  # newcomers that are kept up at the same time


@define
class Peer:
    """How far the leader knows another's log. ``next``: the entry to send next; ``match``: saved up to there;
    ``round``: the newest it has answered; ``heard``: ms, its last word; ``behind``: the index that the last
    content sent follows (-1: a snapshot, which follows any); ``due``: ms from which on that counts as
    lost."""

    next: int
    heard: float
    match: int = -1
    round: int = 0
    behind: int = -1
    due: float = float("-inf")


class Replica:
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
        self._hard_state, self._log = _load(stored or {})
        self._role = "follower"
        self._confirmed = False
        self._current_at = float("-inf")  # when what is committed here was last as new as at the leader
        self._sticky = float("-inf")  # when the leader was last heard
        self._liveness = Liveness(now)
        self._votes: set[str] = set()
        self._accepted: set[str] = set()
        self._apart: set[str] = set()  # listed ones that follow another group's leader
        self._asked = float("-inf")
        self._peers: dict[str, Peer] = {}
        self._round = 0
        self._rounds: deque[tuple[int, float]] = deque(maxlen=MOST_ROUNDS)  # when each was sent
        self._quorum_at = float("-inf")  # when the newest round that a majority has answered was sent
        self._leaving = False
        self._pushed = float("-inf")
        self._push = False
        self._calls = Calls()
        self._dirty: set[str] = set()
        self._saving: set[str] = set()
        self._saving_since: float | None = None
        self._saving_last = -1
        self._durable = self._log.last
        self._failed: float | None = None
        self._inbox: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MOST_INBOX)
        self._outbox: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MOST_OUTBOX)
        self._answers: list[tuple[str, Answer]] = []
        self._deadline = self._first_draw()

    # What others see

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
        return _version(self.current)

    @property
    def last(self) -> int:
        """Index of the last entry of the log here, known to a majority or not; -1 on a blank disk."""
        return self._log.last

    @property
    def commit(self) -> int:
        """Index up to which it is known here that a majority has the log; -1 on a blank disk."""
        return self._log.commit

    @property
    def founded(self) -> bool:
        """Whether this disk belongs to a group for good: it has voted in it or heard its leader."""
        return self._hard_state.bound

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self._role == "leader"

    @property
    def settled(self) -> bool:
        """Whether a leader is known and, here, has committed an entry of its term: calls can be judged."""
        return self.is_leader and self._log.state.term == self.term

    @property
    def confirmed(self) -> bool:
        """Whether ``current`` has, in this life, been as new as a leader's word of what is committed."""
        return self._confirmed or self.settled

    def leads_surely(self, now: float) -> bool:
        """Whether a majority has answered, within the time after which a leader without it steps down, what
        this leader sent: what it hands out from memory can be no older than that."""
        return self.settled and now - self._quorum_at <= self._timing.quorum

    def up_to_date(self, now: float) -> bool:
        """Whether what is known here can be no older than the time after which a leader without a majority
        steps down: a leader with one, or a follower that has taken a leader's word within it."""
        if self.is_leader:
            return self.leads_surely(now)
        return self.leader is not None and now - self._current_at <= self._timing.quorum

    # What the caller does

    def tick(self, now: float, cores: dict[str, str], leaving: frozenset[str] = frozenset()) -> None:
        """To be called about every 50 ms; ``cores``: disk id -> node of the core machines heard lately;
        ``leaving``: disk ids of those that were told to end, or have ended so."""
        self._now = max(self._now, now)
        self._liveness.told(self._now, {**cores, self.disk: self.node}, leaving)
        self._answer_all(self._calls.late(self._now), LATE)
        if self._saving_since is not None:
            if self._hangs():
                self._deadline = self._draw()  # a disk that hangs mustn't stand for election
                if self.is_leader:
                    self._step_down("its disk hangs")
            return
        if self.is_leader:
            self._lead_on()
            return
        if self._sticky + self._timing.election[1] < self._now:
            self.leader = None
        self._propose()
        if self._now >= self._deadline:
            self._start_pre_vote()

    def step(self, now: float, sender: str, message: dict[str, Any]) -> None:
        """A message from the disk ``sender``; what isn't well formed is ignored."""
        self._now = max(self._now, now)
        if self._saving_since is not None:
            self._inbox.append((sender, message))
        else:
            self._take(sender, message)

    def call(self, now: float, ticket: str, call: Call) -> None:
        """An operator's call, answered by ``ticket`` through ``ready`` within 800 ms."""
        self._now = max(self._now, now)
        if call.kind not in ("replace", "amend", "read"):
            self._answers.append((ticket, Answer(400, f"no call of the kind {call.kind}")))
        elif not self.is_leader:
            self._answers.append((ticket, Answer(503, "not the leader: try again")))
        elif not self._calls.add(self._now, ticket, call, self._round + 1):
            self._answers.append((ticket, FULL))
        elif call.kind == "read":
            self._push = True
        else:
            self._judge()

    def found(self, now: float, cores: dict[str, str]) -> None:
        """Propose the founding of a group of ``cores`` (this one among them); for a disk that has none.

        Also for one that holds a founding whose proposer has been silent for 5 s; else, or with fewer
        than 2 x tolerance, it changes nothing."""
        self._now = max(self._now, now)
        ballot = self._hard_state
        if ballot.bound or self._saving_since is not None:
            return
        if ballot.group_id and (
            ballot.proposer == self.disk
            or self._liveness.silence(self._now, ballot.proposer) < self._timing.proposer
        ):
            return
        listed = {**cores, self.disk: self.node}
        group_id = new_group_id(self._rng, ballot.group_id)
        if self._enough(listed) and ballot.may_accept(self.disk, group_id, listed):
            self._accept(group_id, listed, self.disk)

    def hand_over(self, now: float) -> None:
        """This machine is about to end: it stands for no election any more, and a leader has the voter whose
        log is as long as its own take its place at once."""
        self._now = max(self._now, now)
        self._leaving = True
        if not self.is_leader:
            return
        able = [
            disk
            for disk, peer in self._peers.items()
            if disk in self._log.voters
            and disk not in self._liveness.leaving
            and peer.match == self._log.last
            and self._now - peer.heard < self._timing.quorum
        ]
        if able:
            self._send(min(able), Stand)

    def ready(self) -> Ready | None:
        """What is to be done now, or None. While a save is under way there may be answers, nothing else: no
        answer depends on what isn't saved (it tells what a majority has, or that nothing is known)."""
        if self._answers:
            return self._take_answers()
        if self._saving_since is not None:
            return None
        if self._failed is not None and self._now - self._failed < RETRY_MS:
            return None
        if self._push and self.is_leader:
            self._broadcast()
            if self._answers:  # of a group of one
                return self._take_answers()
        save = self._begin_save() if self._dirty else None
        messages = list(self._outbox)
        self._outbox.clear()
        return Ready(save, messages) if save or messages else None

    def _take_answers(self) -> Ready:
        answers, self._answers = self._answers, []
        return Ready(answers=answers)

    def saved(self, ok: bool) -> None:
        """The save of the last Ready that had one is durable, or (not ``ok``) has failed."""
        if self._saving_since is None:
            return
        if self._hangs():
            self._deadline = self._draw()
        keys, self._saving, self._saving_since = self._saving, set(), None
        if ok:
            self._failed = None
            if "log" in keys:
                self._durable = self._saving_last
        else:
            log.warning("consensus: a save of %s failed", self.disk)
            self._failed = self._now
            self._dirty |= keys
            self._outbox.clear()
            if self.is_leader:
                self._step_down("it can't save")
        while self._inbox:
            self._take(*self._inbox.popleft())
        if self.is_leader:
            self._advance()

    # Saving

    def _hangs(self) -> bool:
        return self._saving_since is not None and self._now - self._saving_since > self._timing.hang

    def _begin_save(self) -> dict[str, bytes]:
        save = {}
        if "ballot" in self._dirty:
            save["ballot"] = encode(self._hard_state.word())
        if "log" in self._dirty:
            self._log.fold()
            save["log"] = self._log.stored()
        self._saving, self._dirty = self._dirty, set()
        self._saving_since, self._saving_last = self._now, self._log.last
        return save

    # Messages

    def _send(self, receiver: str, kind: type[Message], **fields: Any) -> None:
        message = kind(disk=self.disk, group_id=self._hard_state.group_id, term=self.term, **fields)
        self._outbox.append((receiver, encode_message(message)))

    def _take(self, sender: str, source: dict[str, Any]) -> None:
        handlers: dict[type[Message], Callable[[str, Any], None]] = {
            AppendEntries: self._on_append_entries,
            InstallSnapshot: self._on_snapshot,
            AppendReply: self._on_append_reply,
            PreVote: self._on_pre_vote,
            PreVoteReply: self._on_pre_vote_reply,
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            Stand: self._on_stand,
            Founding: self._on_founding,
            FoundingReply: self._on_founding_reply,
        }
        try:
            message = decode_message(source)
            if message.disk != sender:
                # By its address alone, a message of the disk that was there before would count for the new.
                raise MalformedError("it is another disk's")
            if message.group_id == self._hard_state.group_id or isinstance(message, OF_ANY_GROUP):
                handlers[type(message)](sender, message)
            elif isinstance(message, PreVote) and self._hard_state.bound:
                self._send_founding_reply(sender)
        except MalformedError as error:
            log.warning("consensus: ignored a message from %s: %s", sender, error)

    # Terms and elections

    def _draw(self) -> float:
        return self._now + self._rng.uniform(*self._timing.election)

    def _first_draw(self) -> float:
        """Before any leader was heard in this life: all may have started together, and a pre-vote does no
        harm where there is a leader."""
        if self._sticky > float("-inf"):
            return self._draw()
        return self._now + self._rng.uniform(*self._timing.split)

    def _enter(self, term: int) -> None:
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
        self._deadline = self._draw()
        self._answer_all(self._calls.drop(), LEFT)

    def _may_vote(self) -> bool:
        """Whether this disk may grant a vote: never while it is blank.

        A newcomer that has saved the log may, though its own log doesn't name it a voter yet. Only who has
        it as a voter asks it, and only there its vote counts; without it, a disk that was added by two
        others would leave the group without a majority when one of these is lost."""
        return self._log.last >= 0

    def _may_stand(self) -> bool:
        complete = self._hard_state.proposer == self.disk and self._accepted >= set(self._hard_state.listed)
        voter = self.disk in self._log.voters
        return voter and (self._hard_state.bound or complete) and self._failed is None and not self._leaving

    def _start_pre_vote(self) -> None:
        self._deadline = self._first_draw()
        self._role, self.leader = "follower", None
        if not self._may_stand():
            return
        self._role, self._votes = "pre_candidate", {self.disk}
        for disk in self._others():
            self._send(disk, PreVote, proposed=self.term + 1, last=self._log.end)
        self._count()

    def _count(self) -> None:
        if len(self._votes & set(self._log.voters)) < majority(len(self._log.voters)):
            return
        if self._role == "pre_candidate":
            self._stand(False)
        elif self._role == "candidate":
            self._lead()

    def _stand(self, handed: bool) -> None:
        """Ask for votes in the next term; ``handed``: the present leader has asked for it."""
        self._enter(self.term + 1)
        self._hard_state.vote, self._hard_state.bound = self.disk, True
        self._role, self._votes = "candidate", {self.disk}
        self._deadline = self._draw()
        for disk in self._others():
            self._send(disk, VoteRequest, last=self._log.end, handed=handed)
        self._count()

    def _on_stand(self, sender: str, message: Stand) -> None:
        """The leader leaves: an election at once, which followers that still hear it don't refuse."""
        if message.term == self.term and sender == self.leader and self._may_stand():
            self._stand(True)

    def _others(self) -> list[str]:
        return [disk for disk in self._log.voters if disk != self.disk]

    def _led(self) -> bool:
        """Whether a leader was heard so lately that one who can't hear it mustn't disturb."""
        return self.is_leader or self._now - self._sticky < self._timing.election[0]

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        if not self._may_vote():
            return
        newer = message.proposed > self.term and message.last >= self._log.end
        yes = newer and not self._led() and self._failed is None
        self._send(sender, PreVoteReply, proposed=message.proposed, yes=yes)

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        if not message.yes and message.term > self.term:
            self._enter(message.term)
        elif message.yes and self._role == "pre_candidate" and message.proposed == self.term + 1:
            self._votes.add(sender)
            self._count()

    def _on_vote_request(self, sender: str, message: VoteRequest) -> None:
        if not self._may_vote() or self._led() and not message.handed:
            return
        if message.term > self.term:
            self._enter(message.term)
        free = message.term == self.term and self._hard_state.vote in ("", sender)
        yes = free and message.last >= self._log.end
        if yes:
            self._hard_state.vote, self._hard_state.bound = sender, True
            self._dirty.add("ballot")
            self._deadline = self._draw()
        self._send(sender, VoteReply, yes=yes)

    def _on_vote_reply(self, sender: str, message: VoteReply) -> None:
        if message.term > self.term:
            self._enter(message.term)
        elif message.term < self.term or self._role != "candidate":
            return
        elif message.yes:
            self._votes.add(sender)
            self._count()
        else:
            self._deadline = min(self._deadline, self._now + self._rng.uniform(*self._timing.split))

    # Following

    def _heed(self, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether this is a message of the present leader; its term and group are taken up."""
        group_id, term = message.group_id, message.term
        if group_id != self._hard_state.group_id:
            if self._hard_state.bound or not group_id:
                return False
            self._outbox.clear()
            self._hard_state = HardState(group_id)
            self._log = Log(group_id)
            self._durable = -1
            self._dirty |= {"ballot", "log"}
        if term < self.term:
            self._send(sender, AppendReply, ok=False, match=-1, tried=-1, round=0)
            return False
        if term > self.term:
            self._enter(term)
        if not self._hard_state.bound:
            self._hard_state.bound = True
            self._dirty.add("ballot")
        if self.is_leader:
            raise MalformedError("another leads in our term")
        self._role, self.leader = "follower", sender
        self._sticky, self._deadline = self._now, self._draw()
        return True

    def _on_append_entries(self, sender: str, message: AppendEntries) -> None:
        prev, prev_term = message.prev
        entries = [Entry.read(entry) for entry in message.entries]
        if [entry.index for entry in entries] != list(range(prev + 1, prev + 1 + len(entries))):
            raise MalformedError("entries don't follow each other")
        if not self._heed(sender, message):
            return
        mine = self._log
        if prev > mine.last or (prev >= mine.base.index and mine.term_at(prev) != prev_term):
            match = min(mine.last, prev - 1)
            self._send(sender, AppendReply, ok=False, match=match, tried=prev, round=message.round)
            return
        if mine.merge(prev, entries):
            self._durable = min(self._durable, max(prev, mine.commit))
            self._dirty.add("log")
        match = prev + len(entries)
        mine.advance(min(message.commit, match))
        if message.commit <= match and mine.term_at(message.commit) == message.term:
            # A new leader may know less of what is committed than its log holds, until one entry is its own.
            self._confirmed, self._current_at = True, self._now
        self._send(sender, AppendReply, ok=True, match=match, tried=prev, round=message.round)

    def _on_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        snapshot = Snapshot.read(message.snapshot)
        if not self._heed(sender, message):
            return
        if self._log.install(snapshot):
            self._durable = min(self._durable, snapshot.index - 1)
            self._dirty.add("log")
        self._send(sender, AppendReply, ok=True, match=snapshot.index, tried=-1, round=message.round)

    # Leading

    def _lead(self) -> None:
        log.info("consensus: %s leads in term %d", self.disk, self.term)
        self._role, self.leader = "leader", self.disk
        self._peers = {}
        self._rounds.clear()
        self._quorum_at = self._now  # a majority has just voted for it
        self._roster()
        self._append("noop")

    def _append(self, kind: str, **fields: Any) -> int:
        entry = Entry(self._log.last + 1, self.term, kind, **fields)
        self._log.append(entry)
        self._dirty.add("log")
        self._push = True
        return entry.index

    def _roster(self) -> None:
        """Peers are the voters and the newcomers that are there."""
        voters = self._log.voters
        present = sorted(disk for disk in self._liveness.present(self._now) if disk not in voters)
        wanted = {*voters, *present[:MOST_PEERS]} - {self.disk}
        for disk in [disk for disk in self._peers if disk not in wanted]:
            del self._peers[disk]
        for disk in sorted(wanted - set(self._peers)):
            self._peers[disk] = Peer(self._log.last + 1, self._now)

    def _lead_on(self) -> None:
        if self._now - self._quorum_at > self._timing.quorum:
            self._step_down("it hears no majority")
            return
        self._roster()
        self._change_group()
        self._advance()
        if self._now - self._pushed >= self._timing.heartbeat:
            self._push = True

    def _change_group(self) -> None:
        if not self.settled or self._log.pending("voters"):
            return
        ready = {
            disk
            for disk, peer in self._peers.items()
            if peer.match >= self._log.commit and self._now - peer.heard < LEARNER_MS
        }
        voters = next_voters(
            self._log.voters,
            self.disk,
            ready,
            self._liveness,
            self._now,
            tolerance=self._tolerance,
            silent_ms=self._timing.silent,
        )
        if voters is not None:
            log.info("consensus: the voters become %s", sorted(voters.values()))
            self._append("voters", voters=voters)
            self._roster()

    def _broadcast(self) -> None:
        self._push = False
        self._round += 1
        self._rounds.append((self._round, self._now))
        self._pushed = self._now
        for disk, peer in self._peers.items():
            self._push_to(disk, peer)
        if set(self._log.voters) == {self.disk}:
            self._confirm(self._round)  # nobody else is there to answer

    def _push_to(self, disk: str, peer: Peer) -> None:
        mine = self._log
        if peer.next <= mine.base.index:
            peer.behind, peer.next = -1, mine.base.index + 1
            peer.due = self._now + RESEND_MS + len(mine.base.encoded) / RESEND_BYTES
            self._send(disk, InstallSnapshot, snapshot=mine.base.word(), round=self._round)
            return
        prev, entries = peer.next - 1, mine.after(peer.next - 1, MOST_ENTRIES)
        if entries:
            peer.behind, peer.next = prev, peer.next + len(entries)
            peer.due = self._now + RESEND_MS + sum(len(entry.encoded) for entry in entries) / RESEND_BYTES
        self._send(
            disk,
            AppendEntries,
            prev=(prev, mine.term_at(prev)),
            commit=mine.commit,
            round=self._round,
            entries=[entry.word() for entry in entries],
        )

    def _on_append_reply(self, sender: str, message: AppendReply) -> None:
        if message.term > self.term:
            self._enter(message.term)
            return
        peer = self._peers.get(sender)
        if message.term < self.term or not self.is_leader or peer is None:
            return
        ok, match = message.ok, message.match
        if match > self._log.last or message.round > self._round:
            raise MalformedError("it answers what was never sent")
        peer.heard = self._now
        peer.round = max(peer.round, message.round)
        if ok:
            peer.match = max(peer.match, match)
            peer.next = max(peer.next, peer.match + 1)
        elif match + 1 < peer.next and (message.tried <= peer.behind or self._now >= peer.due):
            # Else a heartbeat has overtaken the content that it builds on: no reason to send that twice.
            peer.next = max(peer.match, match) + 1
            self._push_to(sender, peer)
        self._advance()
        if ok and peer.match == peer.next - 1 < self._log.last and self.is_leader:
            self._push_to(sender, peer)

    def _advance(self) -> None:
        """Commit what a majority has saved, answer whom that answers, judge the next call."""
        voters = self._log.voters
        matches = sorted(
            (
                self._durable if disk == self.disk else self._peers[disk].match
                for disk in voters
                if disk == self.disk or disk in self._peers
            ),
            reverse=True,
        )
        index = matches[majority(len(voters)) - 1]
        # An entry of an older term may still be overwritten though a majority has it.
        if self._log.term_at(index) == self.term and self._log.advance(index):
            self._push = True  # so that followers learn it now, not by the next heartbeat
            self._answer_appended()
        self._confirm(self._answered_round(voters))
        if self.disk not in voters and not self._log.pending("voters"):
            self._broadcast()
            self._step_down("it is no voter any more")
            return
        self._judge()

    def _answered_round(self, voters: Mapping[str, str]) -> int:
        """The newest round that a majority has answered."""
        rounds = sorted(
            (
                self._round if disk == self.disk else self._peers[disk].round
                for disk in voters
                if disk == self.disk or disk in self._peers
            ),
            reverse=True,
        )
        return rounds[majority(len(voters)) - 1]

    def _confirm(self, answered: int) -> None:
        """A majority has answered a round in this term: when that round was sent, this was the only leader,
        and what was committed here the newest. Answers whatever had come before."""
        while self._rounds and self._rounds[0][0] <= answered:
            self._quorum_at = max(self._quorum_at, self._rounds.popleft()[1])
        if not self.settled:
            return
        reads, verdicts = self._calls.confirmed(answered)
        self._answer_all([waiting.ticket for waiting in reads], Answer(200, "", self.current))
        for waiting in verdicts:
            if waiting.verdict is not None:
                self._answers.append((waiting.ticket, waiting.verdict))

    # Calls

    def _answer_all(self, tickets: list[str], answer: Answer) -> None:
        self._answers += [(ticket, answer) for ticket in tickets]

    def _answer_appended(self) -> None:
        waiting = self._calls.appended
        if waiting is not None and waiting.at <= self._log.commit:
            self._calls.appended = None
            self._answers.append((waiting.ticket, Answer(200, "taken")))

    def _judge(self) -> None:
        """Take the next changes, while none is open: each is judged against what is committed."""
        while self.settled and self._calls.changes and not self._log.pending("document"):
            waiting = self._calls.changes.popleft()
            answer = self._verdict(waiting.call)
            if isinstance(answer, Answer):
                # Not answered yet: a newer leader may have taken what this one doesn't know of.
                self._push = True
                if not self._calls.judged(waiting, answer, self._round + 1):
                    self._answers.append((waiting.ticket, FULL))
                continue
            waiting.at = self._append(
                "document", document=answer, identity=waiting.call.identity, encoded=encode(answer)
            )
            self._calls.appended = waiting

    def _verdict(self, call: Call) -> Answer | dict[str, Any]:
        """The new document, or the answer that refuses or repeats."""
        if call.base != self.version:
            repeat = self._log.state.history.judge(call.base, call.identity, self.version)
            if repeat is Repeat.TAKEN:
                return Answer(200, "taken")
            if repeat is Repeat.UNKNOWN:
                return UNKNOWN
            return Answer(412, f"version {self.version} is current")
        try:
            document = self._apply(self.current, call)
        except RefusedError as error:
            return Answer(error.status, error.text, problems=error.problems)
        if not _version(document) > self.version:
            return Answer(400, "the version isn't above the current one")
        return document

    # Founding

    def _enough(self, listed: dict[str, str]) -> bool:
        """One may be missing from 2 x tolerance + 1: a majority is still more than ``tolerance`` disks, and
        two such groups out of 2 x tolerance + 2 machines (where tolerance is 2 or more) share a disk, so
        that at most one comes about."""
        return len(listed) >= max(1, 2 * self._tolerance)

    def _accept(self, group_id: str, listed: dict[str, str], proposer: str) -> None:
        self._hard_state = HardState(group_id, proposer=proposer, listed=listed)
        self._log = Log.founded(group_id, listed)
        self._durable = -1
        self._accepted, self._apart = {self.disk}, set()
        self._asked = float("-inf")
        self._outbox.clear()
        self._dirty |= {"ballot", "log"}

    def _propose(self) -> None:
        ballot = self._hard_state
        if ballot.bound or ballot.proposer != self.disk or self._now - self._asked < FOUND_MS:
            return
        self._asked = self._now
        self._accepted.add(self.disk)
        for disk in ballot.listed:
            if disk not in self._accepted:
                self._send(disk, Founding, listed=ballot.listed)

    def _on_founding(self, sender: str, message: Founding) -> None:
        group_id, listed = message.group_id, message.listed
        may = self._enough(listed) and self._hard_state.may_accept(self.disk, group_id, listed)
        if group_id and group_id != self._hard_state.group_id and may:
            self._accept(group_id, listed, sender)
        if self._hard_state.group_id:
            self._send_founding_reply(sender)

    def _send_founding_reply(self, receiver: str) -> None:
        ballot = self._hard_state
        self._send(
            receiver,
            FoundingReply,
            listed=ballot.listed,
            proposer=ballot.proposer,
            bound=ballot.bound,
            led=self._log.last > 0,
        )

    def _on_founding_reply(self, sender: str, message: FoundingReply) -> None:
        group_id, listed = message.group_id, message.listed
        ballot = self._hard_state
        if message.led and group_id != ballot.group_id and sender in ballot.listed:
            self._apart.add(sender)
            if ballot.bound and len(ballot.listed) - len(self._apart) < majority(len(ballot.listed)):
                # So many are another group's for good that ours, in which we have voted, never gets a leader.
                ballot.bound, ballot.proposer = False, ""
                self._dirty.add("ballot")
        if ballot.bound or ballot.proposer != self.disk or sender not in ballot.listed:
            return
        if group_id == ballot.group_id:
            self._accepted.add(sender)
            if self._accepted >= set(ballot.listed) and self._role == "follower":
                self._start_pre_vote()
        elif message.bound:
            # There is a group: this founding is over, its leader will take us in.
            ballot.proposer = ""
            self._dirty.add("ballot")
        elif ballot.may_accept(self.disk, group_id, listed):
            self._accept(group_id, listed, message.proposer)


def _version(document: dict[str, Any] | None) -> int:
    version = document.get("version") if document else 0
    return version if type(version) is int else 0


def _load(stored: dict[str, bytes]) -> tuple[HardState, Log]:
    """What the saves left. The two keys may be of different saves if the last one didn't end; nothing had
    been sent then, and the ballot tells which group counts."""
    if "ballot" not in stored:
        return HardState(), Log()
    ballot = HardState.read(decode(stored["ballot"]))
    kept = Log.read(stored["log"]) if "log" in stored else Log()
    if kept.group_id != ballot.group_id:
        kept = Log(ballot.group_id) if ballot.bound else Log.founded(ballot.group_id, ballot.listed)
    if kept.end[0] > ballot.term:
        ballot.term, ballot.vote = kept.end[0], ""
    return ballot, kept
