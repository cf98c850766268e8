"""The schema of a scale file."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Literal

from msgspec import Meta, Struct

from stairhatch.load_test.datagram_conditions import DatagramConditions

MOST_DEPTH = 11
Count = Annotated[int, Meta(ge=1, le=100_000)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Positive = Annotated[float, Meta(gt=0, le=100_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class PlannedEventKind(Enum):
    """Something that happens during a run."""

    CHANGE = "change"  # lines of the list are told anew, `count` times, evenly over `lasts`
    RESTART = "restart"  # `count` softswitches, one after the other evenly over `lasts`
    START = "start"  # the softswitches of `zone` are down until `at`, and start at once
    COLD = "cold"  # `count` roster servers of `service` are replaced by cold ones at once
    RACK = "rack"  # `count` machines of `zone` are off for `lasts`: roster server and softswitch
    ZONE = "zone"  # `zone` is cut off from the others for `lasts`
    REGIONS = "regions"  # the regions are apart for `lasts`


class Happens(Struct, forbid_unknown_fields=True, frozen=True):
    """One of them."""

    at: Seconds
    what: PlannedEventKind
    lasts: Seconds = 0.0
    count: Count = 1
    zone: Annotated[int, Meta(ge=0)] = 0
    service: Annotated[int, Meta(ge=0)] = 0
    region: Annotated[int, Meta(ge=-1)] = -1  # whose coordinator is told of a change; -1: each in turn


class Calls(Struct, forbid_unknown_fields=True, frozen=True):
    """What callers ask for, and what services ask of each other."""

    rate: Annotated[float, Meta(ge=0, le=260_000)] = 20.0  # calls a second from outside, at all softswitches
    service: Annotated[int, Meta(ge=-1)] = -1  # which they ask for; -1: those of the first level
    depth: Annotated[int, Meta(ge=1, le=MOST_DEPTH)] = 3  # the longest chain of calls
    follow: Share = 0.6  # a call that stands leads to one at each service below with this chance
    fan_out: Annotated[int, Meta(ge=1, le=16)] = 2  # services below each
    hold_s: Annotated[float, Meta(gt=0, le=3600)] = 0.5  # mean
    aim_s: Annotated[float, Meta(gt=0, le=60)] = 1.0
    limit_s: Annotated[float, Meta(gt=0, le=60)] = 3.0


class SimulatedServerPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """A roster server, as `standin/processor.py` has it."""

    set_up_ms: Annotated[float, Meta(gt=0, le=60_000)] = 5.0
    lines: Count = 200
    state_s: Annotated[float, Meta(ge=0.05, le=60)] = 0.4  # how often it tells its state, on each link
    longest_wait_s: Annotated[float, Meta(gt=0, le=60)] = 3.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3
    warm_after_s: Seconds = 14.0
    fall_multiple: Positive = 2.5
    fall_s: Annotated[float, Meta(gt=0, le=60)] = 1.5


class NetworkDelays(Struct, forbid_unknown_fields=True, frozen=True):
    """The ways between two machines, by how far apart they are."""

    zone: DatagramConditions = DatagramConditions(delay_ms=0.1, jitter_ms=0.1)
    zones: DatagramConditions = DatagramConditions(delay_ms=0.6, jitter_ms=0.2)
    regions: DatagramConditions = DatagramConditions(delay_ms=12.0, jitter_ms=1.0)


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """Claims among all softswitches."""

    voters: Annotated[int, Meta(ge=1, le=9)] = 3
    term_s: Annotated[float, Meta(ge=0.1, le=600)] = 3.0
    numbers: bool = True
    list: bool = False  # one follows the coordinator for all
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01


class Real(Struct, forbid_unknown_fields=True, frozen=True):
    """The same scenario once more at this size, by real processes and by hollow ones."""

    softswitches: Annotated[int, Meta(ge=2, le=8)] = 4
    servers: Annotated[int, Meta(ge=1, le=16)] = 4
    services: Annotated[int, Meta(ge=1, le=16)] = 2
    rate: Annotated[float, Meta(gt=0, le=500)] = 20.0
    depth: Annotated[int, Meta(ge=1, le=MOST_DEPTH)] = 3
    seconds: Annotated[float, Meta(gt=0, le=60)] = 5.0
    changes: Annotated[int, Meta(ge=0, le=100)] = 4
    settle_s: Annotated[float, Meta(ge=0, le=30)] = 1.0  # from when all serve to what is counted


class Bound(Struct, forbid_unknown_fields=True, frozen=True):
    """Between which hollow over real has to lie. `grain` is added to both, for figures near zero."""

    least: Annotated[float, Meta(ge=0)] = 0.8
    most: Annotated[float, Meta(ge=0)] = 1.25
    grain: Annotated[float, Meta(ge=0)] = 5.0


FIGURES = (
    "stood", "refused", "failed", "set_ups", "list_messages", "list_bytes", "claim_messages", "claim_bytes",
    "in_force_ms",
)  # fmt: skip


class ScalePlan(Struct, forbid_unknown_fields=True, frozen=True):
    """The file of a run."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
    seed: int
    seconds: Annotated[float, Meta(gt=0, le=86_400)]
    softswitches: Count
    servers: Count
    services: Annotated[int, Meta(ge=1, le=1000)] = 1
    regions: Annotated[int, Meta(ge=1, le=8)] = 1
    zones: Annotated[int, Meta(ge=1, le=64)] = 1
    calls: Calls = Calls()
    server: SimulatedServerPlan = SimulatedServerPlan()
    wire: NetworkDelays = NetworkDelays()
    fleet: Fleet | None = None
    event: tuple[Happens, ...] = ()
    lead_s: Annotated[float, Meta(ge=0.5, le=600)] = 2.0  # from the start to the first call
    must_bite: tuple[PlannedEventKind, ...] = ()  # else the run proves nothing
    window: bool = False  # the fullest window at each cold server must keep to N + 2 root N + 2
    drain_s: Seconds = 5.0  # a softswitch that is restarted waits so long for its calls at the most
    down_s: Seconds = 1.0  # and is away so long
    attempts: Annotated[int, Meta(ge=1, le=6)] = 6
    real: Real | None = None
    bounds: dict[Literal[FIGURES], Bound] = {}  # type: ignore[valid-type]
