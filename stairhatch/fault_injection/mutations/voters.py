"""Mutations of voters: errors in grants, in the writes of votes, in releases and in the start of a voter."""

from __future__ import annotations

from typing import Any

from stairhatch.fault_injection.mutations.registry import AttributePatch, EffectsMethod, mutation, original
from stairhatch.fleet.effects import SendMessage, Vote
from stairhatch.fleet.lease_granter import LeaseGranter
from stairhatch.fleet.messages import LeaseRelease, LeaseRequest, RejectionReason
from stairhatch.fleet.vote_table import VoteRejection
from stairhatch.fleet.voter import Voter
from stairhatch.fleet.voter_startup import VoterStartup
from stairhatch.fleet.voter_state import VoterState


@mutation("a promise is answered before it is on disk")
def grant_before_write() -> list[AttributePatch]:
    """A voter sends a grant before its vote is on disk."""
    cast_vote: EffectsMethod = original(LeaseGranter, "_cast_vote")

    def grant_at_once(self: LeaseGranter, *args: Any) -> list[Any]:
        effects = cast_vote(self, *args)
        grant = self._log.pending_grants.pop(self._log.last_write_id)
        return [*effects, SendMessage(grant.destination, grant.message)]

    return [AttributePatch(LeaseGranter, "_cast_vote", grant_at_once)]


@mutation("a copy of an ask is answered before the disk is")
def grant_duplicate_before_write() -> list[AttributePatch]:
    """A voter grants a duplicate of a request while the vote for the first copy is still being written."""
    handle_request: EffectsMethod = original(LeaseGranter, "handle_request")

    def handle_before_write(self: LeaseGranter, now: float, sender: Any, request: LeaseRequest) -> list[Any]:
        under_way = self._log.under_way
        requested = Vote(
            request.lease,
            request.fencing_token,
            request.holder,
            request.incarnation,
            request.duration_ms / 1000,
        )
        if self._votes.by_lease.get(request.lease) == requested:
            self._log.under_way = {}
        effects = handle_request(self, now, sender, request)
        self._log.under_way = {**under_way, **self._log.under_way}
        return effects

    return [AttributePatch(LeaseGranter, "handle_request", handle_before_write)]


@mutation("a disk that is full is not noticed")
def ignore_disk_errors() -> list[AttributePatch]:
    """A voter treats a failed write as completed."""
    write_completed: EffectsMethod = original(Voter, "write_completed")

    def ignore_error(self: Voter, now: float, write_id: int, _error: str) -> list[Any]:
        return write_completed(self, now, write_id, "")

    return [AttributePatch(Voter, "write_completed", ignore_error)]


@mutation("a promise is no promise to others")
def grant_while_held() -> list[AttributePatch]:
    """A voter grants a request with a higher fencing token while another member holds the lease."""
    rejection = original(LeaseGranter, "_rejection")

    def reject_lower_tokens(self: LeaseGranter, now: float, request: LeaseRequest) -> VoteRejection | None:
        found: VoteRejection | None = rejection(self, now, request)
        if found is None or found.reason != RejectionReason.HELD.value:
            return found
        if request.fencing_token > found.highest_token:
            return None
        return VoteRejection(RejectionReason.TOKEN_TOO_LOW.value, found.highest_token)

    return [AttributePatch(LeaseGranter, "_rejection", reject_lower_tokens)]


@mutation("a voter takes any ticket")
def grant_low_tokens() -> list[AttributePatch]:
    """A voter grants a request even if its fencing token is too low."""
    rejection = original(LeaseGranter, "_rejection")

    def ignore_low_tokens(self: LeaseGranter, now: float, request: LeaseRequest) -> VoteRejection | None:
        found: VoteRejection | None = rejection(self, now, request)
        is_low = found is not None and found.reason == RejectionReason.TOKEN_TOO_LOW.value
        return None if is_low else found

    return [AttributePatch(LeaseGranter, "_rejection", ignore_low_tokens)]


@mutation("a renewal does not lengthen the promise")
def keep_expiry_at_renewal() -> list[AttributePatch]:
    """A voter grants a renewal without extending its vote."""
    handle_request: EffectsMethod = original(LeaseGranter, "handle_request")

    def handle_without_extension(
        self: LeaseGranter, now: float, sender: Any, request: LeaseRequest
    ) -> list[Any]:
        expires_at_before, vote = (
            self._votes.expires_at.get(request.lease),
            self._votes.by_lease.get(request.lease),
        )
        effects = handle_request(self, now, sender, request)
        if vote is not None and expires_at_before is not None and vote.fencing_token == request.fencing_token:
            self._votes.expires_at[request.lease] = expires_at_before
        return effects

    return [AttributePatch(LeaseGranter, "handle_request", handle_without_extension)]


@mutation("promises are over with a restart")
def expire_votes_at_start() -> list[AttributePatch]:
    """A voter that restarts treats its persisted votes as expired."""
    init = original(Voter, "__init__")

    def init_with_expired_votes(self: Voter, *args: Any) -> None:
        init(self, *args)
        self.votes.expires_at = {}

    return [AttributePatch(Voter, "__init__", init_with_expired_votes)]


@mutation("an empty folder votes at once")
def vote_with_new_storage() -> list[AttributePatch]:
    """A voter votes immediately after its start, even with an empty data directory."""
    init = original(Voter, "__init__")

    def init_with_voting_state(self: Voter, *args: Any) -> None:
        init(self, *args)
        self.eligibility.state = VoterState.VOTING
        self.eligibility.is_new_storage = False

    return [AttributePatch(Voter, "__init__", init_with_voting_state)]


@mutation("an older folder is not noticed")
def ignore_old_storage() -> list[AttributePatch]:
    """A voter does not detect that its data directory is an older copy."""

    def is_behind(_self: VoterStartup, _version: Any) -> bool:
        return False

    return [AttributePatch(VoterStartup, "is_behind", is_behind)]


@mutation("who is let in again does not wait")
def vote_without_waiting() -> list[AttributePatch]:
    """A voter that is admitted again does not wait until votes that it may have forgotten have expired."""
    start_waiting = original(VoterStartup, "_start_waiting")

    def wait_until_now(self: VoterStartup, now: float) -> None:
        start_waiting(self, now)
        self._eligibility.waiting_until = now
        self._votes.expires_at = {}

    return [AttributePatch(VoterStartup, "_start_waiting", wait_until_now)]


@mutation("who is let in again is told no promises")
def admit_without_votes() -> list[AttributePatch]:
    """A voter that is admitted again discards the reported votes of the other voters and its own votes."""
    admit: EffectsMethod = original(VoterStartup, "_admit")

    def admit_with_no_votes(self: VoterStartup, now: float, peers: list[Any]) -> list[Any]:
        for peer in peers:
            peer.votes.clear()
        self._votes.by_lease.clear()
        return admit(self, now, peers)

    return [AttributePatch(VoterStartup, "_admit", admit_with_no_votes)]


@mutation("a fleet is founded by any two")
def found_with_any_peer() -> list[AttributePatch]:
    """A voter with an empty data directory founds the fleet after the reply of a single other voter."""
    evaluate_replies: EffectsMethod = original(VoterStartup, "evaluate_replies")

    def found_after_one_reply(self: VoterStartup, now: float) -> list[Any]:
        if self._eligibility.state is VoterState.NEW_STORAGE and self._peers.by_voter:
            self._start_waiting(now)
            return []
        return evaluate_replies(self, now)

    return [AttributePatch(VoterStartup, "evaluate_replies", found_after_one_reply)]


@mutation("anybody gives back for anybody")
def release_for_others() -> list[AttributePatch]:
    """A voter accepts a release of a lease from any member as the holder's release."""
    handle_release: EffectsMethod = original(LeaseGranter, "handle_release")

    def handle_from_any_member(self: LeaseGranter, now: float, message: LeaseRelease) -> list[Any]:
        vote = self._votes.by_lease.get(message.lease)
        if vote is not None:
            message = LeaseRelease(
                message.lease, vote.holder or "-", vote.incarnation, vote.fencing_token, message.successor
            )
        return handle_release(self, now, message)

    return [AttributePatch(LeaseGranter, "handle_release", handle_from_any_member)]


@mutation("what is given back is forgotten with its ticket")
def forget_token_at_release() -> list[AttributePatch]:
    """A voter forgets the fencing token of a released lease."""
    handle_release: EffectsMethod = original(LeaseGranter, "handle_release")

    def handle_and_forget(self: LeaseGranter, now: float, message: LeaseRelease) -> list[Any]:
        vote = self._votes.by_lease.get(message.lease)
        effects = handle_release(self, now, message)
        if vote is not None and vote != self._votes.by_lease.get(message.lease):
            self._votes.by_lease[message.lease] = Vote(message.lease, 0)
        return effects

    return [AttributePatch(LeaseGranter, "handle_release", handle_and_forget)]


@mutation("who is let in hears the promises before its wait")
def admit_like_a_founder() -> list[AttributePatch]:
    """A voter that is admitted adopts the votes reported before its wait, but none reported after it.

    During the wait, another voter may cast a vote that forms a majority with a forgotten vote.
    """
    admit: EffectsMethod = original(VoterStartup, "_admit")

    def admit_as_founder(self: VoterStartup, now: float, peers: list[Any]) -> list[Any]:
        effects = admit(self, now, peers)
        self.is_founding = True
        return effects

    return [AttributePatch(VoterStartup, "_admit", admit_as_founder)]
