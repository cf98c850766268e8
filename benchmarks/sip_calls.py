"""Measures the softswitch under SIP calls: processor time per call, memory, and times to final responses.

Any tree of the project that supports `--sip FILE` can be measured, so that one run can compare two trees:

    .venv/bin/python benchmarks/sip_calls.py --tree . --tree ../before --rate 500 --seconds 20 --tcp

Roster servers and callers are the project's emulators, in processes of their own. A call is INVITE, 200, ACK,
BYE and its 200. The trees are measured in turn, `--repeats` times; each run is printed, not only the best.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.scripted_replies import establish
from stairhatch.emulators.server_emulator import ServerEmulator

ROOT = Path(__file__).resolve().parents[1]
ROSTER_SERVERS = 4
SERVER_LINES = 100_000  # concurrent calls that one roster server accepts
CALLERS = 4  # emulated callers in each worker process
CALLED_NUMBER = "1000"
LATENCY_OBJECTIVE_S = 1.5
LINGER_S = 1.5  # wait for late responses after the end of the last call
POLL_S = 0.01
CONFIGURATION = """\
name = "bench"
[sip]
udp = "{address}"
tcp = "{address}"
contact = "{address}"
default_class = "read-roster"
{keys}
{servers}
[settings]
[[settings.classes]]
name = "read-roster"
aim_s = 1.5
hard_limit_s = 9.0
[settings.family_info]
clear_wait_s = 0.5
retransmit_s = 0.8
[settings.permissions]
send_cap = 6
cancel = true
max_retry_after_s = 2.0
[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """The parameters of the calls of one run. Times are in seconds, the rate in calls per second."""

    rate: float
    seconds: float
    hold_s: float  # duration of an established call
    workers: int  # processes that place calls
    tcp: bool
    admission: str  # "on", "off", or "as-is" for the default of the tree


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerFigures:
    """The results of all callers of one run."""

    placed: int
    results: Counter[str]  # number of calls by "RESULT_STATUS"
    retransmissions: int
    established_after_s: list[float]  # set-up times, sorted


# ---- processes of the emulated roster servers and callers ----


async def serve_rosters(count: int) -> None:
    """Run roster servers that establish every call at once, until standard input is closed.

    Prints the servers' ports as one line of JSON.
    """
    servers = [
        await ServerEmulator(lambda _key: (establish(),), lines=SERVER_LINES).listen() for _ in range(count)
    ]
    print(json.dumps([each.address[1] for each in servers]), flush=True)
    loop, input_ended = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(0, lambda: os.read(0, 1) or input_ended.set())
    await input_ended.wait()
    os._exit(0)


async def place_calls(port: int, workload: Workload, seed: int) -> None:
    """Place calls from several callers as a Poisson process, and print the results as one line of JSON."""
    loop, rng = asyncio.get_running_loop(), random.Random(seed)
    open_caller = CallerEmulator.over_tcp if workload.tcp else CallerEmulator.over_udp
    callers = [
        await open_caller(("127.0.0.1", port), f"o{seed}x{index}", seed + index) for index in range(CALLERS)
    ]
    results: Counter[str] = Counter()
    established_after_s: list[float] = []

    def call_ended(_call: PlacedCall, result: CallResult, after_s: float, status: int) -> None:
        results[f"{result.value}_{status}"] += 1
        if result is CallResult.ESTABLISHED:
            established_after_s.append(after_s)

    started_at = due_at = loop.time()
    placed = 0
    while due_at < started_at + workload.seconds:
        due_at += rng.expovariate(workload.rate)
        if (left_s := due_at - loop.time()) > 0:
            await asyncio.sleep(left_s)
        rng.choice(callers).place(CALLED_NUMBER, workload.hold_s, due_at, call_ended)
        placed += 1
    await asyncio.sleep(workload.hold_s + LINGER_S)
    retransmissions = sum(each.counters.retransmissions for each in callers)
    figures = {"placed": placed, "ends": results, "copies": retransmissions, "times": established_after_s}
    print(json.dumps(figures), flush=True)


@contextmanager
def roster_servers() -> Iterator[list[int]]:
    """Run the roster servers in a process of their own until the context is left; yields their ports."""
    command = [sys.executable, __file__, "--rosters", str(ROSTER_SERVERS)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        try:
            yield json.loads(process.stdout.readline())
        finally:
            process.kill()


class CallerProcesses:
    """The worker processes that place the calls of one run."""

    def __init__(self, port: int, workload: Workload) -> None:
        """Start the processes; they call the program at a port of this machine."""
        command = [sys.executable, __file__, "--place", str(port), "--hold", str(workload.hold_s)]
        command += ["--rate", str(workload.rate / workload.workers), "--seconds", str(workload.seconds)]
        command += ["--tcp"] if workload.tcp else []
        self._processes = [
            subprocess.Popen([*command, "--seed", str(seed)], stdout=subprocess.PIPE)
            for seed in range(workload.workers)
        ]

    def wait(self) -> CallerFigures:
        """Wait until all calls have ended. Returns the results of all processes together."""
        figures = [json.loads(process.communicate()[0]) for process in self._processes]
        return CallerFigures(
            placed=sum(each["placed"] for each in figures),
            results=sum((Counter(each["ends"]) for each in figures), Counter()),
            retransmissions=sum(each["copies"] for each in figures),
            established_after_s=sorted(after_s for each in figures for after_s in each["times"]),
        )


# ---- the program under test ----


class ProgramUnderTest:
    """A process of the program of one tree, with its configuration, log and port."""

    def __init__(self, tree: Path, folder: Path, server_ports: list[int], admission: str) -> None:
        """Start the program, and wait until it has logged the event `serving`."""
        self.port = free_port()
        self._log = folder / f"log-{time.monotonic_ns()}"
        path = folder / "sip.toml"
        path.write_text(_configuration(tree, self.port, server_ports, admission))
        command = [sys.executable, "-m", "stairhatch", "--sip", str(path)]
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                command, cwd=tree, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        while " serving " not in self._log.read_text():
            assert self._process.poll() is None, self._log.read_text()
            time.sleep(POLL_S)

    def processor_s(self) -> float:
        """Return the processor time of the program so far, in seconds (proc(5))."""
        words = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident memory of the program in MiB."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) / 1024

    def counters(self) -> dict[str, int]:
        """Send SIGUSR1, wait until the program logs its counters, and return them by name."""
        lines_before = self._log.read_text().count(" counters ")
        self._process.send_signal(signal.SIGUSR1)
        while self._log.read_text().count(" counters ") <= lines_before:
            time.sleep(POLL_S)
        line = [line for line in self._log.read_text().splitlines() if " counters " in line][-1]
        return {name: int(value) for name, _, value in (word.partition("=") for word in line.split()[2:])}

    def kill(self) -> None:
        """Kill the program and wait for its end."""
        self._process.kill()
        self._process.wait()


def _configuration(tree: Path, port: int, server_ports: list[int], admission: str) -> str:
    """Return the text of a configuration file that has only the keys supported by the tree."""
    servers = "\n".join(
        f'[[servers]]\nname = "r{number}"\naddress = "127.0.0.1:{each}"\nnumber = {number}'
        for number, each in enumerate(server_ports)
    )
    keys = []
    if (tree / "stairhatch" / "sip").is_dir():
        keys += ["restart_wait_s = 0", "dialogs = 60000"]
    if (tree / "stairhatch" / "admission").is_dir() and admission != "as-is":
        keys.append(f"admission = {{ on = {'true' if admission == 'on' else 'false'} }}")
    return CONFIGURATION.format(address=f"127.0.0.1:{port}", servers=servers, keys="\n".join(keys))


# ---- one measurement run and the command line ----


def measure(tree: Path, workload: Workload, folder: Path) -> dict[str, Any]:
    """Measure one run of one tree. Returns the figures as a JSON object."""
    with roster_servers() as server_ports:
        program = ProgramUnderTest(tree, folder, server_ports, workload.admission)
        try:
            return _measure_program(tree, program, workload)
        finally:
            program.kill()


def _measure_program(tree: Path, program: ProgramUnderTest, workload: Workload) -> dict[str, Any]:
    processor_before_s, start_mb = program.processor_s(), program.memory_mb()
    processes = CallerProcesses(program.port, workload)
    standing_mb = 0.0
    if workload.hold_s >= workload.seconds:
        time.sleep(workload.seconds + 0.5)
        standing_mb = program.memory_mb()
    callers = processes.wait()
    used_s = program.processor_s() - processor_before_s
    counts = program.counters()
    times = callers.established_after_s
    return {
        "tree": tree.name,
        "transport": "tcp" if workload.tcp else "udp",
        "placed": callers.placed,
        "gate": workload.admission,
        "stood": len(times) / callers.placed,
        "in_time_a_second": sum(each <= LATENCY_OBJECTIVE_S for each in times) / workload.seconds,
        "ms_a_call": 1000 * used_s / max(1, len(times)),
        "p50_ms": 1000 * statistics.median(times),
        "p99_ms": 1000 * times[int(0.99 * len(times))],
        "copies": callers.retransmissions,
        "start_mb": start_mb,
        "standing_mb": standing_mb,
        "after_mb": program.memory_mb(),
        "table_full": counts.get("table_full", 0),
        "forgotten_early": evicted_records(counts),
        "ends": callers.results,
    }


def evicted_records(counts: dict[str, int]) -> int:
    """Return the number of transaction records evicted early.

    Older trees have this counter under the name `forgotten_early`.
    """
    return counts.get("transaction_records_evicted", counts.get("forgotten_early", 0))


def parse_arguments() -> argparse.Namespace:
    """Parse the command line; `--rosters` and `--place` are for processes started by this program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, action="append")
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hold", type=float, default=1.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--repeats", type=int, default=2)
    parser.add_argument("--gate", choices=("on", "off", "as-is"), default="as-is", help="sip.admission.on")
    parser.add_argument("--tcp", action="store_true")
    parser.add_argument("--rosters", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--place", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    """Measure the trees, or run as one of the roster server or caller processes."""
    arguments = parse_arguments()
    workload = Workload(
        rate=arguments.rate,
        seconds=arguments.seconds,
        hold_s=arguments.hold,
        workers=arguments.workers,
        tcp=arguments.tcp,
        admission=arguments.gate,
    )
    if arguments.rosters:
        uvloop.run(serve_rosters(arguments.rosters))
    elif arguments.place:
        uvloop.run(place_calls(arguments.place, workload, arguments.seed))
    else:
        with tempfile.TemporaryDirectory() as folder:
            for _ in range(arguments.repeats):
                for tree in arguments.tree or [ROOT]:
                    print(json.dumps(measure(tree.resolve(), workload, Path(folder))), flush=True)


if __name__ == "__main__":
    main()
