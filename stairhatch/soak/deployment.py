"""Draws the deployment of a trial: its call classes, limits and servers, and the softswitches' settings.

Deadlines, effects, call lengths, retry pauses and limits are drawn from the ranges that the platform's pages
allow, so that trials are not fitted to the values of one site.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

SIGKILL_DELAY_S = 0.7  # from the longest deadline after SIGTERM until SIGKILL
MAX_KILL_DEADLINE_S = 3.0  # a longer deadline does not delay the SIGKILL any further
EFFECTS = ("read_like", "idempotency_key", "non_idempotent")
COLD_FRACTION, WARM_AFTER_S = 0.3, 10.0  # a server's capacity grows from this fraction to 1 in this time
# More set-ups in FALL_S than this multiple of a cold server's capacity overload the server.
FALL_MULTIPLE, FALL_S = 2.5, 1.5


@dataclass(frozen=True, slots=True)
class DrawnClass:
    """Call class of a deployment: its effect, times and servers."""

    name: str
    effect: str  # one of EFFECTS: whether a repeated set-up is harmless
    deadline_s: float  # the longest caller timeout
    objective_s: float  # the latency objective
    call_length_s: float  # the mean length of an established call
    pools: tuple[int, ...]  # numbers of the servers to which its calls may be sent


@dataclass(frozen=True, slots=True)
class Deployment:
    """Deployment of one trial: the configuration of its softswitches and the capacity of its servers."""

    softswitches: int
    servers: int
    classes: tuple[DrawnClass, ...]
    retry_pause_s: float  # the pause before a retry if the failed attempt may have run
    max_attempts: int
    drain_grace_s: float  # a server may get set-ups this long after the notification of its drain
    connect_timeout_s: float
    may_send_retry_after: bool
    sockets: int  # the limit of open descriptors of a softswitch process
    memory_mb: int  # the limit of resident memory of a softswitch process
    may_probe: bool
    parallel_tries: bool
    zones: tuple[str, ...]
    tenants: int
    calls_per_s: float  # the rate of calls to each softswitch
    spare: float  # the capacity of all servers together, as a multiple of the rate of all calls

    @property
    def server_capacity_per_s(self) -> float:
        """The capacity of one warm server, in set-ups per second."""
        return self.spare * self.calls_per_s * self.softswitches / self.servers

    def present_capacity_per_s(self, age_s: float) -> float:
        """Return the capacity of a server `age_s` seconds after its start, in set-ups per second."""
        capacity_fraction = min(1.0, COLD_FRACTION + (1 - COLD_FRACTION) * age_s / WARM_AFTER_S)
        return capacity_fraction * self.server_capacity_per_s

    @property
    def kill_after_s(self) -> float:
        """The time after SIGTERM at which the platform may send SIGKILL at the earliest."""
        longest_s = max(each.deadline_s for each in self.classes)
        return min(longest_s, MAX_KILL_DEADLINE_S) + SIGKILL_DELAY_S

    def call_class(self, name: str) -> DrawnClass:
        """Return the call class of a name. Raises StopIteration if the deployment has none of that name."""
        return next(each for each in self.classes if each.name == name)

    def settings(self, index: int) -> dict[str, Any]:
        """Return the `settings` object in the configuration of the softswitch with an index."""
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
                "answer_slack_s": 0.02, "drain_grace_s": self.drain_grace_s, "cold_from": COLD_FRACTION,
                "warm_after_s": WARM_AFTER_S, "fall_multiple": FALL_MULTIPLE, "fall_s": FALL_S,
            },
        }  # fmt: skip


def draw_deployment(rng: random.Random) -> Deployment:
    """Draw a deployment; the same state of the random generator gives the same deployment."""
    short_deadlines = rng.random() < 0.3  # with short deadlines SIGKILL follows SIGTERM soon
    servers = rng.randint(3, 6)
    classes = tuple(_draw_class(rng, index, short_deadlines, servers) for index in range(rng.randint(1, 3)))
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


def _draw_class(rng: random.Random, index: int, short_deadlines: bool, servers: int) -> DrawnClass:
    deadline_s = round(rng.uniform(0.4, 1.0) if short_deadlines else rng.uniform(1.0, 9.0), 2)
    return DrawnClass(
        name=f"class-{index}",
        effect=rng.choice(EFFECTS),
        deadline_s=deadline_s,
        objective_s=round(deadline_s * rng.uniform(0.3, 0.9), 2),
        call_length_s=rng.choice((0.4, 2.0, 6.0, 15.0, 60.0)),
        pools=tuple(sorted(rng.sample(range(servers), rng.randint(2, servers)))),
    )
