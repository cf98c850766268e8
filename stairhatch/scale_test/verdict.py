"""Checks the figures of a simulated run for failures."""

from __future__ import annotations

from collections.abc import Iterator

from stairhatch.scale_test.figures import ColdStartWindow, SimulationFigures
from stairhatch.scale_test.schema import ScalePlan

MAX_WINDOWS_NAMED = 5


def find_failures(plan: ScalePlan, figures: SimulationFigures) -> list[str]:
    """Return a message for each failure.

    A run that proves nothing fails too: one in which no call was established, or a required event had no
    effect.
    """
    failures = [*_call_failures(figures), *_list_failures(figures)]
    failures += [
        f"{kind.value} had no effect: the run proves nothing of it"
        for kind in plan.required_events
        if not figures.activations[kind]
    ]
    if plan.judge_cold_windows:
        failures += _window_failures(figures.windows)
    return failures


def _call_failures(figures: SimulationFigures) -> Iterator[str]:
    if figures.unanswered:
        yield f"{figures.unanswered} calls had no final answer"
    for fault in figures.faults:
        yield f"a fault in the program's parts: {fault}"
    if figures.servers.overloaded:
        yield f"{figures.servers.overloaded} cold roster servers were pushed over"
    if not figures.calls.established:
        yield "no call was established: the run proves nothing"


def _list_failures(figures: SimulationFigures) -> Iterator[str]:
    changes = figures.changes
    if changes.not_received or changes.diverged_lists:
        yield (
            f"{changes.not_received} changes of the endpoint list not received, {changes.diverged_lists} "
            "softswitches go by another list than their coordinator's"
        )


def _window_failures(windows: list[ColdStartWindow]) -> Iterator[str]:
    if not windows:
        yield "window: no server was cold"
    too_full = [window for window in windows if window.fullest > window.limit]
    for window in too_full[:MAX_WINDOWS_NAMED]:
        yield (
            f"server {window.server}: {window.fullest} set-ups in a window while cold, "
            f"{window.limit:g} at most"
        )
