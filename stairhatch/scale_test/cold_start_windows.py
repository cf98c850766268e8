"""Finds the fullest overload window of each cold start of a roster server, and its limit (docs/cold.md)."""

from __future__ import annotations

from collections.abc import Sequence

from stairhatch.emulators.processor import ProcessorState
from stairhatch.scale_test.figures import ColdStartWindow
from stairhatch.scale_test.simulated_server import SimulatedServer


def fullest_window(ascending_times: Sequence[float], window_s: float) -> int:
    """Return the maximum number of `ascending_times` within any window of `window_s` seconds."""
    fullest = first = 0
    for last, time in enumerate(ascending_times):
        while ascending_times[first] <= time - window_s:
            first += 1
        fullest = max(fullest, last - first + 1)
    return fullest


def setup_limit(capacity: float) -> float:
    """Return the allowed number of set-ups in a window: N + 2 sqrt(N) + 2, to one decimal.

    `capacity` is N, the number of set-ups that a cold server completes within the window.
    """
    root: float = capacity**0.5
    return round(capacity + 2 * root + 2, 1)


def cold_start_windows(servers: Sequence[SimulatedServer]) -> list[ColdStartWindow]:
    """Return the fullest overload window of each cold start, ordered by server and cold start."""
    windows = []
    for server in servers:
        profile = server.processor.profile
        # set-ups that a cold server completes within the window
        capacity = profile.initial_capacity_fraction / profile.setup_s * profile.overload_window_s
        windows += [
            ColdStartWindow(
                server=server.machine,
                start=start,
                setups=len(times),
                fullest=fullest_window(times, profile.overload_window_s),
                limit=setup_limit(capacity),
                overload_limit=round(capacity * profile.overload_multiple, 1),
                overloaded=server.processor.state is ProcessorState.CRASHED,
            )
            for start, times in enumerate(server.cold_setup_times, 1)
        ]
    return windows
