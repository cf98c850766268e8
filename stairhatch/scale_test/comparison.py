"""The scenario that real and simulated softswitches both play."""

from __future__ import annotations

import math

import msgspec

from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.scale_test.schema import FIGURES, Bound, Happens, NetworkDelays, PlannedEventKind, ScalePlan


def twin(plan: ScalePlan) -> ScalePlan:
    """The scenario that is played by real processes and by hollow ones: no faults, ways as on loopback."""
    real = plan.real
    assert real is not None
    way = DatagramConditions(delay_ms=0.05, jitter_ms=0.05)
    change = Happens(real.seconds * 0.1, PlannedEventKind.CHANGE, real.seconds * 0.8, max(1, real.changes))
    return msgspec.structs.replace(
        plan,
        seconds=real.seconds,
        softswitches=real.softswitches,
        servers=real.servers,
        services=real.services,
        regions=1,
        zones=1,
        wire=NetworkDelays(way, way, way),
        must_bite=(),
        window=False,
        calls=msgspec.structs.replace(plan.calls, rate=real.rate, depth=real.depth, service=-1),
        event=(change,) if real.changes else (),
        real=None,
        bounds={},
    )


def ratio(hollow: float, real: float, bound: Bound) -> float:
    """Hollow over real; `grain` makes nothing of nothing a 1."""
    low = real + bound.grain
    return (hollow + bound.grain) / low if low else (1.0 if not hollow else math.inf)


def held_against(
    plan: ScalePlan, hollow: dict[str, float], real: dict[str, float]
) -> dict[str, dict[str, float]]:
    """Each figure of both, their ratio and its bounds."""
    found = {}
    for name in FIGURES:
        bound = plan.bounds.get(name, Bound())
        one = round(ratio(hollow[name], real[name], bound), 3)
        found[name] = {
            "hollow": hollow[name], "real": real[name], "ratio": one, "least": bound.least,
            "most": bound.most,
        }  # fmt: skip
    return found


def out_of_bounds(compared: dict[str, dict[str, float]]) -> list[str]:
    """What makes the run fail."""
    return [
        f"{name}: hollow {each['hollow']:g} over real {each['real']:g} is {each['ratio']:g}, "
        f"not within {each['least']:g} and {each['most']:g}"
        for name, each in compared.items()
        if not each["least"] <= each["ratio"] <= each["most"]
    ]
