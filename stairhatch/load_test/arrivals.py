"""Which calls come when, and from where, drawn from a plan and a seed.

Arrivals are open-loop: what the softswitch does never moves them. The same plan and seed draw the same calls
whatever the number of workers. Free of I/O; no time of day is known here.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from stairhatch.load_test.load_plan import LoadClass, LoadPlan, Transport


@dataclass(frozen=True, slots=True)
class CallSource:
    """One source of calls, with a UDP port or a TCP connection of its own."""

    index: int
    transport: Transport
    obeys_retry_after: bool
    offers_overload_control: bool  # says that it knows it (RFC 7339)
    ignores_overload_control: bool  # and sends on all the same


@dataclass(frozen=True, slots=True)
class ScheduledCall:
    """One call, as it is due."""

    at_s: float  # after the beginning
    serial: int
    source: int  # its index
    load_class: LoadClass
    hold_s: float
    vanishes: bool
    cancels: bool


def call_sources(plan: LoadPlan) -> list[CallSource]:
    """Return all sources.

    Each fraction is of their number, to the nearest whole one. Who has a trait is drawn by the trait's name,
    so that traits are independent.
    """
    behaviour = plan.behaviour
    by_tcp = set(_draw_sources(plan, "tcp", plan.tcp_fraction))
    obeying = set(_draw_sources(plan, "obeys", behaviour.retry_after_fraction))
    ignoring_fraction = behaviour.false_overload_control_fraction
    offering = _draw_sources(plan, "oc", behaviour.overload_control_fraction + ignoring_fraction)
    ignoring = set(offering[: round(ignoring_fraction * plan.source_count)])
    return [
        CallSource(
            index=index,
            transport=Transport.TCP if index in by_tcp else Transport.UDP,
            obeys_retry_after=index in obeying,
            offers_overload_control=index in offering,
            ignores_overload_control=index in ignoring,
        )
        for index in range(plan.source_count)
    ]


def _draw_sources(plan: LoadPlan, trait: str, fraction: float) -> list[int]:
    count = plan.source_count
    return random.Random(trait).sample(range(count), round(fraction * count))


def scheduled_calls(plan: LoadPlan, seed: int, worker: int = 0, workers: int = 1) -> Iterator[ScheduledCall]:
    """Yield the calls of one worker's sources (index modulo `workers` is `worker`), in order.

    A Poisson process of changing rate by thinning (Lewis and Shedler, 1979). All workers draw the same calls
    and keep their own, so that the number of workers changes nothing.
    """
    rng = random.Random(seed)
    rate_bound = plan.rate_bound()
    at_s, serial = 0.0, 0
    while rate_bound > 0:
        at_s += rng.expovariate(rate_bound)
        if at_s >= plan.seconds:
            return
        is_kept = rng.random() * rate_bound < plan.rate(at_s)
        if not is_kept:
            continue
        call = _draw_call(plan, rng, at_s, serial)
        if call.source % workers == worker:
            yield call
        serial += 1


def _draw_call(plan: LoadPlan, rng: random.Random, at_s: float, serial: int) -> ScheduledCall:
    source = _draw_source(plan, rng)
    load_class = rng.choices(plan.classes, [each.fraction for each in plan.classes])[0]
    hold_s = rng.expovariate(1 / load_class.hold_s) if load_class.hold_s > 0 else 0.0
    fate = rng.random()
    vanish_fraction = plan.behaviour.vanish_fraction
    vanishes = fate < vanish_fraction
    cancels = not vanishes and fate < vanish_fraction + plan.behaviour.cancel_fraction
    return ScheduledCall(at_s, serial, source, load_class, hold_s, vanishes, cancels)


def _draw_source(plan: LoadPlan, rng: random.Random) -> int:
    count = plan.source_count
    if not plan.heavy_source_factor:
        return rng.randrange(count)
    weights = [plan.heavy_source_factor, *[1.0] * (count - 1)]
    return rng.choices(range(count), weights)[0]
