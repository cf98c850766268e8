"""The fleet's commands at the admin endpoint: `claims`, `watch`, `hand-over`, `restart-ask`, `restart-give`.

An answer begins with `ok` or `fail`; `admin_client` is the other side. Commands and answers stay as they are.
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
    """What the commands are joined to."""

    member: ClusterMember
    restart_slot: RestartSlotLease

    def lease_report(self) -> dict[str, Any]:
        """What this member holds, requests and votes for, as operators are shown it."""

    def carry_out(self, effects: list[Effect]) -> None:
        """Do what the decisions ask."""

    def tick_soon(self) -> None:
        """Have what is due done once the answer is given."""


class AdminCommands:
    """What operators may ask of one member's leases."""

    def __init__(self, driver: CommandDriver, clock: Callable[[], float]) -> None:
        """`clock` is the one that leases go by."""
        self._driver = driver
        self._clock = clock

    def by_name(self) -> dict[str, Callable[..., str]]:
        """The commands, by the words that operators use."""
        return {
            "claims": self.show_leases,
            "restart-ask": self.request_restart_slot,
            "restart-give": self.release_restart_slot,
            "hand-over": self.hand_over,
            "watch": self.observe,
        }

    def show_leases(self) -> str:
        """What this member holds, requests and votes for."""
        return "ok " + json.dumps(self._driver.lease_report())

    def request_restart_slot(self) -> str:
        """Ask for a slot; to be repeated until it says ok."""
        answer = self._driver.restart_slot.request(self._clock())
        self._driver.tick_soon()
        return answer

    def release_restart_slot(self) -> str:
        """The restart does not happen."""
        release = self._driver.restart_slot.release()
        self._driver.carry_out(release.effects)
        return release.answer

    def hand_over(self, name: str, successor: str = "") -> str:
        """Release a lease, for a successor that is named or for whoever comes first."""
        now = self._clock()
        lease = self._driver.member.leases.get(name)
        if lease is None or not lease.may_act(now):
            return f"fail {name} is not held here"
        self._driver.carry_out(lease.release(successor or None))
        lease.request(now, self._driver.member.config.timings.duration_s)
        self._driver.tick_soon()
        return f"ok {name} given back" + (f", {successor} goes first for a moment" if successor else "")

    def observe(self, name: str) -> str:
        """Who holds a lease, by the voters' answers; the first answer comes before any of theirs has."""
        now = self._clock()
        is_name = 0 < len(name.encode()) <= MAX_LEASE_NAME_BYTES
        observer = self._driver.member.observe(now, name) if is_name else None
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
