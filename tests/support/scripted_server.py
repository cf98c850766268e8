"""A roster server on a real socket, whose answers a test scripts."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

Message = dict[str, Any]
Send = Callable[..., None]
Script = Callable[[Message, Send], None]


class ScriptedServer:
    """A server that records each message and passes it to its script, which answers it.

    The script is called with the message and a function that sends on the message's connection.
    """

    def __init__(
        self,
        script: Script | None = None,
        port: int = 0,
        host: str = "127.0.0.1",
        listener: socket.socket | None = None,
    ) -> None:
        self.script = script or self.establishes
        self.listener = listener or socket.create_server((host, port))
        self.port = self.listener.getsockname()[1]
        self.received: list[tuple[float, Message]] = []
        self.connections: list[socket.socket] = []
        if listener is None:
            self.start_accepting()

    @staticmethod
    def establishes(message: Message, send: Send) -> None:
        """The default script: establish each call at once."""
        if message["verb"] == "START":
            send("STARTED", message["tag"], blob="v=0 " + message["blob"])

    @staticmethod
    def never_answers(_message: Message, _send: Send) -> None:
        """A script that answers no message."""

    @staticmethod
    def ends(cause: int, note: str = "") -> Script:
        """Return a script that rejects each set-up with a Q.850 cause and an optional note."""

        def script(message: Message, send: Send) -> None:
            if message["verb"] == "START":
                send("FINISH", message["tag"], rc=cause, opts={"note": note} if note else {})

        return script

    def start_accepting(self) -> None:
        """Accept connections in a thread; called by the test if it passed a listener in."""
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
        data = b""
        try:
            while piece := connection.recv(65536):
                data += piece
                *lines, data = data.split(b"\n")
                for line in lines:
                    self.message_received(json.loads(line), connection)
        except OSError:
            return

    def message_received(self, message: Message, connection: socket.socket) -> None:
        """Record a message and run the script on it."""
        self.received.append((time.monotonic(), message))
        self.script(message, partial(self.send, connection=connection))

    def send(self, verb: str, tag: str, connection: socket.socket | None = None, **fields: Any) -> None:
        """Send a message on the given connection, or else on the newest one."""
        text = json.dumps({"verb": verb, "tag": tag, "opts": {}, **fields})
        (connection or self.connections[-1]).sendall(text.encode() + b"\n")

    def messages(self, verb: str) -> list[Message]:
        """Return the received messages with a verb, in order."""
        return [message for _, message in self.received if message["verb"] == verb]

    def close(self) -> None:
        """Close the listener and all connections, as the end of the process would."""
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self.listener.close()
        for connection in self.connections:
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()
