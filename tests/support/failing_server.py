"""A roster server that reports its load as the platform's do, and whose machine or process can fail."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import Any

from .scripted_server import Script, ScriptedServer

LOAD_REPORT_INTERVAL_S = 0.4
CONNECT_TIMEOUT_S = 0.3  # of the connects that fill the listener's queue
LOAD = {"load": "free:50;size:90;mean_ms:1.0;can_take:500"}


class FailingServer(ScriptedServer):
    """A scripted server that reports its load first of all on each connection and regularly after that.

    `vanish` is a machine that is lost or cut off: what is open stays open and silent, and no new connection
    comes up. `hang` is a process that stands still: the system goes on accepting for it. Both end with
    `recover`, after which what was received in the meantime is handled.
    """

    def __init__(self, script: Script | None = None, port: int = 0) -> None:
        self._responsive = threading.Event()
        self._responsive.set()
        self._reachable = threading.Event()
        self._reachable.set()
        self._accepting_stopped = threading.Event()  # the thread that accepts stands still
        self._fillers: list[socket.socket] = []  # connects that fill the listener's queue
        super().__init__(script, port)
        threading.Thread(target=self._report_load, daemon=True).start()

    # ---- its failures ----

    def hang(self) -> None:
        """Stand still: nothing is handled and nothing sent, though connections come up."""
        self._responsive.clear()

    def vanish(self) -> None:
        """Be gone without a word: no new connection comes up either."""
        self._responsive.clear()
        self._reachable.clear()
        self._stop_accepting()
        self._fill_queue()

    def recover(self) -> None:
        """Be there again, with all calls."""
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self._accepting_stopped.clear()
        self._reachable.set()
        self._responsive.set()

    def _stop_accepting(self) -> None:
        """Connect once, since the thread that accepts may be waiting for a connection."""
        self._fillers.append(socket.create_connection(("127.0.0.1", self.port)))
        self._accepting_stopped.wait()

    def _fill_queue(self) -> None:
        """Fill the listener's queue, so that the system leaves the next connect unanswered."""
        self.listener.listen(0)
        while True:
            filler = socket.socket()
            filler.settimeout(CONNECT_TIMEOUT_S)
            try:
                filler.connect(("127.0.0.1", self.port))
            except TimeoutError:
                filler.close()
                return
            self._fillers.append(filler)

    # ---- its threads ----

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if not self._reachable.is_set():
                self._accepting_stopped.set()
                self._reachable.wait()
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        self._responsive.wait()
        with contextlib.suppress(OSError):
            self.send("LOAD", "", connection, opts=LOAD)
        super()._serve(connection)

    def message_received(self, message: dict[str, Any], connection: socket.socket) -> None:
        """Handle a message, once it is responsive."""
        self._responsive.wait()
        super().message_received(message, connection)

    def _report_load(self) -> None:
        stopped = threading.Event()
        while not stopped.wait(LOAD_REPORT_INTERVAL_S):
            for connection in list(self.connections):
                self._responsive.wait()
                with contextlib.suppress(OSError):
                    self.send("LOAD", "", connection, opts=LOAD)
