"""Measures how soon restarted softswitches serve.

Many softswitches are started at once, with emulated roster servers and a coordinator that is up, slow, silent
or truncates first answers. The time runs from the start of a process to the first health check (OPTIONS)
that the platform frontend answers with 200. Prints p50, p90 and the longest time, and medians of its phases.

    python benchmarks/restarts.py                                   # 30 softswitches, 24 roster servers
    python benchmarks/restarts.py --count 8 --servers 1900          # a long list
    python benchmarks/restarts.py --stuck 1 --dead 4 --connect-s 11 # unresponsive and refusing servers
    python benchmarks/restarts.py --tree ../before                  # program of another tree

Roster servers share a few listeners, and each has a name of its own in the endpoint list. A stuck server has
a listener whose accept queue is full; a dead server's port refuses connections.
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
from enum import Enum
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.ports import free_port
from stairhatch.node import sip_message as sip

ROOT = Path(__file__).parents[1]
LISTENERS = 8
INSTANCE_COUNT = 64  # number of server numbers, which are assigned to the roster servers in turn
SLOW_ANSWER_S = 1.0  # delay of each answer of a slow coordinator
LONGEST_POLL_S = 2.0
TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.01
CHECK_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 0.3  # a listener's accept queue counts as full after a connection attempt of this time
LOG_DELAY_S = 0.1
HEALTH_CHECK = sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b"")
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "period_s": 0.005,
    "classes": [
        {
            "name": "voice",
            "aim_s": 1.5,
            "hard_limit_s": 9.0,
            "importance": 1.0,
            "late_worth": 0.25,
            "effect": "read_like",
        },
    ],
    "family_info": {
        "allowed_pools": [list(range(64))],
        "call_length_s": [10.0],
        "clear_wait_s": 0.5,
        "retransmit_s": 0.8,
        "self_no": -1,
    },
    "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
    "permissions": {
        "send_cap": 6,
        "may_probe": False,
        "peers": False,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_s": 2.0,
    },
    "safety": {
        "answer_slack_s": 0.02,
        "drain_grace_s": 1.0,
        "cold_from": 0.25,
        "warm_after_s": 15.0,
        "fall_multiple": 2.0,
        "fall_s": 1.0,
    },
}
# Log events, and the field of StartTimes for the time of the last such event. Older trees log `reached`
# instead of `server_connected`.
FIELD_BY_EVENT = {
    "ready": "ready",
    "serving": "serving",
    "server_connected": "connected",
    "reached": "connected",
}


class CoordinatorBehaviour(Enum):
    """The behaviour of the emulated coordinator. The values are arguments of the option `--way`."""

    UP = "up"
    SLOW = "slow"
    SILENT = "silent"
    # Every other first answer is truncated, so that each softswitch succeeds in the end.
    BAD_FIRST = "bad first"


@dataclass(slots=True, kw_only=True)
class StartTimes:
    """The times of one start, in seconds from the start of the process, and its processor seconds.

    0 means that the log has no such event.
    """

    healthy: float
    ready: float = 0.0
    connected: float = 0.0
    serving: float = 0.0
    processor: float = 0.0  # used until the health check passed


class EmulatedCoordinator:
    """A coordinator with one behaviour, which sends no updates beyond those in the configuration."""

    def __init__(self, behaviour: CoordinatorBehaviour, index: int) -> None:
        """Create a coordinator; `index` is the index of the endpoint list in its answers."""
        self.behaviour = behaviour
        self.index = index
        self.first_answers = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection."""
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            while text := await reader.readline():
                if text.startswith(b"GET "):
                    await self._answer(text, writer)
        writer.close()

    async def _answer(self, text: bytes, writer: asyncio.StreamWriter) -> None:
        wait_s = int(text.split(b"wait_ms=")[1].split(b" ")[0]) / 1000
        is_first = wait_s < 1  # the softswitch polls without waiting until it has the first answer
        match self.behaviour:
            case CoordinatorBehaviour.SILENT:
                await asyncio.sleep(TIMEOUT_S)
            case CoordinatorBehaviour.SLOW:
                await asyncio.sleep(SLOW_ANSWER_S)
            case CoordinatorBehaviour.BAD_FIRST if is_first:
                self.first_answers += 1
                if self.first_answers % 2:
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"index":')
                    return
        await asyncio.sleep(min(wait_s, LONGEST_POLL_S))
        body = json.dumps({"index": self.index, "updates": []}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()


class UnresponsiveListener:
    """A listener whose accept queue is full, so that connection attempts time out."""

    def __init__(self) -> None:
        """Open the listener, and connect until its accept queue is full."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        self.address: tuple[str, int] = listener.getsockname()
        self._sockets = [listener]
        while self._connect():
            pass

    def _connect(self) -> bool:
        """Try one more connection. Returns whether it was established."""
        sock = socket.socket()
        sock.settimeout(CONNECT_TIMEOUT_S)
        self._sockets.append(sock)
        try:
            sock.connect(self.address)
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Close the listener and the connections that fill its queue."""
        for sock in self._sockets:
            sock.close()


async def wait_until_healthy(address: tuple[str, int], started_at: float) -> float:
    """Return the seconds from `started_at` to the first 200 to a health check; inf after TIMEOUT_S."""
    while time.monotonic() - started_at < TIMEOUT_S:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEALTH_CHECK)
            head = await asyncio.wait_for(reader.read(64), CHECK_TIMEOUT_S)
            writer.close()
            if head.startswith(b"SIP/2.0 200"):
                return time.monotonic() - started_at
        await asyncio.sleep(CHECK_INTERVAL_S)
    return float("inf")


async def start_softswitch(folder: Path, number: int, config: dict[str, Any], tree: Path) -> StartTimes:
    """Start one softswitch, wait until it passes a health check, and kill it. Returns its times."""
    port = free_port()
    path, log = folder / f"{number}.json", folder / f"{number}.log"
    path.write_text(json.dumps({**config, "name": f"n{number}", "listen": f"127.0.0.1:{port}"}))
    with log.open("wb") as output:
        started_at, started_at_unix = time.monotonic(), time.time()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stairhatch",
            cwd=tree,
            stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stdout=output,
            stderr=output,
        )
    try:
        start = StartTimes(healthy=await wait_until_healthy(("127.0.0.1", port), started_at))
        await asyncio.sleep(LOG_DELAY_S)
        start.processor = processor_time_s(process.pid)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    text = log.read_text()
    if start.healthy > TIMEOUT_S:
        print(f"softswitch passed no health check; end of its log: {text[-200:]}", file=sys.stderr)
    for line in text.splitlines():
        at, event, *_ = f"{line}  ".split(" ")
        if event in FIELD_BY_EVENT:
            setattr(start, FIELD_BY_EVENT[event], float(at) - started_at_unix)
    return start


def processor_time_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds (proc(5)); 0.0 if it has ended."""
    with contextlib.suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0


def endpoint_lines(
    options: argparse.Namespace,
    listening: list[tuple[str, int]],
    unresponsive: list[UnresponsiveListener],
) -> list[dict[str, Any]]:
    """Return the endpoint list, with listening, unresponsive (stuck) and refusing (dead) roster servers."""
    lines = [
        endpoint_line(f"s-{index}", listening[index % LISTENERS], index % INSTANCE_COUNT)
        for index in range(options.servers)
    ]
    lines += [
        endpoint_line(f"stuck-{index}", each.address, index % INSTANCE_COUNT)
        for index, each in enumerate(unresponsive)
    ]
    lines += [
        endpoint_line(f"dead-{index}", ("127.0.0.1", free_port()), index % INSTANCE_COUNT)
        for index in range(options.dead)
    ]
    return lines


def softswitch_config(
    options: argparse.Namespace, coordinator: tuple[str, int], lines: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the configuration that all softswitches share."""
    permissions = {**SETTINGS["permissions"], "connect_timeout_s": options.connect_s}
    endpoints = {"generation": 1, "reset": True, "instances": lines}
    return {
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": max(1024, 3 * options.servers)},
        "coordinator": f"{coordinator[0]}:{coordinator[1]}",
        "settings": {**SETTINGS, "permissions": permissions},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": endpoints}]},
    }


async def start_all(behaviour: CoordinatorBehaviour, options: argparse.Namespace) -> list[StartTimes]:
    """Start all softswitches at once, with a coordinator of the given behaviour. Returns their times."""
    loop = asyncio.get_running_loop()
    # Servers that accept connections and send nothing.
    listeners = [
        await loop.create_server(asyncio.Protocol, "127.0.0.1", 0, backlog=4096) for _ in range(LISTENERS)
    ]
    unresponsive = [UnresponsiveListener() for _ in range(options.stuck)]
    coordinator = EmulatedCoordinator(behaviour, 1)
    server = await asyncio.start_server(coordinator.serve, "127.0.0.1", 0, backlog=4096)
    listening = [each.sockets[0].getsockname()[:2] for each in listeners]
    lines = endpoint_lines(options, listening, unresponsive)
    config = softswitch_config(options, server.sockets[0].getsockname()[:2], lines)
    with tempfile.TemporaryDirectory() as folder:
        starts = await asyncio.gather(
            *(start_softswitch(Path(folder), index, config, options.tree) for index in range(options.count))
        )
    for each in (*listeners, server, *unresponsive):
        each.close()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(LOG_DELAY_S)
    return starts


def quantile(values: list[float], fraction: float) -> float:
    """Return the nearest-rank quantile of the values; `fraction` is between 0 and 1."""
    return sorted(values)[min(len(values) - 1, max(0, round(fraction * len(values)) - 1))]


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n\n")[0])
    parser.add_argument("--count", type=int, default=30)
    parser.add_argument("--servers", type=int, default=24)
    parser.add_argument("--stuck", type=int, default=0)
    parser.add_argument("--dead", type=int, default=0)
    parser.add_argument("--connect-s", type=float, default=0.5)
    parser.add_argument("--way", choices=[each.value for each in CoordinatorBehaviour], action="append")
    parser.add_argument("--tree", type=Path, default=ROOT)
    return parser.parse_args()


def main() -> None:
    """Measure each behaviour of the coordinator, and print one line for each."""
    options = parse_options()
    for value in options.way or [each.value for each in CoordinatorBehaviour]:
        starts = asyncio.run(start_all(CoordinatorBehaviour(value), options))
        healthy_s = [each.healthy for each in starts]
        medians = {
            name: quantile([getattr(each, name) for each in starts], 0.5)
            for name in ("ready", "connected", "serving", "processor")
        }
        print(
            f"{value:9} {options.count} at once, {options.servers}+{options.stuck}+{options.dead} servers:"
            f" healthy p50 {quantile(healthy_s, 0.5):.2f} s, p90 {quantile(healthy_s, 0.9):.2f} s,"
            f" longest {max(healthy_s):.2f} s;"
            f" medians: ready {medians['ready']:.2f} s, last connection {medians['connected']:.2f} s,"
            f" serving {medians['serving']:.2f} s; {medians['processor']:.2f} s of processor time",
            flush=True,
        )


if __name__ == "__main__":
    main()
