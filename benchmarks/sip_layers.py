"""Measures the SIP layers in process, without sockets: the parser's throughput, processor time of a call
through front, core and decisions, and the memory of transactions at a rate, under a clock set by hand.

    .venv/bin/python benchmarks/sip_layers.py --rate 1000 --seconds 60
"""

from __future__ import annotations

import argparse
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stairhatch.conformance.in_process import InProcessEnvironment
from stairhatch.conformance.request_writer import SESSION_OFFER
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.request_head import RequestHead


def invite(number: int, host: str) -> bytes:
    """An INVITE as a telephone sends it."""
    headers = [
        ("via", f"SIP/2.0/UDP {host};branch=z9hG4bKo{number};rport"), ("max-forwards", "70"),
        ("from", f"<sip:o1@{host}>;tag=o{number}"), ("to", "<sip:1000@softswitch>"),
        ("call-id", f"c{number}@{host}"), ("cseq", "1 INVITE"), ("contact", f"<sip:o1@{host}>"),
        ("user-agent", "bench"), ("allow", "INVITE, ACK, CANCEL, BYE, OPTIONS"),
        ("content-type", "application/sdp"),
    ]  # fmt: skip
    return sip.request("INVITE", "sip:1000@softswitch", headers, SESSION_OFFER.encode())


def call(stage: InProcessEnvironment, number: int, step_s: float, hang_up: bool = True) -> None:
    """INVITE, 200, ACK, BYE, 200 of one caller."""
    port, host, peer = stage.frontend.flows.ports[0], "127.0.0.1:40000", ("127.0.0.1", 40000)
    port.receive(invite(number, host), peer)
    stage.wait(step_s)
    stage.deliver_output()
    answer = sip_parser.parse_datagram(stage.unclaimed[-1][1])
    stage.unclaimed.clear()
    later = [
        ("via", f"SIP/2.0/UDP {host};branch=z9hG4bKa{number};rport"), ("max-forwards", "70"),
        ("from", answer.get("from")), ("to", answer.get("to")), ("call-id", answer.get("call-id")),
        ("cseq", "1 ACK"),
    ]  # fmt: skip
    target = answer.get("contact")[1:-1]
    port.receive(sip.request("ACK", target, later), peer)
    if hang_up:
        later[0] = ("via", f"SIP/2.0/UDP {host};branch=z9hG4bKb{number};rport")
        later[-1] = ("cseq", "2 BYE")
        port.receive(sip.request("BYE", target, later), peer)
    stage.deliver_output()
    stage.unclaimed.clear()


def main() -> None:
    """Print each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=1000)
    parser.add_argument("--seconds", type=int, default=60)
    told = parser.parse_args()
    data = [invite(number, "127.0.0.1:40000") for number in range(2000)]
    size = sum(map(len, data))
    begun = time.process_time()
    for _ in range(5):
        for each in data:
            sip_parser.parse_datagram(each)
    print(f"parser alone: {5 * size / (time.process_time() - begun) / 1e6:.1f} MB/s of processor time")
    begun = time.process_time()
    for _ in range(5):
        for each in data:
            RequestHead(sip_parser.parse_datagram(each), ("127.0.0.1", 40000))
    print(f"parser and heads: {5 * size / (time.process_time() - begun) / 1e6:.1f} MB/s of processor time")
    stage = InProcessEnvironment(dialogs=10**6)
    begun = time.process_time()
    for number in range(told.rate * told.seconds):
        call(stage, number, 1 / told.rate)
    used = time.process_time() - begun
    table, counts = stage.frontend.server_transactions, stage.core.counters.counts
    calls = told.rate * told.seconds
    print(f"{calls} calls at {told.rate}/s: {1e6 * used / calls:.0f} us a call with the caller's own work")
    print(
        f"remembered {len(table.records.responses)}, {table.records.size_bytes / 1e6:.1f} MB counted; open "
        f"{len(table.open_transactions)}; table_full {counts.get('table_full', 0)}, "
        f"transaction_records_evicted {counts.get('transaction_records_evicted', 0)}"
    )
    stage = InProcessEnvironment(dialogs=10**6)
    tracemalloc.start()
    call(stage, 0, 0.001, hang_up=False)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(1, 3001):
        call(stage, number, 0.001, hang_up=False)
    held = (tracemalloc.get_traced_memory()[0] - before) / 3000
    print(f"an open dialog with its call: {held:.0f} bytes, its answered INVITE's record among them")


if __name__ == "__main__":
    main()
