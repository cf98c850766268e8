"""Tests of calls with several attempts at one server: whose response it is, what is repeated."""

from __future__ import annotations

import json

from stairhatch.node.calls import Attempt
from stairhatch.node.server_connection import ServerConnection
from stairhatch.overload.events import AttemptOutcome

from .support.accepted_connections import take_statuses
from .support.call_ids import next_call_id
from .support.server_on_clock import ServerOnClock
from .support.sip_messages import platform_invite

RETRY_PAUSE_S = 0.5
NETWORK_CLEARING = b'{"verb":"FINISH","tag":"%s","opts":{"note":"overload"},"rc":34}\n'
ESTABLISHED = b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n'


class CallInSecondAttempt:
    """A call whose first attempt was given up, with the second one written to the same server."""

    def __init__(self) -> None:
        self.server = ServerOnClock()
        self.node = self.server.node
        self.ident = next_call_id()
        self.server.caller.receive_data(platform_invite(self.ident, answer_within_ms="8000"))
        self.node.run(0.05)
        assert self.take_verbs(self.server.connection) == ["START"]
        self.node.call_manager.attempts.give_up(self.attempt, AttemptOutcome.TIMED_OUT)
        assert self.take_verbs(self.server.connection) == ["FINISH"]

    @property
    def attempt(self) -> Attempt:
        """The attempt in progress."""
        attempt = self.node.call_manager.calls.by_ident[self.ident].attempt
        assert attempt is not None
        return attempt

    def start_second(self) -> None:
        """Let the retry pause pass and write the second attempt on the active connection."""
        self.node.run(RETRY_PAUSE_S + 0.1)
        assert self.take_verbs(self.active) == ["START"]

    @property
    def active(self) -> ServerConnection:
        """The connection in use."""
        return self.server.pool.active[1]

    def replace_connection(self) -> ServerConnection:
        """Let a standby take over; return the superseded connection."""
        old = self.active
        self.server.pool.dial_standby(old)
        self.server.connect(self.server.pool.standby[1])
        assert self.active is not old
        return old

    def respond(self, connection: ServerConnection, response: bytes) -> None:
        """Receive a response to the call on a connection."""
        connection.receive_data(response % self.ident.encode())

    @staticmethod
    def take_verbs(connection: ServerConnection) -> list[str]:
        """Return the verbs of the lines that a connection writes now."""
        return [json.loads(line)["verb"] for line in connection.data_to_send().splitlines()]


def test_a_late_refusal_does_not_start_a_third_attempt_beside_the_second() -> None:
    """Guards against two attempts of a call at once: the server refuses an attempt that was given up."""
    call = CallInSecondAttempt()
    call.start_second()
    call.respond(call.active, NETWORK_CLEARING)
    assert call.take_verbs(call.active) == ["FINISH"], "the second attempt is released"
    call.node.run(RETRY_PAUSE_S - 0.05)
    assert call.take_verbs(call.active) == [], "the retry pause precedes the third attempt"


def test_a_refusal_that_only_the_attempt_in_progress_can_have_is_followed_by_a_retry_at_once() -> None:
    """Guards against a retry pause after each refusal: the earlier attempt had its own response before."""
    call = CallInSecondAttempt()
    call.respond(call.active, NETWORK_CLEARING)  # during the retry pause
    call.start_second()
    call.respond(call.active, NETWORK_CLEARING)
    assert "FINISH" not in call.take_verbs(call.active)
    assert call.node.call_manager.calls.by_ident[call.ident].pause_until <= call.node.now


def test_a_late_response_on_another_connection_leaves_the_attempt_in_progress_alone() -> None:
    """Guards against a late response that ends the next attempt, or answers its call, or releases it."""
    for response in (NETWORK_CLEARING, ESTABLISHED):
        call = CallInSecondAttempt()
        old = call.replace_connection()
        call.active.data_to_send()
        call.start_second()
        call.respond(old, response)
        assert not call.attempt.ended
        assert call.take_verbs(call.active) == []
        assert take_statuses(call.server.caller, call.ident) == []
        call.respond(call.active, ESTABLISHED)
        assert take_statuses(call.server.caller, call.ident) == [200]


def test_a_late_refusal_leaves_a_call_established_that_another_connection_has_set_up() -> None:
    """Guards against a release of an established call by the refusal of its earlier attempt."""
    call = CallInSecondAttempt()
    old = call.replace_connection()
    call.active.data_to_send()
    call.start_second()
    call.respond(call.active, ESTABLISHED)
    call.respond(old, NETWORK_CLEARING)
    assert call.server.has_call(call.ident)


def test_a_release_is_not_repeated_behind_a_later_setup_of_its_call() -> None:
    """Guards against a call that its caller holds, cut at the server by the repeated release of its first
    attempt as another connection takes over.
    """
    call = CallInSecondAttempt()
    call.start_second()
    old = call.replace_connection()
    assert call.take_verbs(call.active) == []
    call.respond(old, ESTABLISHED)  # the answer of the second attempt, or of the first
    old.connection_lost()
    assert call.take_verbs(call.active) == []
    assert call.server.has_call(call.ident)


def test_a_release_is_repeated_before_a_queued_setup_of_its_call() -> None:
    """Guards against a set-up that overtakes the repeated release of the attempt before it."""
    call = CallInSecondAttempt()
    call.node.run(RETRY_PAUSE_S + 0.1)  # the second attempt is queued
    call.replace_connection()
    assert call.take_verbs(call.active) == ["FINISH", "START"]


def test_the_release_of_an_attempt_without_a_successor_is_repeated() -> None:
    """Guards against a set-up that stays open at the server, as its release was lost with a connection."""
    call = CallInSecondAttempt()
    call.replace_connection()
    assert call.take_verbs(call.active) == ["FINISH"]


def test_a_setup_on_a_dead_connection_is_released_on_another_before_the_next_attempt() -> None:
    """Guards against a call that the server has set up and answered into a connection cut off silently."""
    call = CallInSecondAttempt()
    call.start_second()
    dead = call.replace_connection()
    dead.abort_as_dead()
    dead.connection_lost()
    assert call.take_verbs(call.active) == ["FINISH"]
    call.node.run(RETRY_PAUSE_S + 0.1)
    assert call.take_verbs(call.active) == ["START"]
