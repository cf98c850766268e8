"""Listening TCP port that can leave connection attempts unanswered, as a machine without network does.

Each softswitch reaches each emulated roster server at a separate port, so that one link can be cut and
the others not. A port outlives its server: a replacement server may take over the address.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

BACKLOG = 128
HOST = "127.0.0.1"
FILLER_COUNT = 3  # attempts that fill an accept queue of length 0, and one that proves it full


def reserve_port(number: int = 0) -> socket.socket:
    """Return a socket that is bound to a port and does not listen; the system chooses the port for number 0.

    While the socket is open, only a socket with SO_REUSEADDR that names the port can bind to it. Raises
    OSError if the port cannot be bound.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, number))
    return sock


class Port:
    """TCP port that accepts connection attempts, refuses them, or leaves them unanswered."""

    def __init__(self, on_accept: Callable[[socket.socket], None]) -> None:
        """Bind and listen at a port that the system chooses; `on_accept` receives each accepted socket.

        A running event loop is required. Connections are accepted only after `accept` is called.
        """
        self.on_accept = on_accept
        self._reservation = reserve_port()  # keeps the port from other processes while it refuses
        self.number: int = self._reservation.getsockname()[1]
        self.sock = self._listen(self.number)
        self._fillers: list[socket.socket] = []
        self._is_accepting = False
        self._is_listening = True
        self._loop = asyncio.get_running_loop()

    @staticmethod
    def _listen(number: int) -> socket.socket:
        sock = reserve_port(number)
        sock.listen(BACKLOG)
        sock.setblocking(False)
        return sock

    def accept(self) -> None:
        """Accept connections from now on, including attempts that were left unanswered so far."""
        if not self._is_listening:
            self.sock = self._listen(self.number)
            self._is_listening = True
        self._drain_accept_queue()
        if not self._is_accepting:
            self._loop.add_reader(self.sock, self._accept_ready)
            self._is_accepting = True

    def leave_unanswered(self) -> None:
        """Leave connection attempts unanswered from now on: the accept queue is full and is not emptied."""
        if not self._is_listening:
            self.sock = self._listen(self.number)
            self._is_listening = True
        if self._fillers:
            return
        self._accept_ready()
        self._stop_accepting()
        self.sock.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.number))
            self._fillers.append(filler)

    def refuse(self) -> None:
        """Refuse connections from now on; the port stays reserved."""
        self._drain_accept_queue()
        self._stop_accepting()
        if self._is_listening:
            self.sock.close()
            self._is_listening = False

    def close(self) -> None:
        """Stop listening and release the port."""
        self.refuse()
        self._reservation.close()

    def _drain_accept_queue(self) -> None:
        if not self._fillers:
            return
        filler_addresses = {each.getsockname() for each in self._fillers}
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self.sock.listen(BACKLOG)
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self.sock.accept()
                if peer in filler_addresses:
                    sock.close()
                else:
                    self.on_accept(sock)

    def _stop_accepting(self) -> None:
        if self._is_accepting:
            self._loop.remove_reader(self.sock)
            self._is_accepting = False

    def _accept_ready(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.on_accept(sock)
