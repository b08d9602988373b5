"""The reader of a client connection, which also detects a close behind bytes that have not been read."""

from __future__ import annotations

import select
import socket

from larklb.net.http import WatchedReader

# Poll events: the peer has closed its side, or the connection is broken.
_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientReader(WatchedReader):
    """A reader that notices a close by the client while reading is paused.

    Reading is paused while too many bytes wait behind a request in progress. A close behind them is not read,
    so the socket has to be polled for it.
    """

    close_detected = False

    def ended(self) -> bool:
        """Returns whether the peer has closed or broken the connection, even behind unread bytes."""
        return self.close_detected or super().ended()

    def poll_for_close(self, sock: socket.socket) -> None:
        """Polls the socket if reading is paused; to be called regularly while a request is in progress."""
        if not self._paused or self.ended():  # type: ignore[attr-defined]
            return
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        if any(events & _CLOSE_EVENTS for _, events in poll.poll(0)):
            self.close_detected = True
            self._notify()
