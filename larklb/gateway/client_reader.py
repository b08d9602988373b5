"""The reader of a client's connection, which also tells of a close behind bytes that are not read yet."""

from __future__ import annotations

import select
import socket

from larklb.net.http import WatchedReader

# Of a poll: the other side has closed its half, or the connection is broken.
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientReader(WatchedReader):
    """Reading stops while too much waits behind a request in work; a close behind that is asked for."""

    closed_unread = False

    def ended(self) -> bool:
        """Whether the other side has closed or broken the connection, read or not."""
        return self.closed_unread or super().ended()

    def look_for_close(self, sock: socket.socket) -> None:
        """Asks the system, where reading has stopped; called regularly while a request is in work."""
        if not self._paused or self.ended():  # type: ignore[attr-defined]
            return
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        if any(events & _CLOSED for _, events in poll.poll(0)):
            self.closed_unread = True
            self._tell()
