"""A coordinator on a real socket that publishes the endpoint events of a test."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from typing import Any

from .waiting import wait_until

WITHHELD_ANSWER_S = 30  # longer than any test runs
CUT_OFF_BYTES = 20  # missing at the end of a truncated answer

Entry = dict[str, Any]


def endpoint_entry(name: str, port: int, cell: int = 0, state: str = "in_service", started: int = 0) -> Entry:
    """Return a server's entry for an endpoint event."""
    return {
        "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "oslo", "machineType": "std",
        "cell": cell, "lifecycle": state, "weight": 1, "startedAtMs": started,
    }  # fmt: skip


class ScriptedCoordinator:
    """A coordinator that answers long polls with the events published so far."""

    def __init__(self, *entries: Entry) -> None:
        first = {"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": list(entries)}}
        self.events = [first]
        self.polled_indices: list[int] = []
        self.answer_faults: list[str] = []  # faults of the next answers with events: "break" or "stop"
        self.withholds_answers = False  # accepts connections but answers no poll
        self.changed = threading.Condition()
        self.connections: list[socket.socket] = []
        self._listen(0)

    def known_events(self) -> Entry:
        """Return all events in the form in which the platform's configuration holds them."""
        return {"index": len(self.events), "updates": list(self.events)}

    def publish(self, *entries: Entry) -> None:
        """Publish a change; return once a softswitch has received it and polls for the next event."""
        with self.changed:
            index = len(self.events) + 1
            change = {"generation": index, "reset": False, "instances": list(entries)}
            self.events.append({"index": index, "endpoints": change})
            self.changed.notify_all()
        wait_until(lambda: index in self.polled_indices, "the next poll")

    def resume_answers(self) -> None:
        """Answer the withheld polls and all later ones."""
        with self.changed:
            self.withholds_answers = False
            self.changed.notify_all()

    def close(self) -> None:
        """Close the listener and all connections, as the end of the process would."""
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self.listener.close()
        for connection in self.connections:
            connection.shutdown(socket.SHUT_RDWR)

    def reopen(self) -> None:
        """Listen again at the same address, with the same events."""
        self._listen(self.port)

    def _listen(self, port: int) -> None:
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        with contextlib.suppress(ConnectionResetError):  # the softswitch was killed
            while line := file.readline():
                if line.startswith(b"GET ") and not self._answer(connection, line):
                    return

    def _answer(self, connection: socket.socket, request: bytes) -> bool:
        """Answer one poll, perhaps with a fault; return whether the connection is still open."""
        after = int(request.split(b"follow=")[1].split(b"&")[0])
        wait_s = int(request.split(b"wait_ms=")[1].split(b" ")[0]) / 1000
        if self.withholds_answers:
            wait_s = WITHHELD_ANSWER_S
        self.polled_indices.append(after)
        with self.changed:
            self.changed.wait_for(
                lambda: len(self.events) > after and not self.withholds_answers, timeout=wait_s
            )
            later = self.events[after:]
        body = json.dumps({"index": after + len(later), "updates": later}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        fault = self.answer_faults.pop(0) if later and self.answer_faults else ""
        try:
            connection.sendall((head + body)[: -CUT_OFF_BYTES if fault else None])
            if fault == "break":
                connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return False
        return True
