"""Mutations of holders: errors in the time limit for acting under a lease, in requests and in releases."""

from __future__ import annotations

from typing import Any

from stairhatch.fault_injection.mutations.registry import AttributePatch, EffectsMethod, mutation, original
from stairhatch.fleet.effects import SendMessage, Vote
from stairhatch.fleet.lease import LeaseClient, LeaseState, LeaseTimings
from stairhatch.fleet.messages import LeaseGranted
from stairhatch.fleet.vote_table import VoteTable


@mutation("the term counts from the answer")
def count_duration_from_grant() -> list[AttributePatch]:
    """The lease's duration begins at the arrival of a grant instead of at the request."""
    handle_granted: EffectsMethod = original(LeaseClient, "handle_granted")

    def handle_with_late_start(self: LeaseClient, now: float, message: LeaseGranted) -> list[Any]:
        if request_round := self._rounds.get(message.request_id):
            request_round.started_at = now
        return handle_granted(self, now, message)

    return [AttributePatch(LeaseClient, "handle_granted", handle_with_late_start)]


@mutation("may_act does not look at the time")
def act_without_time() -> list[AttributePatch]:
    """A holder acts as long as its state is HELD, without a check of the lease's expiry time."""

    def may_act(self: LeaseClient, _now: float) -> bool:
        return self.state is LeaseState.HELD

    return [AttributePatch(LeaseClient, "may_act", may_act)]


@mutation("may_act holds while it is asked for again")
def act_while_requesting() -> list[AttributePatch]:
    """A holder that has lost the lease still acts while it requests the lease again."""

    def may_act(self: LeaseClient, _now: float) -> bool:
        return self.fencing_token > 0 and self.state is not LeaseState.IDLE

    return [AttributePatch(LeaseClient, "may_act", may_act)]


@mutation("drift is not reckoned with")
def ignore_drift() -> list[AttributePatch]:
    """Neither holders nor voters include a safety margin for clock drift in their durations."""

    def holder_duration_s(self: LeaseTimings) -> float:
        return self.duration_s

    def vote_duration_s(self: VoteTable, vote: Vote) -> float:
        return max(vote.duration_s, self.timings.duration_s)

    return [
        AttributePatch(LeaseTimings, "holder_duration_s", property(holder_duration_s)),
        AttributePatch(VoteTable, "duration_s", vote_duration_s),
    ]


@mutation("late answers count for the newest round")
def count_late_grants() -> list[AttributePatch]:
    """A delayed grant of an earlier request round counts for the newest round."""
    handle_granted: EffectsMethod = original(LeaseClient, "handle_granted")

    def handle_as_newest(self: LeaseClient, now: float, message: LeaseGranted) -> list[Any]:
        if self._rounds and message.fencing_token == self.fencing_token:
            newest = next(reversed(self._rounds))
            message = LeaseGranted(
                message.lease, message.voter, message.fencing_token, newest, message.storage_version
            )
        return handle_granted(self, now, message)

    return [AttributePatch(LeaseClient, "handle_granted", handle_as_newest)]


@mutation("less than a majority is enough for the holder")
def hold_with_a_minority() -> list[AttributePatch]:
    """Half of the voters, rounded down, count as a majority."""

    def majority(self: LeaseClient) -> int:
        return len(self.voters) // 2

    return [AttributePatch(LeaseClient, "majority", property(majority))]


@mutation("the ticket is not raised")
def keep_token() -> list[AttributePatch]:
    """A holder sends a new request under the fencing token of its last one instead of a higher token."""
    send_requests: EffectsMethod = original(LeaseClient, "_send_requests")

    def send_with_old_token(self: LeaseClient, now: float) -> list[Any]:
        if self.state is LeaseState.REQUESTING:
            self.highest_token = max(0, self.highest_token - 1)
        return send_requests(self, now)

    return [AttributePatch(LeaseClient, "_send_requests", send_with_old_token)]


@mutation("who gives back goes on")
def act_after_release() -> list[AttributePatch]:
    """A holder that has released the lease still acts until the lease's expiry time."""
    release: EffectsMethod = original(LeaseClient, "release")

    def release_and_hold(self: LeaseClient, successor: str | None = None) -> list[Any]:
        state_before = self.state, self.expires_at, self.due_at
        effects = release(self, successor)
        if state_before[0] is LeaseState.HELD:
            self.state, self.expires_at, self.due_at = state_before
        return [effect for effect in effects if isinstance(effect, SendMessage)]

    return [AttributePatch(LeaseClient, "release", release_and_hold)]
