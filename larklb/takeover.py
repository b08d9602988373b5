"""Replaces the running process of a limiter by a new one without interrupting its service.

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

# Time in ms for the owners to answer pending requests for units before the state is transferred.
PENDING_ANSWERS_TIMEOUT = 300.0
# Interval in ms at which pending requests are checked.
PENDING_CHECK_INTERVAL = 5.0


class Takeover:
    """The takeovers of one process: at its start from a predecessor, later by a successor."""

    def __init__(self, core: Core, phase: Phase, machines: Machines, nodes: ExecuteNodes,
                 front: Front) -> None:
        self.core, self.phase, self.machines, self.nodes, self.front = core, phase, machines, nodes, front
        self.wheel = core.wheel
        self.peers: Peers | None = None
        self.door: HandoverListener | None = None
        # To the process that this one replaced.
        self.predecessor: Channel | None = None
        # To the process that has replaced this one or is about to.
        self.successor: Channel | None = None
        # The listening sockets (clients, peers) of a process that has handed over.
        self.handed_over_sockets: tuple[socket.socket, socket.socket | None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def _start_task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)   # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # The new process ----------------------------------------------------------------------

    def install(self, state: HandoverState) -> None:
        """Restores the old process's state; called before any other event is handled."""
        restore(self.core.gateway, state, self.wheel.now())
        self.machines.restore({name: Machine((p.host, p.port), p.closed_at)
                               for name, p in state.node_addresses.items()},
                              state.offset, state.generation, state.discovery)

    async def confirm(self, channel: Channel) -> None:
        """Confirms the takeover to the old process, before this one reports itself ready."""
        try:
            await channel.send_all(TAKEN, b"")
            answer, fds = await channel.receive()
            if answer != DONE or fds:
                raise HandoverError("it did not confirm that it stopped serving")
        except HandoverError as error:
            # The old process has ended or will end; this one serves in any case.
            log.warning("takeover from the previous process: %s", error)

    def begin_serving(self, channel: Channel, state: HandoverState) -> None:
        """Marks this process as serving; the old one passes on its connections as they become idle."""
        if state.draining:
            self.phase.move("drain", self.wheel.now())
        self.nodes.share_descriptors(True)
        self.predecessor = channel
        channel.listen(self._receive_connections, self._predecessor_ended)
        log.info("took the place of another process, with %d buckets", len(state.buckets))

    def _receive_connections(self, packet: bytes, fds: list[int]) -> None:
        for fd in fds:
            if packet[:1] == LINK:
                self.core.counters.add("taken_over")
                self._start_task(self._adopt(socket.socket(fileno=fd), packet[1:] == b"new"))
            else:
                os.close(fd)

    async def _adopt(self, sock: socket.socket, new: bool) -> None:
        try:
            await self.front.adopt(sock, new)
        except OSError:
            sock.close()

    def _predecessor_ended(self) -> None:
        self.predecessor = None
        self.nodes.share_descriptors(False)

    # The old process ----------------------------------------------------------------------

    def open_door(self, path: Path | None) -> None:
        """Lets another process take over from now on, unless ``path`` is None."""
        if path is None:
            return
        door = HandoverListener(path, self.wheel, self._connected)
        try:
            door.open()
        except OSError as error:
            log.warning("no other process can take our place: %s", error)
            return
        self.door = door

    def _connected(self, channel: Channel) -> None:
        def receive(packet: bytes, fds: list[int]) -> None:
            for fd in fds:
                os.close(fd)
            if packet != GIVE or self.successor is not None or self.phase.state is State.STOPPING:
                channel.send(NO, b"another process is taking over, or this one stops")
                channel.close()
                return
            self.successor = channel
            asyncio.get_running_loop().remove_reader(channel.sock.fileno())
            self._start_task(self._hand_over(channel))

        channel.listen(receive, bool)

    async def _hand_over(self, channel: Channel) -> None:
        listening, peer_socket = self.front.pause_accepting(), None
        began = self.wheel.now()
        try:
            until = self.wheel.now() + PENDING_ANSWERS_TIMEOUT
            while self.wheel.now() < until and any(
                    request.pending_ask is not None and not request.ended
                    for request in self.core.gateway.pending.values()):
                await self.wheel.sleep(PENDING_CHECK_INTERVAL)
            peer_socket = self.peers.detach() if self.peers is not None else None
            await send_state(channel, HandoverPayload(self._state(), listening, peer_socket))
        except Exception as error:
            # After any failure this process must serve again, because otherwise no process reads the sockets.
            level = logging.WARNING if isinstance(error, HandoverError) else logging.ERROR
            log.log(level, "the takeover by another process failed: %s: %s", type(error).__name__, error)
            self.core.counters.add("errors.succession")
            channel.close()
            self.successor = None
            await self._resume(listening, peer_socket)
            return
        self.handed_over_sockets = listening, peer_socket
        self._retire()
        self.nodes.retire(True)
        channel.send(DONE)
        channel.listen(lambda packet, fds: None, self._successor_ended)
        self.front.start_handover(self._pass_on)
        log.info("another process has our place after a pause of %.0f ms, %d jobs are in progress here",
                 self.wheel.now() - began, len(self.core.jobs))

    def _state(self) -> bytes:
        machines = self.machines
        return pack(self.core.gateway, draining=self.phase.state is State.DRAINING,
                    generation=machines.generation, discovery=machines.discovery, offset=machines.offset,
                    node_addresses={n: NodeAddress(*m.address, m.closed_at)
                                    for n, m in machines.by_id.items()})

    def _retire(self) -> None:
        gateway = self.core.gateway
        gateway.settings = replace(gateway.settings, **retired_settings(gateway.settings))

    def settings_applied(self) -> None:
        """Called after new settings were applied: a process that has handed over remains retired."""
        if self.handed_over_sockets is not None:
            self._retire()

    def _pass_on(self, link: Link) -> bool:
        sock = link.writer.get_extra_info("socket")
        return (self.successor is not None
                and self.successor.send(LINK, b"new" if link.new else b"", (sock.fileno(),)))

    def _successor_ended(self) -> None:
        """Serves again, because the process that took over has ended."""
        sockets, self.handed_over_sockets, self.successor = self.handed_over_sockets, None, None
        if sockets is None or self.phase.state is State.STOPPING:
            self.front.transfer_connection = None
            return
        log.error("the process that took over has ended: this process serves again")
        self.core.counters.add("errors.succession")
        self.core.gateway.settings = self.core.settings
        self.nodes.retire(False)
        self._start_task(self._resume(*sockets))

    async def _resume(self, listening: socket.socket, peer_socket: socket.socket | None) -> None:
        if self.peers is not None and peer_socket is not None:
            await self.peers.open(peer_socket)
        await self.front.resume_accepting(listening)

    def close(self) -> None:
        """Closes the socket for successors and the channels to other processes."""
        if self.door is not None:
            self.door.close()
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.close()
