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


def ask(inside, method="INVITE", number=1, via_more="", to_tag=""):
    """A datagram to the front; returns the answers it led to."""
    lines = sip_headers(method, "1", f"z9hG4bK{number}", f"c{number}", to_tag=to_tag)
    lines["via"] += via_more
    data = sip.request(method, "sip:1@net", list(lines.items()))
    port = inside.front.flows.ports[0]
    port.receive(data, ("127.0.0.1", 4000))
    sent = [sip_parser.parse_datagram(each) for each, _ in port.output]
    port.output.clear()
    return sent


def overloaded_front(delay, spans):
    """A front under such a delay."""
    inside = InProcessNode(
        admission=AdmissionPolicy(rate_limit=RateLimitPolicy(source_rate=1e6, source_burst=1e6))
    )
    for _ in range(spans):
        inside.now += SPAN_S
        overload = inside.front.admission.control.overload
        for turn in range(10):
            overload.count_call(turn >= 10 * overload.shed_fraction)
        inside.front.admission.observe_delay(delay)
    return inside


def test_a_shed_call_leaves_nothing_and_its_copies_cost_no_more():
    """Guards against half-made calls and against shed calls that stay in tables."""
    inside = overloaded_front(1.0, 5)
    for number in range(50):
        for _ in range(2):
            (answer,) = ask(inside, number=number)
            assert answer.status == 503
            assert 1 <= int(answer.get("retry-after")) <= 5
    assert not inside.written
    assert not inside.front.server_transactions.open_transactions
    assert not inside.core.calls.by_number
    assert not inside.front.server_transactions.records.responses
    counts = inside.core.counters.counts
    assert counts["shed_load"] == 100
    assert "malformed_from_callers" not in counts


def test_calls_that_stand_go_on_while_all_new_ones_are_shed():
    """Guards against an ACK, a BYE or a copy that is shed with the new calls."""
    inside = overloaded_front(0.0, 1)
    ask(inside, number=1)
    inside.establish()
    port = inside.front.flows.ports[0]
    tag = sip.parameters(sip_parser.parse_datagram(port.output[-1][0]).get("to"))["tag"]
    port.output.clear()
    for _ in range(5):
        inside.now += SPAN_S
        inside.front.admission.observe_delay(1.0)
    assert ask(inside, number=2)[0].status == 503
    assert ask(inside, number=1) == []  # a copy of what stands is absorbed
    ask(inside, "ACK", number=1, to_tag=tag)
    inside.run(5.0)
    assert not port.output
    lines = sip_headers("BYE", "2", "z9hG4bKbye", "c1", to_tag=tag)
    port.receive(sip.request("BYE", "sip:x@net", list(lines.items())), ("127.0.0.1", 4000))
    assert sip_parser.parse_datagram(port.output[-1][0]).status == 200


def test_callers_that_know_overload_control_are_told_in_their_via():
    """Guards against a figure in the wrong Via, or for callers that asked for none (RFC 7339, 5.1)."""
    inside = overloaded_front(0.08, 40)
    told = ask(inside, number=1, via_more=';oc;oc-algo="loss,rate"')[0].get("via")
    assert ';oc-algo="loss"' in told
    assert ";oc-validity=1000" in told
    assert int(told.split("oc=")[1].split(";")[0]) > 0
    assert "oc" not in ask(inside, number=2)[0].get("via")
    assert "\x01" not in told
    free = InProcessNode(admission=AdmissionPolicy())
    assert ";oc=0;" in ask(free, number=3, via_more=";oc")[0].get("via")


def test_changes_of_the_level_are_told_once():
    """Guards against a log that says at every delay that we are overloaded."""
    told = []
    inside = InProcessNode(admission=AdmissionPolicy())
    inside.log = lambda event, **fields: told.append((event, fields.get("level")))
    for delay in [0.08] * 20 + [0.0] * 100:
        inside.now += SPAN_S
        inside.front.admission.observe_delay(delay)
    assert told == [("load", "overloaded"), ("load", "normal")]
