"""Planned restarts, at most k at a time: owns what an operator's order for a slot comes to. It must never
hold up a signal: SIGTERM ends the program with a slot or without.

A slot is held by the process that is to be restarted. It is not given back by its end: it is over a term
after the process has gone, by which time the next one serves. A slot whose holder dies comes back in the same
way.
"""

from __future__ import annotations

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease import LeaseState
from stairhatch.fleet.lease_pool import LeasePool


def lease_names(slots: int) -> list[str]:
    """The claims of that many slots."""
    return [f"restart/{index}" for index in range(slots)]


class RestartSlotLease:
    """One softswitch's wish to be restarted."""

    def __init__(self, pick: LeasePool | None) -> None:
        self.pool = pick

    def request(self, now: float) -> str:
        """The answer to `restart-ask`: it is asked again until it says ok."""
        if self.pool is None:
            return "fail fleet.restarts is 0: a restart needs no slot here"
        self.pool.request(now)
        slot = self.pool.held_position(now)
        if slot >= 0:
            left = self.pool.current.expires_at - now
            slots = len(self.pool.lease_names)
            return f"ok slot {slot + 1} of {slots}, held for {left:.1f} s more unless renewed"
        claim = self.pool.current
        return f"fail not yet: {claim.reason or 'asking'}"

    def release(self, now: float) -> tuple[str, list[Effect]]:
        """The answer to `restart-give`, and what comes of it."""
        if self.pool is None or not self.pool.is_requested:
            return "ok no slot was held or asked for", []
        was = self.pool.current.state is LeaseState.HELD
        return f"ok {'given back' if was else 'no longer asked for'}", self.pool.release(now)

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        return self.pool.tick(now) if self.pool is not None else []
