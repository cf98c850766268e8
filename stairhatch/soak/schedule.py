"""Fault schedule of a trial: a type for each kind of fault, and the drawing of a schedule from a seed.

The same seed always draws the same deployment and schedule. Softswitches and roster servers are referred to
by index. Times of actions are seconds after the callers begin to place calls.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stairhatch.soak.deployment import Deployment, draw_deployment
from stairhatch.soak.errors import TrialError

MAX_SEED = 2**31
FIRST_FAULT_S = 3.0
MIN_DURATION_S, MAX_DURATION_S = 20.0, 32.0
FAULT_FREE_END_S = 4.0
SETTLE_S = 10.0  # the observation continues after the last call, until every release must have arrived


@dataclass(frozen=True, slots=True)
class Action:
    """Base class of all faults and disturbances that a schedule can contain."""


@dataclass(frozen=True, slots=True)
class ServerVanishes(Action):
    """Loss of a server's machine with its calls: open connections stay silent, new ones are not established.

    With `returns_after_s` another machine with a new instance id replaces it, at the same address or another.
    """

    server: int
    returns_after_s: float | None
    same_address: bool
    listed_after_s: float  # the delay until the coordinator publishes that the server is gone


@dataclass(frozen=True, slots=True)
class ServerDies(Action):
    """Crash of a server with its calls: connections are reset, and refused until the process restarts."""

    server: int
    restarts_after_s: float
    listed_after_s: float  # the coordinator publishes the new start, after the restart at the earliest


@dataclass(frozen=True, slots=True)
class ServerHangs(Action):
    """Hang of a server's process, which keeps its connections and calls."""

    server: int
    for_s: float


@dataclass(frozen=True, slots=True)
class LinkCut(Action):
    """Cut of the link between a server and a softswitch, or all, in one or both directions; calls survive."""

    server: int
    softswitch: int | None  # None: all softswitches
    for_s: float
    to_server: bool  # data to the server is lost
    to_softswitch: bool  # data to the softswitch is lost


@dataclass(frozen=True, slots=True)
class DialsLate(Action):
    """Delay of new connections to a server, up to several seconds; open connections still work."""

    server: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ConnectionsReset(Action):
    """Close or reset of all open connections to a server, perhaps in the middle of a line; calls survive."""

    server: int
    how: str  # one of RESET_KINDS


RESET_KINDS = ("close", "reset", "reset in a line")


@dataclass(frozen=True, slots=True)
class AnswersSpoilt(Action):
    """Period in which some answers of a server are unreadable, duplicated, delayed or sent in pieces."""

    server: int
    for_s: float
    kind: str  # one of SPOILT_KINDS


SPOILT_KINDS = ("noise", "twice", "late", "pieces", "cut off", "unknown id")


@dataclass(frozen=True, slots=True)
class ServerDrains(Action):
    """Drain of a server: the coordinator publishes it, the server ends later, and another one starts."""

    server: int
    ends_after_s: float


@dataclass(frozen=True, slots=True)
class DiscoveryFails(Action):
    """Failure of the coordinators of all softswitches: down, silent, slow, or with truncated answers."""

    kind: str  # one of DISCOVERY_KINDS
    for_s: float


DISCOVERY_KINDS = ("down", "silent", "slow", "cut")


@dataclass(frozen=True, slots=True)
class SoftswitchRestarts(Action):
    """Planned restart: SIGTERM, SIGKILL at the earliest time that the platform allows, and a new process."""

    softswitch: int


@dataclass(frozen=True, slots=True)
class SoftswitchKilled(Action):
    """SIGKILL without a preceding SIGTERM, and a new process."""

    softswitch: int


@dataclass(frozen=True, slots=True)
class SettingsChange(Action):
    """Replacement of the configuration file several times within a second, each followed by SIGHUP."""

    softswitch: int
    times: int
    moves_coordinator: bool  # a further replacement contains a new address of the coordinator


@dataclass(frozen=True, slots=True)
class DrainToggled(Action):
    """Drain of a softswitch through its admin endpoint, and the end of that drain."""

    softswitch: int
    for_s: float


@dataclass(frozen=True, slots=True)
class CrowdOfCallers(Action):
    """Burst of simultaneous set-ups to one softswitch."""

    softswitch: int
    calls: int


@dataclass(frozen=True, slots=True)
class BadCallers(Action):
    """Connections that send noise, half a request, an oversized line or nothing, and stay open."""

    softswitch: int
    connections: int


@dataclass(frozen=True, slots=True)
class TimedAction:
    """Action with its time in the schedule."""

    at_s: float
    action: Action


@dataclass(frozen=True, slots=True)
class Schedule:
    """Schedule of a trial: everything that its seed determines."""

    seed: int
    deployment: Deployment
    duration_s: float
    actions: tuple[TimedAction, ...]

    def to_json_dict(self) -> dict[str, Any]:
        """Return the schedule as the JSON object that `schedule.json` contains."""
        actions = [
            {"at_s": each.at_s, "action": type(each.action).__name__, **dataclasses.asdict(each.action)}
            for each in self.actions
        ]
        return {
            "seed": self.seed,
            "duration_s": self.duration_s,
            "deployment": dataclasses.asdict(self.deployment),
            "actions": actions,
        }


DrawFunction = Callable[[random.Random, Deployment], Action]


def _draw_server(rng: random.Random, deployment: Deployment) -> int:
    return rng.randrange(deployment.servers)


def _draw_softswitch(rng: random.Random, deployment: Deployment) -> int:
    return rng.randrange(deployment.softswitches)


def _draw_vanishing(rng: random.Random, deployment: Deployment) -> Action:
    return ServerVanishes(
        server=_draw_server(rng, deployment),
        returns_after_s=rng.choice((None, round(rng.uniform(1.0, 6.0), 2))),
        same_address=rng.random() < 0.5,
        listed_after_s=round(rng.uniform(0.5, 6.0), 2),
    )


def _draw_death(rng: random.Random, deployment: Deployment) -> Action:
    restart_delay_s = round(rng.uniform(0.5, 6.0), 2)
    return ServerDies(
        _draw_server(rng, deployment), restart_delay_s, round(restart_delay_s * rng.uniform(0.2, 1.2), 2)
    )


def _draw_hang(rng: random.Random, deployment: Deployment) -> Action:
    return ServerHangs(_draw_server(rng, deployment), round(rng.uniform(0.5, 14.0), 2))


def _draw_link_cut(rng: random.Random, deployment: Deployment) -> Action:
    to_server, to_softswitch = rng.choice(((True, True), (True, False), (False, True)))
    one_softswitch = rng.random() < 0.5
    return LinkCut(
        server=_draw_server(rng, deployment),
        softswitch=_draw_softswitch(rng, deployment) if one_softswitch else None,
        for_s=round(rng.uniform(0.5, 12.0), 2),
        to_server=to_server,
        to_softswitch=to_softswitch,
    )


def _draw_connection_reset(rng: random.Random, deployment: Deployment) -> Action:
    return ConnectionsReset(_draw_server(rng, deployment), rng.choice(RESET_KINDS))


def _draw_spoilt_answers(rng: random.Random, deployment: Deployment) -> Action:
    return AnswersSpoilt(
        _draw_server(rng, deployment), round(rng.uniform(0.5, 4.0), 2), rng.choice(SPOILT_KINDS)
    )


def _draw_server_drain(rng: random.Random, deployment: Deployment) -> Action:
    return ServerDrains(_draw_server(rng, deployment), round(rng.uniform(1.5, 6.0), 2))


def _draw_discovery(rng: random.Random, _deployment: Deployment) -> Action:
    return DiscoveryFails(rng.choice(DISCOVERY_KINDS), round(rng.uniform(1.0, 12.0), 2))


def _draw_settings_change(rng: random.Random, deployment: Deployment) -> Action:
    return SettingsChange(_draw_softswitch(rng, deployment), rng.randint(1, 5), rng.random() < 0.5)


def _draw_late_dials(rng: random.Random, deployment: Deployment) -> Action:
    return DialsLate(_draw_server(rng, deployment), round(rng.choice((rng.uniform(0.2, 1.0), 4.0)), 2))


def _draw_softswitch_drain(rng: random.Random, deployment: Deployment) -> Action:
    return DrainToggled(_draw_softswitch(rng, deployment), round(rng.uniform(0.5, 7.0), 2))


def _draw_crowd(rng: random.Random, deployment: Deployment) -> Action:
    return CrowdOfCallers(_draw_softswitch(rng, deployment), rng.randint(30, 150))


def _draw_bad_callers(rng: random.Random, deployment: Deployment) -> Action:
    # The last choice allows more connections than the softswitch's limit of open descriptors.
    max_connections = rng.choice((20, deployment.sockets // 2, deployment.sockets + 20))
    return BadCallers(_draw_softswitch(rng, deployment), rng.randint(3, max_connections))


WEIGHTED_DRAWS: tuple[tuple[DrawFunction, int], ...] = (  # each kind of fault with its relative frequency
    (_draw_vanishing, 5),
    (_draw_death, 3),
    (_draw_hang, 4),
    (_draw_link_cut, 4),
    (_draw_connection_reset, 3),
    (_draw_late_dials, 2),
    (_draw_spoilt_answers, 3),
    (_draw_server_drain, 3),
    (_draw_discovery, 5),
    (lambda rng, deployment: SoftswitchRestarts(_draw_softswitch(rng, deployment)), 5),
    (lambda rng, deployment: SoftswitchKilled(_draw_softswitch(rng, deployment)), 1),
    (_draw_settings_change, 2),
    (_draw_softswitch_drain, 2),
    (_draw_crowd, 2),
    (_draw_bad_callers, 2),
)


def draw_schedule(seed: int) -> Schedule:
    """Return the schedule that a seed determines.

    Raises TrialError unless the seed is at least 0 and below MAX_SEED.
    """
    if not 0 <= seed < MAX_SEED:
        raise TrialError(f"seed {seed}: must be at least 0 and below {MAX_SEED}")
    rng = random.Random(f"dense trial {seed}")
    deployment = draw_deployment(rng)
    duration_s = round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 1)
    draws, weights = zip(*WEIGHTED_DRAWS, strict=True)
    actions = []
    for _ in range(rng.randint(6, 14)):
        at_s = round(rng.uniform(FIRST_FAULT_S, duration_s - FAULT_FREE_END_S), 2)
        draw = rng.choices(draws, weights)[0]
        actions.append(TimedAction(at_s, draw(rng, deployment)))
    actions += _draw_discovery_outage(rng, deployment, duration_s)
    return Schedule(seed, deployment, duration_s, tuple(sorted(actions, key=lambda each: each.at_s)))


def _draw_discovery_outage(
    rng: random.Random, deployment: Deployment, duration_s: float
) -> list[TimedAction]:
    """Draw an outage of the coordinators during which servers fail, with drains of servers around its end.

    Returns no actions in half of the trials.
    """
    if rng.random() < 0.5:
        return []
    outage_s = round(rng.uniform(3.0, 11.0), 2)
    outage_start_s = round(rng.uniform(FIRST_FAULT_S, duration_s - outage_s - 1.0), 2)
    actions = [TimedAction(outage_start_s, DiscoveryFails(rng.choice(DISCOVERY_KINDS[:2]), outage_s))]
    failures = (_draw_vanishing, _draw_death, _draw_hang, _draw_link_cut)
    for _ in range(rng.randint(1, 3)):
        at_s = round(outage_start_s + rng.uniform(0.1, 2.0), 2)
        actions.append(TimedAction(at_s, rng.choice(failures)(rng, deployment)))
    for _ in range(rng.randint(1, 2)):
        at_s = round(outage_start_s + outage_s + rng.uniform(-1.0, 1.0), 2)
        actions.append(TimedAction(at_s, _draw_server_drain(rng, deployment)))
    return actions
