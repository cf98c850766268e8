"""Session timers (RFC 4028)."""

from __future__ import annotations

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
    """Released if nobody refreshes it, and never while it is refreshed in time (RFC 4028, section 10)."""
    expiration, now = SessionExpiration(), 0.0
    expiration.restart(SessionTimer(interval, refresher), now)
    for wait in waits:
        refreshed = now
        now += wait
        due = expiration.due_action(now)
        assert (due is SessionTimerAction.RELEASE) is (
            now - refreshed >= SessionTimer(interval, refresher).release_after_s
        )
        if due is SessionTimerAction.REFRESH:
            assert refresher is Refresher.LOCAL
            assert now - refreshed >= interval / 2
            assert expiration.due_action(now) is SessionTimerAction.NONE  # asked for once
        expiration.restart(SessionTimer(interval, refresher), now)


@BOUNDED
@given(
    st.integers(0, 10**6),
    st.integers(0, 10**5),
    st.sampled_from(["", ";refresher=uac", ";refresher=uas"]),
    st.booleans(),
    st.integers(90, 4000),
)
def test_no_session_interval_under_either_minimum_is_agreed(asked, least, who, knows, ours):
    """The agreed interval is at least the Min-SE of both sides (RFC 4028, section 9)."""
    message = sip.SipMessage("INVITE", headers=[("session-expires", f"{asked}{who}"), ("min-se", str(least))])
    if knows:
        message.headers.append(("supported", "timer"))
    got = session_timer.negotiate(message, SessionTimerPolicy(1800, ours))
    if isinstance(got, RequestRejection):
        assert got.status == 422
        assert knows
        assert asked < ours
    else:
        assert got is not None
        assert got.interval_s >= min(ours, session_timer.MAX_SESSION_EXPIRES_S)
        assert got.required is knows
        assert knows or got.refresher is Refresher.LOCAL
