"""The fleet's commands at the admin endpoint: `claims`, `watch`, `hand-over`, `restart-ask`, `restart-give`.

An answer begins with `ok` or `fail`; `admin_client` is the client. Operators' scripts use the commands and
the answers, so neither may change.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.restart_slots import RestartSlotLease

MAX_LEASE_NAME_BYTES = 48


class CommandDriver(Protocol):
    """The interface that the commands need from the fleet runtime."""

    member: ClusterMember
    restart_slot: RestartSlotLease

    def lease_report(self) -> dict[str, Any]:
        """Return the leases and votes of this member, as `claims` reports them."""

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out effects in their order."""

    def tick_soon(self) -> None:
        """Schedule the periodic work for the time after the answer."""


class AdminCommands:
    """Handlers of the operators' commands for one member's leases; each returns the answer."""

    def __init__(self, driver: CommandDriver, clock: Callable[[], float]) -> None:
        """`clock` is the clock of the leases."""
        self._driver = driver
        self._clock = clock

    def by_name(self) -> dict[str, Callable[..., str]]:
        """Return the handlers by command word."""
        return {
            "claims": self.show_leases,
            "restart-ask": self.request_restart_slot,
            "restart-give": self.release_restart_slot,
            "hand-over": self.hand_over,
            "watch": self.observe,
        }

    def show_leases(self) -> str:
        """Return this member's leases and votes as JSON."""
        return "ok " + json.dumps(self._driver.lease_report())

    def request_restart_slot(self) -> str:
        """Request a restart slot; the client repeats the command while the answer is `fail not yet`."""
        answer = self._driver.restart_slot.request(self._clock())
        self._driver.tick_soon()
        return answer

    def release_restart_slot(self) -> str:
        """Release the restart slot or withdraw its request, because the restart is cancelled."""
        release = self._driver.restart_slot.release()
        self._driver.carry_out(release.effects)
        return release.answer

    def hand_over(self, name: str, successor: str = "") -> str:
        """Release a lease that this member holds, and request it again after one lease duration.

        The named successor has priority for a moment; without one, the first member to request it gets it.
        """
        now = self._clock()
        lease = self._driver.member.leases.get(name)
        if lease is None or not lease.may_act(now):
            return f"fail {name} is not held here"
        self._driver.carry_out(lease.release(successor or None))
        lease.request(now, self._driver.member.config.timings.duration_s)
        self._driver.tick_soon()
        return f"ok {name} given back" + (f", {successor} goes first for a moment" if successor else "")

    def observe(self, name: str) -> str:
        """Return the holder of a lease, according to the voters' replies, as JSON.

        The first answer precedes all replies, so that its `voters` is 0. The command fails if the name is
        empty or longer than `MAX_LEASE_NAME_BYTES`, or if too many leases are observed.
        """
        now = self._clock()
        is_valid_name = 0 < len(name.encode()) <= MAX_LEASE_NAME_BYTES
        observer = self._driver.member.observe(now, name) if is_valid_name else None
        if observer is None:
            return "fail no claim can have that name, or too many are watched"
        self._driver.tick_soon()
        observed = observer.observed(now)
        answer = {
            "holder": observed.holder or "",
            "ticket": observed.fencing_token,
            "left_s": round(observed.remaining_s, 3),
            "voters": observed.answered_voters,
        }
        return "ok " + json.dumps(answer)
