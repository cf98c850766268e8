"""Gauges of a member's leases, and the report of the command `stairhatch claims`.

The report is an answer of the admin endpoint, so its keys must not change.
"""

from __future__ import annotations

from typing import Any

from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.lease import LeaseClient, LeaseState
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.voter import Voter


def _remaining_s(lease: LeaseClient, now: float) -> float:
    return max(0.0, lease.expires_at - now) if lease.state is LeaseState.HELD else 0.0


def update_gauges(counts: dict[str, int], member: ClusterMember, now: float) -> None:
    """Set the gauges in `counts`: the held leases, their remaining times and the state of the voter."""
    counts["fleet_leases_held"] = sum(each.may_act(now) for each in member.leases.values())
    voter = member.voter
    if voter is not None:
        counts["fleet_is_voting"] = int(voter.is_voting)
        counts["fleet_voter_set_epoch"] = voter.voter_sets.current.epoch
    for name, lease in member.leases.items():
        remaining_s = _remaining_s(lease, now)
        gauge = f"fleet_remaining_ms_{name}"
        if remaining_s or gauge in counts:
            counts[gauge] = int(1000 * remaining_s)
            counts[f"fleet_fencing_token_{name}"] = lease.fencing_token


def lease_report(config: FleetConfig, member: ClusterMember, index: int | None, now: float) -> dict[str, Any]:
    """Return the report of `stairhatch claims`.

    `index` is the instance index in use, -1 if there is none; None if this member leases no index.
    """
    report: dict[str, Any] = {
        "fleet": config.fleet_name,
        "name": config.member_name,
        "voters": list(config.voters),
        "claims": [
            _lease_entry(name, lease, now)
            for name, lease in member.leases.items()
            if lease.state is not LeaseState.IDLE
        ],
        "fences": member.fencing_tokens.highest,
        "refused": member.fencing_tokens.rejected_count,
        "vote": None,
    }
    if index is not None:
        report["number"] = index
    if member.voter is not None:
        report["vote"] = _voter_entry(member.voter, now)
    return report


def _lease_entry(name: str, lease: LeaseClient, now: float) -> dict[str, Any]:
    return {
        "claim": name,
        "stage": lease.state.value,
        "ticket": lease.fencing_token if lease.state is LeaseState.HELD else 0,
        "left_s": round(_remaining_s(lease, now), 3),
        "holder": lease.known_holder or "",
        "why": lease.reason,
    }


def _voter_entry(voter: Voter, now: float) -> dict[str, Any]:
    votes = [
        {
            "claim": vote.lease,
            "ticket": vote.fencing_token,
            "holder": vote.holder or "",
            "left_s": round(max(0.0, voter.votes.expires_at.get(vote.lease, 0.0) - now), 3),
        }
        for vote in voter.votes.by_lease.values()
    ]
    return {
        "votes": voter.is_voting,
        "why": "" if voter.is_voting else voter.eligibility.reason or voter.eligibility.state.value,
        "promises": votes,
        "epoch": voter.voter_sets.current.epoch,
        "list": list(voter.voter_sets.current.voters),
        "wishes": voter.voter_sets.configured.voters if voter.voter_sets.is_proposing else [],
        "agreed": bool(voter.voter_sets.current.agreed_digest),
    }
