"""Planned restarts, at most k at a time: what an operator's command for a restart slot comes to.

A slot is held by the process that is to be restarted. It is not released by its end: it expires a lease
duration after the process has gone, by which time the next one serves. A slot whose holder dies comes back in
the same way. SIGTERM ends the program with a slot or without.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease import LeaseState
from stairhatch.fleet.lease_pool import LeasePool

PREFIX = "restart/"


def lease_names(slots: int) -> list[str]:
    """The leases of that many slots."""
    return [f"{PREFIX}{index}" for index in range(slots)]


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """The answer to an operator who releases a slot, and what is to be done."""

    answer: str
    effects: list[Effect] = field(default_factory=list)


class RestartSlotLease:
    """One member's wish to be restarted."""

    def __init__(self, pool: LeasePool | None) -> None:
        """`pool` has one lease for each slot; None where restarts need no slot."""
        self.pool = pool

    def request(self, now: float) -> str:
        """The answer to `restart-ask`: it is asked again until it says ok."""
        if self.pool is None:
            return "fail fleet.restarts is 0: a restart needs no slot here"
        self.pool.request(now)
        slot = self.pool.held_position(now)
        lease = self.pool.current
        if slot is None:
            return f"fail not yet: {lease.reason or 'asking'}"
        slots = len(self.pool.lease_names)
        remaining_s = lease.expires_at - now
        return f"ok slot {slot + 1} of {slots}, held for {remaining_s:.1f} s more unless renewed"

    def release(self) -> SlotRelease:
        """The answer to `restart-give`, and what comes of it."""
        if self.pool is None or not self.pool.is_requested:
            return SlotRelease("ok no slot was held or asked for")
        was_held = self.pool.current.state is LeaseState.HELD
        answer = f"ok {'given back' if was_held else 'no longer asked for'}"
        return SlotRelease(answer, self.pool.release())

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        return self.pool.tick(now) if self.pool is not None else []
