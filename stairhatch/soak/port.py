"""A listening socket whose connections can be kept from coming up, as with a machine that is cut off.

Each softswitch reaches each emulated roster server at a port of its own, so that one way can be cut and the
others not. A port outlives the server behind it: another may take its address.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

BACKLOG = 128
HOST = "127.0.0.1"
FILLERS = 3  # connects that fill a listener's queue of length 0, and one that proves it


def reserve_port(number: int = 0) -> socket.socket:
    """Return a socket that is bound to a port and does not listen; without a number the system chooses.

    While it is open nobody else gets the port, but for those who set SO_REUSEADDR and name it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, number))
    return sock


class Port:
    """A port that accepts, refuses, or leaves connects unanswered."""

    def __init__(self, on_accept: Callable[[socket.socket], None]) -> None:
        """Bind a port of the system's choice; `on_accept` is given each connection."""
        self.on_accept = on_accept
        self._reservation = reserve_port()  # so that nobody else gets the port while it refuses
        self.number: int = self._reservation.getsockname()[1]
        self.sock = self._listen(self.number)
        self._fillers: list[socket.socket] = []
        self._is_accepting = False
        self._is_open = True
        self._loop = asyncio.get_running_loop()

    @staticmethod
    def _listen(number: int) -> socket.socket:
        sock = reserve_port(number)
        sock.listen(BACKLOG)
        sock.setblocking(False)
        return sock

    def accept(self) -> None:
        """Accept connections from now on."""
        if not self._is_open:
            self.sock = self._listen(self.number)
            self._is_open = True
        self._empty_queue()
        if not self._is_accepting:
            self._loop.add_reader(self.sock, self._accept_ready)
            self._is_accepting = True

    def leave_unanswered(self) -> None:
        """Let no connection come up from now on: the queue is full, and nobody takes from it."""
        if not self._is_open:
            self.sock = self._listen(self.number)
            self._is_open = True
        if self._fillers:
            return
        self._accept_ready()
        self._stop_accepting()
        self.sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.number))
            self._fillers.append(filler)

    def refuse(self) -> None:
        """Refuse connections from now on."""
        self._empty_queue()
        self._stop_accepting()
        if self._is_open:
            self.sock.close()
            self._is_open = False

    def close(self) -> None:
        """Give the port up."""
        self.refuse()
        self._reservation.close()

    def _empty_queue(self) -> None:
        if not self._fillers:
            return
        ours = {each.getsockname() for each in self._fillers}
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self.sock.listen(BACKLOG)
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self.sock.accept()
                if peer in ours:
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
