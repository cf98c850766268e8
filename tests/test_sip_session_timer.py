"""Property tests of session timers (RFC 4028): expiration and negotiation."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.sip import session_timer
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.session_timer import (
    Refresher,
    SessionExpiration,
    SessionTimer,
    SessionTimerAction,
    SessionTimerPolicy,
)

from .support.sip_layers import BOUNDED


@BOUNDED
@given(st.integers(90, 5000), st.sampled_from(list(Refresher)), st.lists(st.floats(0, 3000), max_size=8))
def test_a_session_is_released_at_its_expiration_and_never_before(interval, refresher, waits):
    """A session is released if neither side refreshes it, and never before then (RFC 4028, section 10)."""
    expiration, now = SessionExpiration(), 0.0
    expiration.restart(SessionTimer(interval, refresher), now)
    for wait in waits:
        refreshed_at = now
        now += wait
        action = expiration.due_action(now)
        assert (action is SessionTimerAction.RELEASE) is (
            now - refreshed_at >= SessionTimer(interval, refresher).release_after_s
        )
        if action is SessionTimerAction.REFRESH:
            assert refresher is Refresher.LOCAL
            assert now - refreshed_at >= interval / 2
            assert expiration.due_action(now) is SessionTimerAction.NONE  # REFRESH is returned once
        expiration.restart(SessionTimer(interval, refresher), now)


def timer_of_invite(*headers):
    """Return what is negotiated for an INVITE with these headers."""
    return session_timer.negotiate(sip.SipMessage("INVITE", headers=list(headers)), SessionTimerPolicy())


@pytest.mark.parametrize("value", ["soon", "-5", "1800;refresher=proxy", "1800;x=1;x=2", "9" * 30, ";"])
def test_a_malformed_interval_does_not_reject_the_call_of_a_caller_without_timers(value):
    """Guards against a call that is rejected for a header that a proxy adds and the caller does not know."""
    assert timer_of_invite(("session-expires", value)) is None
    rejection = timer_of_invite(("session-expires", value), ("supported", "timer"))
    assert isinstance(rejection, RequestRejection)
    assert rejection.status == 400, "a caller that negotiates a timer is told"


@pytest.mark.parametrize("value", ["x", "-1", "", "90;x=1;x=2"])
def test_a_malformed_minimum_is_ignored(value):
    """Guards against a call that is rejected for a Min-SE, which may be absent."""
    assert timer_of_invite(("min-se", value)) is None
    timer = timer_of_invite(("min-se", value), ("supported", "timer"))
    assert isinstance(timer, SessionTimer)
    assert timer.interval_s == SessionTimerPolicy().interval_s


@BOUNDED
@given(
    st.integers(0, 10**6),
    st.integers(0, 10**5),
    st.sampled_from(["", ";refresher=uac", ";refresher=uas"]),
    st.booleans(),
    st.integers(90, 4000),
)
def test_no_session_interval_under_either_minimum_is_agreed(
    requested_s, min_se_s, refresher_parameter, supports_timer, configured_min_s
):
    """The agreed interval is at min_se_s the Min-SE of both sides (RFC 4028, section 9)."""
    message = sip.SipMessage(
        "INVITE",
        headers=[("session-expires", f"{requested_s}{refresher_parameter}"), ("min-se", str(min_se_s))],
    )
    if supports_timer:
        message.headers.append(("supported", "timer"))
    result = session_timer.negotiate(message, SessionTimerPolicy(1800, configured_min_s))
    if isinstance(result, RequestRejection):
        assert result.status == 422
        assert supports_timer
        assert requested_s < configured_min_s
    else:
        assert result is not None
        assert result.interval_s >= min(configured_min_s, session_timer.MAX_SESSION_EXPIRES_S)
        assert result.required is supports_timer
        assert supports_timer or result.refresher is Refresher.LOCAL
