"""Rule checks of dense trials: each detects a record that breaks its rule; a correct record breaks none."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from stairhatch.soak.deployment import Deployment, DrawnClass, draw_deployment
from stairhatch.soak.record import Kind, Observation, Record
from stairhatch.soak.rules import RuleChecker
from stairhatch.soak.violation import Rule

NON_REPEATABLE = DrawnClass("unsafe", "non_idempotent", 3.0, 1.0, 5.0, (0, 1))
REPEATABLE = DrawnClass("safe", "read_like", 3.0, 1.0, 5.0, (0, 1))
SOFTSWITCH, SERVER, OTHER_SERVER, CALL_ID = "n0#1", "s-0", "s-1", "00000000000000aa"


def deployment(**fields: object) -> Deployment:
    drawn = draw_deployment(random.Random(1))
    return replace(
        drawn,
        classes=(REPEATABLE, NON_REPEATABLE),
        retry_pause_s=0.5,
        max_attempts=2,
        drain_grace_s=1.0,
        **fields,
    )


def call_record(*seen: tuple[float, Kind, dict]) -> list[Observation]:
    return [
        Observation(at, kind, CALL_ID, **{"softswitch": SOFTSWITCH, **fields}) for at, kind, fields in seen
    ]


def served_call(call_class: str = "safe") -> list[Observation]:
    """Return the record of a call that is established, ends at the server and is released to its caller."""
    return call_record(
        (1.0, Kind.SETUP_SENT, {"detail": f"{call_class} waits 2.0"}),
        (1.01, Kind.SETUP_RECEIVED, {"server": SERVER}),
        (1.02, Kind.ESTABLISHED, {"server": SERVER, "detail": "d"}),
        (1.03, Kind.FINAL_ANSWER, {"status": 200, "detail": "d"}),
        (5.0, Kind.CALL_OVER, {"server": SERVER, "detail": "ended"}),
        (5.0, Kind.RELEASE_SENT, {"server": SERVER}),
        (5.1, Kind.CALLER_RELEASED, {}),
    )


def process_record(*seen: tuple[float, Kind, int]) -> list[Observation]:
    return [Observation(at, kind, softswitch=SOFTSWITCH, status=status) for at, kind, status in seen]


PROCESS_START = process_record((0.0, Kind.PROCESS_STARTED, 0), (0.5, Kind.PROCESS_READY, 0))
PROCESS_END = process_record((30.0, Kind.TERMINATE_SENT, 0), (31.0, Kind.PROCESS_ENDED, 0))


def without_kinds(record: list[Observation], *kinds: Kind) -> list[Observation]:
    return [each for each in record if each.kind not in kinds]


def with_kind_at(record: list[Observation], kind: Kind, at: float) -> list[Observation]:
    return [replace(each, at=at) if each.kind is kind else each for each in record]


def broken_rules(observations: list[Observation], stalled_s: float = 0.0) -> set[Rule]:
    """Return the rules that are broken by observations between the start and the end of one process."""
    all_observations = sorted([*PROCESS_START, *observations, *PROCESS_END], key=lambda each: each.at)
    record = Record(observations=all_observations, stalled_s=stalled_s)
    return {each.rule for each in RuleChecker(deployment(), record).check()}


def retried_call(end: Kind, second_at: float, call_class: str = "safe") -> list[Observation]:
    """Return the record of a call whose first attempt ends with `end` and whose second one is served."""
    first = call_record(
        (1.005, Kind.SETUP_RECEIVED, {"server": OTHER_SERVER}), (1.008, end, {"server": OTHER_SERVER})
    )
    shift = second_at - 1.01
    rest = [replace(each, at=each.at + shift) if each.at > 1.0 else each for each in served_call(call_class)]
    return [*rest, *first]


DRAIN_NOTICES = [
    Observation(3.0, Kind.LIST_CHANGED, softswitch="n0", server=SERVER, detail="terminating"),
    Observation(3.1, Kind.LIST_NOTIFIED, softswitch="n0", server=SERVER, detail="terminating"),
]
OUTAGE = [
    Observation(2.9, Kind.DISCOVERY_FAILED, softswitch="n0"),
    Observation(9.0, Kind.DISCOVERY_RETURNED, softswitch="n0"),
]


def cold_burst(notified_at: float) -> list[Observation]:
    """Return more set-ups than a cold server can take, and the notification of its start."""
    start = Observation(4.0, Kind.STARTED_COLD, server=SERVER)
    notification = Observation(
        notified_at, Kind.LIST_NOTIFIED, softswitch="n0", server=SERVER, detail="in_service"
    )
    setups = [
        Observation(4.1 + n / 1000, Kind.SETUP_RECEIVED, f"{n:016x}", softswitch=SOFTSWITCH, server=SERVER)
        for n in range(400)
    ]
    return [start, notification, *setups]


def late_setup(at: float) -> list[Observation]:
    """Return the record of a served call whose set-up reaches the server at a time."""
    return [replace(each, at=each.at + at - 1.01) for each in served_call()]


def test_a_correct_record_breaks_no_rule():
    """Guards against false violations in served calls, retries, drains, server starts and outages."""
    assert not broken_rules(served_call())
    assert not broken_rules(retried_call(Kind.REJECTED, 1.02))
    assert not broken_rules(retried_call(Kind.GIVEN_UP, 1.6))
    assert not broken_rules(retried_call(Kind.REJECTED, 1.02, "unsafe"))
    assert not broken_rules([*DRAIN_NOTICES, *late_setup(4.0)])
    assert not broken_rules(
        cold_burst(4.45)
    ), "a softswitch that is not yet notified of the start does not break the rule"
    assert not broken_rules(
        [DRAIN_NOTICES[0], *OUTAGE, *late_setup(15.9)]
    ), "the notification is due 6 s after discovery returned"
    assert not broken_rules(
        without_kinds(with_kind_at(served_call(), Kind.CALLER_RELEASED, 12.9), Kind.RELEASE_SENT)
    )
    lost_attempt = call_record(
        (1.003, Kind.SETUP_RECEIVED, {"server": SERVER}),
        (1.004, Kind.ESTABLISHED, {"server": SERVER, "detail": "d"}),
        (1.2, Kind.CALL_OVER, {"server": SERVER, "detail": "ended"}),
        (1.3, Kind.RELEASE_SENT, {"server": SERVER}),
    )
    second = [replace(each, at=each.at + 0.8) if each.at > 1.0 else each for each in served_call()]
    assert not broken_rules(
        [*lost_attempt, *second]
    ), "the end of an attempt whose answer was lost is not the end of the call"


@pytest.mark.parametrize(
    ("rule", "observations"),
    [
        (Rule.ANSWER, without_kinds(served_call(), Kind.FINAL_ANSWER)),
        (Rule.ANSWER, with_kind_at(served_call(), Kind.FINAL_ANSWER, 3.6)),
        (Rule.ANSWER, [*served_call(), *call_record((2.0, Kind.FINAL_ANSWER, {"status": 500}))]),
        (
            Rule.ANSWER,
            [
                *without_kinds(served_call(), Kind.FINAL_ANSWER),
                *call_record((1.5, Kind.CONNECTION_ENDED, {"detail": "0.500"})),
            ],
        ),
        (Rule.SERVED, [replace(e, detail="x") if e.kind is Kind.FINAL_ANSWER else e for e in served_call()]),
        (Rule.RELEASED, without_kinds(served_call(), Kind.CALLER_RELEASED)),
        (Rule.RELEASED, with_kind_at(served_call(), Kind.CALLER_RELEASED, 6.2)),
        (
            Rule.RELEASED,
            without_kinds(with_kind_at(served_call(), Kind.CALLER_RELEASED, 13.2), Kind.RELEASE_SENT),
        ),
        (
            Rule.ONE_ATTEMPT,
            [*served_call(), *call_record((1.015, Kind.SETUP_RECEIVED, {"server": OTHER_SERVER}))],
        ),
        (Rule.PAUSE, retried_call(Kind.GIVEN_UP, 1.3)),
        (Rule.PAUSE, retried_call(Kind.SETUP_LOST, 1.3)),
        (
            Rule.ATTEMPTS,
            [
                *retried_call(Kind.REJECTED, 1.05),
                *call_record(
                    (1.02, Kind.SETUP_RECEIVED, {"server": OTHER_SERVER}),
                    (1.03, Kind.REJECTED, {"server": OTHER_SERVER}),
                ),
            ],
        ),
        (Rule.DUPLICATE, retried_call(Kind.GIVEN_UP, 1.6, "unsafe")),
        (
            Rule.DUPLICATE,
            call_record(
                (1.0, Kind.SETUP_SENT, {"detail": "unsafe waits 2.0"}),
                (1.01, Kind.SETUP_RECEIVED, {"server": SERVER}),
                (1.5, Kind.GIVEN_UP, {"server": SERVER}),
                (1.5, Kind.FINAL_ANSWER, {"status": 503}),
            ),
        ),
        (Rule.DRAINING_SERVER, [*DRAIN_NOTICES, *late_setup(4.3)]),
        (Rule.DRAINING_SERVER, [DRAIN_NOTICES[0], *OUTAGE, *late_setup(16.2)]),
        (Rule.DRAINING_SERVER, [DRAIN_NOTICES[0], *late_setup(11.2)]),
        (
            Rule.ABANDONED,
            [*retried_call(Kind.GIVEN_UP, 1.6), *call_record((1.007, Kind.CALLER_LEFT, {}))],
        ),
        (
            Rule.REFUSED_IN_DRAIN,
            [*late_setup(5.0), Observation(3.5, Kind.DRAIN_ON, softswitch=SOFTSWITCH)],
        ),
        (Rule.COLD_SERVER, cold_burst(4.05)),
        (Rule.POOL, [replace(each, server="s-2-3") if each.server else each for each in served_call()]),
        (Rule.PROCESS, process_record((4.0, Kind.PROCESS_ENDED, 1))),
        (Rule.PROCESS, process_record((30.5, Kind.KILL_SENT, 0))),
        (Rule.PROCESS, [Observation(4.0, Kind.LIMIT_EXCEEDED, softswitch=SOFTSWITCH, detail="70 of 64")]),
        (Rule.PROCESS, [Observation(4.0, Kind.LOG_LINE, softswitch=SOFTSWITCH, detail="fault why=x")]),
        (Rule.PROCESS, with_kind_at(PROCESS_START, Kind.PROCESS_READY, 11.0)),
    ],
)
def test_each_rule_detects_a_record_that_breaks_it(rule, observations):
    """A check that never detects a violation would let every trial pass."""
    assert rule in broken_rules(observations)


def test_a_stall_of_the_harness_extends_the_limits_by_its_length_only():
    """A stalled harness records events late, which must not count against the softswitch."""
    late = with_kind_at(served_call(), Kind.CALLER_RELEASED, 6.2)
    assert broken_rules(late, stalled_s=0.1) == {Rule.RELEASED}
    assert not broken_rules(late, stalled_s=0.2)


def test_a_stall_extends_the_time_in_which_a_set_up_crosses_a_close():
    """Guards against a false violation when the harness stalls and notices the close of a connection late.

    In trial 558 it stalled for 82 ms between sending a set-up and noticing a close that had come before.
    """
    ended = (1.08, Kind.CONNECTION_ENDED, {"detail": "0.080"})
    open_call = call_record((1.0, Kind.SETUP_SENT, {"detail": "safe waits 2.0"}), ended)
    assert broken_rules(open_call) == {Rule.ANSWER}
    assert broken_rules(open_call, stalled_s=0.02) == {Rule.ANSWER}
    assert not broken_rules(open_call, stalled_s=0.04)


def test_the_calls_of_a_process_killed_without_sigterm_are_excused():
    """A SIGKILL without SIGTERM excuses unanswered set-ups; a planned restart does not."""
    ended = (2.0, Kind.CONNECTION_ENDED, {"detail": "1.000"})
    open_call = call_record((1.0, Kind.SETUP_SENT, {"detail": "safe waits 2.0"}), ended)
    killed = process_record((2.0, Kind.KILL_SENT, 0), (2.0, Kind.PROCESS_ENDED, -9))
    all_observations = sorted([*PROCESS_START, *open_call, *killed], key=lambda each: each.at)
    assert not RuleChecker(deployment(), Record(observations=all_observations)).check()
    assert broken_rules(open_call) == {Rule.ANSWER}
