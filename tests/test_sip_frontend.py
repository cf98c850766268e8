"""The transactions and dialogs of the SIP frontend, in one process with a manual clock."""

from __future__ import annotations

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.server_responses import CallRelease
from stairhatch.sip.session_descriptions import read_description

from .support.in_process_node import InProcessNode
from .support.recording_flow import RecordingFlow
from .support.sip_layers import digest_authenticator
from .support.sip_messages import sip_headers


@pytest.fixture(params=[False, True], ids=["udp", "tcp"])
def flow(request):
    return RecordingFlow(InProcessNode(), reliable=request.param)


def establish_call(flow):
    """Establish a call and acknowledge its 2xx; returns our tag."""
    flow.request()
    flow.node.establish()
    tag = flow.to_tag()
    flow.request("ACK", to=f"<sip:7@net>;tag={tag}")
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
        ("OPTIONS", {"require": ""}, 200),
        ("OPTIONS", {"require": " , "}, 200),
    ],
)
def test_requests_that_set_up_no_call_are_answered(flow, method, change, status):
    """An unacceptable request gets its status; one without From or Call-ID is only counted."""
    response = flow.request(method, **change)
    if None in change.values():
        assert not flow.sent  # a request without a mandatory header can't be answered
        assert flow.node.call_manager.counters.counts["malformed_from_callers"] == 1
        return
    assert response.status == status
    assert not flow.node.written
    assert response.get("unsupported") == ("foo" if status == 420 else "")
    assert "INVITE" in response.get("allow") or status not in (200, 405)


def test_an_empty_content_encoding_does_not_reject_a_description():
    """Guards against an empty list that counts as an unknown coding."""
    message = sip.SipMessage("INVITE", headers=[("content-encoding", "")], body=b"v=0")
    assert read_description(message) == b"v=0"


@pytest.mark.parametrize("name", ["require", "supported", "session_expires", "min_se"])
def test_an_empty_header_does_not_reject_a_call(flow, name):
    """Guards against an empty list that counts as one unknown value."""
    flow.request(**{name: ""})
    flow.node.establish()
    assert flow.statuses() == [100, 200]


def test_a_via_gets_the_source_address_and_the_response_is_sent_there(flow):
    """A response to another address would not reach a caller behind NAT (RFC 3581)."""
    response = flow.request("OPTIONS", via="SIP/2.0/UDP office.example:5060;rport;branch=z9hG4bKx")
    via = sip.parameters(response.get("via"))
    assert (via["received"], via["rport"]) == ("127.0.0.1", "4000")


def test_a_2xx_is_retransmitted_until_its_ack_with_the_description_unchanged(flow):
    """The 2xx is retransmitted over UDP and TCP alike (RFC 3261, 13.3.1.4)."""
    flow.request(number="1", uri="sip:712@net", record_route="<sip:p1;lr>, <sip:p2;lr>")
    flow.node.establish()
    flow.node.run(3.6)
    assert flow.statuses() == [100, 200, 200, 200, 200]  # retransmissions after 0.5, 1.5 and 3.5 s
    response = flow.sent[-1]
    assert response.body == "v=0 æ".encode()
    assert response.get("content-type") == "application/sdp"
    assert response.get_all("record-route") == ["<sip:p1;lr>", "<sip:p2;lr>"]
    assert response.get("contact")
    assert flow.node.written[0].call.request.call_class.name == "save-roster"  # the class of the prefix 7
    flow.request("ACK", to=f"<sip:7@net>;tag={flow.to_tag()}")
    flow.node.run(60)
    assert len(flow.statuses()) == 5
    assert not flow.node.frontend.server_transactions.open_transactions


def test_a_call_whose_2xx_is_never_acknowledged_is_released_on_both_sides(flow):
    """A caller that has failed sends no ACK, so its call must not stay established."""
    flow.request()
    flow.node.establish()
    flow.node.run(33)
    assert flow.sent[-1].method == "BYE" or "BYE" in [m.method for m in flow.sent]
    assert flow.node.releases
    assert not flow.node.call_manager.calls.by_number
    flow.node.run(40)
    assert not flow.node.frontend.server_transactions.open_transactions
    assert not flow.node.frontend.dialogs


@pytest.mark.parametrize("acked", [True, False])
def test_a_non_2xx_response_is_retransmitted_over_udp_until_its_ack(flow, acked):
    """The transaction ends with or without the ACK (timers G, H and I)."""
    flow.request(expires="2")
    flow.node.run(2)  # the caller's timeout passes
    first = [s for s in flow.statuses() if s >= 200]
    assert first == [408]
    if acked:
        flow.request("ACK", branch="z9hG4bKINVITE1")
    before = len(flow.sent)
    flow.node.run(70)
    assert (len(flow.sent) > before) is (not flow.reliable and not acked)
    assert not flow.node.frontend.server_transactions.open_transactions


def test_the_caller_timeout_is_that_of_the_class_or_of_expires(flow):
    """The call fails at the caller's timeout, because the caller does not wait for a later response."""
    flow.request(expires="2")
    flow.node.run(2.0)
    assert flow.statuses()[:2] == [100, 408]
    assert len(flow.node.releases) == 1  # the attempt is cancelled


@pytest.mark.parametrize("cancelled", ["before the final response", "after the final response"])
def test_cancel_ends_a_call_only_before_its_final_response(flow, cancelled):
    """A CANCEL ends the call of a pending INVITE and has no effect on an answered one (RFC 3261, 9.2)."""
    flow.request()
    if cancelled == "after the final response":
        flow.node.establish()
    flow.request("CANCEL", branch="z9hG4bKINVITE1")
    assert flow.statuses("CANCEL") == [200]
    if cancelled == "after the final response":
        assert flow.statuses() == [100, 200]
        assert flow.node.call_manager.calls.by_number
    else:
        assert flow.statuses() == [100, 487]
        assert not flow.node.call_manager.calls.by_number
        assert len(flow.node.releases) == 1


def test_an_invite_retransmitted_after_its_cancel_is_the_same_transaction():
    """A copy of the INVITE delayed by UDP, even until after the transaction, must not start a new call."""
    flow = RecordingFlow(InProcessNode())
    flow.request()
    flow.request("CANCEL", branch="z9hG4bKINVITE1")
    for wait_s in (0.0, 1.0, 40.0, 60.0):  # the last two are after the end of the transaction
        flow.node.run(wait_s)
        if wait_s == 40.0:
            flow.request("ACK", branch="z9hG4bKINVITE1")
        flow.request()
    assert flow.node.call_manager.counters.counts["calls_offered"] == 1
    assert len(flow.node.written) == 1
    assert set(flow.statuses()) == {100, 487}


def test_a_dialog_survives_the_end_of_its_connection_and_is_ended_by_a_bye_over_udp():
    """The TCP connection of the INVITE ends during the call; the caller then sends the BYE by UDP."""
    node = InProcessNode()
    flow, udp_flow = RecordingFlow(node, reliable=True), RecordingFlow(node)
    tag = establish_call(flow)
    flow.alive = False
    assert node.call_manager.calls.by_number
    assert udp_flow.request("BYE", number="2", to=f"<sip:7@net>;tag={tag}").status == 200
    assert len(node.releases) == 1
    assert not node.call_manager.calls.by_number
    assert not node.frontend.dialogs


@pytest.mark.parametrize("transport", ["", ";transport=tcp"])
def test_our_bye_goes_to_the_contact_when_the_connection_has_ended(transport):
    """The BYE is sent on a new connection if the Contact has transport=tcp, else by UDP."""
    node, dialed_connections = InProcessNode(), []
    node.frontend.flows.dial = dialed_connections.append
    flow = RecordingFlow(node, reliable=True)
    flow.request(contact=f"<sip:office@127.0.0.1:4010{transport}>")
    node.establish()
    flow.request("ACK", to=f"<sip:7@net>;tag={flow.to_tag()}")
    flow.alive = False
    attempt = node.written[0]
    node.call_manager.responses.call_released(attempt.server, attempt.call.request.ident, CallRelease(16))
    if transport:
        data, peer = dialed_connections[0].data_to_send(), dialed_connections[0].peer
    else:
        data, peer = node.frontend.flows.ports[0].output[0]
    assert peer == ("127.0.0.1", 4010)
    bye = sip_parser.parse_datagram(data)
    assert bye.method == "BYE"
    assert bye.get("to") == "<sip:office@net>;tag=f1"
    assert sip.parameters(bye.get("from"))["tag"]
    assert bye.cseq() == (1, "BYE")


def test_a_request_with_an_old_cseq_is_rejected_in_its_dialog(flow):
    """A delayed request must not end or change a call (RFC 3261, 12.2.2)."""
    tag = establish_call(flow)
    to = f"<sip:7@net>;tag={tag}"
    assert flow.request(number="3", to=to).status == 200  # a re-INVITE that refreshes the session
    flow.request("ACK", number="3", branch="z9hG4bKa3", to=to)
    assert flow.request("BYE", number="2", to=to).status == 500
    assert flow.node.call_manager.calls.by_number
    assert flow.request("BYE", number="4", to=to).status == 200
    assert flow.request("BYE", number="5", to=to).status == 481


def test_our_bye_is_retransmitted_over_udp_until_its_response(flow):
    """If the BYE were lost, the caller would stay in the released call (timers E and F)."""
    establish_call(flow)
    attempt = flow.node.written[0]
    flow.node.call_manager.responses.call_released(
        attempt.server, attempt.call.request.ident, CallRelease(41)
    )
    flow.node.run(2.0)
    byes = [m for m in flow.sent if m.method == "BYE"]
    assert len(byes) == (1 if flow.reliable else 3)
    assert byes[0].get("reason") == "Q.850;cause=41"
    response = sip_parser.parse_datagram(sip.response(200, sip.echoed(byes[0])))
    flow.node.frontend.message_received(flow, response)
    flow.node.run(40)
    assert len([m for m in flow.sent if m.method == "BYE"]) == len(byes)


def test_a_merged_request_is_answered_482(flow):
    """An INVITE that arrives on two paths must not start two calls (RFC 3261, 8.2.2.2)."""
    flow.request()
    assert flow.request(branch="z9hG4bKother").status == 482
    assert len(flow.node.written) == 1


def test_a_transaction_without_a_magic_cookie_is_matched(flow):
    """A caller older than RFC 3261 sends no branch that identifies a transaction."""
    for _ in range(2):
        flow.request(via="SIP/2.0/UDP 127.0.0.1:4000")
    flow.request("CANCEL", via="SIP/2.0/UDP 127.0.0.1:4000")
    assert flow.node.call_manager.counters.counts["calls_offered"] == 1
    assert flow.statuses()[-1] == 487


def test_a_full_transaction_table_answers_503_with_retry_after(flow):
    """A flood of requests must not exhaust memory."""
    flow.request()
    flow.node.frontend.server_transactions.max_bytes = 1
    response = flow.request(branch="z9hG4bKz", call_id="c2")
    assert response.status == 503
    assert int(response.get("retry-after")) >= 1


def test_an_exception_in_the_controller_is_answered_500(flow, monkeypatch):
    """Without a response the caller would wait for its timeout."""

    def raise_error(_now, _event):
        raise RuntimeError("the controller has failed")

    monkeypatch.setattr(flow.node.call_manager.controller, "handle", raise_error)
    response = flow.request()
    assert response.status == 500
    assert response.get("retry-after")
    assert flow.node.call_manager.counters.counts["decision_faults"] >= 1


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
    """A malformed datagram causes no exception; one without the headers of a response gets no response."""
    node = InProcessNode()
    node.frontend.flows.ports[0].receive(data, ("127.0.0.1", 4000))
    sent = [sip_parser.parse_datagram(piece) for piece, _ in node.frontend.flows.ports[0].output]
    assert [m.status for m in sent] == ([status] if status else [])
    # Malformed bodies are rejected after the parse, without this counter.
    fails_in_parser = b'"' not in data and b"\xff" not in data
    assert node.call_manager.counters.counts.get("malformed_from_callers", 0) == fails_in_parser
    assert not node.written


@pytest.mark.parametrize(
    ("via", "peer"),
    [
        ("127.0.0.1:4000;branch=z9hG4bKv;received=name.example", ("127.0.0.1", 4000)),
        ("127.0.0.1:99999;branch=z9hG4bKv", ("127.0.0.1", 5060)),
        ("name.example;branch=z9hG4bKv;rport=99999", ("127.0.0.1", 5060)),
        ("name.example;branch=z9hG4bKv;rport=\u00b2", ("127.0.0.1", 5060)),
    ],
)
def test_an_invalid_via_address_causes_no_response_elsewhere_and_no_name_lookup(via, peer):
    """Responses must not be sent to a third party, and a name look-up would block all calls."""
    node = InProcessNode()
    lines = {**sip_headers("OPTIONS"), "via": f"SIP/2.0/UDP {via}"}
    data = sip.request("OPTIONS", "sip:x@net", list(lines.items()))
    node.frontend.flows.ports[0].receive(data, ("127.0.0.1", 4000))
    assert [address for _, address in node.frontend.flows.ports[0].output] == [peer]


def test_a_bye_to_a_contact_with_a_host_name_is_sent_to_the_source_of_the_call():
    """A look-up of a name that the caller chooses would block all calls."""
    node = InProcessNode()
    flow = RecordingFlow(node, reliable=True)
    flow.request(contact="<sip:office@name.example:4010>")
    node.establish()
    flow.request("ACK", to=f"<sip:7@net>;tag={flow.to_tag()}")
    flow.alive = False
    attempt = node.written[0]
    node.call_manager.responses.call_released(attempt.server, attempt.call.request.ident, CallRelease(16))
    assert node.frontend.flows.ports[0].output[0][1] == flow.peer


def test_a_restart_releases_the_calls_it_cannot_wait_for_on_both_sides():
    """The next process has no state of these dialogs and could not release them."""
    flow = RecordingFlow(InProcessNode())
    flow.request()
    flow.node.establish()
    flow.request("ACK", to=f"<sip:7@net>;tag={flow.to_tag()}")
    assert flow.node.frontend.end_dialogs() == 1
    assert flow.sent[-1].method == "BYE"
    assert "cause=41" in flow.sent[-1].get("reason")
    assert len(flow.node.releases) == 1
    assert not flow.node.call_manager.calls.by_number
    assert not flow.node.frontend.dialogs


def test_a_bye_whose_connection_ends_is_sent_on_another_flow():
    """Without the second flow the release would be lost with its connection."""
    node, dialed_connections = InProcessNode(), []
    node.frontend.flows.dial = dialed_connections.append
    flow = RecordingFlow(node, reliable=True)
    flow.request(contact="<sip:office@127.0.0.1:4010;transport=tcp>")
    node.establish()
    flow.request("ACK", to=f"<sip:7@net>;tag={flow.to_tag()}")
    attempt = node.written[0]
    node.call_manager.responses.call_released(attempt.server, attempt.call.request.ident, CallRelease(16))
    assert flow.sent[-1].method == "BYE"
    flow.alive = False
    node.frontend.flow_lost(flow)
    assert dialed_connections
    assert b"BYE sip:office@127.0.0.1:4010" in dialed_connections[0].data_to_send()
    dialed_connections[0].connection_lost()  # the connection is refused, so the BYE is sent by UDP
    assert node.frontend.flows.ports[0].output[-1][1] == ("127.0.0.1", 4010)


def test_a_call_established_before_authentication_was_enabled_can_still_end():
    """A reload may enable authentication while a call of an unauthenticated caller is established."""
    flow = RecordingFlow(InProcessNode())
    flow.request()
    flow.node.establish()
    tag = flow.to_tag()
    flow.request("ACK", to=f"<sip:7@net>;tag={tag}")
    frontend = flow.node.frontend
    frontend.dispatcher.authenticator, _ = digest_authenticator()
    assert flow.request("BYE", number="2", to=f"<sip:7@net>;tag={tag}").status == 200
    assert flow.request(number="1", call_id="c9", branch="z9hG4bKnew").status == 401
