"""The rules of calls, checked over what callers and servers observed."""

from __future__ import annotations

from typing import Any

import pytest

from stairhatch.emulators.observations import ObservationKind
from stairhatch.load_test.call_rules import CallObservation, CallRuleChecker


def saw(at: float, kind: ObservationKind, server: str = "", **final: Any) -> CallObservation:
    """What was observed of the one call of these tests."""
    return CallObservation(at, kind, "c", server, **final)


def saw_final(at: float, status: int, told_apart_by: str) -> CallObservation:
    return saw(at, ObservationKind.FINAL_RESPONSE, status=status, told_apart_by=told_apart_by)


def saw_drain(at: float, server: str) -> CallObservation:
    return CallObservation(at, ObservationKind.DRAIN_NOTIFIED, "", server)


PLACED = saw(0.0, ObservationKind.CALL_PLACED)
FIRST_ABANDONED = saw(0.5, ObservationKind.RELEASE_RECEIVED, "r0")
SECOND_SETUP = saw(1.1, ObservationKind.SETUP_RECEIVED, "r1")
SECOND_REJECTED = saw(1.2, ObservationKind.REJECTED, "r1")
ANSWERED = saw_final(1.31, 200, "a")
ANSWERED_AGAIN = saw_final(1.9, 200, "a")
HUNG_UP = saw(5.0, ObservationKind.CALLER_HUNG_UP)
RELEASED = saw(5.01, ObservationKind.RELEASE_RECEIVED, "r0")
GOOD_STORY = [
    PLACED,
    saw(0.1, ObservationKind.SETUP_RECEIVED, "r0"),
    FIRST_ABANDONED,
    SECOND_SETUP,
    SECOND_REJECTED,
    saw(1.21, ObservationKind.SETUP_RECEIVED, "r0"),
    saw(1.3, ObservationKind.ESTABLISHED, "r0"),
    ANSWERED,
    ANSWERED_AGAIN,
    HUNG_UP,
    RELEASED,
]


def story(*, without: tuple[CallObservation, ...] = (), plus: tuple[CallObservation, ...] = ()) -> Any:
    """Return the good story without some observations, and with others."""
    return [each for each in GOOD_STORY if each not in without] + list(plus)


def four_more_attempts() -> tuple[CallObservation, ...]:
    return tuple(
        saw(1.2 + number / 1000, kind, "r1")
        for number in range(1, 5)
        for kind in (ObservationKind.SETUP_RECEIVED, ObservationKind.REJECTED)
    )


VANISHED = saw(1.25, ObservationKind.CALLER_VANISHED)
ENDED_BY_SERVER = saw(5.0, ObservationKind.RELEASED_BY_SERVER, "r0")
CASES = {
    "a good call": (GOOD_STORY, []),
    "no answer": (story(without=(ANSWERED, ANSWERED_AGAIN, HUNG_UP, RELEASED)), ["answer"]),
    "a rejection after an answer": (story(plus=(saw_final(2.0, 503, "b"),)), ["answer"]),
    "another answer": (story(plus=(saw_final(2.0, 200, "b"),)), ["answer"]),
    "an answer that nobody asked for": (story(without=(PLACED,)), ["answer"]),
    "two attempts out": (story(without=(FIRST_ABANDONED,)), ["one attempt"]),
    "a lost connection ends an attempt": (
        story(without=(FIRST_ABANDONED,), plus=(saw(0.5, ObservationKind.CONNECTION_LOST, "r0"),)),
        [],
    ),
    "no pause after a lost connection": (
        story(without=(FIRST_ABANDONED,), plus=(saw(0.8, ObservationKind.CONNECTION_LOST, "r0"),)),
        ["pause"],
    ),
    "no pause after an abandoned attempt": (
        story(
            without=(SECOND_SETUP, SECOND_REJECTED),
            plus=(saw(0.8, ObservationKind.SETUP_RECEIVED, "r1"), saw(0.9, ObservationKind.REJECTED, "r1")),
        ),
        ["pause"],
    ),
    "not released": (story(without=(RELEASED,)), ["release"]),
    "a vanished caller, not released": (story(without=(HUNG_UP, RELEASED), plus=(VANISHED,)), ["release"]),
    "a vanished caller, released after 64 T1": (
        story(
            without=(HUNG_UP, RELEASED), plus=(VANISHED, saw(33.4, ObservationKind.RELEASE_RECEIVED, "r0"))
        ),
        [],
    ),
    "a caller not told of the end": (
        story(without=(HUNG_UP, RELEASED), plus=(ENDED_BY_SERVER,)),
        ["release"],
    ),
    "a caller told of the end": (
        story(without=(HUNG_UP, RELEASED), plus=(ENDED_BY_SERVER, saw(5.1, ObservationKind.BYE_RECEIVED))),
        [],
    ),
    "a set-up long after a drain": (story(plus=(saw_drain(0.0, "r1"),)), ["drain"]),
    "a set-up just after a drain": (story(plus=(saw_drain(0.3, "r1"),)), []),
    "seven attempts": (story(plus=four_more_attempts()), ["attempts"]),
}


@pytest.mark.parametrize(("observations", "rules"), CASES.values(), ids=CASES)
def test_each_rule_is_checked_and_none_is_taken_for_another(observations, rules):
    """The checker neither passes everything nor reports one rule by another's name."""
    assert [each.rule for each in CallRuleChecker(60.0).check(observations)] == rules


def test_a_call_that_is_under_way_owes_nothing_yet():
    """The end of a run is no violation."""
    assert CallRuleChecker(1.25).check(GOOD_STORY[:3]) == []
