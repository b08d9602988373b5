"""Log replication: what a leader sends, how a follower handles it, and when entries are committed."""

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

# Entries or a snapshot without an acknowledgement count as lost this many ms after sending, plus 1 ms per
# RESEND_BYTES_PER_MS bytes of their size. Until then a shorter message may only have overtaken them.
RESEND_MS = 300.0
RESEND_BYTES_PER_MS = 4000
# Maximum number of learners that the leader replicates to at the same time.
MAX_LEARNERS = 16


class Replication(ReplicaState):
    """Sends the leader's log to its peers and handles it at the followers."""

    def _accept_leader(self, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Handles the group and the term of a leader's message; returns whether to process the rest of it.

        If so, the sender is now this replica's leader, the disk is bound to its group, and the election
        timeout restarts. A disk that isn't bound yet adopts the leader's group; any other message of another
        group is ignored. A message of an older term is answered with the current term, so that its sender
        steps down.

        Raises MalformedError if this replica leads in the same term, which can have only one leader.
        """
        group_id, term = message.group_id, message.term
        if group_id != self._hard_state.group_id:
            if self._hard_state.bound or not group_id:
                return False
            # Unsent messages belong to a founding that this disk now gives up.
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
            raise MalformedError("the sender claims to lead in the term in which this replica leads")
        self._role, self.leader = "follower", sender
        self._leader_contact_at, self._election_deadline = self._now, self._random_election_deadline()
        return True

    def _on_append_entries(self, sender: str, message: AppendEntries) -> None:
        prev, prev_term = message.prev
        entries = [Entry.from_message(entry) for entry in message.entries]
        if [entry.index for entry in entries] != list(range(prev + 1, prev + 1 + len(entries))):
            raise MalformedError("the indexes of the entries are not consecutive")
        if not self._accept_leader(sender, message):
            return
        own_log = self._log
        # Below the base of the log, all entries are committed and so match the leader's.
        if prev > own_log.last_index or (prev >= own_log.base.index and own_log.term_at(prev) != prev_term):
            match = min(own_log.last_index, prev - 1)
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
        if own_log.merge(prev, entries):
            # Of what was saved, only the entries up to ``prev`` and the committed ones are surely unchanged.
            self._durable_index = min(self._durable_index, max(prev, own_log.commit_index))
            self._dirty.add("log")
        match = prev + len(entries)
        own_log.advance(min(message.commit, match))
        if message.commit <= match and own_log.term_at(message.commit) == message.term:
            # All that the leader knew to be committed is committed here too. Until a new leader has committed
            # an entry of its own term, its commit index may be behind that of earlier leaders.
            self._record_up_to_date(message.seen)
        self._send(
            sender, AppendReply, ok=True, match=match, tried=prev, round=message.round, stamp=self._stamp()
        )

    def _record_up_to_date(self, seen: Stamp) -> None:
        """Records that the committed state here is at least as new as the leader's at the time in ``seen``.

        ``seen`` is a stamp of this replica that the leader had received before it sent its message. The
        stamp's time is therefore a lower bound, on this replica's clock, of when the message was sent; the
        time of arrival is not, since the message may have been delayed. A stamp of an earlier incarnation is
        ignored: the message may have been sent before this replica was restarted.
        """
        if seen[0] == self._incarnation:
            self._confirmed, self._up_to_date_at = True, max(self._up_to_date_at, seen[1])

    def _on_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        snapshot = Snapshot.from_message(message.snapshot)
        if not self._accept_leader(sender, message):
            return
        if self._log.install(snapshot):
            # The snapshot, and any entries retained after it, are not durable before the next save.
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
        log.info("consensus: disk %s became the leader in term %d", self.disk, self.term)
        self._role, self.leader = "leader", self.disk
        self._peers = {}
        self._round_times.clear()
        self._quorum_contact_at = self._now  # a majority has just voted for this replica
        self._update_peers()
        self._append("noop")

    def _append(self, kind: str, **fields: Any) -> int:
        entry = Entry(self._log.last_index + 1, self.term, kind, **fields)
        self._log.append(entry)
        self._dirty.add("log")
        self._broadcast_due = True
        return entry.index

    def _update_peers(self) -> None:
        """Makes all other voters, and up to ``MAX_LEARNERS`` present learners, the peers of this leader."""
        voters = self._log.voters
        learners = sorted(disk for disk in self._liveness.present(self._now) if disk not in voters)
        peer_disks = {*voters, *learners[:MAX_LEARNERS]} - {self.disk}
        for disk in [disk for disk in self._peers if disk not in peer_disks]:
            del self._peers[disk]
        for disk in sorted(peer_disks - set(self._peers)):
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
        """Starts a new round: sends each peer the entries or the snapshot that it lacks, or a heartbeat."""
        self._broadcast_due = False
        self._round += 1
        self._round_times.append((self._round, self._now))
        self._broadcast_at = self._now
        for disk, peer in self._peers.items():
            self._replicate_to(disk, peer)
        if set(self._log.voters) == {self.disk}:
            self._confirm_round(self._round)  # there is no other voter to answer

    def _replicate_to(self, disk: str, peer: Peer) -> None:
        """Sends a peer the next entries, a snapshot if the log no longer holds them, or a heartbeat.

        ``next_index`` advances without waiting for the reply, so that what is in flight isn't sent twice.
        """
        own_log = self._log
        if peer.next_index <= own_log.base.index:
            peer.sent_after, peer.next_index = -1, own_log.base.index + 1
            peer.deadline = self._now + RESEND_MS + len(own_log.base.encoded) / RESEND_BYTES_PER_MS
            self._send(disk, InstallSnapshot, snapshot=own_log.base.to_message(), round=self._round)
            return
        prev, entries = peer.next_index - 1, own_log.entries_after(peer.next_index - 1, MAX_ENTRIES)
        if entries:
            peer.sent_after, peer.next_index = prev, peer.next_index + len(entries)
            peer.deadline = (
                self._now + RESEND_MS + sum(len(entry.encoded) for entry in entries) / RESEND_BYTES_PER_MS
            )
        self._send(
            disk,
            AppendEntries,
            prev=(prev, own_log.term_at(prev)),
            commit=own_log.commit_index,
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
            raise MalformedError("it answers a message that was never sent")
        peer.replied_at, peer.stamp = self._now, message.stamp
        peer.acked_round = max(peer.acked_round, message.round)
        if ok:
            peer.match_index = max(peer.match_index, match)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        elif match + 1 < peer.next_index and (message.tried <= peer.sent_after or self._now >= peer.deadline):
            # The peer's log doesn't match at ``tried``. At or before ``sent_after``, this means that the peer
            # can't append the entries in flight. After it, the refused message follows these entries and may
            # have overtaken them, as a heartbeat does; they are sent again only once they count as lost.
            peer.next_index = max(peer.match_index, match) + 1
            self._replicate_to(sender, peer)
        self._advance_commit()
        # Nothing is in flight to this peer, and it lacks entries.
        if ok and peer.match_index == peer.next_index - 1 < self._log.last_index and self.is_leader:
            self._replicate_to(sender, peer)

    def _advance_commit(self) -> None:
        """Commits what a quorum has saved, answers the calls that waited for it, processes the next changes.

        This leader counts itself up to ``_durable_index``, because its own log may hold entries that are not
        saved yet. It steps down after it has committed an entry that removes it from the voters.
        """
        voters = self._log.voters
        # The quorum is a majority of all voters. One that is not a peer has acknowledged nothing; leaving it
        # out of the list is the same as putting it last, and doesn't lower the quorum.
        matches = sorted(
            (
                self._durable_index if disk == self.disk else self._peers[disk].match_index
                for disk in voters
                if disk == self.disk or disk in self._peers
            ),
            reverse=True,
        )
        index = matches[majority(len(voters)) - 1]
        # An entry of an older term may still be overwritten although a majority has saved it. It is committed
        # together with the first entry of this term.
        if self._log.term_at(index) == self.term and self._log.advance(index):
            self._broadcast_due = True  # followers learn the commit index now, not with the next heartbeat
            self._answer_committed()
        self._confirm_round(self._answered_round(voters))
        if self.disk not in voters and not self._log.has_uncommitted("voters"):
            self._broadcast()
            self._step_down("it is no voter any more")
            return
        self._process_changes()

    def _answered_round(self, voters: Mapping[str, str]) -> int:
        """Returns the newest round that a majority of ``voters`` has answered.

        This leader counts as having answered all its rounds; a voter that is not a peer has answered none.
        """
        rounds = sorted(
            (
                self._round if disk == self.disk else self._peers[disk].acked_round
                for disk in voters
                if disk == self.disk or disk in self._peers
            ),
            reverse=True,
        )
        return rounds[majority(len(voters)) - 1]
