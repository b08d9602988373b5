"""Replication of the log: what a leader sends, how a follower takes it, and when it is committed."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

from larklb.consensus.errors import MalformedError
from larklb.consensus.founding import HardState
from larklb.consensus.group import majority
from larklb.consensus.log import Entry, Log, Snapshot
from larklb.consensus.messages import MAX_ENTRIES, AppendEntries, AppendReply, InstallSnapshot, Stamp
from larklb.consensus.state import Peer, ReplicaState

log = logging.getLogger(__name__)

RESEND_MS = 300.0  # in which content may be on its way though a shorter message overtook it, ...
RESEND_BYTES_PER_MS = 4000  # ... and a ms more for so many bytes
MAX_LEARNERS = 16  # newcomers that are kept up at the same time


class Replication(ReplicaState):
    """A leader's messages to the others, and what they make of it."""

    def _accept_leader(self, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether this is a message of the present leader; its term and group are taken up."""
        group_id, term = message.group_id, message.term
        if group_id != self._hard_state.group_id:
            if self._hard_state.bound or not group_id:
                return False
            self._outbox.clear()
            self._hard_state = HardState(group_id)
            self._log = Log(group_id)
            self._durable_index = -1
            self._dirty |= {"ballot", "log"}
        if term < self.term:
            self._send(sender, AppendReply, ok=False, match=-1, tried=-1, round=0, stamp=self._stamp())
            return False
        if term > self.term:
            self._enter_term(term)
        if not self._hard_state.bound:
            self._hard_state.bound = True
            self._dirty.add("ballot")
        if self.is_leader:
            raise MalformedError("another leads in our term")
        self._role, self.leader = "follower", sender
        self._leader_contact_at, self._election_deadline = self._now, self._random_election_deadline()
        return True

    def _on_append_entries(self, sender: str, message: AppendEntries) -> None:
        prev, prev_term = message.prev
        entries = [Entry.from_message(entry) for entry in message.entries]
        if [entry.index for entry in entries] != list(range(prev + 1, prev + 1 + len(entries))):
            raise MalformedError("entries don't follow each other")
        if not self._accept_leader(sender, message):
            return
        mine = self._log
        if prev > mine.last_index or (prev >= mine.base.index and mine.term_at(prev) != prev_term):
            match = min(mine.last_index, prev - 1)
            self._send(
                sender,
                AppendReply,
                ok=False,
                match=match,
                tried=prev,
                round=message.round,
                stamp=self._stamp(),
            )
            return
        if mine.merge(prev, entries):
            self._durable_index = min(self._durable_index, max(prev, mine.commit_index))
            self._dirty.add("log")
        match = prev + len(entries)
        mine.advance(min(message.commit, match))
        if message.commit <= match and mine.term_at(message.commit) == message.term:
            # A new leader may know less of what is committed than its log holds, until one entry is its own.
            self._record_freshness(message.seen)
        self._send(
            sender, AppendReply, ok=True, match=match, tried=prev, round=message.round, stamp=self._stamp()
        )

    def _record_freshness(self, seen: Stamp) -> None:
        """What is committed here is as new as the leader's at the time of the stamp. A message that came
        late, or to the next life of this replica, proves nothing of the present."""
        if seen[0] == self._incarnation:
            self._confirmed, self._up_to_date_at = True, max(self._up_to_date_at, seen[1])

    def _on_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        snapshot = Snapshot.from_message(message.snapshot)
        if not self._accept_leader(sender, message):
            return
        if self._log.install(snapshot):
            self._durable_index = min(self._durable_index, snapshot.index - 1)
            self._dirty.add("log")
        self._send(
            sender,
            AppendReply,
            ok=True,
            match=snapshot.index,
            tried=-1,
            round=message.round,
            stamp=self._stamp(),
        )

    def _become_leader(self) -> None:
        log.info("consensus: %s leads in term %d", self.disk, self.term)
        self._role, self.leader = "leader", self.disk
        self._peers = {}
        self._round_times.clear()
        self._quorum_contact_at = self._now  # a majority has just voted for it
        self._update_peers()
        self._append("noop")

    def _append(self, kind: str, **fields: Any) -> int:
        entry = Entry(self._log.last_index + 1, self.term, kind, **fields)
        self._log.append(entry)
        self._dirty.add("log")
        self._broadcast_due = True
        return entry.index

    def _update_peers(self) -> None:
        """Peers are the voters and the newcomers that are there."""
        voters = self._log.voters
        present = sorted(disk for disk in self._liveness.present(self._now) if disk not in voters)
        wanted = {*voters, *present[:MAX_LEARNERS]} - {self.disk}
        for disk in [disk for disk in self._peers if disk not in wanted]:
            del self._peers[disk]
        for disk in sorted(wanted - set(self._peers)):
            self._peers[disk] = Peer(self._log.last_index + 1, self._now)

    def _leader_tick(self) -> None:
        if self._now - self._quorum_contact_at > self._timing.quorum_timeout:
            self._step_down("it hears no majority")
            return
        self._update_peers()
        self._change_voters()
        self._advance_commit()
        if self._now - self._broadcast_at >= self._timing.heartbeat_interval:
            self._broadcast_due = True

    def _broadcast(self) -> None:
        self._broadcast_due = False
        self._round += 1
        self._round_times.append((self._round, self._now))
        self._broadcast_at = self._now
        for disk, peer in self._peers.items():
            self._replicate_to(disk, peer)
        if set(self._log.voters) == {self.disk}:
            self._confirm_round(self._round)  # nobody else is there to answer

    def _replicate_to(self, disk: str, peer: Peer) -> None:
        mine = self._log
        if peer.next_index <= mine.base.index:
            peer.sent_after, peer.next_index = -1, mine.base.index + 1
            peer.deadline = self._now + RESEND_MS + len(mine.base.encoded) / RESEND_BYTES_PER_MS
            self._send(disk, InstallSnapshot, snapshot=mine.base.to_message(), round=self._round)
            return
        prev, entries = peer.next_index - 1, mine.entries_after(peer.next_index - 1, MAX_ENTRIES)
        if entries:
            peer.sent_after, peer.next_index = prev, peer.next_index + len(entries)
            peer.deadline = (
                self._now + RESEND_MS + sum(len(entry.encoded) for entry in entries) / RESEND_BYTES_PER_MS
            )
        self._send(
            disk,
            AppendEntries,
            prev=(prev, mine.term_at(prev)),
            commit=mine.commit_index,
            round=self._round,
            entries=[entry.to_message() for entry in entries],
            seen=peer.stamp,
        )

    def _on_append_reply(self, sender: str, message: AppendReply) -> None:
        if message.term > self.term:
            self._enter_term(message.term)
            return
        peer = self._peers.get(sender)
        if message.term < self.term or not self.is_leader or peer is None:
            return
        ok, match = message.ok, message.match
        if match > self._log.last_index or message.round > self._round:
            raise MalformedError("it answers what was never sent")
        peer.replied_at, peer.stamp = self._now, message.stamp
        peer.acked_round = max(peer.acked_round, message.round)
        if ok:
            peer.match_index = max(peer.match_index, match)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        elif match + 1 < peer.next_index and (message.tried <= peer.sent_after or self._now >= peer.deadline):
            # Else a heartbeat has overtaken the content that it builds on: no reason to send that twice.
            peer.next_index = max(peer.match_index, match) + 1
            self._replicate_to(sender, peer)
        self._advance_commit()
        if ok and peer.match_index == peer.next_index - 1 < self._log.last_index and self.is_leader:
            self._replicate_to(sender, peer)

    def _advance_commit(self) -> None:
        """Commit what a majority has saved, answer whom that answers, judge the next call."""
        voters = self._log.voters
        matches = sorted(
            (
                self._durable_index if disk == self.disk else self._peers[disk].match_index
                for disk in voters
                if disk == self.disk or disk in self._peers
            ),
            reverse=True,
        )
        index = matches[majority(len(voters)) - 1]
        # An entry of an older term may still be overwritten though a majority has it.
        if self._log.term_at(index) == self.term and self._log.advance(index):
            self._broadcast_due = True  # so that followers learn it now, not by the next heartbeat
            self._answer_committed()
        self._confirm_round(self._answered_round(voters))
        if self.disk not in voters and not self._log.has_uncommitted("voters"):
            self._broadcast()
            self._step_down("it is no voter any more")
            return
        self._process_changes()

    def _answered_round(self, voters: Mapping[str, str]) -> int:
        """The newest round that a majority has answered."""
        rounds = sorted(
            (
                self._round if disk == self.disk else self._peers[disk].acked_round
                for disk in voters
                if disk == self.disk or disk in self._peers
            ),
            reverse=True,
        )
        return rounds[majority(len(voters)) - 1]
