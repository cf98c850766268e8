"""What the softswitch itself can take: the overload level, the sources' buckets, the order of weight, what
callers are told, and a look at a datagram in place of a parse.
"""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stairhatch.admission.admission_control import (
    AdmissionControl,
    AdmissionOutcome,
    AdmissionPolicy,
    RequestKind,
    shed_fractions_by_weight,
)
from stairhatch.admission.feedback import FeedbackAlgorithm, OverloadFeedback, algorithm_for
from stairhatch.admission.overload_detector import OverloadDetector, OverloadDetectorPolicy, OverloadLevel
from stairhatch.admission.rate_limits import RateLimitPolicy, SourceRateLimiter
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.request_scan import scan_request

from .peers import InProcessNode, sip_headers

BOUNDED = settings(
    derandomize=True, max_examples=150, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip
SPAN_S = 0.05


def observe_delays(detector, now, *delays, rate=100.0):
    """Looks a span apart, with calls of which its share is shed; returns the time after them."""
    chance = random.Random(7)
    for delay in delays:
        now += SPAN_S
        for _ in range(int(rate * SPAN_S)):
            detector.count_call(chance.random() >= detector.current_shed_fraction(now))
        detector.observe_delay(now, delay)
    return now


def test_the_level_rises_and_falls_at_different_delays():
    """Guards against a level that swings with every look (hysteresis), and one that stays for ever."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[0.03] * 100)
    assert detector.level is OverloadLevel.NORMAL
    assert detector.current_shed_fraction(now) == 0.0
    now = observe_delays(detector, now, *[0.08] * 60)
    assert detector.level is OverloadLevel.OVERLOADED
    assert detector.current_shed_fraction(now) > 0.5
    now = observe_delays(detector, now, *[0.03] * 3)
    assert detector.level is OverloadLevel.OVERLOADED
    now = observe_delays(detector, now, *[0.001] * 400)
    assert detector.level is OverloadLevel.NORMAL
    assert detector.shed_fraction == 0.0
    assert detector.level_changes == 2


def test_a_full_processor_sheds_all_new_calls_and_recovers():
    """Guards against a stall after which calls that were given up are served first, and staying full."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[1.0] * 5)
    assert detector.level is OverloadLevel.SATURATED
    assert detector.current_shed_fraction(now) == 1.0
    now = observe_delays(detector, now, *[0.001] * 30)
    assert detector.level is OverloadLevel.OVERLOADED
    assert detector.current_shed_fraction(now) < 1.0
    observe_delays(detector, now, *[0.001] * 600)
    assert detector.level is OverloadLevel.NORMAL


def goodput(offered, capacity=1000.0, shed_cost=0.08, seconds=12.0):
    """A processor behind a bounded queue, as a socket's buffer is; returns calls served a second, over
    the last two thirds, and the longest wait then.
    """
    chance, admission = random.Random(11), AdmissionControl(random.Random(12).random)
    now = waiting = served = worst = 0.0
    step = 0.01
    while now < seconds:
        now += step
        for _ in range(int(offered(now) * step + chance.random())):
            if waiting / capacity > 0.25:
                continue  # the socket is full: nobody hears of it
            decision = admission.admit(RequestKind.NEW_CALL, "a", 1.0, now)
            waiting += 1.0 if decision.outcome is AdmissionOutcome.ADMITTED else shed_cost
            served += decision.outcome is AdmissionOutcome.ADMITTED and now > seconds / 3
        waiting = max(0.0, waiting - capacity * step)
        admission.overload.observe_delay(now, waiting / capacity)
        worst = max(worst, waiting / capacity if now > seconds / 3 else 0.0)
    return served / (seconds * 2 / 3), worst


@pytest.mark.parametrize("load", [0.8, 1.1, 1.5, 2.0, 3.0])
def test_goodput_holds_past_capacity(load):
    """Guards against a collapse past capacity, and a control that sheds what could be served: at twice
    the capacity 0.9 of what the shedding itself leaves, with a short queue.
    """
    served, worst = goodput(lambda now: 1000.0 * load)
    left = 1000.0 * (1 - 0.08 * load) / (1 - 0.08) if load > 1 else 1000.0 * load
    assert served > 0.9 * left
    assert worst < 0.25


def test_after_a_surge_all_are_served_within_three_seconds():
    """The hard case: three times capacity for a while and back: full goodput again."""
    served, _ = goodput(lambda now: 3000.0 if now < 4.0 else 900.0, seconds=12.0 * 1.0)
    late, _ = goodput(lambda now: 3000.0 if now < 5.0 else 900.0, seconds=24.0)
    assert served > 0.75 * 900
    assert late > 0.97 * 900


def test_with_no_look_nothing_is_shed():
    """Guards against calls shed for ever on an old figure."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[1.0] * 5)
    assert detector.current_shed_fraction(now + detector.policy.stale_s + 0.1) == 0.0


@BOUNDED
@given(st.lists(st.floats(0, 2), max_size=200))
def test_a_share_is_a_share_whatever_is_measured(delays):
    """Guards against a share that can't be drawn against, or one that sheds while free."""
    detector = OverloadDetector()
    now = 0.0
    for delay in delays:
        now = observe_delays(detector, now, delay)
        assert 0.0 <= detector.shed_fraction <= detector.policy.max_shed_fraction
        assert detector.level is not OverloadLevel.NORMAL or detector.current_shed_fraction(now) == 0.0


@BOUNDED
@given(st.dictionaries(st.floats(0, 10), st.floats(0.001, 1), min_size=1, max_size=5), st.floats(0, 1))
def test_the_least_weight_goes_first_and_as_much_as_was_asked(mix, share):
    """Guards against save-roster calls shed while read-roster calls are served."""
    found = shed_fractions_by_weight(mix, share)
    whole = sum(mix.values())
    assert abs(sum(found[weight] * mix[weight] for weight in mix) - share * whole) < 1e-6 * whole + 1e-9
    weights = sorted(mix)
    for less, more in itertools.pairwise(weights):
        assert found[less] == pytest.approx(1.0) or found[more] == pytest.approx(0.0, abs=1e-9)


def served_fractions(seconds, policy, overloaded, others=3):
    """One source at twenty times the rate of the others; returns the shares of each that were served."""
    chance, limiter, now = random.Random(1), SourceRateLimiter(policy), 0.0
    asked, served = {}, {}
    sources = ["10.0.0.66"] * 20 * others + [f"10.0.{n + 1}.7" for n in range(others)] * others
    while now < seconds:
        now += chance.expovariate(400.0)
        source = chance.choice(sources)
        asked[source] = asked.get(source, 0) + 1
        served[source] = served.get(source, 0) + (limiter.take(source, now, overloaded) == 0.0)
    return {source: served[source] / asked[source] for source in asked}


def test_one_source_at_twenty_times_its_share_leaves_the_others_whole():
    """The hard case: an office's storm is cut to its share while we are overloaded, and not before."""
    policy = RateLimitPolicy(source_rate=20, source_burst=20)
    shares = served_fractions(20.0, policy, overloaded=True)
    assert shares.pop("10.0.0.66") < 0.2
    assert min(shares.values()) > 0.95
    assert min(served_fractions(20.0, policy, overloaded=False).values()) == 1.0


def test_a_site_behind_one_proxy_is_not_limited():
    """Guards against a limit that protects nobody: the only source is all the callers there are."""
    limiter = SourceRateLimiter(RateLimitPolicy(source_rate=1, source_burst=1))
    assert all(limiter.take("10.0.0.1", 0.01 * n, True) == 0.0 for n in range(200))
    assert limiter.take("10.0.0.2", 2.0, True) == 0.0
    limiter.take("10.0.0.1", 2.0, True)
    assert limiter.take("10.0.0.1", 2.0, True) > 0.0


def test_made_up_sources_fill_no_memory_and_share_their_networks_bucket():
    """Guards against a table that grows with addresses, and a storm spread over a whole network."""
    policy = RateLimitPolicy(max_buckets=100, network_rate=10, network_burst=10)
    limiter, served = SourceRateLimiter(policy), 0
    limiter.take("192.168.1.1", 0.0, True)
    for number in range(5000):
        served += limiter.take(f"10.1.2.{number % 250}", number * 0.0001, True) == 0.0
        assert len(limiter.sources) <= 100
        assert len(limiter._network_names) <= 100
    assert served <= 10 + 10 * 0.5 + 1
    assert limiter.take("192.168.1.1", 1.0, True) == 0.0


def test_what_belongs_to_dialogs_is_never_shed():
    """Guards against calls that can't end while the program is full."""
    admission = AdmissionControl(lambda: 0.0)
    now = observe_delays(admission.overload, 0.0, *[1.0] * 5)
    assert admission.admit(RequestKind.IN_DIALOG, "a", 0.0, now).outcome is AdmissionOutcome.ADMITTED
    decision = admission.admit(RequestKind.NEW_CALL, "a", 3.0, now)
    assert decision.outcome is AdmissionOutcome.SHED_LOAD
    assert 1 <= decision.retry_after_s <= 5
    assert admission.admit(RequestKind.OTHER, "a", 0.0, now).outcome is AdmissionOutcome.SHED_LOAD


def test_calls_of_more_weight_stand_while_others_are_shed():
    """Guards against an order of weight that is not kept as the mix of calls changes."""
    chance = random.Random(3)
    admission = AdmissionControl(
        chance.random,
        AdmissionPolicy(OverloadDetectorPolicy(), RateLimitPolicy(source_rate=1e6, source_burst=1e6)),
    )
    now = observe_delays(admission.overload, 0.0, *[0.08] * 5)
    admission.overload.shed_fraction = 0.4
    counts = {1.0: [0, 0], 3.0: [0, 0]}
    for _ in range(4000):
        weight = 1.0 if chance.random() < 0.7 else 3.0
        counts[weight][0] += 1
        counts[weight][1] += (
            admission.admit(RequestKind.NEW_CALL, "a", weight, now).outcome is AdmissionOutcome.ADMITTED
        )
    assert counts[3.0][1] / counts[3.0][0] > 0.95
    assert 0.35 < counts[1.0][1] / counts[1.0][0] < 0.55


# ---- what callers are told ----


class FeedbackCaller:
    """A caller that sends at a rate and takes what it is told, or does not."""

    def __init__(self, feedback, obeys):
        self.feedback, self.obeys, self.chance = feedback, obeys, random.Random(5)

    def run(self, seconds, share, now, rate=40.0):
        end, sent = now + seconds, 0
        figure = 0
        while now < end:
            now += 1.0 / rate
            if self.obeys and self.chance.random() < figure / 100:
                continue
            sent += 1
            told = self.feedback.count_request("10.0.0.1", FeedbackAlgorithm.LOSS, share, now)
            text = self.feedback.via_parameters(told, share, now)
            figure = int(text.split("oc=")[1].split(";")[0])
        return now, sent / seconds


def test_a_caller_that_obeys_is_believed_and_one_that_lies_is_not():
    """Guards against meeting an honest caller with its bucket, and against one that ignores `oc` for good."""
    for obeys in (True, False):
        feedback = OverloadFeedback()
        caller = FeedbackCaller(feedback, obeys)
        now, rate = caller.run(10.0, 0.0, 0.0)
        assert not feedback.is_non_compliant("10.0.0.1")
        assert rate > 35
        now, rate = caller.run(20.0, 0.6, now)
        assert feedback.is_non_compliant("10.0.0.1") is not obeys
        assert (rate < 20) is obeys
        now, _ = caller.run(60.0, 0.0, now)
        assert not feedback.is_non_compliant("10.0.0.1")


def test_the_figures_are_of_the_rfc():
    """Guards against a sequence that goes back, a validity that never ends, and a rate of nothing."""
    feedback = OverloadFeedback()
    told = feedback.count_request("a", FeedbackAlgorithm.LOSS, 0.2, 100.0)
    first, second = feedback.via_parameters(told, 0.2, 100.0), feedback.via_parameters(told, 0.2, 99.0)
    assert first == ';oc=20;oc-algo="loss";oc-validity=1000;oc-seq=100.000'
    assert second.endswith("oc-seq=100.001")
    assert "oc=0;" in feedback.via_parameters(told, 0.0, 101.0)
    assert "validity=0" in feedback.via_parameters(told, 0.0, 102.0)
    rate = feedback.count_request("b", FeedbackAlgorithm.RATE, 1.0, 100.0)
    assert ';oc=1;oc-algo="rate"' in feedback.via_parameters(rate, 1.0, 103.0)
    assert algorithm_for('"rate"') is FeedbackAlgorithm.RATE
    assert algorithm_for('"loss,rate"') is FeedbackAlgorithm.LOSS
    assert algorithm_for("") is FeedbackAlgorithm.LOSS
    assert algorithm_for('"A"') is None


# ---- a look at a datagram ----


@BOUNDED
@given(
    st.sampled_from(["INVITE", "BYE", "ACK", "CANCEL", "OPTIONS"]),
    st.sampled_from(["127.0.0.1:4000", "office.example:5099", "10.2.3.4", "[::1]:4000", "host:99999"]),
    st.sampled_from([";rport", "", ";rport;x=y"]),
    st.booleans(),
    st.binary(max_size=40),
)
def test_a_look_tells_what_a_parse_would(method, host, rport, tag, body):
    """Guards against a copy taken for a new call, or a new call for a copy, where the parser would know."""
    lines = sip_headers(method, "1", "z9hG4bKlook", to_tag="t" if tag else "")
    lines["via"] = f"SIP/2.0/UDP {host};branch=z9hG4bKlook{rport}"
    data = sip.request(method, "sip:712@net", list(lines.items()), body)
    seen, head = scan_request(data), RequestHead(sip_parser.parse_datagram(data), ("127.0.0.1", 4000))
    if seen is not None:
        assert (seen.method, seen.user, seen.transaction_key) == (method, "712", head.transaction_key)
        assert seen.in_dialog is bool(head.to_tag)
        assert seen.response_address(("127.0.0.1", 4000)) == head.response_address(("127.0.0.1", 4000), False)
        answer = sip_parser.parse_datagram(seen.service_unavailable(("127.0.0.1", 4000), "mine", 3))
        assert answer.status == 503
        assert answer.get("retry-after") == "3"
        for name in ("call-id", "cseq", "from"):
            assert answer.get(name) == lines[name]
    else:
        assert rport == ";rport;x=y"


@BOUNDED
@given(st.binary(max_size=300))
def test_a_look_at_anything_upsets_nothing(data):
    """Guards against a datagram that stops the program before it is parsed."""
    scan_request(data)
    scan_request(b"INVITE sip:7@net SIP/2.0\r\n" + data + b"\r\n\r\n")


@pytest.mark.parametrize(
    "line", ["Via: SIP/2.0/UDP h;branch=z9hG4bKq\r\n ;rport", "To: <sip:7@net>", "v : SIP/2.0/UDP h"]
)
def test_what_is_written_otherwise_is_left_to_the_parser(line):
    """Guards against a look at a folded Via, two To or an odd name that a parse would read otherwise."""
    lines = sip_headers("INVITE")
    data = sip.request("INVITE", "sip:7@net", list(lines.items()))
    first, _, rest = data.partition(b"\r\n")
    assert scan_request(data) is not None
    assert scan_request(first + b"\r\n" + line.encode() + b"\r\n" + rest) is None


# ---- at the front ----


def ask(inside, method="INVITE", number=1, via_more="", to_tag="", peer=("127.0.0.1", 4000), uri="sip:1@net"):
    """A datagram to the front; returns the answers it led to."""
    lines = sip_headers(method, "1", f"z9hG4bK{number}", f"c{number}", to_tag=to_tag)
    lines["via"] += via_more
    data = sip.request(method, uri, list(lines.items()))
    port = inside.front.flows.ports[0]
    port.receive(data, peer)
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
