"""A roster server that reports its load as the platform's servers do, and that can fail."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import Any

from .scripted_server import Script, ScriptedServer

LOAD_REPORT_INTERVAL_S = 0.4
CONNECT_TIMEOUT_S = 0.3  # for the connects that fill the listener's queue
LOAD = {"load": "free:50;size:90;mean_ms:1.0;can_take:500"}


class FailingServer(ScriptedServer):
    """A scripted server that reports its load first on each connection and every 0.4 s after that.

    `vanish` simulates a machine that is lost or cut off: open connections stay open and silent, and no new
    one comes up. `hang` simulates a stalled process: the operating system still accepts connections for it.
    `recover` ends both failures; messages received in the meantime are handled after it.
    """

    def __init__(self, script: Script | None = None, port: int = 0) -> None:
        self._responsive = threading.Event()
        self._responsive.set()
        self._reachable = threading.Event()
        self._reachable.set()
        self._accepting_stopped = threading.Event()  # set once the accepting thread has stopped
        self._fillers: list[socket.socket] = []  # connects that fill the listener's queue
        super().__init__(script, port)
        threading.Thread(target=self._report_load, daemon=True).start()

    # ---- simulated failures ----

    def hang(self) -> None:
        """Stop handling and sending messages; new connections still come up."""
        self._responsive.clear()

    def vanish(self) -> None:
        """Stop handling and sending messages without closing connections; no new connection comes up."""
        self._responsive.clear()
        self._reachable.clear()
        self._stop_accepting()
        self._fill_queue()

    def recover(self) -> None:
        """Resume with all calls, and handle the messages received since the failure."""
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self._accepting_stopped.clear()
        self._reachable.set()
        self._responsive.set()

    def _stop_accepting(self) -> None:
        """Stop the accepting thread, with a connect that wakes it if it waits for one."""
        self._fillers.append(socket.create_connection(("127.0.0.1", self.port)))
        self._accepting_stopped.wait()

    def _fill_queue(self) -> None:
        """Fill the listener's queue, so that the operating system leaves the next connect unanswered."""
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

    # ---- threads for accepting, serving and load reports ----

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
        """Handle a message, after waiting for the end of a simulated failure."""
        self._responsive.wait()
        super().message_received(message, connection)

    def _report_load(self) -> None:
        stopped = threading.Event()
        while not stopped.wait(LOAD_REPORT_INTERVAL_S):
            for connection in list(self.connections):
                self._responsive.wait()
                with contextlib.suppress(OSError):
                    self.send("LOAD", "", connection, opts=LOAD)
