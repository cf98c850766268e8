"""SIP transactions and the records of completed ones (RFC 3261, section 17)."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.client_transactions import ClientTransactions
from stairhatch.sip.server_transactions import ServerTransactions
from stairhatch.sip.transaction_base import T4, TIMEOUT_S

from .support.sip_layers import BOUNDED, ByteRecordingFlow, ManualClock, request_head
from .support.sip_messages import sip_headers


def test_completed_transactions_shrink_to_records_that_expire():
    """Completed transactions must not accumulate in memory: at most 1 KB each, and nothing after 64 T1."""
    clock = ManualClock()
    table = ServerTransactions(clock, 64 * 1024 * 1024)
    for number in range(1000):
        flow = ByteRecordingFlow()
        request = request_head("OPTIONS", f"z9hG4bK{number}", f"c{number}")
        table.respond(table.open(request, flow), 200, "tag")
    assert not table.open_transactions
    assert table.open_bytes == 0
    assert not table.bytes_by_source
    assert len(table.records.responses) == 1000
    assert table.records.size_bytes < 1000 * 1024
    flow = ByteRecordingFlow()
    assert table.absorb(request_head("OPTIONS", "z9hG4bK7", "c7"), flow)
    assert flow.sent
    clock.run(TIMEOUT_S + 5)
    assert not table.records.responses
    assert table.records.size_bytes == 0
    assert not clock.pending
    assert not table.absorb(request_head("OPTIONS", "z9hG4bK7", "c7"), flow)


def test_a_full_table_evicts_records_before_it_rejects_new_transactions():
    """Records serve only possible retransmissions, so new transactions take precedence over them."""
    clock = ManualClock()
    table = ServerTransactions(clock, 40_000)
    for number in range(400):
        assert table.has_room("127.0.0.1")
        table.respond(
            table.open(request_head(branch=f"z9hG4bK{number}", call_id=f"c{number}"), ByteRecordingFlow()),
            200,
            "t",
        )
        assert table.open_bytes + table.records.size_bytes <= 40_000 + 4096
    assert clock.counters.counts["transaction_records_evicted"] > 0


def test_ten_thousand_open_transactions_of_one_source_leave_room_for_others():
    """A flood of INVITEs from one source, none of them answered, must not block other sources."""
    table = ServerTransactions(ManualClock(), 8 * 1024 * 1024)
    opened = 0
    for number in range(10_000):
        if table.has_room("10.0.0.66"):
            peer = ("10.0.0.66", 4000)
            flow = ByteRecordingFlow("10.0.0.66")
            table.open(request_head("INVITE", f"z9hG4bK{number}", f"c{number}", peer), flow)
            opened += 1
    assert 0 < opened < 5000
    assert not table.has_room("10.0.0.66")
    assert table.has_room("10.0.0.7")
    for number in range(200):
        assert table.has_room("10.0.0.7")
        other = request_head("INVITE", f"z9hG4bKo{number}", f"o{number}", ("10.0.0.7", 4000))
        table.respond(table.open(other, ByteRecordingFlow("10.0.0.7")), 200, "t")


class RecordingUser:
    """A user of a client transaction that records the statuses of the responses."""

    def __init__(self):
        self.received = []

    def provisional_received(self, status, _message):
        self.received.append(status)

    def final_received(self, status, _message):
        self.received.append(status)

    def flow_failed(self):
        self.received.append("flow failed")


@pytest.mark.parametrize(
    ("method", "status", "reliable", "retention_s"),
    [
        ("INVITE", 200, False, TIMEOUT_S),
        ("INVITE", 486, False, TIMEOUT_S),
        ("INVITE", 200, True, TIMEOUT_S),
        ("INVITE", 486, True, 0),
        ("BYE", 200, False, T4),
        ("BYE", 481, True, 0),
        ("BYE", None, False, TIMEOUT_S),
        ("INVITE", None, True, TIMEOUT_S),
    ],
)
def test_a_client_transaction_is_kept_until_its_timer_fires_and_no_longer(
    method, status, reliable, retention_s
):
    """A transaction that is never dropped fills the table. If it is dropped too early, a retransmitted
    response is reported twice or not acknowledged (RFC 3261, 17.1.1.2 and 17.1.2.2; RFC 6026, 7.2).
    """
    clock, flow, user = ManualClock(), ByteRecordingFlow(reliable=reliable), RecordingUser()
    table = ClientTransactions(clock)
    lines = sip_headers(method, "7", "z9hG4bKours", "c1")
    request = sip.request(method, "sip:7@net", list(lines.items()))
    table.send_request("z9hG4bKours", method, request, flow, user)
    if status is None:
        clock.run(TIMEOUT_S - 0.1)
        assert table.transactions
        assert not user.received
        clock.run(0.3)
        assert not table.transactions
        assert user.received == [408]
        clock.run(TIMEOUT_S)
        assert user.received == [408]
        assert not clock.pending
        return
    response = sip_parser.parse_datagram(sip.response(status, [*lines.items()]))
    assert table.response_received(response)
    assert user.received == [status]
    acks = [sip_parser.parse_datagram(data) for data in flow.sent if data.startswith(b"ACK")]
    assert [m.cseq() for m in acks] == ([(7, "ACK")] if method == "INVITE" and status >= 300 else [])
    for wait_s in (0.0, retention_s - 0.2):
        clock.run(max(0.0, wait_s))
        assert bool(table.transactions) is (retention_s > 0) is table.response_received(response)
        assert user.received == [status]
    clock.run(0.3)
    assert not table.transactions
    assert not table.response_received(response)


@BOUNDED
@given(st.lists(st.sampled_from(["copy", "ack", "wait", "final", "provisional"]), max_size=12), st.booleans())
def test_an_invite_has_one_final_response_for_any_sequence_of_events(steps, accepted):
    """Retransmissions, ACKs, waits and responses in any order must not produce a second final response."""
    clock, flow = ManualClock(), ByteRecordingFlow()
    table = ServerTransactions(clock, 1024 * 1024)
    request = request_head("INVITE")
    transaction = table.open(request, flow)
    for step in steps:
        match step:
            case "copy":
                assert table.absorb(request_head("INVITE"), flow)
            case "ack":
                table.absorb(request_head("ACK"), flow)
            case "wait":
                clock.run(0.7)
            case "final":
                table.respond(transaction, 200 if accepted else 486, "t")
            case _:
                table.respond(transaction, 180, "t")
    finals = {data for data in flow.sent if sip_parser.parse_datagram(data).status >= 200}
    assert len(finals) == ("final" in steps)
    clock.run(80)
    assert not table.open_transactions or "final" not in steps
    assert not table.records.responses
