"""Plays clients that close with much unread while the softswitch stands still, and prints what was sent on.

.venv/bin/python benchmarks/departing_client_run.py --setups 100,400,2000 --connections 1,8
"""

from __future__ import annotations

import argparse
import itertools
import secrets
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.hostile_clients.stand_ins import stand_ins as emulators

SERVERS = 3
STOP_S = 1.0
WATCH_S = 3.0
SEND_BUFFER_BYTES = 8 * 1024 * 1024


def setup(call_id: str) -> bytes:
    """Return an INVITE."""
    return (
        f"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        "CSeq: 1 INVITE\r\nCall-Kind: read-roster\r\nAnswer-Within: 3000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def play(setups: int, connections: int, is_reset: bool) -> str:
    """Run one play; return how many set-ups reached the servers after the clients had left."""
    servers = [emulators.RosterServer(f"s-{cell}", cell, lines=100_000) for cell in range(SERVERS)]
    coordinator = emulators.Coordinator(*(each.entry() for each in servers))
    with emulators.running(coordinator) as softswitch:
        clients = [socket.create_connection((emulators.HOST, softswitch.port)) for _ in range(connections)]
        time.sleep(0.3)
        softswitch.process.send_signal(signal.SIGSTOP)
        for client in clients:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            client.setblocking(False)
            with suppress(BlockingIOError):
                client.send(b"".join(setup(secrets.token_hex(8)) for _ in range(setups)))
        for client in clients:
            (emulators.reset if is_reset else socket.socket.close)(client)
        time.sleep(STOP_S)
        softswitch.process.send_signal(signal.SIGCONT)
        time.sleep(WATCH_S)
    sent_on = [call_id for server in servers for _, call_id in server.setups]
    twice = len(sent_on) - len(set(sent_on))
    return f"{len(sent_on)} of {setups * connections} sent on, {twice} twice"


def numbers(text: str) -> list[int]:
    """Return the numbers of a list with commas."""
    return [int(each) for each in text.split(",")]


def main() -> None:
    """Run the plays that the command line asks for, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--setups", type=numbers, default=[100, 400, 2000])
    parser.add_argument("--connections", type=numbers, default=[1, 8])
    options = parser.parse_args()
    for setups, connections, is_reset in itertools.product(
        options.setups, options.connections, (False, True)
    ):
        end = "reset" if is_reset else "close"
        outcome = play(setups, connections, is_reset)
        print(f"set-ups {setups} connections {connections} {end}: {outcome}", flush=True)


if __name__ == "__main__":
    main()
