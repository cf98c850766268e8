"""Measures the appliance under calls: processor time a call, memory, times of final answers. Any tree of the
project that knows `--sip FILE` can be measured, so that two are compared in one run:

    .venv/bin/python benchmarks/sip_calls.py --tree . --tree ../before --rate 500 --seconds 20 --tcp

Roster servers and callers are the project's stand-ins, in processes of their own. A call is INVITE, 200, ACK,
BYE and its 200. Each tree is measured in turn, `--repeats` times; every run is printed, not the best.
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
from pathlib import Path
from typing import Any

import uvloop

from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.scripted_replies import establish
from stairhatch.emulators.server_emulator import ServerEmulator

ROOT = Path(__file__).resolve().parents[1]
FILE = """\
name = "bench"
[sip]
udp = "{at}"
tcp = "{at}"
contact = "{at}"
default_class = "read-roster"
{more}
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


async def serve_rosters(count: int) -> None:
    """Stand-in roster servers that set everything up at once, until the input ends."""
    servers = [await ServerEmulator(lambda key: (establish(),), lines=100_000).listen() for _ in range(count)]
    print(json.dumps([each.address[1] for each in servers]), flush=True)
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(0, lambda: os.read(0, 1) or over.set())
    await over.wait()
    os._exit(0)


async def place_calls(port: int, rate: float, seconds: float, hold: float, tcp: bool, seed: int) -> None:
    """Calls at random times at a rate, from several offices; prints what came of them."""
    loop, chance = asyncio.get_running_loop(), random.Random(seed)
    make = CallerEmulator.over_tcp if tcp else CallerEmulator.over_udp
    callers = [await make(("127.0.0.1", port), f"o{seed}x{n}", seed + n) for n in range(4)]
    ends: dict[str, int] = {}
    times: list[float] = []

    def told(call: PlacedCall, end: CallResult, took_s: float, status: int) -> None:
        ends[f"{end.value}_{status}"] = ends.get(f"{end.value}_{status}", 0) + 1
        if end is CallResult.ESTABLISHED:
            times.append(took_s)

    begun = due = loop.time()
    placed = 0
    while due < begun + seconds:
        due += chance.expovariate(rate)
        if (left := due - loop.time()) > 0:
            await asyncio.sleep(left)
        chance.choice(callers).place("1000", hold, due, told)
        placed += 1
    await asyncio.sleep(hold + 1.5)
    copies = sum(each.counters.retransmissions for each in callers)
    print(json.dumps({"placed": placed, "ends": ends, "copies": copies, "times": times}), flush=True)


def processor_s(pid: int) -> float:
    """Processor time that a process has used."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    """What a process holds."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


def counters(log: Path, process: subprocess.Popen[bytes]) -> dict[str, int]:
    """The program's counters, asked for by signal."""
    before = log.read_text().count(" counters ")
    process.send_signal(signal.SIGUSR1)
    while log.read_text().count(" counters ") <= before:
        time.sleep(0.01)
    line = [line for line in log.read_text().splitlines() if " counters " in line][-1]
    return {name: int(value) for name, _, value in (word.partition("=") for word in line.split()[2:])}


def evicted_records(counts: dict[str, int]) -> int:
    """Transaction records that were dropped early, by the counter's name of this tree or an older one."""
    return counts.get("transaction_records_evicted", counts.get("forgotten_early", 0))


def measure(tree: Path, told: argparse.Namespace, tcp: bool, folder: Path) -> dict[str, Any]:
    """One run of one tree."""
    me = [sys.executable, __file__]
    rosters = subprocess.Popen([*me, "--rosters", "4"], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert rosters.stdout is not None
    ports = json.loads(rosters.stdout.readline())
    port, log = free_port(), folder / f"log-{time.monotonic_ns()}"
    servers = "\n".join(
        f'[[servers]]\nname = "r{n}"\naddress = "127.0.0.1:{each}"\nnumber = {n}'
        for n, each in enumerate(ports)
    )
    new = (tree / "stairhatch" / "sip").is_dir()
    path = folder / "sip.toml"
    more = "restart_wait_s = 0\ndialogs = 60000" if new else ""
    if (tree / "stairhatch" / "admission").is_dir() and told.gate != "as-is":
        more += f"\nadmission = {{ on = {'true' if told.gate == 'on' else 'false'} }}"
    path.write_text(FILE.format(at=f"127.0.0.1:{port}", servers=servers, more=more))
    with log.open("wb") as out:
        program = subprocess.Popen(
            [sys.executable, "-m", "stairhatch", "--sip", str(path)], cwd=tree, stdin=subprocess.DEVNULL,
            stdout=out, stderr=out,
        )  # fmt: skip
    while " serving " not in log.read_text():
        assert program.poll() is None, log.read_text()
        time.sleep(0.02)
    before = processor_s(program.pid)
    start_mb = memory_mb(program.pid)
    place = [*me, "--place", str(port), "--rate", str(told.rate / told.workers), "--hold", str(told.hold)]
    place += ["--seconds", str(told.seconds), *(["--tcp"] if tcp else [])]
    workers = [
        subprocess.Popen([*place, "--seed", str(seed)], stdout=subprocess.PIPE)
        for seed in range(told.workers)
    ]
    standing_mb = 0.0
    if told.hold >= told.seconds:
        time.sleep(told.seconds + 0.5)
        standing_mb = memory_mb(program.pid)
    found = [json.loads(worker.communicate()[0]) for worker in workers]
    used = processor_s(program.pid) - before
    times = sorted(each for one in found for each in one["times"])
    ends: dict[str, int] = {}
    for one in found:
        for name, count in one["ends"].items():
            ends[name] = ends.get(name, 0) + count
    counts = counters(log, program)
    placed = sum(one["placed"] for one in found)
    result = {
        "tree": tree.name, "transport": "tcp" if tcp else "udp", "placed": placed,
        "gate": told.gate, "stood": len(times) / placed,
        "in_time_a_second": sum(each <= 1.5 for each in times) / told.seconds,
        "ms_a_call": 1000 * used / max(1, len(times)),
        "p50_ms": 1000 * statistics.median(times), "p99_ms": 1000 * times[int(0.99 * len(times))],
        "copies": sum(one["copies"] for one in found), "start_mb": start_mb,
        "standing_mb": standing_mb, "after_mb": memory_mb(program.pid),
        "table_full": counts.get("table_full", 0), "forgotten_early": evicted_records(counts),
        "ends": ends,
    }  # fmt: skip
    program.kill()
    program.wait()
    rosters.kill()
    rosters.wait()
    return result


def main() -> None:
    """Measure, or be one of the processes that do."""
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
    told = parser.parse_args()
    if told.rosters:
        uvloop.run(serve_rosters(told.rosters))
    elif told.place:
        uvloop.run(place_calls(told.place, told.rate, told.seconds, told.hold, told.tcp, told.seed))
    else:
        with tempfile.TemporaryDirectory() as folder:
            for _ in range(told.repeats):
                for tree in told.tree or [ROOT]:
                    print(json.dumps(measure(tree.resolve(), told, told.tcp, Path(folder))), flush=True)


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))
    main()
