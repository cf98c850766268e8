"""Plays hostile clients against a softswitch process and prints memory and ordinary callers' answers.

.venv/bin/python benchmarks/hostile_clients_run.py endless-head --clients 40,320 --memory-mb 64,192
.venv/bin/python benchmarks/hostile_clients_run.py --list
"""

from __future__ import annotations

import argparse
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.hostile_clients.behaviours import BEHAVIOURS
from benchmarks.hostile_clients.play import Play, run_play
from benchmarks.scaling.softswitch_process import ProgramLimits


def numbers(text: str) -> list[int]:
    """Return the numbers of a list with commas."""
    return [int(each) for each in text.split(",")]


def main() -> None:
    """Run the plays that the command line asks for, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("behaviours", nargs="*", choices=[*BEHAVIOURS, []], help="all if none is named")
    parser.add_argument("--list", action="store_true", help="print the behaviours and end")
    parser.add_argument("--clients", type=numbers, default=[320])
    parser.add_argument("--memory-mb", type=numbers, default=[64, 192])
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--server-lines", type=int, default=40)
    options = parser.parse_args()
    if options.list:
        print("\n".join(BEHAVIOURS))
        return
    plays = itertools.product(options.behaviours or BEHAVIOURS, options.memory_mb, options.clients)
    for behaviour, memory_mb, clients in plays:
        limits = ProgramLimits(memory_mb, options.sockets)
        outcome = run_play(Play(behaviour, clients, limits, options.seconds, options.server_lines))
        print(f"{behaviour} clients {clients} memory_mb {memory_mb}: {outcome.summary()}", flush=True)


if __name__ == "__main__":
    main()
