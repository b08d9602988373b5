"""A core machine's part of the process: the home, the replica and its disk, tied to the loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from larklb.consensus.errors import RefusedError
from larklb.consensus.replica import Replica
from larklb.consensus.words import Answer, Call, Ready
from larklb.gateway.settings import Settings
from larklb.gateway.transport import Transport
from larklb.membership.members import Member
from larklb.registry.replica import RegistryReplica
from larklb.schema import configuration as schema
from larklb.schema.errors import InvalidError, SchemaError
from larklb.storage.errors import StorageError
from larklb.storage.store import Store

log = logging.getLogger("core")

CORES_MS = 1_500.0         # a core machine heard of within this is there, for the group of voters
ALONE_MS = 1_000.0         # with no word of a majority for so long, this one is cut off, and no home
FOUND_QUIET_MS = 1_200.0   # the same core machines seen for so long, before a group is founded
FOUND_ALONE_MS = 6_000.0   # ... and where fewer are there than the tolerance asks for
MOST_WORDS = 256           # disks whose last word is remembered
RETRY_MS = 200.0           # after a save failed, until the next look at the disk


def apply(document: dict[str, Any] | None, call: Call) -> dict[str, Any]:
    """The document that a change makes of another; RefusedError where it is invalid."""
    try:
        if call.kind == "replace":
            changed = call.body
        elif document is None:
            raise RefusedError(400, "there is no configuration that could be amended")
        else:
            changed = schema.amend(document, call.body)
        schema.check(changed, int(document["version"]) if document is not None else 0)
    except SchemaError as error:
        problems = error.problems if isinstance(error, InvalidError) else ()
        raise RefusedError(400, str(error), problems) from error
    return changed


class Core:
    """The home and the replica of one life of a core machine."""

    def __init__(self, settings: Settings, store: Store, me: Member, stored: dict[str, bytes] | None,
                 now: float, seed: int, transport: Transport) -> None:
        """``me`` has the disk's id, ``stored`` is what its saves left."""
        self.settings, self.store, self.disk, self.transport = settings, store, me.disk, transport
        self.home = RegistryReplica(me, settings.period, now)
        self.replica = Replica(me.disk, settings.node, stored, now, seed, tolerance=settings.tolerance,
                               apply=apply)
        self.pool = ThreadPoolExecutor(1, "disk")
        self.born = now
        self.words: dict[str, float] = {}        # of the other core machines, by disk: the last one
        self.seen: tuple[frozenset[str], float] = (frozenset(), now)
        self.saving: asyncio.Future[None] | None = None
        self.waiting: dict[str, Callable[[Answer], object]] = {}
        self.tickets = 0
        self.offer: list[Any] = [0, ""]
        self.told_version = 0

    # Operators' calls ---------------------------------------------------------------------

    def call(self, now: float, kind: str, base: int, body: str, done: Callable[[Answer], object]) -> None:
        """An operator's call at the leader; ``done`` is told what became of it, once."""
        try:
            document = schema.parse(body.encode()) if kind != "read" else {}
        except SchemaError as error:
            done(Answer(400, str(error), None))
            return
        identity = schema.digest({"kind": kind, "base": base, "body": document})
        self.tickets += 1
        ticket = str(self.tickets)
        self.waiting[ticket] = done
        self.replica.call(now, ticket, Call(kind, base, document, identity))
        self.work()

    # The loop's turn ----------------------------------------------------------------------

    def tick(self, now: float, me: Member) -> None:
        """Called every 50 ms."""
        cores = {**self.home.members.cores(now, CORES_MS), self.disk: self.settings.node}
        self._found(now, cores)
        self.replica.tick(now, cores)
        self.work()
        epoch = self.replica.term if self.replica.is_leader else None
        self.home.tick(now, me, self.replica.voters, epoch, self.offer)
        # Cut off from the others it would tell its subscribers nothing new: they are to go elsewhere.
        self.home.hush(self._alone(now))

    def _alone(self, now: float) -> bool:
        voters = self.replica.voters if self.replica.founded else {}
        heard = sum(d == self.disk or now - self.words.get(d, self.born) <= ALONE_MS for d in voters)
        return bool(voters) and heard * 2 <= len(voters)

    def word(self, now: float, node: str) -> None:
        """Any word of another core machine came."""
        if (known := self.home.members.of.get(node)) is not None and known.member.disk:
            self.words[known.member.disk] = now
            if len(self.words) > MOST_WORDS:
                del self.words[min(self.words, key=lambda disk: self.words[disk])]

    def _found(self, now: float, cores: Mapping[str, str]) -> None:
        if self.replica.founded or not self.settings.bootstrap:
            return
        there = frozenset(cores)
        if there != self.seen[0]:
            self.seen = (there, now)
        enough = len(there) >= 2 * self.settings.tolerance + 1 or now - self.born > FOUND_ALONE_MS
        first = min(cores, key=lambda disk: (cores[disk], disk))
        if enough and first == self.disk and now - self.seen[1] >= FOUND_QUIET_MS:
            self.seen = (there, now)
            log.info("core: founds a group of %d.", len(there))
            self.replica.found(now, dict(cores))

    def step(self, now: float, sender: str, message: dict[str, Any]) -> None:
        """A word of another replica."""
        self.replica.step(now, sender, message)
        self.work()

    def work(self) -> None:
        """Carries out what the replica wants done, as far as the disk lets it."""
        while (ready := self.replica.ready()) is not None:       # during a save: answers alone
            if ready.save is None:
                self._send(ready)
                continue
            self.saving = asyncio.ensure_future(self._save(ready))
        self._note_version()

    async def _save(self, ready: Ready) -> None:
        ok = True
        try:
            await asyncio.get_running_loop().run_in_executor(self.pool, self.store.save, ready.save or {})
        except StorageError as error:
            log.warning("core: the disk refused a write: %s.", error)
            ok = False
        except Exception:
            log.exception("core: a save failed.")
            ok = False
        finally:
            self.saving = None
        self.replica.saved(ok)
        if ok:
            self._send(ready)
            self.work()
        else:
            asyncio.get_running_loop().call_later(RETRY_MS / 1000.0, self.work)

    def _send(self, ready: Ready) -> None:
        for receiver, message in ready.messages:
            if (ip := self._ip(receiver)) is not None:
                self.transport.post(ip, {"k": "raft", "d": self.disk, "m": message})
        for ticket, answer in ready.answers:
            if (done := self.waiting.pop(ticket, None)) is not None:
                done(answer)

    def _ip(self, disk: str) -> str | None:
        for heard in self.home.members.of.values():
            if heard.member.disk == disk:
                return heard.member.ip
        return None

    def leader_ip(self) -> str | None:
        """Where the leader is; None where there is none, or it is this one."""
        leader = self.replica.leader
        return self._ip(leader) if leader is not None and leader != self.disk else None

    def _note_version(self) -> None:
        document, version = self.replica.current, self.replica.version
        if document is not None and version != self.told_version:
            self.told_version = version
            self.offer = [version, schema.digest(document)]
            self.home.push(self.now(), self.offer, at_once=True)
            self.flush()

    def now(self) -> float:
        """The loop's clock in ms."""
        return asyncio.get_running_loop().time() * 1000.0

    def flush(self) -> None:
        """Sends what the home has to say."""
        out, self.home.out = self.home.out, []
        for ip, word in out:
            self.transport.post(ip, word)

    def close(self) -> None:
        """No more writes; one that hangs is left to itself."""
        self.pool.shutdown(wait=False, cancel_futures=True)
