"""Plays a silent roster server whose address a new process takes, and prints when the callers are told.

    .venv/bin/python benchmarks/replaced_server_run.py --reached 0.3,1,2 --listed 6.5,14

The old process falls silent with its calls; the new one is reached `reached` seconds later, and the endpoint
list names the change `listed` seconds after the end.
"""

from __future__ import annotations

import argparse
import itertools
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.hostile_clients.stand_ins import stand_ins as emulators

CALLS = 10
SERVERS = 3
REPORT_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 5.0
WATCH_S = 18.0  # from the end of the old process


class TakenAddress(emulators.Proxy):
    """The way to an address: to a process, or to nobody, where connections come up and stay silent."""

    def go_silent(self) -> None:
        """Silence the open connections, and lead new ones to nobody."""
        self.silent.update(range(1, self.connections + 1))
        self.server = None

    def _accept(self) -> None:
        unanswered = []
        while True:
            near, _ = self._listener.accept()
            self.connections += 1
            if self.server is None:
                self.silent.add(self.connections)
                unanswered.append(near)
                continue
            far = socket.create_connection((emulators.HOST, self.server.port))
            for source, target in ((near, far), (far, near)):
                arguments = (self.connections, source, target)
                threading.Thread(target=self._pass_on, args=arguments, daemon=True).start()


def report_lines(servers: list) -> None:
    """Report the free lines of all servers again and again."""
    while True:
        time.sleep(REPORT_INTERVAL_S)
        for server in servers:
            server.lines = 40 + (server.lines + 1) % 2
            server.report_lines()


def play(reached_s: float, listed_s: float) -> str:
    """Run one play; return when the callers were told, in seconds after the end."""
    servers = [emulators.RosterServer(f"s-{cell}", cell) for cell in range(SERVERS)]
    old = servers[0]
    address = TakenAddress(old)
    coordinator = emulators.Coordinator(*(each.entry() for each in servers))
    threading.Thread(target=report_lines, args=(servers,), daemon=True).start()
    with emulators.running(coordinator) as softswitch:
        caller = emulators.Caller(softswitch.port)
        calls = [caller.set_up(dest=0) for _ in range(CALLS)]
        emulators.wait_for(lambda: all(map(caller.status, calls)), ANSWER_TIMEOUT_S, "the calls")
        time.sleep(REPORT_INTERVAL_S)
        ended_at = emulators.RECORD.now()
        address.go_silent()
        time.sleep(reached_s)
        new = emulators.RosterServer("s-9", 0)
        new.public_port = old.public_port
        address.server = new
        servers.append(new)
        time.sleep(max(0.0, ended_at + listed_s - emulators.RECORD.now()))
        coordinator.tell(old.entry("terminated"), new.entry())
        time.sleep(max(0.0, ended_at + WATCH_S - emulators.RECORD.now()))
        held = [each for each in calls if each in old.calls]
        told = [caller.releases.get(each, [float("inf")])[0] - ended_at for each in held]
    return f"{len(held)} calls told {min(told):.2f} to {max(told):.2f} s after the end"


def numbers(text: str) -> list[float]:
    """Return the numbers of a list with commas."""
    return [float(each) for each in text.split(",")]


def main() -> None:
    """Run the plays that the command line asks for, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--reached", type=numbers, default=[1.0])
    parser.add_argument("--listed", type=numbers, default=[6.5, 14.0])
    options = parser.parse_args()
    for reached_s, listed_s in itertools.product(options.reached, options.listed):
        print(f"reached {reached_s} listed {listed_s}: {play(reached_s, listed_s)}", flush=True)


if __name__ == "__main__":
    main()
