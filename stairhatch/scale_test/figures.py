"""The figures of a scale run, as they are kept. Encoded names are the keys of `result.json` and `run.json`.

Bytes, messages and set-ups are counts over the whole run unless a field says otherwise.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.schema import ComparedFigure, PlannedEventKind

ComparedFigures = dict[ComparedFigure, float]


class CallFigures(Struct, frozen=True, kw_only=True):
    """Counts of calls by result and depth, and the set-up times of established calls."""

    requested: int = field(name="asked")
    established: int = field(name="stood")
    rejected: int = field(name="refused")
    failed: int
    unreachable: int = field(name="unreached")
    lost: int
    interrupted: int = field(name="cut")  # established, and ended by a fault
    requested_by_depth: dict[int, int] = field(name="depths")
    established_by_depth: dict[int, int] = field(name="stood_at_depth")
    max_depth: int = field(name="deepest")
    setup_p50_ms: float = field(name="to_stand_p50_ms")
    setup_p99_ms: float = field(name="to_stand_p99_ms")


class ServerFigures(Struct, frozen=True, kw_only=True):
    """The roster servers: rejected set-ups, and servers pushed over while they were cold."""

    rejected_setups: int = field(name="turned_away")
    overloaded: int = field(name="fallen")


class ControlTraffic(Struct, frozen=True, kw_only=True):
    """Bytes and messages for each second and softswitch."""

    list_bytes: float
    lease_bytes: float = field(name="claim_bytes")
    lease_messages: float = field(name="claim_messages")
    connection_bytes: float = field(name="stream_bytes")


class ListChangeFigures(Struct, frozen=True, kw_only=True):
    """The changes of the endpoint list, and how long each took to be in force at a softswitch."""

    notified: int = field(name="told")
    not_received: int = field(name="not_heard")  # over changes and running softswitches
    diverged_lists: int = field(name="lists_apart")  # softswitches with another list than their coordinator
    superseded: int = field(name="older_left_out")  # lines that came after a newer one
    in_force_p50_ms: float
    in_force_p99_ms: float
    in_force_max_ms: float = field(name="in_force_longest_ms")


class ColdStartWindow(Struct, frozen=True, kw_only=True):
    """The fullest overload window of one cold start, in set-ups."""

    server: int
    start: int  # 1 for the first cold start of the server
    setups: int = field(name="set_ups")  # all that came while it was cold
    fullest: int
    limit: float = field(name="most")
    overload_limit: float = field(name="falls_above")
    overloaded: bool = field(name="fell")


class SimulationFigures(Struct, frozen=True, kw_only=True):
    """Everything that the seed of a simulated run decides."""

    calls: CallFigures
    unanswered: int
    compared: ComparedFigures
    servers: ServerFigures
    control_traffic: ControlTraffic = field(name="a_second_and_softswitch")
    changes: ListChangeFigures
    windows: list[ColdStartWindow]
    activations: dict[PlannedEventKind, int] = field(name="bites")
    faults: list[str]
    counters: dict[str, int]  # of all softswitches together
    results_by_second: dict[int, dict[SimulatedCallResult, int]] = field(name="by_second")


class RealRunFigures(Struct, frozen=True, kw_only=True):
    """The figures of a run of real processes."""

    compared: ComparedFigures
    not_received: int = field(name="not_heard")
    unanswered: int
    calls: CallFigures
    longest_stall_s: float = field(name="stalled_s")  # of the event loop that drives the run


class FigureComparison(Struct, frozen=True, kw_only=True):
    """One figure of the simulated and of the real run, their ratio, and its bounds."""

    simulated: float = field(name="hollow")
    real: float
    ratio: float
    minimum: float = field(name="least")
    maximum: float = field(name="most")

    def is_in_bounds(self) -> bool:
        """Return whether the ratio lies within its range."""
        return self.minimum <= self.ratio <= self.maximum


class MachineUsage(Struct, frozen=True, kw_only=True):
    """The resources that a simulated run used. These figures differ from run to run."""

    elapsed_s: float = field(name="seconds")
    processor_s: float
    processor_s_by_part: dict[ProcessorPart, float] = field(name="parts_s")
    virtual_s: float
    memory_mb: int
    steps: int  # events carried out on the virtual clock
    control_percent: float  # of a core, for each softswitch: endpoint list and leases
    predicted_memory_mb: int = field(name="needed_mb", default=0)
    softswitch_kb: float = 0.0
    connection_kb: float = field(name="link_kb", default=0.0)


def to_json_object(figures: Struct | dict[Any, Any]) -> Any:
    """Return figures as objects for JSON, under their encoded names."""
    return msgspec.to_builtins(figures, str_keys=True)
