"""The transactions and dialogs of the SIP frontend, by a clock set by hand."""

from __future__ import annotations

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.overload.events import LoadReport

from .support.in_process_node import InProcessNode
from .support.recording_flow import RecordingFlow
from .support.sip_layers import digest_authenticator
from .support.sip_messages import sip_headers

REPORT = LoadReport()


@pytest.fixture(params=[False, True], ids=["udp", "tcp"])
def line(request):
    return RecordingFlow(InProcessNode(), reliable=request.param)


def establish_call(line):
    """A call that stands and was acknowledged; returns our tag."""
    line.request()
    line.node.establish()
    tag = line.to_tag()
    line.request("ACK", to=f"<sip:7@net>;tag={tag}")
    return tag


@pytest.mark.parametrize(
    ("method", "change", "status"),
    [
        ("INVITE", {"cseq": "1 BYE"}, 400),
        ("INVITE", {"from": None}, 400),
        ("INVITE", {"call_id": None}, 400),
        ("INVITE", {"max_forwards": "many"}, 400),
        ("INVITE", {"max_forwards": "9" * 5000}, 400),
        ("INVITE", {"cseq": "9" * 5000 + " INVITE"}, 400),
        ("INVITE", {"uri": "sip:7\udcff@net"}, 400),
        ("INVITE", {"call_kind": "no-such-class"}, 400),
        ("INVITE", {"max_forwards": "0"}, 483),
        ("INVITE", {"require": "100rel, timer, foo"}, 420),
        ("INVITE", {"to": "<sip:7@net>;tag=unknown"}, 481),
        ("INVITE", {"uri": "sips:7@net"}, 416),
        ("INVITE", {"uri": "mailto:7@net"}, 416),
        ("BYE", {"to": "<sip:7@net>;tag=unknown"}, 481),
        ("CANCEL", {}, 481),
        ("PUBLISH", {}, 405),
        ("OPTIONS", {}, 200),
    ],
)
def test_requests_that_set_up_no_call_are_answered(line, method, change, status):
    """Each with its status, or counted where nothing can be answered."""
    answer = line.request(method, **change)
    if None in change.values():
        assert not line.sent  # it can't be answered, only counted
        assert line.node.core.counters.counts["malformed_from_callers"] == 1
        return
    assert answer.status == status
    assert not line.node.written
    assert answer.get("unsupported") == ("foo" if status == 420 else "")
    assert "INVITE" in answer.get("allow") or status not in (200, 405)


def test_a_via_is_stamped_with_the_source_and_the_response_goes_there(line):
    """Otherwise a response is lost behind a translated address (RFC 3581)."""
    answer = line.request("OPTIONS", via="SIP/2.0/UDP office.example:5060;rport;branch=z9hG4bKx")
    via = sip.parameters(answer.get("via"))
    assert (via["received"], via["rport"]) == ("127.0.0.1", "4000")


def test_a_2xx_is_retransmitted_until_its_ack_with_the_description_unchanged(line):
    """Over both transports (RFC 3261, 13.3.1.4)."""
    line.request(number="1", uri="sip:712@net", record_route="<sip:p1;lr>, <sip:p2;lr>")
    line.node.establish()
    line.node.run(3.6)
    assert line.statuses() == [100, 200, 200, 200, 200]  # after 0.5, 1.5 and 3.5 s
    answer = line.sent[-1]
    assert answer.body == "v=0 æ".encode()
    assert answer.get("content-type") == "application/sdp"
    assert answer.get_all("record-route") == ["<sip:p1;lr>", "<sip:p2;lr>"]
    assert answer.get("contact")
    assert line.node.written[0].call.request.call_class.name == "save-roster"  # by the prefix 7 of the number
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    line.node.run(60)
    assert len(line.statuses()) == 5
    assert not line.node.front.server_transactions.open_transactions


def test_a_call_whose_2xx_is_never_acknowledged_is_released_on_both_sides(line):
    """Its caller has vanished."""
    line.request()
    line.node.establish()
    line.node.run(33)
    assert line.sent[-1].method == "BYE" or "BYE" in [m.method for m in line.sent]
    assert line.node.releases
    assert not line.node.core.calls.by_number
    line.node.run(40)
    assert not line.node.front.server_transactions.open_transactions
    assert not line.node.front.dialogs


@pytest.mark.parametrize("acked", [True, False])
def test_a_non_2xx_response_is_retransmitted_over_udp_until_its_ack(line, acked):
    """And its transaction ends without one too (timers G, H and I)."""
    line.request(expires="2")
    line.node.run(2)  # the caller's time runs out
    first = [s for s in line.statuses() if s >= 200]
    assert first == [408]
    if acked:
        line.request("ACK", branch="z9hG4bKINVITE1")
    before = len(line.sent)
    line.node.run(70)
    assert (len(line.sent) > before) is (not line.reliable and not acked)
    assert not line.node.front.server_transactions.open_transactions


def test_the_caller_timeout_is_that_of_the_class_or_of_expires(line):
    """No later response would find the caller."""
    line.request(expires="2")
    line.node.run(2.0)
    assert line.statuses()[:2] == [100, 408]
    assert len(line.node.releases) == 1  # the attempt is given up


@pytest.mark.parametrize("after", ["before the answer", "after the answer"])
def test_cancel_ends_a_call_before_its_final_response_alone(line, after):
    """The call of a cancelled INVITE ends, and one that is answered goes on (RFC 3261, 9.2)."""
    line.request()
    if after == "after the answer":
        line.node.establish()
    line.request("CANCEL", branch="z9hG4bKINVITE1")
    assert line.statuses("CANCEL") == [200]
    if after == "after the answer":
        assert line.statuses() == [100, 200]
        assert line.node.core.calls.by_number
    else:
        assert line.statuses() == [100, 487]
        assert not line.node.core.calls.by_number
        assert len(line.node.releases) == 1


def test_an_invite_retransmitted_after_its_cancel_is_the_same_transaction():
    """Over UDP the copy may come late, also when the transaction is long over: it is no new call."""
    line = RecordingFlow(InProcessNode())
    line.request()
    line.request("CANCEL", branch="z9hG4bKINVITE1")
    for wait in (0.0, 1.0, 40.0, 60.0):  # also when the transaction is long over
        line.node.run(wait)
        if wait == 40.0:
            line.request("ACK", branch="z9hG4bKINVITE1")
        line.request()
    assert line.node.core.counters.counts["calls_offered"] == 1
    assert len(line.node.written) == 1
    assert set(line.statuses()) == {100, 487}


def test_a_dialog_outlives_its_connection_and_its_bye_may_come_by_udp():
    """TCP ends within the dialog."""
    inside = InProcessNode()
    line, other = RecordingFlow(inside, reliable=True), RecordingFlow(inside)
    tag = establish_call(line)
    line.alive = False
    assert inside.core.calls.by_number
    assert other.request("BYE", number="2", to=f"<sip:7@net>;tag={tag}").status == 200
    assert len(inside.releases) == 1
    assert not inside.core.calls.by_number
    assert not inside.front.dialogs


@pytest.mark.parametrize("transport", ["", ";transport=tcp"])
def test_our_bye_goes_to_the_contact_when_the_connection_has_ended(transport):
    """By a new connection if the Contact says TCP."""
    inside, dialled = InProcessNode(), []
    inside.front.flows.dial = dialled.append
    line = RecordingFlow(inside, reliable=True)
    line.request(contact=f"<sip:office@127.0.0.1:4010{transport}>")
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    line.alive = False
    attempt = inside.written[0]
    inside.core.responses.call_released(attempt.server, attempt.call.request.ident, 16, "", REPORT)
    if transport:
        data, peer = dialled[0].data_to_send(), dialled[0].peer
    else:
        data, peer = inside.front.flows.ports[0].output[0]
    assert peer == ("127.0.0.1", 4010)
    bye = sip_parser.parse_datagram(data)
    assert bye.method == "BYE"
    assert bye.get("to") == "<sip:office@net>;tag=f1"
    assert sip.parameters(bye.get("from"))["tag"]
    assert bye.cseq() == (1, "BYE")


def test_requests_of_a_dialog_must_come_in_order(line):
    """A retransmission or a late request must not end or change a call (RFC 3261, 12.2.2)."""
    tag = establish_call(line)
    to = f"<sip:7@net>;tag={tag}"
    assert line.request(number="3", to=to).status == 200  # a refresh
    line.request("ACK", number="3", branch="z9hG4bKa3", to=to)
    assert line.request("BYE", number="2", to=to).status == 500
    assert line.node.core.calls.by_number
    assert line.request("BYE", number="4", to=to).status == 200
    assert line.request("BYE", number="5", to=to).status == 481


def test_our_bye_is_retransmitted_over_udp_until_its_response(line):
    """Otherwise a lost release leaves the caller in the call (timers E and F)."""
    establish_call(line)
    attempt = line.node.written[0]
    line.node.core.responses.call_released(attempt.server, attempt.call.request.ident, 41, "", REPORT)
    line.node.run(2.0)
    byes = [m for m in line.sent if m.method == "BYE"]
    assert len(byes) == (1 if line.reliable else 3)
    assert byes[0].get("reason") == "Q.850;cause=41"
    answer = sip_parser.parse_datagram(sip.response(200, sip.echoed(byes[0])))
    line.node.front.message_received(line, answer)
    line.node.run(40)
    assert len([m for m in line.sent if m.method == "BYE"]) == len(byes)


def test_a_merged_request_is_answered_482(line):
    """Two calls must not come of one INVITE that arrives by two paths (RFC 3261, 8.2.2.2)."""
    line.request()
    assert line.request(branch="z9hG4bKother").status == 482
    assert len(line.node.written) == 1


def test_a_transaction_without_a_magic_cookie_is_matched(line):
    """Callers from before RFC 3261 give no branch that identifies a transaction."""
    for _ in range(2):
        line.request(via="SIP/2.0/UDP 127.0.0.1:4000")
    line.request("CANCEL", via="SIP/2.0/UDP 127.0.0.1:4000")
    assert line.node.core.counters.counts["calls_offered"] == 1
    assert line.statuses()[-1] == 487


def test_a_full_transaction_table_answers_503_with_retry_after(line):
    """A flood of requests must not fill memory."""
    line.request()
    line.node.front.server_transactions.max_bytes = 1
    answer = line.request(branch="z9hG4bKz", call_id="c2")
    assert answer.status == 503
    assert int(answer.get("retry-after")) >= 1


def test_an_exception_in_the_decisions_is_answered_500(line, monkeypatch):
    """Otherwise its caller would wait."""

    def broken(_now, _event):
        raise RuntimeError("out of order")

    monkeypatch.setattr(line.node.core.controller, "handle", broken)
    answer = line.request()
    assert answer.status == 500
    assert answer.get("retry-after")
    assert line.node.core.counters.counts["decision_faults"] >= 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\0\1\2 nonsense", None),
        (b"INVITE sip:7@net SIP/2.0\r\nbroken header\r\n\r\n", None),
        (b"INVITE sip:7@net SIP/7.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\n\r\n", 505),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>\r\n ;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\nl: 50\r\n\r\nshort", 400),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>\r\n ;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\nc: application/sdp\r\n\r\n" + b'"' * 9000, 413),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\n\r\n" + b"a" * 17000, 413),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\nc: application/sdp\r\n\r\n\xff", 400),
    ],
)  # fmt: skip
def test_malformed_datagrams_are_answered_or_counted(data, status):
    """None stops the program, and none is answered where the peer is unknown."""
    inside = InProcessNode()
    inside.front.flows.ports[0].receive(data, ("127.0.0.1", 4000))
    sent = [sip_parser.parse_datagram(piece) for piece, _ in inside.front.flows.ports[0].output]
    assert [m.status for m in sent] == ([status] if status else [])
    at_once = b'"' not in data and b"\xff" not in data
    assert inside.core.counters.counts.get("malformed_from_callers", 0) == at_once
    assert not inside.written


@pytest.mark.parametrize(
    ("via", "peer"),
    [
        ("127.0.0.1:4000;branch=z9hG4bKv;received=name.example", ("127.0.0.1", 4000)),
        ("127.0.0.1:99999;branch=z9hG4bKv", ("127.0.0.1", 5060)),
        ("name.example;branch=z9hG4bKv;rport=99999", ("127.0.0.1", 5060)),
        ("name.example;branch=z9hG4bKv;rport=\u00b2", ("127.0.0.1", 5060)),
    ],
)
def test_a_via_with_a_wrong_address_sends_no_response_elsewhere_and_looks_up_no_name(via, peer):
    """A third party must not get responses, and a look-up would hold up all calls."""
    inside = InProcessNode()
    lines = {**sip_headers("OPTIONS"), "via": f"SIP/2.0/UDP {via}"}
    data = sip.request("OPTIONS", "sip:x@net", list(lines.items()))
    inside.front.flows.ports[0].receive(data, ("127.0.0.1", 4000))
    assert [where for _, where in inside.front.flows.ports[0].output] == [peer]


def test_a_bye_to_a_contact_that_is_a_name_goes_where_the_call_came_from():
    """A look-up that the caller chooses would hold up all calls."""
    inside = InProcessNode()
    line = RecordingFlow(inside, reliable=True)
    line.request(contact="<sip:office@name.example:4010>")
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    line.alive = False
    attempt = inside.written[0]
    inside.core.responses.call_released(attempt.server, attempt.call.request.ident, 16, "", REPORT)
    assert inside.front.flows.ports[0].output[0][1] == line.peer


def test_a_restart_releases_on_both_sides_what_it_cannot_wait_for():
    """The next process would know nothing of the dialogs."""
    line = RecordingFlow(InProcessNode())
    line.request()
    line.node.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    assert line.node.front.end_dialogs() == 1
    assert line.sent[-1].method == "BYE"
    assert "cause=41" in line.sent[-1].get("reason")
    assert len(line.node.releases) == 1
    assert not line.node.core.calls.by_number
    assert not line.node.front.dialogs


def test_a_bye_whose_connection_ends_goes_by_another_flow():
    """Otherwise a release is lost with its connection."""
    inside, dialled = InProcessNode(), []
    inside.front.flows.dial = dialled.append
    line = RecordingFlow(inside, reliable=True)
    line.request(contact="<sip:office@127.0.0.1:4010;transport=tcp>")
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    attempt = inside.written[0]
    inside.core.responses.call_released(
        attempt.server, attempt.call.request.ident, 16, "", inside.empty_report()
    )
    assert line.sent[-1].method == "BYE"
    line.alive = False
    inside.front.flow_lost(line)
    assert dialled
    assert b"BYE sip:office@127.0.0.1:4010" in dialled[0].data_to_send()
    dialled[0].connection_lost()  # nobody listens there: UDP is left
    assert inside.front.flows.ports[0].output[-1][1] == ("127.0.0.1", 4010)


def test_a_call_from_before_authentication_was_on_can_still_end():
    """A reload may turn users on while it is established."""
    line = RecordingFlow(InProcessNode())
    line.request()
    line.node.establish()
    tag = line.to_tag()
    line.request("ACK", to=f"<sip:7@net>;tag={tag}")
    front = line.node.front
    front.dispatcher.authenticator, _ = digest_authenticator()
    assert line.request("BYE", number="2", to=f"<sip:7@net>;tag={tag}").status == 200
    assert line.request(number="1", call_id="c9", branch="z9hG4bKnew").status == 401
