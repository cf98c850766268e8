"""The faults of a trial, each a typed action at its time, and how a schedule is drawn from a seed.

The same seed draws the same deployment and the same schedule. Softswitches and roster servers are named by
their index; times are seconds after callers begin.
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
LEAST_DURATION_S, MOST_DURATION_S = 20.0, 32.0
LAST_FAULT_BEFORE_END_S = 4.0
SETTLE_S = 10.0  # after the last call: every end has to be told by then


@dataclass(frozen=True, slots=True)
class Action:
    """One fault."""


@dataclass(frozen=True, slots=True)
class ServerVanishes(Action):
    """A server's machine is lost with its calls: open connections stay silent, new ones never come up.

    With `returns_after_s` another machine takes its place, at the same address or another, by a new id.
    """

    server: int
    returns_after_s: float | None
    same_address: bool
    listed_after_s: float  # when the coordinator publishes that it is gone


@dataclass(frozen=True, slots=True)
class ServerDies(Action):
    """A server's process dies with its calls: connections are reset, new ones refused until it restarts."""

    server: int
    restarts_after_s: float
    listed_after_s: float


@dataclass(frozen=True, slots=True)
class ServerHangs(Action):
    """A server's process stands still and keeps its connections and calls."""

    server: int
    for_s: float


@dataclass(frozen=True, slots=True)
class LinkCut(Action):
    """One softswitch, or all, and a server do not reach each other, or only one way; calls stand."""

    server: int
    softswitch: int | None
    for_s: float
    to_server: bool
    to_softswitch: bool


@dataclass(frozen=True, slots=True)
class DialsLate(Action):
    """New connections to a server come up late, or not at all; those that are open go on."""

    server: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ConnectionsReset(Action):
    """Open connections to a server are closed, or reset, perhaps in the middle of a line; its calls stand."""

    server: int
    how: str  # one of RESET_KINDS


RESET_KINDS = ("close", "reset", "reset in a line")


@dataclass(frozen=True, slots=True)
class AnswersSpoilt(Action):
    """For a while some answers of a server are unreadable, doubled, late or in pieces."""

    server: int
    for_s: float
    kind: str  # one of SPOILT_KINDS


SPOILT_KINDS = ("noise", "twice", "late", "pieces", "cut off", "unknown id")


@dataclass(frozen=True, slots=True)
class ServerDrains(Action):
    """The coordinator publishes that a server drains; it ends after a while, and another starts."""

    server: int
    ends_after_s: float


@dataclass(frozen=True, slots=True)
class DiscoveryFails(Action):
    """The coordinator is down, silent, slow or breaks off in its answers, for all softswitches."""

    kind: str  # one of DISCOVERY_KINDS
    for_s: float


DISCOVERY_KINDS = ("down", "silent", "slow", "cut")


@dataclass(frozen=True, slots=True)
class SoftswitchRestarts(Action):
    """SIGTERM, SIGKILL at the earliest that the platform's page allows, and a new process."""

    softswitch: int


@dataclass(frozen=True, slots=True)
class SoftswitchKilled(Action):
    """SIGKILL without a warning, and a new process."""

    softswitch: int


@dataclass(frozen=True, slots=True)
class SettingsChange(Action):
    """The configuration file is replaced several times within a second, each followed by SIGHUP."""

    softswitch: int
    times: int
    moves_coordinator: bool  # the last of them names another address of the coordinator


@dataclass(frozen=True, slots=True)
class DrainToggled(Action):
    """The admin endpoint is told to drain a softswitch, and to serve again."""

    softswitch: int
    for_s: float


@dataclass(frozen=True, slots=True)
class CrowdOfCallers(Action):
    """Many set-ups at once to one softswitch."""

    softswitch: int
    calls: int


@dataclass(frozen=True, slots=True)
class BadCallers(Action):
    """Callers that send what cannot be read, half a request, or nothing, and connections that stay idle."""

    softswitch: int
    connections: int


@dataclass(frozen=True, slots=True)
class TimedAction:
    """An action and when it happens."""

    at_s: float
    action: Action


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that a seed determines."""

    seed: int
    deployment: Deployment
    duration_s: float
    actions: tuple[TimedAction, ...]

    def to_json_dict(self) -> dict[str, Any]:
        """Return it in the form in which it is kept."""
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


Draw = Callable[[random.Random, Deployment], Action]


def _server(rng: random.Random, deployment: Deployment) -> int:
    return rng.randrange(deployment.servers)


def _softswitch(rng: random.Random, deployment: Deployment) -> int:
    return rng.randrange(deployment.softswitches)


def _draw_vanish(rng: random.Random, deployment: Deployment) -> Action:
    return ServerVanishes(
        server=_server(rng, deployment),
        returns_after_s=rng.choice((None, round(rng.uniform(1.0, 6.0), 2))),
        same_address=rng.random() < 0.5,
        listed_after_s=round(rng.uniform(0.5, 6.0), 2),
    )


def _draw_death(rng: random.Random, deployment: Deployment) -> Action:
    restarts_s = round(rng.uniform(0.5, 6.0), 2)
    return ServerDies(_server(rng, deployment), restarts_s, round(restarts_s * rng.uniform(0.2, 1.2), 2))


def _draw_hang(rng: random.Random, deployment: Deployment) -> Action:
    return ServerHangs(_server(rng, deployment), round(rng.uniform(0.5, 14.0), 2))


def _draw_cut(rng: random.Random, deployment: Deployment) -> Action:
    to_server, to_softswitch = rng.choice(((True, True), (True, False), (False, True)))
    only_one = rng.random() < 0.5
    return LinkCut(
        server=_server(rng, deployment),
        softswitch=_softswitch(rng, deployment) if only_one else None,
        for_s=round(rng.uniform(0.5, 12.0), 2),
        to_server=to_server,
        to_softswitch=to_softswitch,
    )


def _draw_reset(rng: random.Random, deployment: Deployment) -> Action:
    return ConnectionsReset(_server(rng, deployment), rng.choice(RESET_KINDS))


def _draw_spoilt(rng: random.Random, deployment: Deployment) -> Action:
    return AnswersSpoilt(_server(rng, deployment), round(rng.uniform(0.5, 4.0), 2), rng.choice(SPOILT_KINDS))


def _draw_drain(rng: random.Random, deployment: Deployment) -> Action:
    return ServerDrains(_server(rng, deployment), round(rng.uniform(1.5, 6.0), 2))


def _draw_discovery(rng: random.Random, _deployment: Deployment) -> Action:
    return DiscoveryFails(rng.choice(DISCOVERY_KINDS), round(rng.uniform(1.0, 12.0), 2))


def _draw_settings(rng: random.Random, deployment: Deployment) -> Action:
    return SettingsChange(_softswitch(rng, deployment), rng.randint(1, 5), rng.random() < 0.5)


def _draw_late_dials(rng: random.Random, deployment: Deployment) -> Action:
    return DialsLate(_server(rng, deployment), round(rng.choice((rng.uniform(0.2, 1.0), 4.0)), 2))


def _draw_toggle(rng: random.Random, deployment: Deployment) -> Action:
    return DrainToggled(_softswitch(rng, deployment), round(rng.uniform(0.5, 7.0), 2))


def _draw_crowd(rng: random.Random, deployment: Deployment) -> Action:
    return CrowdOfCallers(_softswitch(rng, deployment), rng.randint(30, 150))


def _draw_bad_callers(rng: random.Random, deployment: Deployment) -> Action:
    most = rng.choice((20, deployment.sockets // 2, deployment.sockets + 20))  # also more than it may hold
    return BadCallers(_softswitch(rng, deployment), rng.randint(3, most))


DRAWS: tuple[tuple[Draw, int], ...] = (  # with their weights
    (_draw_vanish, 5),
    (_draw_death, 3),
    (_draw_hang, 4),
    (_draw_cut, 4),
    (_draw_reset, 3),
    (_draw_late_dials, 2),
    (_draw_spoilt, 3),
    (_draw_drain, 3),
    (_draw_discovery, 5),
    (lambda rng, deployment: SoftswitchRestarts(_softswitch(rng, deployment)), 5),
    (lambda rng, deployment: SoftswitchKilled(_softswitch(rng, deployment)), 1),
    (_draw_settings, 2),
    (_draw_toggle, 2),
    (_draw_crowd, 2),
    (_draw_bad_callers, 2),
)


def draw_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed.

    Raises TrialError where the seed is out of range.
    """
    if not 0 <= seed < MAX_SEED:
        raise TrialError(f"seed {seed}: must be at least 0 and below {MAX_SEED}")
    rng = random.Random(f"dense trial {seed}")
    deployment = draw_deployment(rng)
    duration_s = round(rng.uniform(LEAST_DURATION_S, MOST_DURATION_S), 1)
    draws, weights = zip(*DRAWS, strict=True)
    actions = []
    for _ in range(rng.randint(6, 14)):
        at_s = round(rng.uniform(FIRST_FAULT_S, duration_s - LAST_FAULT_BEFORE_END_S), 2)
        draw = rng.choices(draws, weights)[0]
        actions.append(TimedAction(at_s, draw(rng, deployment)))
    actions += _draw_return_of_discovery(rng, deployment, duration_s)
    return Schedule(seed, deployment, duration_s, tuple(sorted(actions, key=lambda each: each.at_s)))


def _draw_return_of_discovery(
    rng: random.Random, deployment: Deployment, duration_s: float
) -> list[TimedAction]:
    """Draw, in half of the trials, an outage in which servers fail, with drains around its end."""
    if rng.random() < 0.5:
        return []
    outage_s = round(rng.uniform(3.0, 11.0), 2)
    begins_s = round(rng.uniform(FIRST_FAULT_S, duration_s - outage_s - 1.0), 2)
    actions = [TimedAction(begins_s, DiscoveryFails(rng.choice(DISCOVERY_KINDS[:2]), outage_s))]
    failures = (_draw_vanish, _draw_death, _draw_hang, _draw_cut)
    for _ in range(rng.randint(1, 3)):
        at_s = round(begins_s + rng.uniform(0.1, 2.0), 2)
        actions.append(TimedAction(at_s, rng.choice(failures)(rng, deployment)))
    for _ in range(rng.randint(1, 2)):
        at_s = round(begins_s + outage_s + rng.uniform(-1.0, 1.0), 2)
        actions.append(TimedAction(at_s, _draw_drain(rng, deployment)))
    return actions
