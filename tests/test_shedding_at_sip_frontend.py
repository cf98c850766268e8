"""Shedding of new calls by the SIP frontend, and its effect on state and on established calls."""

from __future__ import annotations

from stairhatch.admission.admission_control import (
    AdmissionPolicy,
)
from stairhatch.admission.rate_limits import RateLimitPolicy
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

from .support.in_process_node import InProcessNode
from .support.sip_messages import sip_headers

OBSERVATION_INTERVAL_S = 0.05  # time between two observed delays


def receive_request(node, method="INVITE", number=1, via_parameters="", to_tag=""):
    """Pass a request to the frontend as a datagram; returns the messages that the frontend sent."""
    lines = sip_headers(method, "1", f"z9hG4bK{number}", f"c{number}", to_tag=to_tag)
    lines["via"] += via_parameters
    data = sip.request(method, "sip:1@net", list(lines.items()))
    port = node.frontend.flows.ports[0]
    port.receive(data, ("127.0.0.1", 4000))
    sent = [sip_parser.parse_datagram(each) for each, _ in port.output]
    port.output.clear()
    return sent


def overloaded_node(delay_s, intervals):
    """Return a node whose SIP frontend has observed a delay in each of a number of intervals."""
    node = InProcessNode(
        admission=AdmissionPolicy(rate_limit=RateLimitPolicy(source_rate=1e6, source_burst=1e6))
    )
    for _ in range(intervals):
        node.now += OBSERVATION_INTERVAL_S
        overload = node.frontend.admission.control.overload
        for index in range(10):
            overload.count_call(index >= 10 * overload.shed_fraction)
        node.frontend.admission.observe_delay(delay_s)
    return node


def test_a_shed_call_and_its_retransmissions_leave_no_state():
    """A shed call is in no table, and its retransmission is rejected with 503 like the call itself."""
    node = overloaded_node(1.0, 5)
    for number in range(50):
        for _ in range(2):
            (response,) = receive_request(node, number=number)
            assert response.status == 503
            assert 1 <= int(response.get("retry-after")) <= 5
    assert not node.written
    assert not node.frontend.server_transactions.open_transactions
    assert not node.call_manager.calls.by_number
    assert not node.frontend.server_transactions.records.responses
    counts = node.call_manager.counters.counts
    assert counts["shed_load"] == 100
    assert "malformed_from_callers" not in counts


def test_established_calls_continue_while_all_new_calls_are_shed():
    """An ACK, a BYE or a retransmission of an established call is not shed."""
    node = overloaded_node(0.0, 1)
    receive_request(node, number=1)
    node.establish()
    port = node.frontend.flows.ports[0]
    tag = sip.parameters(sip_parser.parse_datagram(port.output[-1][0]).get("to"))["tag"]
    port.output.clear()
    for _ in range(5):
        node.now += OBSERVATION_INTERVAL_S
        node.frontend.admission.observe_delay(1.0)
    assert receive_request(node, number=2)[0].status == 503
    assert receive_request(node, number=1) == []  # a retransmission is absorbed
    receive_request(node, "ACK", number=1, to_tag=tag)
    node.run(5.0)
    assert not port.output
    lines = sip_headers("BYE", "2", "z9hG4bKbye", "c1", to_tag=tag)
    port.receive(sip.request("BYE", "sip:x@net", list(lines.items())), ("127.0.0.1", 4000))
    assert sip_parser.parse_datagram(port.output[-1][0]).status == 200


def test_callers_with_overload_control_get_feedback_in_their_via():
    """A caller gets overload feedback in its own Via, and only if that has `oc` (RFC 7339, 5.1)."""
    node = overloaded_node(0.08, 40)
    via = receive_request(node, number=1, via_parameters=';oc;oc-algo="loss,rate"')[0].get("via")
    assert ';oc-algo="loss"' in via
    assert ";oc-validity=1000" in via
    assert int(via.split("oc=")[1].split(";")[0]) > 0
    assert "oc" not in receive_request(node, number=2)[0].get("via")
    assert "\x01" not in via
    unloaded_node = InProcessNode(admission=AdmissionPolicy())
    assert ";oc=0;" in receive_request(unloaded_node, number=3, via_parameters=";oc")[0].get("via")


def test_a_change_of_the_overload_level_is_logged_once():
    """Only a change of the level is logged, not every delay observed while the level is overloaded."""
    logged = []
    node = InProcessNode(admission=AdmissionPolicy())
    node.log = lambda event, **fields: logged.append((event, fields.get("level")))
    for delay_s in [0.08] * 20 + [0.0] * 100:
        node.now += OBSERVATION_INTERVAL_S
        node.frontend.admission.observe_delay(delay_s)
    assert logged == [("load", "overloaded"), ("load", "normal")]
