"""Restart slots, which limit how many planned restarts a fleet has at a time, and the commands for them.

The process that is to be restarted holds a slot. The end of the process does not release the slot: the slot
expires one lease duration later, by which time the restarted process serves. The slot of a process that dies
expires in the same way. SIGTERM ends the program with or without a slot.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease import LeaseState
from stairhatch.fleet.lease_pool import LeasePool

PREFIX = "restart/"


def lease_names(slots: int) -> list[str]:
    """Return the names of the leases for the given number of slots."""
    return [f"{PREFIX}{index}" for index in range(slots)]


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """The result of a slot release: the answer to the operator, and the effects to carry out."""

    answer: str
    effects: list[Effect] = field(default_factory=list)


class RestartSlotLease:
    """Lease of a restart slot by one member, from a pool of all slots."""

    def __init__(self, pool: LeasePool | None) -> None:
        """`pool` has one lease for each slot; it is None if restarts need no slot."""
        self.pool = pool

    def request(self, now: float) -> str:
        """Request a slot; return the answer to the command `restart-ask`.

        The client repeats the command until the answer begins with "ok". It repeats only after answers that
        begin with "fail not yet".
        """
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
        """Release the slot or withdraw the request; return the answer to the command `restart-give`."""
        if self.pool is None or not self.pool.is_requested:
            return SlotRelease("ok no slot was held or asked for")
        was_held = self.pool.current.state is LeaseState.HELD
        answer = f"ok {'given back' if was_held else 'no longer asked for'}"
        return SlotRelease(answer, self.pool.release())

    def tick(self, now: float) -> list[Effect]:
        """Request the next slot if another member holds the requested one; return the effects."""
        return self.pool.tick(now) if self.pool is not None else []
