"""One limiter in two processes, the second of which takes the first one's place while both run.

``net/handover.py`` defines the protocol between them and ``handover_state.py`` the state that is transferred.
This module runs the steps on both sides.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from dataclasses import replace
from pathlib import Path

from larklb.core import Core
from larklb.handover_state import HandoverState, NodeAddress, pack, restore, retired_settings
from larklb.net.execute import ExecuteNodes
from larklb.net.front import Front
from larklb.net.handover import (
    DONE,
    GIVE,
    LINK,
    NO,
    TAKEN,
    Channel,
    HandoverError,
    HandoverListener,
    HandoverPayload,
    send_state,
)
from larklb.net.http import Link
from larklb.net.machines import Machine, Machines
from larklb.net.peers import Peers
from larklb.phase import Phase, State

log = logging.getLogger(__name__)

QUIET = 300.0              # ms in which the owners' words on jobs under way come, before the state goes over
LOOK = 5.0


class Takeover:
    """The part of one process in it: first perhaps the new one, later perhaps the old one."""

    def __init__(self, core: Core, phase: Phase, machines: Machines, nodes: ExecuteNodes,
                 front: Front) -> None:
        self.core, self.phase, self.machines, self.nodes, self.front = core, phase, machines, nodes, front
        self.wheel = core.wheel
        self.peers: Peers | None = None
        self.door: HandoverListener | None = None
        self.before: Channel | None = None       # to the process that had our place
        self.after: Channel | None = None        # to the one that has it now, or is about to
        self.kept: tuple[socket.socket, socket.socket | None] | None = None
        self.work: set[asyncio.Task[None]] = set()

    def _do(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)   # type: ignore[arg-type]
        self.work.add(task)
        task.add_done_callback(self.work.discard)

    # The new process ----------------------------------------------------------------------

    def install(self, handed: HandoverState) -> None:
        """The old process's state, before anything else has happened here."""
        restore(self.core.gateway, handed, self.wheel.now())
        self.machines.restore({name: Machine((p.host, p.port), p.closed_at)
                               for name, p in handed.places.items()},
                              handed.offset, handed.generation, handed.discovery)

    async def taken(self, channel: Channel) -> None:
        """The old process lets go; it is told so before anybody hears a yes from this one."""
        try:
            await channel.send_all(TAKEN, b"")
            answer, fds = await channel.receive()
            if answer != DONE or fds:
                raise HandoverError("it does not let go")
        except HandoverError as error:
            log.warning("the process that had our place: %s", error)       # it has ended, or will: we serve

    def serves(self, channel: Channel, handed: HandoverState) -> None:
        """This process serves from now on; the old one sends its connections as they rest."""
        if handed.draining:
            self.phase.move("drain", self.wheel.now())
        self.nodes.share_descriptors(True)
        self.before = channel
        channel.listen(self._arrived, self._alone_here)
        log.info("took the place of another process, with %d buckets", len(handed.buckets))

    def _arrived(self, packet: bytes, fds: list[int]) -> None:
        for fd in fds:
            if packet[:1] == LINK:
                self.core.counters.add("taken_over")
                self._do(self._adopt(socket.socket(fileno=fd), packet[1:] == b"new"))
            else:
                os.close(fd)

    async def _adopt(self, sock: socket.socket, new: bool) -> None:
        try:
            await self.front.adopt(sock, new)
        except OSError:
            sock.close()

    def _alone_here(self) -> None:
        self.before = None
        self.nodes.share_descriptors(False)

    # The old process ----------------------------------------------------------------------

    def open_door(self, path: Path | None) -> None:
        """From now on another process may take our place."""
        if path is None:
            return
        door = HandoverListener(path, self.wheel, self._met)
        try:
            door.open()
        except OSError as error:
            log.warning("no other process can take our place: %s", error)
            return
        self.door = door

    def _met(self, channel: Channel) -> None:
        def said(packet: bytes, fds: list[int]) -> None:
            for fd in fds:
                os.close(fd)
            if packet != GIVE or self.after is not None or self.phase.state is State.STOPPING:
                channel.send(NO, b"another process is taking over, or this one stops")
                channel.close()
                return
            self.after = channel
            asyncio.get_running_loop().remove_reader(channel.sock.fileno())
            self._do(self._give(channel))

        channel.listen(said, bool)

    async def _give(self, channel: Channel) -> None:
        listening, between = self.front.pause_accepting(), None
        began = self.wheel.now()
        try:
            until = self.wheel.now() + QUIET
            while self.wheel.now() < until and any(
                    h.pending_ask is not None and not h.ended for h in self.core.gateway.pending.values()):
                await self.wheel.sleep(LOOK)
            between = self.peers.release() if self.peers is not None else None
            await send_state(channel, HandoverPayload(self._state(), listening, between))
        except Exception as error:
            # Whatever it was: nobody may be left waiting at sockets that nobody reads.
            level = logging.WARNING if isinstance(error, HandoverError) else logging.ERROR
            log.log(level, "the other process did not take our place: %s: %s", type(error).__name__, error)
            self.core.counters.add("errors.succession")
            channel.close()
            self.after = None
            await self._go_on(listening, between)
            return
        self.kept = listening, between
        self._retire()
        self.nodes.retire(True)
        channel.send(DONE)
        channel.listen(lambda packet, fds: None, self._left_alone)
        self.front.start_handover(self._pass_on)
        log.info("another process has our place after a rest of %.0f ms, %d jobs are under way here",
                 self.wheel.now() - began, len(self.core.jobs))

    def _state(self) -> bytes:
        machines = self.machines
        return pack(self.core.gateway, draining=self.phase.state is State.DRAINING,
                    generation=machines.generation, discovery=machines.discovery, offset=machines.offset,
                    places={n: NodeAddress(*m.place, m.closed_at) for n, m in machines.by_id.items()})

    def _retire(self) -> None:
        gateway = self.core.gateway
        gateway.settings = replace(gateway.settings, **retired_settings(gateway.settings))

    def renewed(self) -> None:
        """Other settings have been taken: a process that has handed over stays one."""
        if self.kept is not None:
            self._retire()

    def _pass_on(self, link: Link) -> bool:
        sock = link.writer.get_extra_info("socket")
        return self.after is not None and self.after.send(LINK, b"new" if link.new else b"", (sock.fileno(),))

    def _left_alone(self) -> None:
        """The process that had taken our place has gone."""
        kept, self.kept, self.after = self.kept, None, None
        if kept is None or self.phase.state is State.STOPPING:
            self.front.transfer_connection = None
            return
        log.error("the process that had taken our place has gone: we serve again")
        self.core.counters.add("errors.succession")
        self.core.gateway.settings = self.core.settings
        self.nodes.retire(False)
        self._do(self._go_on(*kept))

    async def _go_on(self, listening: socket.socket, between: socket.socket | None) -> None:
        if self.peers is not None and between is not None:
            await self.peers.open(between)
        await self.front.resume_accepting(listening)

    def close(self) -> None:
        if self.door is not None:
            self.door.close()
        for channel in (self.before, self.after):
            if channel is not None:
                channel.close()
