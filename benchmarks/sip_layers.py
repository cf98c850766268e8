"""Measures the SIP layers in process, without sockets, on a manually advanced clock.

The figures are the parser's throughput, the processor time per call through frontend, call manager and
decisions, and the memory of transactions and dialogs:

    .venv/bin/python benchmarks/sip_layers.py --rate 1000 --seconds 60
"""

from __future__ import annotations

import argparse
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stairhatch.conformance.in_process import InProcessEnvironment
from stairhatch.emulators.caller_emulator import SESSION_OFFER
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.request_head import RequestHead

HOST = "127.0.0.1:40000"
PEER = ("127.0.0.1", 40000)
CALLED_URI = "sip:1000@softswitch"
PARSED_REQUESTS = 2000
PARSE_ROUNDS = 5
OPEN_DIALOGS = 3000
MAX_DIALOGS = 10**6


def invite(number: int) -> bytes:
    """Return an INVITE with the headers and the SDP offer of a telephone."""
    headers = [
        ("via", f"SIP/2.0/UDP {HOST};branch=z9hG4bKo{number};rport"),
        ("max-forwards", "70"),
        ("from", f"<sip:o1@{HOST}>;tag=o{number}"),
        ("to", f"<{CALLED_URI}>"),
        ("call-id", f"c{number}@{HOST}"),
        ("cseq", "1 INVITE"),
        ("contact", f"<sip:o1@{HOST}>"),
        ("user-agent", "bench"),
        ("allow", "INVITE, ACK, CANCEL, BYE, OPTIONS"),
        ("content-type", "application/sdp"),
    ]
    return sip.request("INVITE", CALLED_URI, headers, SESSION_OFFER)


def in_dialog_request(method: str, cseq: int, branch: str, answer: sip.SipMessage) -> bytes:
    """Return a request within the dialog that a 200 to an INVITE has established."""
    headers = [
        ("via", f"SIP/2.0/UDP {HOST};branch={branch};rport"),
        ("max-forwards", "70"),
        ("from", answer.get("from")),
        ("to", answer.get("to")),
        ("call-id", answer.get("call-id")),
        ("cseq", f"{cseq} {method}"),
    ]
    return sip.request(method, answer.get("contact")[1:-1], headers)


def play_call(environment: InProcessEnvironment, number: int, step_s: float, release: bool = True) -> None:
    """Play the messages of one caller: INVITE, 200, ACK and, if `release` is set, BYE and 200."""
    port = environment.frontend.flows.ports[0]
    port.receive(invite(number), PEER)
    environment.wait(step_s)
    environment.deliver_output()
    answer = sip_parser.parse_datagram(environment.undelivered[-1][1])
    environment.undelivered.clear()
    port.receive(in_dialog_request("ACK", 1, f"z9hG4bKa{number}", answer), PEER)
    if release:
        port.receive(in_dialog_request("BYE", 2, f"z9hG4bKb{number}", answer), PEER)
    environment.deliver_output()
    environment.undelivered.clear()


def throughput_mb_s(data: list[bytes], read: Callable[[bytes], object]) -> float:
    """Return the megabytes that `read` processes per second of processor time."""
    started_at = time.process_time()
    for _ in range(PARSE_ROUNDS):
        for each in data:
            read(each)
    return PARSE_ROUNDS * sum(map(len, data)) / (time.process_time() - started_at) / 1e6


def print_parser() -> None:
    """Print the throughput of the parser, alone and together with reading the mandatory headers."""
    data = [invite(number) for number in range(PARSED_REQUESTS)]
    parsed = throughput_mb_s(data, sip_parser.parse_datagram)
    print(f"parser alone: {parsed:.1f} MB/s of processor time")
    read = throughput_mb_s(data, lambda each: RequestHead(sip_parser.parse_datagram(each), PEER))
    print(f"parser and heads: {read:.1f} MB/s of processor time")


def print_calls(rate: int, seconds: int) -> None:
    """Print the processor time per call, and the transaction records that remain at the end."""
    environment = InProcessEnvironment(dialogs=MAX_DIALOGS)
    calls = rate * seconds
    started_at = time.process_time()
    for number in range(calls):
        play_call(environment, number, 1 / rate)
    used_s = time.process_time() - started_at
    table, counts = environment.frontend.server_transactions, environment.frontend.counters.counts
    print(f"{calls} calls at {rate}/s: {1e6 * used_s / calls:.0f} us per call, including the emulated caller")
    print(
        f"remembered {len(table.records.responses)} transaction records,"
        f" {table.records.size_bytes / 1e6:.1f} MB; open transactions {len(table.open_transactions)};"
        f" table_full {counts.get('table_full', 0)}, "
        f"transaction_records_evicted {counts.get('transaction_records_evicted', 0)}"
    )


def print_dialog_memory() -> None:
    """Print the memory of an established dialog together with its call."""
    environment = InProcessEnvironment(dialogs=MAX_DIALOGS)
    tracemalloc.start()
    play_call(environment, 0, 0.001, release=False)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(1, OPEN_DIALOGS + 1):
        play_call(environment, number, 0.001, release=False)
    bytes_per_dialog = (tracemalloc.get_traced_memory()[0] - before) / OPEN_DIALOGS
    print(f"an open dialog with its call: {bytes_per_dialog:.0f} bytes with the INVITE's transaction record")


def main() -> None:
    """Run all measurements and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=1000)
    parser.add_argument("--seconds", type=int, default=60)
    arguments = parser.parse_args()
    print_parser()
    print_calls(arguments.rate, arguments.seconds)
    print_dialog_memory()


if __name__ == "__main__":
    main()
