"""The printed summary of a scale run."""

from __future__ import annotations

from collections.abc import Iterator

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.figures import CallFigures, ColdStartWindow, MachineUsage, SimulationFigures
from stairhatch.scale_test.run import ScaleResult


def summarize(result: ScaleResult) -> str:
    """Return the summary as text: calls, list changes, control traffic, events, usage, ratios and verdict."""
    return "\n".join(_lines(result)) + "\n"


def _lines(result: ScaleResult) -> Iterator[str]:
    figures = result.figures
    yield _calls_line(figures.calls)
    yield f"set-up     p50 {figures.calls.setup_p50_ms:.1f} ms, p99 {figures.calls.setup_p99_ms:.1f} ms"
    yield from _list_and_control_lines(figures)
    if figures.windows:
        yield _cold_line(figures.windows, figures.servers.overloaded)
    activations = ", ".join(f"{kind.value} {count}" for kind, count in figures.activations.items() if count)
    yield f"events     {activations or 'none'}"
    yield _machine_line(result.machine)
    for figure, each in result.compared.items():
        yield (
            f"ratio      {figure.value:15} {each.ratio:6.3f}  simulated {each.simulated:g}, "
            f"real {each.real:g}, bounds {each.minimum:g} to {each.maximum:g}"
        )
    if not result.failures:
        yield "good"
    for failure in result.failures:
        yield f"FAILED     {failure}"


def _calls_line(calls: CallFigures) -> str:
    counts = {
        SimulatedCallResult.ESTABLISHED: calls.established,
        SimulatedCallResult.REJECTED: calls.rejected,
        SimulatedCallResult.FAILED: calls.failed,
        SimulatedCallResult.UNREACHABLE: calls.unreachable,
        SimulatedCallResult.LOST: calls.lost,
    }
    by_result = ", ".join(f"{count} {result.name.lower()}" for result, count in counts.items())
    return (
        f"calls      {calls.requested} requested, {by_result}; {calls.interrupted} interrupted while "
        f"established; the deepest {calls.max_depth}"
    )


def _list_and_control_lines(figures: SimulationFigures) -> Iterator[str]:
    changes, control = figures.changes, figures.control_traffic
    yield (
        f"list       {changes.notified} changes, in force p50 {changes.in_force_p50_ms:.1f} ms, "
        f"p99 {changes.in_force_p99_ms:.1f}, longest {changes.in_force_max_ms:.1f}; "
        f"{changes.not_received} not received"
    )
    yield (
        f"control    {control.list_bytes:.0f} B/s of list, {control.lease_bytes:.0f} B/s of leases "
        f"({control.lease_messages:.1f} messages) a softswitch; "
        f"all connections {control.connection_bytes:.0f} B/s"
    )


def _cold_line(windows: list[ColdStartWindow], overloaded: int) -> str:
    fullest = max(windows, key=lambda window: window.fullest)
    return (
        f"cold       {len(windows)} starts, fullest window {fullest.fullest} set-ups, "
        f"{fullest.limit:g} allowed, overloaded above {fullest.overload_limit:g}; "
        f"{overloaded} were overloaded"
    )


def _machine_line(machine: MachineUsage) -> str:
    parts = ", ".join(f"{part.value} {seconds:.1f}" for part, seconds in machine.processor_s_by_part.items())
    return (
        f"machine    {machine.virtual_s:g} s played in {machine.elapsed_s:g} s, {machine.memory_mb} MB of "
        f"{machine.predicted_memory_mb} predicted; processor seconds: {parts}; "
        f"list and leases {machine.control_percent:.2f} % of a core each"
    )
