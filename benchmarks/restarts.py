"""How soon restarted softswitches serve: many are started at once before stand-in roster servers and a
coordinator that is up, slow, silent or spoils its first answer to each; from the start of the process to the
first test (OPTIONS) that the platform's front answers with 200. Prints p50, p90 and the longest, and what the
time went into; nothing here is a test.

    python benchmarks/restarts.py                                   # 30 at once, 24 roster servers, each way
    python benchmarks/restarts.py --count 8 --servers 1900          # a long list
    python benchmarks/restarts.py --stuck 1 --dead 4 --connect-s 11 # servers that never answer, and refuse
    python benchmarks/restarts.py --tree ../before                  # another tree's program

Roster servers share a few listeners, under one name each in the list. A stuck one has a listener whose queue
is full; a dead one's port refuses.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.ports import free_port
from stairhatch.node import sip_message as sip

ROOT = Path(__file__).parents[1]
LISTENERS = 8
SLOW_S = 1.0  # before each answer of a slow coordinator
GIVE_UP_S = 30.0
WAYS = ("up", "slow", "silent", "bad first")
PING = sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b"")
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "classes": [
        {"name": "voice", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25},
    ],
    "family_info": {"allowed_pools": [list(range(64))], "clear_wait_s": 0.5, "retransmit_s": 0.8},
    "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
    "permissions": {"send_cap": 6, "cancel": True, "retry_after": True, "max_retry_after_s": 2.0},
    "safety": {"answer_slack_s": 0.02, "drain_grace_s": 1.0},
}


# Log events and the fields that hold when the last of them came; older trees say `reached`.
EVENTS = {"ready": "ready", "serving": "serving", "server_connected": "connected", "reached": "connected"}


@dataclass
class Start:
    """One start: seconds since the process was begun, and processor seconds of it by then."""

    passed: float
    ready: float = 0.0
    connected: float = 0.0
    serving: float = 0.0
    processor: float = 0.0


class Discovery:
    """A coordinator that keeps to one of the ways; it knows no more than the configuration tells."""

    def __init__(self, way: str, index: int) -> None:
        self.way, self.index, self.spoilt = way, index, 0

    async def took(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            while text := await reader.readline():
                if text.startswith(b"GET "):
                    await self._answer(text, writer)
        writer.close()

    async def _answer(self, text: bytes, writer: asyncio.StreamWriter) -> None:
        wait_s = int(text.split(b"wait_ms=")[1].split(b" ")[0]) / 1000
        if self.way == "silent":
            await asyncio.sleep(GIVE_UP_S)
        if self.way == "slow":
            await asyncio.sleep(SLOW_S)
        first = wait_s < 1  # asked for at once: this softswitch has had no answer yet
        if self.way == "bad first" and first and self.spoilt < 10**6:
            self.spoilt += 1
            if self.spoilt % 2:  # every second one, so that each comes through in the end
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"index":')
                return
        await asyncio.sleep(min(wait_s, 2.0))
        body = json.dumps({"index": self.index, "updates": []}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()


def stuck_place() -> tuple[tuple[str, int], list[socket.socket]]:
    """An address that answers no dial, and what keeps it so."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    held = [listener]
    while True:
        sock = socket.socket()
        sock.settimeout(0.3)
        held.append(sock)
        try:
            sock.connect(listener.getsockname())
        except TimeoutError:
            return listener.getsockname(), held


async def passed(place: tuple[str, int], began: float) -> float:
    """When the front first answers a test with 200."""
    while time.monotonic() - began < GIVE_UP_S:
        try:
            reader, writer = await asyncio.open_connection(*place)
            writer.write(PING)
            head = await asyncio.wait_for(reader.read(64), 5)
            writer.close()
            if head.startswith(b"SIP/2.0 200"):
                return time.monotonic() - began
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.01)
    return float("inf")


async def one_start(folder: Path, number: int, config: dict[str, Any], tree: Path) -> Start:
    """Start one softswitch and wait until it passes its test."""
    port = free_port()
    path, log = folder / f"{number}.json", folder / f"{number}.log"
    path.write_text(json.dumps({**config, "name": f"n{number}", "listen": f"127.0.0.1:{port}"}))
    with log.open("wb") as output:
        began, began_unix = time.monotonic(), time.time()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "stairhatch", cwd=tree, stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path)}, stdout=output, stderr=output,
        )  # fmt: skip
    try:
        found = Start(await passed(("127.0.0.1", port), began))
        await asyncio.sleep(0.1)  # for its lines
        with contextlib.suppress(OSError):
            words = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            found.processor = (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    if found.passed > GIVE_UP_S:
        print(f"never passed: {log.read_text()[-200:]}", file=sys.stderr)
    for text in log.read_text().splitlines():
        at, event, *_ = f"{text}  ".split(" ")
        if event in EVENTS:
            setattr(found, EVENTS[event], float(at) - began_unix)
    return found


async def play(way: str, options: argparse.Namespace) -> list[Start]:
    """All starts of one way."""
    loop, listening = asyncio.get_running_loop(), []  # servers that take links and say nothing
    held: list[socket.socket] = []
    for _ in range(LISTENERS):
        listening.append(await loop.create_server(asyncio.Protocol, "127.0.0.1", 0, backlog=4096))
    places = [each.sockets[0].getsockname()[:2] for each in listening]
    lines = [endpoint_line(f"s-{n}", places[n % LISTENERS], n % 64) for n in range(options.servers)]
    for number in range(options.stuck):
        place, held_by = stuck_place()
        held += held_by
        lines.append(endpoint_line(f"stuck-{number}", place, number % 64))
    lines += [endpoint_line(f"dead-{n}", ("127.0.0.1", free_port()), n % 64) for n in range(options.dead)]
    discovery = Discovery(way, 1)
    server = await asyncio.start_server(discovery.took, "127.0.0.1", 0, backlog=4096)
    permissions = {**SETTINGS["permissions"], "connect_timeout_s": options.connect_s}
    config = {
        "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": max(1024, 3 * options.servers)},
        "coordinator": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
        "settings": {**SETTINGS, "permissions": permissions},
        "known": {"index": 1, "updates": [
            {"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": lines}}]},
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as name:
        work = [one_start(Path(name), n, config, options.tree) for n in range(options.count)]
        found = await asyncio.gather(*work)
    for each in (*listening, server):
        each.close()
    for sock in held:
        sock.close()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0.1)
    return found


def at(values: list[float], share: float) -> float:
    """The value that so large a share of them does not pass."""
    return sorted(values)[min(len(values) - 1, max(0, round(share * len(values)) - 1))]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n\n")[0])
    parser.add_argument("--count", type=int, default=30)
    parser.add_argument("--servers", type=int, default=24)
    parser.add_argument("--stuck", type=int, default=0)
    parser.add_argument("--dead", type=int, default=0)
    parser.add_argument("--connect-s", type=float, default=0.5)
    parser.add_argument("--way", choices=WAYS, action="append")
    parser.add_argument("--tree", type=Path, default=ROOT)
    options = parser.parse_args()
    for way in options.way or WAYS:
        starts = asyncio.run(play(way, options))
        times = [each.passed for each in starts]
        middle = {
            name: at([getattr(each, name) for each in starts], 0.5)
            for name in ("ready", "connected", "serving", "processor")
        }
        print(
            f"{way:9} {options.count} at once, {options.servers}+{options.stuck}+{options.dead} servers:"
            f" passed p50 {at(times, 0.5):.2f} s, p90 {at(times, 0.9):.2f} s, longest {max(times):.2f} s;"
            f" medians: up {middle['ready']:.2f} s, last link {middle['connected']:.2f} s,"
            f" serving {middle['serving']:.2f} s; {middle['processor']:.2f} s of processor",
            flush=True,
        )


if __name__ == "__main__":
    main()
