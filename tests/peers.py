"""The one helper of the stories over sockets: scripted roster servers, a scripted coordinator, callers that
speak SIP over TCP or UDP, and the real program as a process. Ports come from the system; all waits are on
conditions.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from stairhatch.emulators.ports import free_port
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.overload.events import Availability, LoadReport
from stairhatch.settings.parser import settings_from_object
from stairhatch.sip.config import NumberPrefix, SipConfig, SipListener
from stairhatch.sip.frontend import SipFrontend
from stairhatch.sip.transport import Flow

ROOT = Path(__file__).parent.parent
PATIENCE_S = 20.0  # how long a story waits for what must come; far more than it takes
SETTINGS = {
    "balancers": 1,
    "me": 0,
    "period_s": 0.005,
    "classes": [
        {
            "name": "read-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25,
            "effect": "read_like",
        },
        {
            "name": "save-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 3.0, "late_worth": 0.1,
            "effect": "read_like",
        },
    ],
    "family_info": {
        "allowed_pools": [[0, 1], [0, 1]], "call_length_s": [10.0, 10.0], "clear_wait_s": 0.5,
        "retransmit_s": 0.8, "self_no": -1,
    },
    "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
    "permissions": {
        "send_cap": 6, "may_probe": False, "peers": False, "cancel": True, "retry_after": True,
        "max_retry_after_s": 2.0, "connect_timeout_s": 0.5,
    },
    "safety": {
        "answer_slack_s": 0.02, "drain_grace_s": 1.0, "cold_from": 0.25, "warm_after_s": 15.0,
        "fall_multiple": 2.0, "fall_s": 1.0,
    },
}  # fmt: skip

LIMITED = (  # lowers its own limit of descriptors, then becomes the program
    "import os, resource, sys; most = int(sys.argv[1]); "
    "resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)); os.execv(sys.argv[2], sys.argv[2:])"
)
NUMBERED = ("read-roster", (NumberPrefix("7", "save-roster", 0),))


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

    def __init__(
        self,
        script: Callable[[dict, Callable[..., None]], None] | None = None,
        port: int = 0,
        host: str = "127.0.0.1",
    ) -> None:
        self.script = script or self.answers
        self.listener = socket.create_server((host, port))
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
        self.spoil: list[str] = []  # what becomes of the next answers: "break" or "stop" within them
        self.changed = threading.Condition()
        self.held = False  # takes connections and answers nothing
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

    def release(self) -> None:
        """Answer what is held."""
        with self.changed:
            self.held = False
            self.changed.notify_all()

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
            wait_s = 30 if self.held else int(line.split(b"wait_ms=")[1].split(b" ")[0]) / 1000
            self.asked.append(after)
            with self.changed:
                self.changed.wait_for(
                    lambda after=after: len(self.events) > after and not self.held, timeout=wait_s
                )
                later = self.events[after:]
            body = json.dumps({"index": after + len(later), "updates": later}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            spoil = self.spoil.pop(0) if later and self.spoil else ""
            try:
                link.sendall((head + body)[: -20 if spoil else None])
                if spoil == "break":
                    link.shutdown(socket.SHUT_RDWR)
                if spoil:
                    continue
            except OSError:
                return


class Caller:
    """A caller's side of SIP, over one TCP connection or one UDP port."""

    def __init__(self, address: tuple[str, int], udp: bool = False, six: bool = False) -> None:
        self.udp, self.address = udp, address
        if udp:
            self.sock = socket.socket(socket.AF_INET6 if six else socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.bind(("::1" if six else "127.0.0.1", 0))
            self.sock.connect(address)
        else:
            self.sock = socket.create_connection(address)
        name = self.sock.getsockname()
        self.host = f"[{name[0]}]:{name[1]}" if six else f"{name[0]}:{name[1]}"
        self.got: list[tuple[float, sip.SipMessage]] = []
        self.closed = False
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        parser = sip_parser.StreamParser()
        try:
            while data := self._recv():
                if self.udp:
                    self.got.append((time.monotonic(), sip_parser.parse_datagram(data)))
                    continue
                parser.feed(data)
                while (message := parser.next_message()) is not None:
                    self.got.append((time.monotonic(), message))
        except OSError:
            pass
        self.closed = True

    def _recv(self) -> bytes:
        """What comes next. A datagram port outlives an answer that there was nobody: a reader that ended on
        it left its story waiting for what had long come.
        """
        while True:
            try:
                return self.sock.recv(65536)
            except ConnectionRefusedError:
                if not self.udp:
                    raise

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

    def of(self, ident: str, what: int | str) -> list[sip.SipMessage]:
        """Responses with a status, or requests with a method, of one call."""
        return [m for _, m in list(self.got) if m.get("call-id") == ident and what in (m.status, m.method)]

    def finals(self, ident: str) -> list[int]:
        """The final answers to the INVITE of one call."""
        found = [m for _, m in list(self.got) if m.get("call-id") == ident and m.status >= 200]
        return [m.status for m in found if m.cseq()[1] == "INVITE"]

    def expect(self, ident: str, what: int | str) -> sip.SipMessage:
        """Wait for a response or a request."""
        return until(lambda: self.of(ident, what), f"{what} of {ident}")[0]

    def answer(self, request: sip.SipMessage, status: int) -> None:
        """Answer a request of the program's."""
        self.sock.sendall(sip.response(status, sip.echoed(request)))

    def raw(self, data: bytes) -> None:
        """Send bytes as they are; a connection that has been ended takes none."""
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def close(self) -> None:
        """End the connection."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def platform_config(
    coordinator: Coordinator, port: int, door: int, settings: dict | None = None, sockets: int = 1024
) -> dict:
    """The platform's configuration."""
    return {
        "name": "n0", "listen": f"127.0.0.1:{port}", "console": f"127.0.0.1:{door}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "coordinator": f"127.0.0.1:{coordinator.port}", "known": coordinator.known(),
        "settings": settings or SETTINGS,
    }  # fmt: skip


class Program:
    """The real program, started as the deploy file does."""

    descriptors = 0  # the limit that the process is started under (RLIMIT_NOFILE); 0: this one's

    def __init__(self, folder: Path, *arguments: str, keeps: tuple[int, ...] = (), **environ: str) -> None:
        self.path = folder  # of the configuration, once there is one
        self.log = folder / f"log-{time.monotonic_ns()}.txt"
        with self.log.open("wb") as file:
            self.start(folder, file, *arguments, keeps=keeps, **environ)

    def start(
        self, folder: Path, output: Any, *arguments: str, keeps: tuple[int, ...] = (), **environ: str
    ) -> None:
        """Start the process, with its lines to a file or a pipe."""
        env = {**os.environ, "STAIRHATCH_TRACE": "1", "TMPDIR": str(folder), **environ}
        limited = [sys.executable, "-c", LIMITED, str(self.descriptors)] if self.descriptors else []
        self.process = subprocess.Popen(
            [*limited, sys.executable, "-m", "stairhatch", *arguments],
            cwd=ROOT, env=env, stdin=subprocess.PIPE, stdout=output, stderr=output,
            pass_fds=keeps,
        )  # fmt: skip

    @classmethod
    def on_platform(
        cls, folder: Path, coordinator: Coordinator, settings: dict | None = None, sockets: int = 1024
    ) -> Program:
        """Start it with the platform's configuration."""
        port, door = free_port(), free_port()
        config = platform_config(coordinator, port, door, settings, sockets)
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        program = cls(folder, RELAY_CONFIG=str(path)).ready(port, door)
        if program is None:
            return cls.on_platform(folder, coordinator, settings, sockets)
        program.path = path
        return program

    @classmethod
    def on_socket(cls, folder: Path, sock: socket.socket, coordinator: Coordinator, known: dict) -> Program:
        """Start it beside others on a socket that the platform owns, with a door of its own."""
        port, door = sock.getsockname()[1], free_port()
        path = folder / "config.json"
        path.write_text(json.dumps({**platform_config(coordinator, port, 1), "known": known}))
        program = cls(
            folder, keeps=(sock.fileno(),), RELAY_CONFIG=str(path), RELAY_CONSOLE=f"127.0.0.1:{door}",
            RELAY_INHERITED_FD=str(sock.fileno()),
        ).ready(port, door)  # fmt: skip
        if program is None:
            return cls.on_socket(folder, sock, coordinator, known)
        program.path = path
        return program

    @classmethod
    def as_appliance(cls, folder: Path, *servers: RosterServer, syslog: str = "") -> Program:
        """Start it by a copy of deploy/sip.toml with ports of its own."""
        text = (ROOT / "deploy" / "sip.toml").read_text()
        port, door = free_port(), free_port()
        names = {"127.0.0.1:5060": f"127.0.0.1:{port}", "127.0.0.1:5070": f"127.0.0.1:{door}"}
        names.update({f"127.0.0.1:{7001 + i}": f"127.0.0.1:{each.port}" for i, each in enumerate(servers)})
        for old, new in names.items():
            text = text.replace(old, new)
        text = text.replace("[sip]", "[sip]\nrestart_wait_s = 0.2", 1)
        if syslog:
            text = text.replace('# syslog = "127.0.0.1:514"', f'syslog = "{syslog}"')
        path = folder / "sip.toml"
        path.write_text(text)
        program = cls(folder, "--sip", str(path)).ready(port, door)
        if program is None:
            return cls.as_appliance(folder, *servers, syslog=syslog)
        program.path = path
        return program

    address: tuple[str, int] = ("", 0)
    door: tuple[str, int] = ("", 0)

    def ready(self, port: int, door: int) -> Program | None:
        """Wait until it listens; None if something else took its port in the meantime."""
        self.address, self.door = ("127.0.0.1", port), ("127.0.0.1", door)
        until(lambda: " ready " in self.text() or self.process.poll() is not None, "the ready line")
        taken = "can't listen" in self.text()
        assert taken or self.process.poll() is None, self.text()
        return None if taken else self

    def reload(self, text: str) -> dict[str, str]:
        """Replace its configuration and send SIGHUP; returns the line that tells what came of it."""
        before = len(self.lines("reload"))
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)
        until(lambda: len(self.lines("reload")) > before or self.process.poll() is not None, "the reload")
        assert self.process.poll() is None, self.text()
        return self.lines("reload")[-1]

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

    def order(self, line: str | bytes, ends: bool = False) -> str:
        """What the operators' door answers to a line; `ends` closes our side after it."""
        with socket.create_connection(self.door, PATIENCE_S) as sock:
            sock.sendall(line if isinstance(line, bytes) else line.encode() + b"\n")
            if ends:
                sock.shutdown(socket.SHUT_WR)
            data = b""
            while piece := sock.recv(4096):
                data += piece
        assert data.endswith(b"\n") and data.count(b"\n") == 1, data
        return data.decode().strip()

    def serves(self) -> Program:
        """Wait until the door says that it serves."""
        until(lambda: self.order("check").startswith("ok"), "ok to check")
        return self

    def tested(self) -> int:
        """What a front's test is answered, on a connection of its own."""
        caller = self.caller()
        caller.send("OPTIONS", "sip:ping@net", {"call-id": "p", "cseq": "1 OPTIONS"})
        status = until(lambda: caller.got)[0][1].status
        caller.close()
        return status

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


class InProcessNode:
    """The SIP front and the core in this process, with a clock set by hand and flows that only record."""

    def __init__(self, **config: Any) -> None:
        self.now = 1000.0
        self.settings = settings_from_object(SETTINGS).settings
        self.clock = lambda: self.now
        self.log = lambda *args, **fields: None
        self.core = CallManager(
            self.settings,
            random.Random(1),
            lambda: self.clock(),
            lambda *args, **fields: self.log(*args, **fields),
            Counters(),
        )
        self.core.servers.pool = self
        self.written: list[Attempt] = []
        self.releases: list[tuple[str, int]] = []
        at = (SipListener(("127.0.0.1", 1)),)
        config = replace(SipConfig(at, at, "127.0.0.1:1", *NUMBERED), **config)
        tokens = (f"t{n}" for n in range(10**6))
        chance = random.Random(1)
        self.front = SipFrontend(self.core, config, lambda: next(tokens), chance.random, b"secret")
        self.core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True)
        self.core.readiness.listening = True
        self.core.readiness.list_known = True
        self.core.servers.by_id[1].dial_attempted = True

    def follow_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        """From here on the clock runs with a loop's, onwards from where it stands: never back, however short
        the machine has been up.
        """
        offset_s = self.now - loop.time()
        self.clock = lambda: loop.time() + offset_s

    def record_changed(self, server: object) -> None:
        """The directory has told something of a server."""

    def send_setup(self, attempt: Attempt) -> None:
        """A set-up is written at once, if it may be."""
        if self.core.attempts.claim_transmission(attempt):
            self.written.append(attempt)

    def shut_down(self) -> None:
        """The process is about to go."""

    def is_flushed(self) -> bool:
        """All is written at once."""
        return True

    def send_release(self, server: object, ident: str, cause: int) -> None:
        """A set-up given up, or a call released."""
        self.releases.append((ident, cause))

    def establish(self) -> None:
        """The roster server answers the set-up written last."""
        attempt = self.written[-1]
        self.core.responses.call_established(attempt.server, attempt.call.request.ident, "v=0 æ")

    @staticmethod
    def empty_report() -> LoadReport:
        """A report that tells nothing."""
        return LoadReport()

    def run(self, seconds: float) -> None:
        """Let time pass, timer by timer."""
        end = self.now + seconds
        while (due := self.core.timers.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.core.timers.run_due()
        self.now = end


class Line(Flow):
    """A flow that keeps what is sent on it."""

    def __init__(self, inside: InProcessNode, reliable: bool = False) -> None:
        self.inside, self.reliable, self.peer = inside, reliable, ("127.0.0.1", 4000)
        self.sent: list[sip.SipMessage] = []

    def send(self, data: bytes) -> None:
        self.sent.append(sip_parser.parse_datagram(data))

    def ask(self, method: str = "INVITE", **change: str | None) -> sip.SipMessage:
        """Send a plain request, with some headers changed or left out (None); returns the last answer."""
        number = change.pop("number", "1")
        headers = sip_headers(method, number or "1", change.pop("branch", None) or f"z9hG4bK{method}{number}")
        headers.update({name.replace("_", "-"): value for name, value in change.items()})  # type: ignore[misc]
        uri = headers.pop("uri", "sip:7@net")
        lines = [(name, value) for name, value in headers.items() if value is not None]
        message = sip_parser.parse_datagram(sip.request(method, str(uri), lines, b""))
        self.inside.front.message_received(self, message)
        return self.sent[-1] if self.sent else sip.SipMessage()

    def statuses(self, method: str = "INVITE") -> list[int]:
        """The responses to a method, in order."""
        return [m.status for m in self.sent if m.status and m.cseq()[1] == method]

    def tag(self) -> str:
        """Our tag in the last answer."""
        return sip.parameters(self.sent[-1].get("to"))["tag"]


def sip_headers(
    method: str,
    number: str = "1",
    branch: str = "z9hG4bKa",
    call: str = "c1",
    host: str = "127.0.0.1:4000",
    transport: str = "UDP",
    to_tag: str = "",
) -> dict[str, str]:
    """The headers of a plain request."""
    return {
        "via": f"SIP/2.0/{transport} {host};branch={branch};rport", "max-forwards": "70",
        "from": "<sip:office@net>;tag=f1", "to": "<sip:7@net>" + (f";tag={to_tag}" if to_tag else ""),
        "call-id": call, "cseq": f"{number} {method}",
        "contact": f"<sip:office@{host}{';transport=tcp' if transport == 'TCP' else ''}>",
    }  # fmt: skip
