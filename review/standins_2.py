"""Stand-ins of the second review: roster servers, the coordinator, callers, and the softswitch's process.

Each stand-in follows PROTOCOL and writes what it sends and receives to one `Record`. They use threads and the
standard library only, listen on 127.0.0.1 on ports from the system, and end with the script that made them.
"""

from __future__ import annotations

import contextlib
import copy
import json
import os
import queue
import re
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # run.sh exits with 1 for 10 alone, as Python does for any error
CASE_LIMIT_S = 110  # a script has 120 s
READY_LIMIT_S = 30.0  # WIRE and STANDING: a softswitch is ready within 30 s
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer
MAX_LATENESS_S = 0.3  # of the stand-ins themselves; a run in which they were later proves nothing
LOOK_S = 0.005  # the work of a look at one message
RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection

Message = dict[str, Any]
Script = Callable[["RosterServer", "ServerLink", Message], None]

SETTINGS: Message = {
    "az": 0,
    "balancers": 1,
    "classes": [
        {
            "aim_s": 1.5, "dedup_scope": "all", "effect": "read_like", "hard_limit_s": 9.0,
            "importance": 1.0, "late_worth": 0.25, "memory_span_s": 5.0, "name": "read-roster",
            "stream": True,
        },
        {
            "aim_s": 1.5, "dedup_scope": "all", "effect": "read_like", "hard_limit_s": 9.0,
            "importance": 3.0, "late_worth": 0.1, "memory_span_s": 5.0, "name": "save-roster",
            "stream": True,
        },
    ],
    "client_habits": {"marks_retry": True},
    "discovery": "push",
    "family_info": {
        "allowed_pools": [list(range(8)), list(range(8))], "call_length_s": [9.0, 7.2], "class_width": [1, 1],
        "clear_wait_s": 0.5, "hints_route": False, "layout": "pools", "peer_load": "inline",
        "retransmit_s": 0.8, "self_no": -1, "tells_wait": False,
    },
    "goal": {"whole": 0.55, "worst_class": 0.35, "worst_tenant": 0.0, "worst_window": 0.1},
    "kind_of_service": "trunks",
    "kinds": ["standard-1core"],
    "load_report": {"how": "inline", "names": ["free", "size", "mean_ms", "can_take"]},
    "me": 0,
    "over_share_worth": 0.1,
    "parties": [],
    "period_s": 0.005,
    "permissions": {
        "cancel": True, "connect_timeout_s": 0.5, "cpu_us_per_request": 0.0, "cpu_us_per_s": 300000,
        "idle_close_s": 600.0, "max_retry_after_s": 2.0, "may_probe": False, "open_cap": 20000,
        "parallel_tries": False, "peers": False, "retry_after": True, "send_cap": 6,
        "streams_per_conn": 1048576,
    },
    "prices": {"late_fail": 0.03, "waste": 0.021},
    "safety": {
        "answer_slack_s": 0.02, "cold_from": 0.29, "drain_grace_s": 1.0, "fall_multiple": 2.5,
        "fall_s": 1.5, "must_ask_in_s": 10.0, "warm_after_s": 14.0,
    },
    "tier": 0,
    "tiers": ["roster-servers"],
    "value_by": "request",
    "weight_source": "off",
    "zones": ["oslo", "bergen", "trondheim", "tromso"],
}  # fmt: skip


class CouldNotRunError(Exception):
    """Raised where a case cannot be played, so that its script ends with 2."""


class Record:
    """What was sent, answered and run, with the seconds since the start; written to `record.txt`."""

    def __init__(self) -> None:
        """Start empty; the time of the first line is 0."""
        self.lines: list[str] = []
        self._lock = threading.Lock()
        self._started = time.time()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.time() - self._started

    def note(self, who: str, text: str) -> None:
        """Add a line."""
        with self._lock:
            self.lines.append(f"{self.now():9.3f} {who:12} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        with self._lock:
            path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


RECORD = Record()
RESERVED: list[socket.socket] = []  # they hold the ports of `reserve_port`


def wait_for(condition: Callable[[], Any], limit_s: float, what: str) -> Any:
    """Return the condition's value once it is true. Raises CouldNotRunError after the limit."""
    until = time.monotonic() + limit_s
    while not (value := condition()):
        if time.monotonic() > until:
            raise CouldNotRunError(f"not within {limit_s} s: {what}")
        time.sleep(0.005)
    return value


def reserve_port() -> int:
    """Return a port of 127.0.0.1 that stays ours to the end, so that another script does not get it.

    The socket that holds it is bound and does not listen: connects to the port are refused until a program
    listens there, which has to set SO_REUSEADDR, as ours does.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    RESERVED.append(sock)
    return int(sock.getsockname()[1])


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)  # wakes the reading thread; sends nothing
    sock.close()


# ---- roster servers ----


class ServerLink:
    """One connection to a roster server."""

    def __init__(self, server: RosterServer, sock: socket.socket, number: int) -> None:
        """Serve an accepted connection; `number` counts the server's connections from 1."""
        self.server, self.sock, self.number = server, sock, number
        self.is_open = True
        self._lock = threading.Lock()

    def send(self, verb: str, tag: str = "", **fields: Any) -> None:
        """Send one JSON line."""
        self.send_raw(json.dumps({"verb": verb, "tag": tag, "opts": {}, **fields}).encode() + b"\n")
        RECORD.note(self.server.name, f"[{self.number}] sends {verb} {tag} {fields or ''}")

    def send_raw(self, data: bytes) -> None:
        """Send bytes; a connection that has ended takes none."""
        with self._lock, contextlib.suppress(OSError):
            self.sock.sendall(data)

    def reset(self) -> None:
        """Reset the connection."""
        RECORD.note(self.server.name, f"[{self.number}] is reset")
        self.is_open = False
        reset(self.sock)


class RosterServer:
    """A roster server: reports its lines, establishes each call at once, and holds it until it is released.

    `script` is called with each message in place of that. The state of the lines is reported first on each
    new connection, and on each open one whenever the free lines have altered.
    """

    def __init__(self, name: str, cell: int, script: Script | None = None, lines: int = 40) -> None:
        """Listen on a free port."""
        self.name, self.cell, self.lines = name, cell, lines
        self.script = script or RosterServer.establish
        self.calls: dict[str, ServerLink] = {}  # the calls that stand here, with the link of their set-up
        self.setups: list[tuple[float, str]] = []  # when each set-up came whole, and its id
        self.received: list[tuple[float, Message]] = []
        self.links: list[ServerLink] = []
        self.lock = threading.RLock()
        self.allowance = 1_000_000  # connections of all softswitches together; a further one is refused
        self.others = 0  # those of other softswitches, which are counted here and not played
        self.ended: set[str] = set()  # calls that have ended here by themselves
        self.to_repeat: list[tuple[str, int]] = []  # their releases, for the next connection that is opened
        self._listener: socket.socket | None = None
        self.port = reserve_port()
        self.public_port = 0  # of the way to it; 0: its own
        self.listen()

    def listen(self) -> None:
        """Accept connections."""
        self._listener = socket.create_server((HOST, self.port))
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def refuse(self) -> None:
        """Refuse further connections; those that are open stay open."""
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def settle_allowance(self, others: int | None = None) -> None:
        """Refuse further connections while the allowance is used up; `others` is the new number of others."""
        with self.lock:
            self.others = self.others if others is None else others
            is_full = len(self.open_links()) + self.others >= self.allowance
            if is_full and self._listener is not None:
                RECORD.note(self.name, f"refuses connections: all {self.allowance} are in use")
                self.refuse()
            elif not is_full and self._listener is None:
                RECORD.note(self.name, "takes connections again")
                self.listen()

    def entry(self, state: str = "in_service", started_ms: int = 0) -> Message:
        """Return the server's line of the endpoint list."""
        return {
            "instanceId": self.name, "hostPort": f"{HOST}:{self.public_port or self.port}", "zone": "oslo",
            "machineType": "standard-1core", "cell": self.cell, "lifecycle": state, "weight": 1,
            "startedAtMs": started_ms,
        }  # fmt: skip

    def load(self) -> str:
        """Return the unasked report: its figures of the processor mean nothing (WIRE, `probe_result`)."""
        free = self.lines - len(self.calls)
        return f"free:{free};size:{self.lines};mean_ms:-1;can_take:-1"

    def open_links(self) -> list[ServerLink]:
        """Return the open connections, the oldest first."""
        return [each for each in self.links if each.is_open]

    def report_lines(self) -> None:
        """Report the free lines on the open connections, four at most."""
        for link in self.open_links()[-4:]:
            link.send("LOAD", opts={"load": self.load()})

    def establish(self, link: ServerLink, message: Message) -> None:
        """Establish the call of a set-up, or end the call that a release names."""
        tag = message["tag"]
        if message["verb"] == "START":
            with self.lock:
                self.calls[tag] = link
            link.send("STARTED", tag, blob=f"c=IN IP4 127.0.0.1 {self.name} {tag}\r\n")
            self.report_lines()
        elif message["verb"] == "FINISH" and tag in self.calls:
            with self.lock:
                del self.calls[tag]
            RECORD.note(self.name, f"call {tag} was cut by the softswitch")
            self.report_lines()

    def end_call(self, tag: str, cause: int = 16) -> None:
        """End a call that stands here; send its release on its own connection, or else on any open one.

        The release is sent also on the next connection that is opened (PROTOCOL).
        """
        with self.lock:
            link = self.calls.pop(tag)
            self.ended.add(tag)
        links = [link] if link.is_open else self.open_links()[:1]
        for each in links:
            each.send("FINISH", tag, rc=cause, opts={"load": self.load()})
        self.to_repeat.append((tag, cause))

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            link = ServerLink(self, sock, len(self.links) + 1)
            self.links.append(link)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()
            self.settle_allowance()

    def _serve(self, link: ServerLink) -> None:
        RECORD.note(self.name, f"[{link.number}] connection opened")
        link.send("LOAD", opts={"load": self.load()})
        with self.lock:
            repeated, self.to_repeat = self.to_repeat, []
        for tag, cause in repeated:
            link.send("FINISH", tag, rc=cause)
        data = b""
        with contextlib.suppress(OSError):
            while piece := link.sock.recv(65536):
                data += piece
                *lines, data = data.split(b"\n")
                for line in lines:
                    self._received(link, json.loads(line))
        if link.is_open:
            link.is_open = False
            RECORD.note(self.name, f"[{link.number}] connection ended by the softswitch")
        self.link_ended(link)
        link.sock.close()

    def link_ended(self, link: ServerLink) -> None:
        """Do nothing when a connection has ended: a standing call belongs to none."""

    def _received(self, link: ServerLink, message: Message) -> None:
        RECORD.note(self.name, f"[{link.number}] gets  {json.dumps(message)}")
        self.received.append((RECORD.now(), message))
        if message["verb"] == "START":
            self.setups.append((RECORD.now(), message["tag"]))
        self.script(self, link, message)


@dataclass(eq=False)
class Attempt:
    """A set-up that has come whole to a roster server; times are those of the record."""

    tag: str
    server: str
    link: ServerLink
    came_at: float
    over_at: float = float("inf")  # when its end was written, or it was given up


def attempts_at_once(servers: list[LineServer], tag: str) -> list[str]:
    """Return where an attempt of a call came while another one was out, and for 50 ms more (PROTOCOL)."""
    attempts = sorted((a for s in servers for a in s.attempts if a.tag == tag), key=lambda a: a.came_at)
    return [
        f"an attempt of {tag} comes to {later.server} at {later.came_at:.3f}, while one is out at "
        f"{earlier.server} from {earlier.came_at:.3f} to {earlier.over_at:.3f}"
        for index, later in enumerate(attempts)
        for earlier in attempts[:index]
        if earlier.over_at > later.came_at + SLACK_S
    ]


class LineServer(RosterServer):
    """A roster server whose processor has one line: it looks at the messages in the order in which they came.

    Releases wait in the line like set-ups, so the processor does not know yet that a set-up was given up when
    it looks at it (BRIEF: 'Answers and releases of calls wait in line behind new set-ups', 'A set-up that was
    given up may still be worked on'). While it hangs it takes messages and looks at none. A set-up that has
    waited for `turns_away_s` is turned away.
    """

    def __init__(self, name: str, cell: int) -> None:
        """Listen, with an empty line."""
        self.slow_since = 1e9  # from then on the line grows, by the work of all senders
        self.growth = 0.0  # seconds of work that come more in a second than are done
        self.longest_wait_s = 0.0
        self.turns_away_s = 1e9
        self.works = threading.Event()  # cleared while the processor hangs
        self.works.set()
        self.attempts: list[Attempt] = []
        self._line: queue.SimpleQueue[tuple[float, ServerLink, Message, Attempt | None]] = queue.SimpleQueue()
        super().__init__(name, cell, LineServer.put_in_line)
        threading.Thread(target=self._work, daemon=True).start()

    def wait_s(self) -> float:
        """Return the work that is in the line before a message that comes now."""
        return min(self.longest_wait_s, self.growth * max(0.0, RECORD.now() - self.slow_since))

    def put_in_line(self, link: ServerLink, message: Message) -> None:
        """Put a message in the line; an attempt is out from now on, one that a release names is not."""
        attempt = None
        if message["verb"] == "START":
            attempt = Attempt(message["tag"], self.name, link, RECORD.now())
            self.attempts.append(attempt)
        else:
            self._end_attempts(lambda each: each.tag == message["tag"])
        self._line.put((RECORD.now() + self.wait_s(), link, message, attempt))

    def link_ended(self, link: ServerLink) -> None:
        """Note that the end of a connection gives up the set-ups that are open on it."""
        self._end_attempts(lambda each: each.link is link)

    def _end_attempts(self, is_meant: Callable[[Attempt], bool]) -> None:
        now = RECORD.now()
        for each in self.attempts:
            if is_meant(each):
                each.over_at = min(each.over_at, now)

    def _work(self) -> None:
        while True:
            due_at, link, message, attempt = self._line.get()
            time.sleep(max(0.0, due_at - RECORD.now()) + LOOK_S)
            self.works.wait()
            RECORD.note(self.name, f"[{link.number}] looks at {message['verb']} {message['tag']}")
            if attempt is None:
                self.establish(link, message)
            elif link.is_open:  # else the end of the connection has given it up
                waited_s = RECORD.now() - attempt.came_at
                attempt.over_at = min(attempt.over_at, RECORD.now())
                self._answer(link, message, waited_s)

    def _answer(self, link: ServerLink, message: Message, waited_s: float) -> None:
        if waited_s >= self.turns_away_s:
            free = self.lines - len(self.calls)
            load = f"free:{free};size:{self.lines};mean_ms:{1000 * waited_s:.0f};can_take:4"
            link.send("FINISH", message["tag"], rc=34, opts={"note": "overload", "load": load})
        else:
            self.establish(link, message)


# ---- the network ----


class Proxy:
    """The way to a roster server: passes each connection on, until it falls silent.

    On a connection that has fallen silent nothing arrives any more, in either direction, and no end learns
    that the other one closes it.
    """

    def __init__(self, server: RosterServer) -> None:
        """Listen on a free port, and pass connections on to the server."""
        self.server = server
        self.silent: set[int] = set()  # numbers of silent connections, counted from 1
        self.connections = 0
        self._listener = socket.create_server((HOST, 0))
        server.public_port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            self.connections += 1
            far = socket.create_connection((HOST, self.server.port))
            for source, target in ((near, far), (far, near)):
                arguments = (self.connections, source, target)
                threading.Thread(target=self._pass_on, args=arguments, daemon=True).start()

    def _pass_on(self, number: int, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while piece := source.recv(65536):
                if number not in self.silent:
                    target.sendall(piece)
        if number not in self.silent:
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)

    def fall_silent(self) -> None:
        """Let all connections that are open fall silent; those that are opened later work."""
        self.silent.update(range(1, self.connections + 1))
        RECORD.note("network", f"connections 1 to {self.connections} to {self.server.name} fall silent")


# ---- the coordinator ----


class Coordinator:
    """The coordinator: holds numbered events and answers long polls."""

    def __init__(self, *entries: Message, name: str = "coordinator") -> None:
        """Hold the whole list as the first event, and listen on a free port."""
        self.name = name
        first = {"generation": 1, "reset": True, "instances": list(entries)}
        self.events: list[Message] = [{"index": 1, "endpoints": first}]
        self.silent_polls = 0  # so many further polls get no answer, on connections that stay open
        self.polls = 0
        self._changed = threading.Condition()
        self._listener: socket.socket | None = None
        self._open: list[socket.socket] = []
        self.port = 0
        self.listen()

    @property
    def address(self) -> str:
        """The address, as it is written in a configuration."""
        return f"{HOST}:{self.port}"

    def known(self) -> Message:
        """Return the events so far, in the form that a configuration has."""
        return {"index": len(self.events), "updates": copy.deepcopy(self.events)}

    def listen(self) -> None:
        """Accept connections, at the same port if there was one."""
        self._listener = socket.create_server((HOST, self.port))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def accept_no_more(self) -> None:
        """Refuse further connections."""
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def go_down(self) -> None:
        """Refuse connections and close the open ones."""
        RECORD.note(self.name, "closes its connections")
        self.accept_no_more()
        for sock in self._open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def tell(self, *entries: Message) -> float:
        """Add an event with these lines; return when."""
        with self._changed:
            index = len(self.events) + 1
            change = {"generation": index, "reset": False, "instances": list(entries)}
            self.events.append({"index": index, "endpoints": change})
            states = " ".join(f"{each['instanceId']}={each['lifecycle']}" for each in entries)
            RECORD.note(self.name, f"holds event {index}: {states}")
            self._changed.notify_all()
        return RECORD.now()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self._open.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock.makefile("rb") as file:
            while line := file.readline():
                poll = re.match(rb"GET /v2/stream\?follow=(\d+)&wait_ms=(\d+) ", line)
                while file.readline().strip():
                    pass  # the rest of the head
                if poll is None or not self._answer(sock, int(poll[1]), int(poll[2])):
                    return

    def _answer(self, sock: socket.socket, after: int, wait_ms: int) -> bool:
        self.polls += 1
        with self._changed:
            if self.silent_polls > 0:
                self.silent_polls -= 1
                RECORD.note(self.name, f"gets follow={after} wait_ms={wait_ms}, and never answers it")
                return sock.recv(1) != b""  # until the softswitch gives the connection up
            self._changed.wait_for(lambda: len(self.events) > after, timeout=wait_ms / 1000)
            updates = self.events[after:]
            body = json.dumps({"index": max(after, len(self.events)), "updates": updates}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)
        RECORD.note(self.name, f"answers follow={after} with {len(updates)} events")
        return True


# ---- callers ----


class Caller:
    """A connection of callers: sends set-ups, acknowledges what it gets, and notes each message."""

    def __init__(self, port: int, name: str = "caller") -> None:
        """Connect to the softswitch."""
        self.name = name
        self.sock = socket.create_connection((HOST, port), timeout=5.0)
        self.sock.settimeout(None)
        self.answers: dict[str, list[tuple[float, int]]] = {}  # final answers, by call
        self.releases: dict[str, list[float]] = {}  # by call
        self.bodies: dict[str, bytes] = {}
        self.closed_at: float | None = None
        self.acknowledges_releases = True
        self._lock = threading.Lock()
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, method: str, call_id: str, headers: str = "", body: bytes = b"") -> None:
        """Send one request."""
        head = (
            f"{method} sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
            f"CSeq: 1 {method}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        )
        RECORD.note(self.name, f"sends {method} {call_id}")
        with self._lock:
            self.sock.sendall(head.encode() + body)

    def set_up(
        self, call_class: str = "read-roster", within_ms: int = 3000, dest: int = 0, call_id: str = ""
    ) -> str:
        """Send a set-up with a new id; return the id."""
        call_id = call_id or secrets.token_hex(8)
        headers = (
            f"Call-Kind: {call_class}\r\nAnswer-Within: {within_ms}\r\n"
            f"Routing-Data: dest:{dest};width:1;via:-1\r\n"
        )
        self.send("INVITE", call_id, headers, b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n")
        return call_id

    def status(self, call_id: str) -> int:
        """Return the status of a call's first final answer; 0 if there is none."""
        answers = self.answers.get(call_id)
        return answers[0][1] if answers else 0

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _read(self) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while piece := self.sock.recv(65536):
                data += piece
                while (end := data.find(b"\r\n\r\n")) >= 0:
                    head = data[:end].decode()
                    length = int(re.search(r"(?im)^content-length: *(\d+)", head)[1])  # type: ignore[index]
                    if len(data) < end + 4 + length:
                        break
                    body, data = data[end + 4 : end + 4 + length], data[end + 4 + length :]
                    self._received(head, body)
        self.closed_at = RECORD.now()
        RECORD.note(self.name, "its connection has ended")

    def _received(self, head: str, body: bytes) -> None:
        first = head.split("\r\n")[0]
        call_id = re.search(r"(?im)^call-id: *(\S+)", head)[1]  # type: ignore[index]
        method = re.search(r"(?im)^cseq: *\d+ (\S+)", head)[1]  # type: ignore[index]
        reason = re.search(r"(?im)^reason: *(\S+)", head)
        RECORD.note(self.name, f"gets  {first} ({method} {call_id}) {reason[1] if reason else ''}")
        if first.startswith("BYE "):
            self.releases.setdefault(call_id, []).append(RECORD.now())
            if self.acknowledges_releases:
                reply = f"SIP/2.0 200 OK\r\nCall-ID: {call_id}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
                with self._lock, contextlib.suppress(OSError):
                    self.sock.sendall(reply.encode())
        elif method == "INVITE" and (status := int(first.split()[1])) >= 200:
            self.answers.setdefault(call_id, []).append((RECORD.now(), status))
            self.bodies[call_id] = body
            with contextlib.suppress(OSError):
                self.send("ACK", call_id)


# ---- the softswitch ----


class Softswitch:
    """One process of the platform's program, started by `run` of the deploy file."""

    def __init__(self, folder: Path, coordinator: Coordinator, settings: Message | None = None) -> None:
        """Write the configuration file and start the process."""
        self.port, self.console_port = reserve_port(), reserve_port()
        self.path = folder / "config.json"
        self.log = folder / "log.txt"
        self.config: Message = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "console": f"{HOST}:{self.console_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": coordinator.address,
            "known": coordinator.known(),
            "settings": copy.deepcopy(settings or SETTINGS),
        }
        self._folder = folder
        self.write_config()
        self.start()

    def write_config(self) -> None:
        """Replace the configuration file."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.path)

    def start(self) -> None:
        """Start the process, again if it has ended."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {
            **os.environ, "RELAY_NAME": "n0", "RELAY_LISTEN": self.config["listen"],
            "RELAY_CONSOLE": self.config["console"], "RELAY_CONFIG": str(self.path),
            "TMPDIR": str(temporary), "STAIRHATCH_TRACE": "1",
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )  # fmt: skip
        # Ends the softswitch should this process be killed: its input ends then.
        self._watchdog = subprocess.Popen(
            ["/bin/sh", "-c", 'read -r _; kill -9 "$0"', str(self.process.pid)],
            stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        RECORD.note("softswitch", "started")

    def wait_until_ready(self) -> None:
        """Wait until the process passes a test, as the front does."""
        wait_for(self._passes_test, READY_LIMIT_S, "the softswitch passes a test")
        RECORD.note("softswitch", "passes a test")

    def _passes_test(self) -> bool:
        if self.process.poll() is not None:
            raise CouldNotRunError(f"the softswitch has ended: {self.log.read_text()[-500:]}")
        try:
            with socket.create_connection((HOST, self.port), timeout=1.0) as sock:
                sock.sendall(
                    b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: 1\r\n"
                    b"CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
                )
                return sock.recv(4096).startswith(b"SIP/2.0 200")
        except OSError:
            return False

    def order(self, line: str) -> str:
        """Send an operator's command; return the answer."""
        with socket.create_connection((HOST, self.console_port), timeout=2.0) as sock:
            sock.sendall(line.encode() + b"\n")
            answer = sock.recv(4096).decode().strip()
        RECORD.note("operator", f"{line}: {answer}")
        return answer

    def hang_up(self) -> None:
        """Send SIGHUP."""
        RECORD.note("platform", "SIGHUP")
        self.process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process."""
        self._watchdog.kill()
        self._watchdog.wait(10)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10)

    def note_log(self, *words: str) -> None:
        """Copy the log lines that have one of these words to the record."""
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
            if any(word in line for word in words):
                RECORD.note("log", line)


@contextlib.contextmanager
def running(coordinator: Coordinator, settings: Message | None = None) -> Iterator[Softswitch]:
    """Run a softswitch that is ready, in a temporary folder; kill it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        softswitch = Softswitch(Path(folder), coordinator, settings)
        try:
            softswitch.wait_until_ready()
            yield softswitch
        finally:
            softswitch.kill()
            RECORD.note("softswitch", "killed at the end of the case")


def _end_case(number: int, _frame: Any) -> None:
    """Leave the case on a signal, by way of the ends of its processes."""
    for each in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(each, signal.SIG_IGN)
    raise CouldNotRunError(f"ended by {signal.Signals(number).name}")


class _Lateness(threading.Thread):
    """Measures how late the stand-ins' threads run."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.worst_s = 0.0
        self.fault = ""  # of a stand-in
        threading.excepthook = self._note_fault

    def _note_fault(self, arguments: threading.ExceptHookArgs) -> None:
        self.fault = f"{arguments.exc_type.__name__}: {arguments.exc_value}"

    def check(self, is_broken: bool) -> None:
        """Raise CouldNotRunError if a stand-in failed, or was too late for a broken rule to prove it."""
        if self.fault:
            raise CouldNotRunError(f"a stand-in failed: {self.fault}")
        if is_broken and self.worst_s > MAX_LATENESS_S:
            raise CouldNotRunError(f"the stand-ins were {self.worst_s:.1f} s late")

    def run(self) -> None:
        """Sleep for 20 ms again and again."""
        while True:
            due = time.monotonic() + 0.02
            time.sleep(0.02)
            self.worst_s = max(self.worst_s, time.monotonic() - due)


def main(case: Callable[[], str], folder: Path) -> None:
    """Play a case and exit: 0 if the rule held, 10 if it was broken, 2 if the case could not run.

    `case` returns how the rule was broken, or an empty text.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, _end_case)
    signal.alarm(CASE_LIMIT_S)
    lateness = _Lateness()
    lateness.start()
    try:
        fault = case()
        lateness.check(bool(fault))
        code = BROKEN if fault else HELD
        verdict = f"BROKEN: {fault}" if fault else "held"
    except Exception as error:  # noqa: BLE001 - whatever stops a case, the rule was not judged
        code, verdict = COULD_NOT_RUN, f"could not run: {type(error).__name__}: {error}"
    verdict = f"{'with' if TROUBLE else 'without'} the disruption: {verdict}"
    RECORD.note("verdict", verdict)
    RECORD.write(folder / "record.txt")
    print(verdict)
    sys.stdout.flush()
    os._exit(code)  # the threads of the stand-ins may still wait
