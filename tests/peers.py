"""The one helper of the stories over sockets: scripted roster servers, a scripted coordinator, callers that
speak SIP over TCP or UDP, and the real program as a process. Ports come from the system; all waits are on
conditions.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from stairhatch.node import sip

ROOT = Path(__file__).parent.parent
PATIENCE_S = 20.0  # how long a story waits for what must come; far more than it takes
SETTINGS = {
    "balancers": 1,
    "classes": [
        {"name": "read-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25},
        {"name": "save-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 3.0, "late_worth": 0.1},
    ],
    "family_info": {"allowed_pools": [[0, 1], [0, 1]], "clear_wait_s": 0.5, "retransmit_s": 0.8},
    "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
    "permissions": {"send_cap": 6, "cancel": True, "retry_after": True, "max_retry_after_s": 2.0},
    "safety": {"answer_slack_s": 0.02, "drain_grace_s": 1.0},
}


def until(condition: Callable[[], Any], what: str = "what was awaited") -> Any:
    """Wait for a condition and return its value."""
    end = time.monotonic() + PATIENCE_S
    while not (found := condition()):
        assert time.monotonic() < end, f"never came: {what}"
        time.sleep(0.005)
    return found


class RosterServer:
    """A roster server that records what comes and answers as its script says.

    The script gets the message and a function that sends an answer on the same connection.
    """

    def __init__(self, script: Callable[[dict, Callable[..., None]], None] | None = None, port: int = 0):
        self.script = script or self.answers
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port = self.listener.getsockname()[1]
        self.got: list[tuple[float, dict]] = []
        self.links: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @staticmethod
    def answers(message: dict, send: Callable[..., None]) -> None:
        """The usual script: every call stands at once."""
        if message["verb"] == "START":
            send("STARTED", message["tag"], blob="v=0 " + message["blob"])

    @staticmethod
    def silent(message: dict, send: Callable[..., None]) -> None:
        """Takes set-ups and answers none."""

    @staticmethod
    def ends(cause: int, note: str = "") -> Callable[[dict, Callable[..., None]], None]:
        """A script that refuses every set-up with a cause."""

        def script(message: dict, send: Callable[..., None]) -> None:
            if message["verb"] == "START":
                send("FINISH", message["tag"], rc=cause, opts={"note": note} if note else {})

        return script

    def _accept(self) -> None:
        while True:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            self.links.append(link)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        data = b""
        try:
            while piece := link.recv(65536):
                data += piece
                *lines, data = data.split(b"\n")
                for line in lines:
                    message = json.loads(line)
                    self.got.append((time.monotonic(), message))
                    self.script(message, partial(self.say, link=link))
        except OSError:
            return

    def say(self, verb: str, tag: str, link: socket.socket | None = None, **more: Any) -> None:
        """Send a message, on the newest link unless one is named."""
        text = json.dumps({"verb": verb, "tag": tag, "opts": {}, **more})
        (link or self.links[-1]).sendall(text.encode() + b"\n")

    def of(self, verb: str) -> list[dict]:
        """The messages of a type."""
        return [message for _, message in self.got if message["verb"] == verb]

    def close(self) -> None:
        """The process dies: its connections are reset."""
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.listener.close()
        for link in self.links:
            link.shutdown(socket.SHUT_RDWR)
            link.close()


def instance(name: str, port: int, cell: int = 0, state: str = "in_service", started: int = 0) -> dict:
    """One line of the directory."""
    return {
        "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "oslo", "machineType": "std",
        "cell": cell, "lifecycle": state, "weight": 1, "startedAtMs": started,
    }  # fmt: skip


class Coordinator:
    """A directory that answers long polls with the events told to it."""

    def __init__(self, *lines: dict) -> None:
        first = {"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": list(lines)}}
        self.events = [first]
        self.asked: list[int] = []
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def known(self) -> dict:
        """All events, as the configuration holds them."""
        return {"index": len(self.events), "updates": list(self.events)}

    def tell(self, *lines: dict) -> None:
        """A change; returns once every softswitch that listens has it."""
        with self.changed:
            index = len(self.events) + 1
            told = {"generation": index, "reset": False, "instances": list(lines)}
            self.events.append({"index": index, "endpoints": told})
            self.changed.notify_all()
        until(lambda: index in self.asked, "the next poll")

    def _accept(self) -> None:
        while True:
            link, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        file = link.makefile("rb")
        while line := file.readline():
            if not line.startswith(b"GET "):
                continue
            after = int(line.split(b"follow=")[1].split(b"&")[0])
            self.asked.append(after)
            with self.changed:
                self.changed.wait_for(lambda after=after: len(self.events) > after, timeout=5)
                later = self.events[after:]
            body = json.dumps({"index": after + len(later), "updates": later}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            try:
                link.sendall(head + body)
            except OSError:
                return


class Caller:
    """A caller's side of SIP, over one TCP connection or one UDP port."""

    def __init__(self, address: tuple[str, int], udp: bool = False) -> None:
        self.udp, self.address = udp, address
        if udp:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.bind(("127.0.0.1", 0))
            self.sock.connect(address)
        else:
            self.sock = socket.create_connection(address)
        self.host = ":".join(map(str, self.sock.getsockname()))
        self.got: list[tuple[float, sip.Message]] = []
        self.closed = False
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        parser = sip.StreamParser()
        try:
            while data := self.sock.recv(65536):
                if self.udp:
                    self.got.append((time.monotonic(), sip.parse_datagram(data)))
                    continue
                parser.feed(data)
                while (message := parser.next()) is not None:
                    self.got.append((time.monotonic(), message))
        except OSError:
            pass
        self.closed = True

    def send(self, method: str, uri: str, headers: dict[str, str], body: bytes = b"") -> bytes:
        """Send a request; returns its bytes, to send them again."""
        data = sip.request(method, uri, list(headers.items()), body)
        self.sock.sendall(data)
        return data

    def invite(
        self, ident: str, kind: str = "read-roster", within: int = 3000, body: bytes = b"d", **more: str
    ) -> bytes:
        """The platform's thin set-up."""
        headers = {
            "via": "SIP/2.0/TCP peer", "call-id": ident, "cseq": "1 INVITE", "call-kind": kind,
            "answer-within": str(within), "routing-data": "dest:0;width:1;via:-1",
        }  # fmt: skip
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        return self.send("INVITE", "sip:7f3a9c21e0b4d655@net", headers, body)

    def of(self, ident: str, what: int | str) -> list[sip.Message]:
        """Responses with a status, or requests with a method, of one call."""
        return [m for _, m in list(self.got) if m.get("call-id") == ident and what in (m.status, m.method)]

    def finals(self, ident: str) -> list[int]:
        """The final answers to the INVITE of one call."""
        found = [m for _, m in list(self.got) if m.get("call-id") == ident and m.status >= 200]
        return [m.status for m in found if m.cseq()[1] == "INVITE"]

    def expect(self, ident: str, what: int | str) -> sip.Message:
        """Wait for a response or a request."""
        return until(lambda: self.of(ident, what), f"{what} of {ident}")[0]

    def answer(self, request: sip.Message, status: int) -> None:
        """Answer a request of the program's."""
        self.sock.sendall(sip.response(status, sip.echoed(request)))

    def close(self) -> None:
        """End the connection."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that the system says is free."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Program:
    """The real program, started as the deploy file does."""

    def __init__(self, folder: Path, *arguments: str, **environ: str) -> None:
        self.log = folder / f"log-{time.monotonic_ns()}.txt"
        env = {**os.environ, "STAIRHATCH_TRACE": "1", "TMPDIR": str(folder), **environ}
        with self.log.open("wb") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "stairhatch", *arguments],
                cwd=ROOT, env=env, stdin=subprocess.PIPE, stdout=file, stderr=file,
            )  # fmt: skip

    @classmethod
    def on_platform(cls, folder: Path, coordinator: Coordinator, settings: dict | None = None) -> Program:
        """Start it with the platform's configuration."""
        port = free_port()
        config = {
            "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "1", "limits": {"sockets": 1024},
            "coordinator": f"127.0.0.1:{coordinator.port}", "known": coordinator.known(),
            "settings": settings or SETTINGS,
        }  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        program = cls(folder, RELAY_CONFIG=str(path))
        program.address = ("127.0.0.1", port)
        until(lambda: " ready " in program.text(), "the ready line")
        return program

    address: tuple[str, int] = ("", 0)

    def text(self) -> str:
        """Its log."""
        return self.log.read_text()

    def lines(self, event: str) -> list[dict[str, str]]:
        """The log lines of an event, as their fields."""
        found = []
        for line in self.text().splitlines():
            words = line.split(" ")
            if len(words) > 1 and words[1] == event:
                pairs = (word.split("=", 1) for word in words[2:] if "=" in word)
                found.append({"at": words[0], **dict(pairs)})
        return found

    def caller(self) -> Caller:
        """A new connection to the platform's front."""
        return Caller(self.address)

    def stop(self) -> int:
        """SIGTERM, and the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(PATIENCE_S)

    def kill(self) -> None:
        """End it at once, as a crash would."""
        self.process.kill()
        self.process.wait(PATIENCE_S)
