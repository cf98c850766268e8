"""The checker of the call rules, over observations of callers and servers."""

from __future__ import annotations

from typing import Any

import pytest

from stairhatch.emulators.observations import ObservationKind
from stairhatch.load_test.call_rules import CallObservation, CallRuleChecker


def observation(at: float, kind: ObservationKind, server: str = "", **final: Any) -> CallObservation:
    """Return an observation of the call "c", the only one of these tests."""
    return CallObservation(at, kind, "c", server, **final)


def final_response(at: float, status: int, told_apart_by: str) -> CallObservation:
    return observation(at, ObservationKind.FINAL_RESPONSE, status=status, told_apart_by=told_apart_by)


def drain_notification(at: float, server: str) -> CallObservation:
    return CallObservation(at, ObservationKind.DRAIN_NOTIFIED, "", server)


PLACED = observation(0.0, ObservationKind.CALL_PLACED)
FIRST_ABANDONED = observation(0.5, ObservationKind.RELEASE_RECEIVED, "r0")
SECOND_SETUP = observation(1.1, ObservationKind.SETUP_RECEIVED, "r1")
SECOND_REJECTED = observation(1.2, ObservationKind.REJECTED, "r1")
ANSWERED = final_response(1.31, 200, "a")
ANSWERED_AGAIN = final_response(1.9, 200, "a")
HUNG_UP = observation(5.0, ObservationKind.CALLER_HUNG_UP)
RELEASED = observation(5.01, ObservationKind.RELEASE_RECEIVED, "r0")
VALID_CALL = [
    PLACED,
    observation(0.1, ObservationKind.SETUP_RECEIVED, "r0"),
    FIRST_ABANDONED,
    SECOND_SETUP,
    SECOND_REJECTED,
    observation(1.21, ObservationKind.SETUP_RECEIVED, "r0"),
    observation(1.3, ObservationKind.ESTABLISHED, "r0"),
    ANSWERED,
    ANSWERED_AGAIN,
    HUNG_UP,
    RELEASED,
]


def changed_call(*, without: tuple[CallObservation, ...] = (), plus: tuple[CallObservation, ...] = ()) -> Any:
    """Return the observations of the call that violates no rule, changed by some observations."""
    return [each for each in VALID_CALL if each not in without] + list(plus)


def four_more_attempts() -> tuple[CallObservation, ...]:
    return tuple(
        observation(1.2 + number / 1000, kind, "r1")
        for number in range(1, 5)
        for kind in (ObservationKind.SETUP_RECEIVED, ObservationKind.REJECTED)
    )


VANISHED = observation(1.25, ObservationKind.CALLER_VANISHED)
ENDED_BY_SERVER = observation(5.0, ObservationKind.RELEASED_BY_SERVER, "r0")
CASES = {
    "a call that violates no rule": (VALID_CALL, []),
    "no final response": (changed_call(without=(ANSWERED, ANSWERED_AGAIN, HUNG_UP, RELEASED)), ["answer"]),
    "a rejection after a 2xx response": (changed_call(plus=(final_response(2.0, 503, "b"),)), ["answer"]),
    "a second 2xx response that is no retransmission": (
        changed_call(plus=(final_response(2.0, 200, "b"),)),
        ["answer"],
    ),
    "a response to a call that was not placed": (changed_call(without=(PLACED,)), ["answer"]),
    "two open attempts": (changed_call(without=(FIRST_ABANDONED,)), ["one attempt"]),
    "a lost connection ends an attempt": (
        changed_call(
            without=(FIRST_ABANDONED,), plus=(observation(0.5, ObservationKind.CONNECTION_LOST, "r0"),)
        ),
        [],
    ),
    "no pause after a lost connection": (
        changed_call(
            without=(FIRST_ABANDONED,), plus=(observation(0.8, ObservationKind.CONNECTION_LOST, "r0"),)
        ),
        ["pause"],
    ),
    "no pause after an abandoned attempt": (
        changed_call(
            without=(SECOND_SETUP, SECOND_REJECTED),
            plus=(
                observation(0.8, ObservationKind.SETUP_RECEIVED, "r1"),
                observation(0.9, ObservationKind.REJECTED, "r1"),
            ),
        ),
        ["pause"],
    ),
    "not released": (changed_call(without=(RELEASED,)), ["release"]),
    "a vanished caller, not released": (
        changed_call(without=(HUNG_UP, RELEASED), plus=(VANISHED,)),
        ["release"],
    ),
    "a vanished caller, released after 64 T1": (
        changed_call(
            without=(HUNG_UP, RELEASED),
            plus=(VANISHED, observation(33.4, ObservationKind.RELEASE_RECEIVED, "r0")),
        ),
        [],
    ),
    "a release by the server without a BYE": (
        changed_call(without=(HUNG_UP, RELEASED), plus=(ENDED_BY_SERVER,)),
        ["release"],
    ),
    "a release by the server with a BYE": (
        changed_call(
            without=(HUNG_UP, RELEASED),
            plus=(ENDED_BY_SERVER, observation(5.1, ObservationKind.BYE_RECEIVED)),
        ),
        [],
    ),
    "a set-up long after a drain": (changed_call(plus=(drain_notification(0.0, "r1"),)), ["drain"]),
    "a set-up just after a drain": (changed_call(plus=(drain_notification(0.3, "r1"),)), []),
    "seven attempts": (changed_call(plus=four_more_attempts()), ["attempts"]),
}


@pytest.mark.parametrize(("observations", "rules"), CASES.values(), ids=CASES)
def test_each_violation_is_reported_under_its_rule(observations, rules):
    """The checker reports exactly the violated rule, and nothing for a call without a violation."""
    assert [each.rule for each in CallRuleChecker(60.0).check(observations)] == rules


def test_an_unfinished_call_at_the_end_of_a_run_is_no_violation():
    """A call whose time limit is not over may still be open when the run ends."""
    assert CallRuleChecker(1.25).check(VALID_CALL[:3]) == []
