"""The schema of a scale file (docs/scale.md): types, ranges and the file's key for each field.

`plan_file` checks the consistency between fields. The result files contain the same keys, so a key stays
unchanged when its field is renamed.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct, field

from stairhatch.load_test.datagram_conditions import DatagramConditions

MAX_CALL_DEPTH = 11

Count = Annotated[int, Meta(ge=1, le=100_000)]
Index = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
PositiveNumber = Annotated[float, Meta(gt=0, le=100_000)]
Probability = Annotated[float, Meta(ge=0, le=1)]


class PlannedEventKind(Enum):
    """The kind of a planned event; the values are those in the file."""

    LIST_CHANGE = "change"  # `count` changes of endpoint list lines, spread evenly over the duration
    RESTART = "restart"  # `count` softswitches restart, spread evenly over the duration
    ZONE_START = "start"  # the softswitches of `zone` are down before the event and start together
    COLD_REPLACEMENT = "cold"  # `count` roster servers of `service` are replaced by cold ones together
    RACK_OUTAGE = "rack"  # `count` machines of `zone`, with roster server and softswitch, are off
    ZONE_PARTITION = "zone"  # `zone` cannot reach the other zones
    REGION_PARTITION = "regions"  # the regions cannot reach each other


class ComparedFigure(Enum):
    """The figures compared between simulated and real runs; the values are keys in the file."""

    ESTABLISHED = "stood"
    REJECTED = "refused"
    FAILED = "failed"
    SETUPS = "set_ups"
    LIST_MESSAGES = "list_messages"
    LIST_BYTES = "list_bytes"
    LEASE_MESSAGES = "claim_messages"
    LEASE_BYTES = "claim_bytes"
    CHANGE_IN_FORCE_MS = "in_force_ms"


class PlannedEvent(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """An event at a planned time; `at_s` is in seconds from the time at which calls begin."""

    at_s: Seconds = field(name="at")
    kind: PlannedEventKind = field(name="what")
    duration_s: Seconds = field(name="lasts", default=0.0)
    count: Count = 1
    zone: Index = 0
    service: Index = 0
    region: Annotated[int, Meta(ge=-1)] = -1  # region whose coordinator changes its list; -1: regions in turn


class CallPlan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Rate and destination of calls from outside, and the follow-up calls between services."""

    # calls from outside per second, summed over all softswitches
    rate_per_s: Annotated[float, Meta(ge=0, le=260_000)] = field(name="rate", default=20.0)
    service: Annotated[int, Meta(ge=-1)] = -1  # service called from outside; -1: those of the first level
    max_depth: Annotated[int, Meta(ge=1, le=MAX_CALL_DEPTH)] = field(name="depth", default=3)
    # probability that an established call triggers a call to each service of the next level
    follow_probability: Probability = field(name="follow", default=0.6)
    fan_out: Annotated[int, Meta(ge=1, le=16)] = 2  # services of the next level that a service calls
    mean_hold_s: Annotated[float, Meta(gt=0, le=3600)] = field(name="hold_s", default=0.5)
    latency_objective_s: Annotated[float, Meta(gt=0, le=60)] = field(name="aim_s", default=1.0)
    hard_limit_s: Annotated[float, Meta(gt=0, le=60)] = field(name="limit_s", default=3.0)


class RosterServerPlan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Capacity, load reports and overload of a roster server, as `emulators/processor.py` models it."""

    setup_work_ms: Annotated[float, Meta(gt=0, le=60_000)] = field(name="set_up_ms", default=5.0)
    call_capacity: Count = field(name="lines", default=200)
    # interval between load reports on each connection
    load_report_interval_s: Annotated[float, Meta(ge=0.05, le=60)] = field(name="state_s", default=0.4)
    max_wait_s: Annotated[float, Meta(gt=0, le=60)] = field(name="longest_wait_s", default=3.0)
    # fraction of its capacity that a cold server starts with
    cold_capacity: Annotated[float, Meta(gt=0, le=1)] = field(name="cold_from", default=0.3)
    warm_up_s: Seconds = field(name="warm_after_s", default=14.0)
    # a cold server crashes if the work of a window exceeds this multiple of its capacity
    overload_multiple: PositiveNumber = field(name="fall_multiple", default=2.5)
    overload_window_s: Annotated[float, Meta(gt=0, le=60)] = field(name="fall_s", default=1.5)


class NetworkDelays(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Datagram conditions between two machines, by whether they share a zone or a region."""

    within_zone: DatagramConditions = field(
        name="zone", default=DatagramConditions(delay_ms=0.1, jitter_ms=0.1)
    )
    between_zones: DatagramConditions = field(
        name="zones", default=DatagramConditions(delay_ms=0.6, jitter_ms=0.2)
    )
    between_regions: DatagramConditions = field(
        name="regions", default=DatagramConditions(delay_ms=12.0, jitter_ms=1.0)
    )


class FleetPlan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The fleet of all softswitches: its voters and leases."""

    voter_count: Annotated[int, Meta(ge=1, le=9)] = field(name="voters", default=3)
    lease_duration_s: Annotated[float, Meta(ge=0.1, le=600)] = field(name="term_s", default=3.0)
    lease_instance_index: bool = field(name="numbers", default=True)
    # whether one softswitch polls the coordinator for all
    relay_endpoint_list: bool = field(name="list", default=False)
    clock_drift_bound: Annotated[float, Meta(ge=0, le=0.1)] = field(name="drift", default=0.01)


class RealRunPlan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The size of the comparison scenario, which real and simulated softswitches both run."""

    softswitch_count: Annotated[int, Meta(ge=2, le=8)] = field(name="softswitches", default=4)
    server_count: Annotated[int, Meta(ge=1, le=16)] = field(name="servers", default=4)
    service_count: Annotated[int, Meta(ge=1, le=16)] = field(name="services", default=2)
    rate_per_s: Annotated[float, Meta(gt=0, le=500)] = field(name="rate", default=20.0)
    max_depth: Annotated[int, Meta(ge=1, le=MAX_CALL_DEPTH)] = field(name="depth", default=3)
    duration_s: Annotated[float, Meta(gt=0, le=60)] = field(name="seconds", default=5.0)
    change_count: Annotated[int, Meta(ge=0, le=100)] = field(name="changes", default=4)
    settle_s: Annotated[float, Meta(ge=0, le=30)] = 1.0  # from when all serve until calls and counts begin


class RatioBounds(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The allowed range of the ratio of a simulated to a real figure."""

    minimum: Annotated[float, Meta(ge=0)] = field(name="least", default=0.8)
    maximum: Annotated[float, Meta(ge=0)] = field(name="most", default=1.25)
    # added to both figures, so that the ratio of two small figures is close to 1
    pseudocount: Annotated[float, Meta(ge=0)] = field(name="grain", default=5.0)


class ScalePlan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The plan of a scale test, the top level of a scale file."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
    seed: int
    duration_s: Annotated[float, Meta(gt=0, le=86_400)] = field(name="seconds")
    softswitch_count: Count = field(name="softswitches")
    server_count: Count = field(name="servers")
    service_count: Annotated[int, Meta(ge=1, le=1000)] = field(name="services", default=1)
    region_count: Annotated[int, Meta(ge=1, le=8)] = field(name="regions", default=1)
    zone_count: Annotated[int, Meta(ge=1, le=64)] = field(name="zones", default=1)
    calls: CallPlan = CallPlan()
    server: RosterServerPlan = RosterServerPlan()
    network: NetworkDelays = field(name="wire", default=NetworkDelays())
    fleet: FleetPlan | None = None
    events: tuple[PlannedEvent, ...] = field(name="event", default=())
    lead_time_s: Annotated[float, Meta(ge=0.5, le=600)] = field(name="lead_s", default=2.0)
    # kinds of events that must have an effect; otherwise the run fails
    required_events: tuple[PlannedEventKind, ...] = field(name="must_bite", default=())
    # whether the fullest overload window of each cold start is checked against its limit (docs/cold.md)
    judge_cold_windows: bool = field(name="window", default=False)
    drain_timeout_s: Seconds = field(name="drain_s", default=5.0)  # of a restarting softswitch
    restart_downtime_s: Seconds = field(name="down_s", default=1.0)
    max_attempts: Annotated[int, Meta(ge=1, le=6)] = field(name="attempts", default=6)
    real: RealRunPlan | None = None
    bounds: dict[ComparedFigure, RatioBounds] = {}
