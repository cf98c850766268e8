"""Stand-ins for the platform, written from its pages: coordinator, roster servers and callers.

Everything runs in one event loop, on loopback addresses and the real clock. Each stand-in notes what crosses
its sockets in a `Record`. The softswitch is started as a separate process with the `run` command of the
deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import logging
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
BACKLOG = 128
FILLERS = 3  # connections that fill an accept queue of length 0, and one that proves it full
LOAD_INTERVAL_S = 0.4
PR_SET_PDEATHSIG = 1  # option of prctl(2)
BROKEN_EXIT = 10  # told apart from Python's own 1 by run.sh
RELEASE_KEPT_S = 30.0  # a server repeats no older release on a new connection
CROSSING_S = 0.05  # a set-up sent this shortly before its connection ends is sent again
HARNESS_TICK_S = 0.02
SIGKILL_AFTER_S = 3.7  # of SIGTERM; deadlines over 3 s count as 3 s
KEPT_CONNECTIONS = 4  # of the callers to one softswitch
MAX_STALL_S = 0.3  # a harness that was later than this can judge nothing
PLACES = ("oslo", "bergen", "trondheim", "tromso")


class Record:
    """What was sent, answered and run, with Unix times; written to `record.txt` at the end."""

    def __init__(self) -> None:
        """Start empty; times are printed relative to the start."""
        self.started_at = time.time()
        self.lines: list[str] = []
        self.longest_stall_s = 0.0

    def note(self, who: str, what: str) -> None:
        """Add a line about one stand-in or process."""
        self.lines.append(f"{time.time() - self.started_at:9.4f} {who:12} {what}")

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n")

    async def watch_stalls(self) -> None:
        """Measure how late the harness itself runs, which widens every bound."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(HARNESS_TICK_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - before - HARNESS_TICK_S)


# ---- coordinator ----


class Coordinator:
    """The coordinator: numbered events, told by long polls over HTTP/1.1."""

    def __init__(self, record: Record) -> None:
        """Start without events; `queue_s` is how long each request waits in turn before it is looked at."""
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.held_at: list[float] = []
        self.queue_s = 0.0
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, at the same port as before if there was one."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Refuse new connections and reset the open ones; events can still be added."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.note("coordinator", "down: connections reset, new ones refused")

    def publish(self, lines: list[dict[str, Any]]) -> float:
        """Add an event; the first holds the whole list. Return the time from which the event is held."""
        index = len(self.events) + 1
        endpoints = {"generation": index, "reset": index == 1, "instances": lines}
        self.events.append({"index": index, "endpoints": endpoints})
        self.held_at.append(time.time())
        states = " ".join(f"{each['instanceId']}={each['lifecycle']}" for each in lines)
        self.record.note("coordinator", f"holds event {index}: {states}")
        self._changed.set()
        self._changed = asyncio.Event()
        return self.held_at[-1]

    def known(self) -> dict[str, Any]:
        """Return the events so far in the form of the configuration's `known`."""
        return {"index": len(self.events), "updates": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            while line := await reader.readline():
                if line.startswith(b"GET "):
                    await self._answer(line.decode(), reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        follow = int(line.split("follow=")[1].split("&")[0])
        wait_s = int(line.split("wait_ms=")[1].split(" ")[0]) / 1000
        self.record.note("coordinator", f"asked: follow={follow} wait_s={wait_s}")
        asked_at = time.time()
        await asyncio.sleep(self.queue_s)
        left_s = asked_at + wait_s - time.time()
        if len(self.events) <= follow and left_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        if writer.is_closing() or reader.at_eof():
            self.record.note("coordinator", f"the asker of follow={follow} has closed its connection")
            return
        body = json.dumps({"index": len(self.events), "updates": self.events[follow:]}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()
        self.record.note("coordinator", f"answered follow={follow} with {len(self.events) - follow} events")


# ---- roster servers ----


@dataclass
class ServerCall:
    """A call at a roster server, from its set-up until its end."""

    tag: str
    server: str
    received_at: float
    link: ServerLink | None
    established_at: float = 0.0
    ended_at: float = 0.0  # the end of a set-up or of a call that stood; 0: none yet
    end: str = ""
    release_sent_at: float = 0.0
    is_repeated: bool = False  # its release was sent on a second connection as well
    is_forgotten: bool = False  # the process that had the call is gone


class ServerLink(asyncio.Protocol):
    """The server's side of one connection from a softswitch."""

    def __init__(self, server: RosterServer) -> None:
        """Belong to `server`."""
        self.server = server
        self.is_silent = False  # the machine has vanished: nothing is read or sent on this connection
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the state first, then the releases of ended calls again."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.links.append(self)
        self.report_load()
        self.server.repeat_releases(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Give up the set-ups that are open on the connection."""
        self.server.link_lost(self)

    def data_received(self, data: bytes) -> None:
        """Handle whole lines, unless the machine is gone."""
        if self.is_silent:
            return
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self.server.received(self, json.loads(line))

    def send(self, message: dict[str, Any]) -> None:
        """Send one JSON line."""
        if not self.is_silent and not self.transport.is_closing():
            self.transport.write(json.dumps(message).encode() + b"\n")

    def report_load(self) -> None:
        """Send the state of the group now and from time to time."""
        if not self.is_silent and not self.transport.is_closing():
            self.send({"verb": "LOAD", "tag": "", "opts": {"load": self.server.load()}})
            self.server.loop.call_later(LOAD_INTERVAL_S, self.report_load)


class RosterServer:
    """A roster server: it answers a set-up after its work, and ends a call after its length."""

    def __init__(self, name: str, number: int, record: Record, length_s: tuple[float, float]) -> None:
        """Bind a port; `length_s` is the range of the lengths of calls."""
        self.name, self.number, self.record, self.length_s = name, number, record, length_s
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{name} lengths")
        self.work_s = 0.03
        self.started_at = 0.0
        self.is_draining = False
        self.links: list[ServerLink] = []
        self.calls: dict[str, ServerCall] = {}  # set-ups in progress and standing calls
        self.history: list[ServerCall] = []  # all set-ups ever received
        self.process = 0  # counts the processes: work of an earlier one is forgotten
        self._fillers: list[socket.socket] = []
        self.sock = self._bound(0)
        self.port: int = self.sock.getsockname()[1]
        self.accept()

    @staticmethod
    def _bound(port: int) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
        return sock

    def line(self, lifecycle: str = "in_service") -> dict[str, Any]:
        """Return the server's line in the coordinator's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": PLACES[self.number % len(PLACES)],
            "machineType": "std",
            "cell": self.number,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": round(self.started_at * 1000),
        }

    def load(self) -> str:
        """Return a report: free lines, lines, the processor's wait in ms and set-ups a second."""
        return f"free:{400 - len(self.calls)};size:400;mean_ms:5.0;can_take:40.0"

    # ---- connections ----

    def accept(self) -> None:
        """Let new connections come up, also those that are being tried."""
        fillers = {each.getsockname() for each in self._fillers}
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self.sock.listen(BACKLOG)
        with contextlib.suppress(BlockingIOError):
            while fillers:
                sock, peer = self.sock.accept()
                if peer in fillers:
                    sock.close()
                else:
                    self._take(sock)
        self.loop.add_reader(self.sock, self._accept_ready)

    def leave_unanswered(self) -> None:
        """Let no new connection come up: the accept queue is full and nobody empties it."""
        self.loop.remove_reader(self.sock)
        self.sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)

    def _accept_ready(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, _ = self.sock.accept()
                self._take(sock)

    def _take(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.record.note(self.name, "a connection has come up")
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: ServerLink(self), sock))
        task.add_done_callback(lambda _: None)

    def link_lost(self, link: ServerLink) -> None:
        """Give up the set-ups that were open on a connection; standing calls go on."""
        if link in self.links:
            self.links.remove(link)
        self.record.note(self.name, "a connection has ended")
        for call in [each for each in self.calls.values() if each.link is link]:
            call.link = None
            if not call.established_at:
                self._end(call, "given up: its connection ended")

    # ---- calls ----

    def received(self, link: ServerLink, message: dict[str, Any]) -> None:
        """Handle a set-up or a release; other lines are of no interest."""
        tag = str(message.get("tag", ""))
        if message["verb"] == "START":
            call = ServerCall(tag, self.name, time.time(), link)
            self.calls[tag] = call
            self.history.append(call)
            self.record.note(self.name, f"START {tag} left={message['opts'].get('left')}")
            self.loop.call_later(self.work_s, self._answer, call, self.process)
        elif message["verb"] == "FINISH":
            known = self.calls.get(tag)
            self.record.note(
                self.name, f"FINISH {tag} from the softswitch, {'known' if known else 'unknown'}"
            )
            if known is not None:
                self._end(known, "released by the softswitch")
            link.send({"verb": "FINISHED", "tag": tag, "opts": {}})

    def _answer(self, call: ServerCall, process: int) -> None:
        if process != self.process or self.calls.get(call.tag) is not call or call.link is None:
            return
        call.established_at = time.time()
        self.record.note(self.name, f"STARTED {call.tag}")
        description = f"{call.tag} at {self.name}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0\r\n"
        call.link.send(
            {"verb": "STARTED", "tag": call.tag, "opts": {"load": self.load()}, "blob": description}
        )
        self.loop.call_later(self.rng.uniform(*self.length_s), self._length_over, call, process)

    def _length_over(self, call: ServerCall, process: int) -> None:
        if process != self.process or self.calls.get(call.tag) is not call:
            return
        self._end(call, "ended")
        link = call.link or (self.links[-1] if self.links else None)
        if link is not None:
            self._release_on(link, call)

    def _release_on(self, link: ServerLink, call: ServerCall) -> None:
        call.release_sent_at = call.release_sent_at or time.time()
        self.record.note(self.name, f"FINISH {call.tag} 16")
        link.send({"verb": "FINISH", "tag": call.tag, "opts": {}, "rc": 16})

    def repeat_releases(self, link: ServerLink) -> None:
        """Send each recent release once more, on the next connection after the one that it was sent on."""
        for call in self.history:
            is_recent = time.time() - call.ended_at < RELEASE_KEPT_S
            if call.end == "ended" and is_recent and not call.is_repeated and not call.is_forgotten:
                call.is_repeated = bool(call.release_sent_at)
                self._release_on(link, call)

    def _end(self, call: ServerCall, how: str) -> None:
        call.ended_at, call.end = time.time(), how
        self.calls.pop(call.tag, None)
        self.record.note(self.name, f"end of {call.tag}: {how}")

    # ---- troubles ----

    def vanish(self) -> None:
        """Lose the machine: its calls are gone, connections stay open and silent, none comes up."""
        self.process += 1
        for link in self.links:
            link.is_silent = True
        self.record.note(self.name, f"the machine has vanished with {len(self.calls)} calls")
        for call in list(self.calls.values()):
            self._end(call, "vanished")
        for call in self.history:
            call.is_forgotten = True
        self.leave_unanswered()

    def stop(self) -> None:
        """End the process: its connections are reset, its calls cut, and new connections refused."""
        self.process += 1
        self.record.note(self.name, f"the process stops with {len(self.calls)} calls")
        for call in list(self.calls.values()):
            self._end(call, "cut")
        self.loop.remove_reader(self.sock)
        self.sock.close()
        for link in list(self.links):
            link.transport.abort()

    def come_back(self) -> None:
        """Start again, cold and without calls, at the same address."""
        self.started_at = time.time()
        self.record.note(self.name, "the machine is back, cold")
        self.accept()


# ---- callers ----


@dataclass
class Send:
    """One sending of a set-up on a connection."""

    connection: CallerConnection
    at: float
    is_first: bool  # the first request on its connection
    ended_at: float = 0.0  # the connection ended without an answer; 0: it did not


@dataclass
class PlacedCall:
    """A call as its caller sees it."""

    call_id: str
    sent_at: float
    timeout_s: float
    first: str
    headers: dict[str, str]
    body: str
    answers: list[tuple[float, int, str]] = field(default_factory=list)  # time, status, description
    sends: list[Send] = field(default_factory=list)  # one, or two if it crossed the end of its connection
    released_at: float = 0.0


class CallerConnection(asyncio.Protocol):
    """One connection from the callers' front to a softswitch."""

    def __init__(self, callers: Callers) -> None:
        """Belong to `callers`."""
        self.callers = callers
        self._buffer = b""
        self.is_open = False
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.is_open = transport, True

    def connection_lost(self, _error: Exception | None) -> None:
        """Note the end for the calls without an answer."""
        self.is_open = False
        self.callers.connection_ended(self)

    def data_received(self, data: bytes) -> None:
        """Read whole SIP messages."""
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            headers = {
                each.partition(":")[0].strip().lower(): each.partition(":")[2].strip() for each in lines
            }
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self._buffer = rest[size:]
            self.callers.received(self, first, headers, rest[:size].decode())

    def send(self, first: str, headers: dict[str, str], body: str = "") -> None:
        """Send one SIP message."""
        if self.is_open and not self.transport.is_closing():
            data = body.encode()
            lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
            lines.append(f"Content-Length: {len(data)}")
            self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)


class Callers:
    """The callers of one softswitch, on a few connections that they keep."""

    def __init__(self, name: str, record: Record, address: tuple[str, int]) -> None:
        """Call the softswitch at `address`."""
        self.name, self.record, self.address = name, record, address
        self.rng = random.Random(f"{name} callers")
        self.calls: dict[str, PlacedCall] = {}
        self.connections: list[CallerConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_taken_in = True
        self.requests_until = math.inf  # Unix time
        self.loop = asyncio.get_running_loop()

    async def connect(self, count: int) -> None:
        """Open further connections."""
        for _ in range(count):
            _, connection = await self.loop.create_connection(lambda: CallerConnection(self), *self.address)
            self.connections.append(connection)

    async def place_calls(
        self, rate: float, until: float, make: Callable[[random.Random], tuple[str, float, int]]
    ) -> None:
        """Place calls until a Unix time, `rate` a second; `make` draws class, time-out and first choice.

        A few connections are kept open while the front has the softswitch taken in (`is_taken_in`).
        """
        while time.time() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            open_ones = [each for each in self.connections if each.is_open]
            if self.is_taken_in and len(open_ones) < KEPT_CONNECTIONS:
                with contextlib.suppress(OSError):
                    await self.connect(1)
                open_ones = [each for each in self.connections if each.is_open]
            if open_ones and time.time() < self.requests_until:
                self.invite(self.rng.choice(open_ones), *make(self.rng))

    def invite(
        self, connection: CallerConnection, call_class: str, timeout_s: float, first_choice: int
    ) -> PlacedCall:
        """Send one set-up."""
        call_id = f"{self.rng.getrandbits(64):016x}"
        self.record.note(self.name, f"INVITE {call_id} {call_class} within {timeout_s:.2f} s")
        headers = {
            "Via": "SIP/2.0/TCP peer",
            "Call-ID": call_id,
            "CSeq": "1 INVITE",
            "Call-Kind": call_class,
            "Answer-Within": str(int(timeout_s * 1000)),
            "Routing-Data": f"dest:{first_choice};width:1;via:-1",
        }
        number = f"{self.rng.getrandbits(64):016x}"
        body = f"{call_id}\r\nc=IN IP4 {HOST}\r\nm=audio 30000 RTP/AVP 0\r\n"
        first = f"INVITE sip:{number}@net SIP/2.0"
        call = PlacedCall(call_id, time.time(), timeout_s, first, headers, body)
        self.calls[call_id] = call
        self._send(call, connection)
        return call

    def _send(self, call: PlacedCall, connection: CallerConnection) -> None:
        call.sends.append(Send(connection, time.time(), connection.requests == 0))
        connection.requests += 1
        connection.send(call.first, call.headers, call.body)

    def received(self, link: CallerConnection, first: str, headers: dict[str, str], body: str) -> None:
        """Handle an answer to a set-up (with an ACK), or a release (with 200)."""
        call_id = headers.get("call-id", "")
        call = self.calls.get(call_id)
        method = headers.get("cseq", "").partition(" ")[2]
        if first.startswith("BYE "):
            self.record.note(self.name, f"BYE {call_id} {headers.get('reason', '')}")
            if call is not None and not call.released_at:
                call.released_at = time.time()
            echoed = {
                name: headers[name] for name in ("via", "from", "to", "call-id", "cseq") if name in headers
            }
            link.send("SIP/2.0 200 OK", echoed)
            return
        status = int(first.split(" ")[1]) if first.startswith("SIP/2.0 ") else 0
        if method == "INVITE" and status >= 200 and call is not None:
            call.answers.append((time.time(), status, body))
            self.record.note(self.name, f"{status} {call_id}")
            link.send(
                f"ACK sip:{call_id}@net SIP/2.0",
                {"Via": "SIP/2.0/TCP peer", "Call-ID": call_id, "CSeq": "1 ACK"},
            )

    def connection_ended(self, connection: CallerConnection) -> None:
        """Note the end at the unanswered calls; a set-up that crossed it is sent again, once."""
        self.record.note(self.name, "a connection has ended")
        now = time.time()
        for call in self.calls.values():
            last = call.sends[-1]
            if last.connection is not connection or call.answers:
                continue
            last.ended_at = now
            if now - last.at <= CROSSING_S and len(call.sends) == 1:
                task = self.loop.create_task(self._send_again(call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send_again(self, call: PlacedCall) -> None:
        with contextlib.suppress(OSError):
            await self.connect(1)
            self.record.note(self.name, f"INVITE {call.call_id} again, on a new connection")
            self._send(call, self.connections[-1])


# ---- the softswitch ----


def settings(classes: list[dict[str, Any]], servers: int, balancers: int, me: int) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "az": 0,
        "balancers": balancers,
        "classes": classes,
        "client_habits": {"marks_retry": True},
        "discovery": "push",
        "family_info": {
            "allowed_pools": [list(range(servers)) for _ in classes],
            "call_length_s": [9.0 for _ in classes],
            "class_width": [1 for _ in classes],
            "clear_wait_s": 0.5,
            "hints_route": False,
            "layout": "pools",
            "peer_load": "inline",
            "retransmit_s": 0.8,
            "self_no": -1,
            "tells_wait": False,
        },
        "load_report": {"how": "inline", "names": ["free", "size", "mean_ms", "can_take"]},
        "me": me,
        "parties": [],
        "period_s": 0.005,
        "permissions": {
            "cancel": True,
            "connect_timeout_s": 0.5,
            "may_probe": False,
            "parallel_tries": False,
            "peers": False,
            "retry_after": True,
            "max_retry_after_s": 2.0,
            "send_cap": 6,
        },
        "safety": {
            "answer_slack_s": 0.02,
            "cold_from": 0.29,
            "drain_grace_s": 1.0,
            "fall_multiple": 2.5,
            "fall_s": 1.5,
            "must_ask_in_s": 10.0,
            "warm_after_s": 14.0,
        },
        "zones": list(PLACES),
    }


ROSTER_CLASSES: list[dict[str, Any]] = [
    {
        "name": name,
        "aim_s": 1.5,
        "hard_limit_s": 9.0,
        "importance": worth,
        "late_worth": late,
        "effect": "read_like",
        "dedup_scope": "all",
        "memory_span_s": 5.0,
        "stream": True,
    }
    for name, worth, late in (("read-roster", 1.0, 0.25), ("save-roster", 3.0, 0.1))
]


def reserved_port() -> socket.socket:
    """Return a socket that keeps a free port and never listens; one with SO_REUSEADDR still can."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


def end_with_parent() -> None:
    """Let the kernel kill this process when the one that started it ends, in whatever way."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Softswitch:
    """One softswitch: a process started with `run` of the deploy file, its log and its configuration."""

    def __init__(self, name: str, record: Record, config: dict[str, Any], folder: Path) -> None:
        """Reserve ports and write the configuration into `folder`."""
        self.name, self.record, self.folder = name, record, folder
        self.reserved = [
            reserved_port() for _ in range(2)
        ]  # bound until the end, so that no other run takes them
        self.address, self.console = (each.getsockname() for each in self.reserved)
        self.config = {
            **config,
            "name": name,
            "listen": f"{HOST}:{self.address[1]}",
            "console": f"{HOST}:{self.console[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        self.config_path = folder / "config.json"
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the configuration and start a process."""
        self.starts += 1
        self.write_config()
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment |= {"RELAY_NAME": self.name, "RELAY_LISTEN": str(self.config["listen"])}
        environment |= {"RELAY_CONFIG": str(self.config_path), "TMPDIR": str(temporary)}
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / f"log-{self.starts}.txt").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record.note(self.name, f"process {self.starts} started")

    def write_config(self) -> None:
        """Replace the configuration file."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.config_path)

    async def ready(self, within_s: float = 30.0) -> None:
        """Wait until a test on a connection like a caller's passes."""
        deadline = time.time() + within_s
        request = (
            b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: 00000000000000aa\r\n"
            b"CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
        )
        while time.time() < deadline:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} has ended: {self.log()[-300:]}")
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(request)
                    answer = await reader.readline()
                    writer.close()
                    if b" 200 " in answer:
                        self.record.note(self.name, "has passed a test")
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")

    def log(self) -> str:
        """Return the log of the present process."""
        return (self.folder / f"log-{self.starts}.txt").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.note(self.name, f"{number.name} is sent to process {self.starts}")
        self.process.send_signal(number)

    async def restart(self, callers: Callers, known: dict[str, Any]) -> None:
        """Restart as the platform plans it: SIGTERM, SIGKILL at the earliest, and a new process.

        The callers open new connections for 0.3 s and send requests for 0.2 s more, until the new process has
        passed a test.
        """
        assert self.process is not None
        began = time.time()
        callers.requests_until = began + 0.5
        self.signal(signal.SIGTERM)
        while self.process.poll() is None and time.time() < began + SIGKILL_AFTER_S:
            await asyncio.sleep(0.005)
            callers.is_taken_in = time.time() < began + 0.3
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.record.note(self.name, f"process {self.starts} has ended with {self.process.wait()}")
        callers.is_taken_in = False
        self.config["known"] = known
        self.start()
        await self.ready()
        callers.is_taken_in, callers.requests_until = True, math.inf

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for each in self.reserved:
            each.close()


class CannotRunError(RuntimeError):
    """Raised if the case itself can't be played."""


async def _play(scenario: Callable[[Record, Path], Any], record: Record, folder: Path) -> list[str]:
    watcher = asyncio.get_running_loop().create_task(record.watch_stalls())
    try:
        broken: list[str] = await scenario(record, folder)
    finally:
        watcher.cancel()
    return broken


def main(scenario: Callable[[Record, Path], Any], out: Path) -> int:
    """Play a scenario and return the exit code: 10 if it names broken rules, 0 if not, 2 if it can't run."""
    record = Record()
    signal.signal(
        signal.SIGTERM, lambda *_: sys.exit(2)
    )  # the processes that were started are ended then too
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # writes to connections that have just been reset
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            broken = asyncio.run(asyncio.wait_for(_play(scenario, record, Path(name)), 110.0))
        except Exception as error:  # noqa: BLE001 - a fault of the case itself is no broken rule
            record.note("harness", f"could not run: {type(error).__name__}: {error}")
            record.write(out)
            print(f"could not run: {error}")
            return 2
    record.note("harness", f"late by {record.longest_stall_s:.3f} s at most")
    if record.longest_stall_s > MAX_STALL_S:
        record.write(out)
        print("could not run: the machine was too busy")
        return 2
    for line in broken:
        record.note("BROKEN", line)
    record.note("harness", f"{len(broken)} violations")
    record.write(out)
    print(f"{len(broken)} violations, harness late by {record.longest_stall_s:.3f} s at most")
    for line in broken[:5]:
        print(" ", line)
    return BROKEN_EXIT if broken else 0


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
