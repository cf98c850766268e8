"""Calls shed by the SIP frontend: what they leave behind and what goes on beside them."""

from __future__ import annotations

from stairhatch.admission.admission_control import (
    AdmissionPolicy,
)
from stairhatch.admission.rate_limits import RateLimitPolicy
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

from .support.in_process_node import InProcessNode
from .support.sip_messages import sip_headers

SPAN_S = 0.05


def receive_request(node, method="INVITE", number=1, via_more="", to_tag=""):
    """Have a datagram come to the frontend; returns the answers it led to."""
    lines = sip_headers(method, "1", f"z9hG4bK{number}", f"c{number}", to_tag=to_tag)
    lines["via"] += via_more
    data = sip.request(method, "sip:1@net", list(lines.items()))
    port = node.front.flows.ports[0]
    port.receive(data, ("127.0.0.1", 4000))
    sent = [sip_parser.parse_datagram(each) for each, _ in port.output]
    port.output.clear()
    return sent


def overloaded_node(delay, spans):
    """A node whose SIP frontend has observed a delay for so many spans."""
    node = InProcessNode(
        admission=AdmissionPolicy(rate_limit=RateLimitPolicy(source_rate=1e6, source_burst=1e6))
    )
    for _ in range(spans):
        node.now += SPAN_S
        overload = node.front.admission.control.overload
        for turn in range(10):
            overload.count_call(turn >= 10 * overload.shed_fraction)
        node.front.admission.observe_delay(delay)
    return node


def test_a_shed_call_leaves_nothing_and_its_retransmissions_cost_no_more():
    """No call is half made, and shed calls stay in no table."""
    node = overloaded_node(1.0, 5)
    for number in range(50):
        for _ in range(2):
            (answer,) = receive_request(node, number=number)
            assert answer.status == 503
            assert 1 <= int(answer.get("retry-after")) <= 5
    assert not node.written
    assert not node.front.server_transactions.open_transactions
    assert not node.core.calls.by_number
    assert not node.front.server_transactions.records.responses
    counts = node.core.counters.counts
    assert counts["shed_load"] == 100
    assert "malformed_from_callers" not in counts


def test_established_calls_go_on_while_all_new_ones_are_shed():
    """An ACK, a BYE or a retransmission is not shed with the new calls."""
    node = overloaded_node(0.0, 1)
    receive_request(node, number=1)
    node.establish()
    port = node.front.flows.ports[0]
    tag = sip.parameters(sip_parser.parse_datagram(port.output[-1][0]).get("to"))["tag"]
    port.output.clear()
    for _ in range(5):
        node.now += SPAN_S
        node.front.admission.observe_delay(1.0)
    assert receive_request(node, number=2)[0].status == 503
    assert receive_request(node, number=1) == []  # a copy of what stands is absorbed
    receive_request(node, "ACK", number=1, to_tag=tag)
    node.run(5.0)
    assert not port.output
    lines = sip_headers("BYE", "2", "z9hG4bKbye", "c1", to_tag=tag)
    port.receive(sip.request("BYE", "sip:x@net", list(lines.items())), ("127.0.0.1", 4000))
    assert sip_parser.parse_datagram(port.output[-1][0]).status == 200


def test_callers_that_know_overload_control_are_told_in_their_via():
    """The figure stands in the caller's own Via, and only where it was asked for (RFC 7339, 5.1)."""
    node = overloaded_node(0.08, 40)
    told = receive_request(node, number=1, via_more=';oc;oc-algo="loss,rate"')[0].get("via")
    assert ';oc-algo="loss"' in told
    assert ";oc-validity=1000" in told
    assert int(told.split("oc=")[1].split(";")[0]) > 0
    assert "oc" not in receive_request(node, number=2)[0].get("via")
    assert "\x01" not in told
    free = InProcessNode(admission=AdmissionPolicy())
    assert ";oc=0;" in receive_request(free, number=3, via_more=";oc")[0].get("via")


def test_a_change_of_the_overload_level_is_logged_once():
    """The log does not repeat at every delay that the level is overloaded."""
    told = []
    node = InProcessNode(admission=AdmissionPolicy())
    node.log = lambda event, **fields: told.append((event, fields.get("level")))
    for delay in [0.08] * 20 + [0.0] * 100:
        node.now += SPAN_S
        node.front.admission.observe_delay(delay)
    assert told == [("load", "overloaded"), ("load", "normal")]
