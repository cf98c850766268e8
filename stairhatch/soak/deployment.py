"""Draws a deployment from a seed: its classes, limits and servers, as the platform's settings have them.

Nothing is fitted to one site: deadlines, effects, lengths of calls, retry pauses and limits are drawn from
ranges that the platform's pages allow.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

SIGKILL_DELAY_S = 0.7  # after the longest deadline
LONGEST_KILL_DEADLINE_S = 3.0  # a longer deadline counts as this
EFFECTS = ("read_like", "idempotency_key", "non_idempotent")
COLD_FROM, WARM_AFTER_S = 0.3, 10.0  # a server starts at this fraction of its capacity, and is warm then
FALL_MULTIPLE, FALL_S = 2.5, 1.5  # more than this multiple of it in this time pushes a cold one over


@dataclass(frozen=True, slots=True)
class DrawnClass:
    """One class of calls."""

    name: str
    effect: str
    deadline_s: float
    objective_s: float
    call_length_s: float  # mean
    pools: tuple[int, ...]  # numbers of the servers that it may go to


@dataclass(frozen=True, slots=True)
class Deployment:
    """What the softswitches of one trial are configured with."""

    softswitches: int
    servers: int
    classes: tuple[DrawnClass, ...]
    retry_pause_s: float
    max_attempts: int
    drain_grace_s: float
    connect_timeout_s: float
    may_send_retry_after: bool
    sockets: int
    memory_mb: int
    may_probe: bool
    parallel_tries: bool
    zones: tuple[str, ...]
    tenants: int
    calls_per_s: float  # to each softswitch
    spare: float  # what all servers can take, as a multiple of the calls

    @property
    def server_capacity_per_s(self) -> float:
        """How many set-ups a second a warm server can take."""
        return self.spare * self.calls_per_s * self.softswitches / self.servers

    def present_capacity_per_s(self, age_s: float) -> float:
        """How many set-ups a second a server can take that started so long ago."""
        warm = min(1.0, COLD_FROM + (1 - COLD_FROM) * age_s / WARM_AFTER_S)
        return warm * self.server_capacity_per_s

    @property
    def kill_after_s(self) -> float:
        """How long after SIGTERM the platform may send SIGKILL."""
        longest_s = max(each.deadline_s for each in self.classes)
        return min(longest_s, LONGEST_KILL_DEADLINE_S) + SIGKILL_DELAY_S

    def call_class(self, name: str) -> DrawnClass:
        """Return the class of that name."""
        return next(each for each in self.classes if each.name == name)

    def settings(self, index: int) -> dict[str, Any]:
        """Return the settings of one softswitch, by its index."""
        return {
            "balancers": self.softswitches,
            "me": index,
            "period_s": 0.005,
            "classes": [
                {
                    "name": each.name, "aim_s": each.objective_s, "hard_limit_s": each.deadline_s,
                    "importance": 1.0, "late_worth": 0.25, "effect": each.effect, "dedup_scope": "all",
                    "memory_span_s": 5.0, "stream": True,
                }
                for each in self.classes
            ],
            "family_info": {
                "allowed_pools": [list(each.pools) for each in self.classes],
                "call_length_s": [each.call_length_s for each in self.classes],
                "clear_wait_s": self.retry_pause_s, "retransmit_s": 0.0, "self_no": -1, "layout": "pools",
            },
            "az": index % max(1, len(self.zones)),
            "zones": list(self.zones),
            "parties": [
                {"name": f"tenant-{each}", "quota_per_s": 10.0, "fraction": 1 / self.tenants}
                for each in range(self.tenants)
            ],
            "load_report": {"how": "inline", "names": ["free", "size", "mean_ms", "can_take"]},
            "permissions": {
                "send_cap": self.max_attempts, "may_probe": self.may_probe, "peers": False, "cancel": True,
                "parallel_tries": self.parallel_tries,
                "retry_after": self.may_send_retry_after, "max_retry_after_s": 2.0,
                "connect_timeout_s": self.connect_timeout_s,
            },
            "safety": {
                "answer_slack_s": 0.02, "drain_grace_s": self.drain_grace_s, "cold_from": COLD_FROM,
                "warm_after_s": WARM_AFTER_S, "fall_multiple": FALL_MULTIPLE, "fall_s": FALL_S,
            },
        }  # fmt: skip


def draw_deployment(rng: random.Random) -> Deployment:
    """Draw a deployment; the same state of the random source gives the same one."""
    short = rng.random() < 0.3  # deadlines so short that SIGKILL comes soon after SIGTERM
    servers = rng.randint(3, 6)
    classes = tuple(_draw_class(rng, index, short, servers) for index in range(rng.randint(1, 3)))
    return Deployment(
        softswitches=rng.randint(3, 4),
        servers=servers,
        classes=classes,
        retry_pause_s=rng.choice((0.15, 0.3, 0.5, 0.8)),
        max_attempts=rng.randint(2, 6),
        drain_grace_s=rng.choice((1.0, 1.5)),
        connect_timeout_s=rng.choice((0.35, 0.5, 1.0)),
        may_send_retry_after=rng.random() < 0.7,
        sockets=rng.choice((256, 512, 1024)),
        memory_mb=rng.choice((64, 96, 192)),
        may_probe=rng.random() < 0.5,
        parallel_tries=rng.random() < 0.3,
        zones=("oslo", "bergen", "tromso")[: rng.randint(0, 3)],
        tenants=rng.randint(0, 3),
        calls_per_s=round(rng.uniform(6.0, 25.0), 1),
        spare=round(rng.uniform(1.2, 4.0), 2),
    )


def _draw_class(rng: random.Random, index: int, short: bool, servers: int) -> DrawnClass:
    deadline_s = round(rng.uniform(0.4, 1.0) if short else rng.uniform(1.0, 9.0), 2)
    return DrawnClass(
        name=f"class-{index}",
        effect=rng.choice(EFFECTS),
        deadline_s=deadline_s,
        objective_s=round(deadline_s * rng.uniform(0.3, 0.9), 2),
        call_length_s=rng.choice((0.4, 2.0, 6.0, 15.0, 60.0)),
        pools=tuple(sorted(rng.sample(range(servers), rng.randint(2, servers)))),
    )
