"""Call sources and call arrivals, drawn from a load plan and a seed.

Arrivals are open-loop: the softswitch's responses never shift them. The same plan and seed draw the same
calls for any number of workers. The module does no I/O; times are in seconds after the beginning of the load.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from stairhatch.load_test.load_plan import LoadClass, LoadPlan, Transport


@dataclass(frozen=True, slots=True)
class CallSource:
    """A source of calls, with a UDP port or a TCP connection of its own."""

    index: int
    transport: Transport
    obeys_retry_after: bool
    offers_overload_control: bool  # announces support for it in its Via (RFC 7339)
    ignores_overload_control: bool  # announces support and does not throttle


@dataclass(frozen=True, slots=True)
class ScheduledCall:
    """A call of the plan, with its due time and its drawn properties."""

    at_s: float  # due time, in seconds after the beginning of the load
    serial: int  # index of the call among those of all workers
    source: int  # index of the CallSource
    load_class: LoadClass
    hold_s: float
    vanishes: bool  # its caller stops sending and answering during set-up
    cancels: bool  # its caller cancels it during set-up


def call_sources(plan: LoadPlan) -> list[CallSource]:
    """Return all sources of a plan, by index.

    Each fraction of the plan applies to the number of sources, rounded to a whole number. The sources with a
    trait are drawn with the trait's name as the seed, so that traits are independent of each other and of the
    run's seed.
    """
    behaviour = plan.behaviour
    tcp_sources = set(_draw_sources(plan, "tcp", plan.tcp_fraction))
    obeying_sources = set(_draw_sources(plan, "obeys", behaviour.retry_after_fraction))
    ignoring_fraction = behaviour.false_overload_control_fraction
    offering_sources = _draw_sources(plan, "oc", behaviour.overload_control_fraction + ignoring_fraction)
    ignoring_sources = set(offering_sources[: round(ignoring_fraction * plan.source_count)])
    return [
        CallSource(
            index=index,
            transport=Transport.TCP if index in tcp_sources else Transport.UDP,
            obeys_retry_after=index in obeying_sources,
            offers_overload_control=index in offering_sources,
            ignores_overload_control=index in ignoring_sources,
        )
        for index in range(plan.source_count)
    ]


def _draw_sources(plan: LoadPlan, trait: str, fraction: float) -> list[int]:
    count = plan.source_count
    return random.Random(trait).sample(range(count), round(fraction * count))


def scheduled_calls(plan: LoadPlan, seed: int, worker: int = 0, workers: int = 1) -> Iterator[ScheduledCall]:
    """Yield the calls of one worker's sources (index modulo `workers` equals `worker`), in order of due time.

    The arrivals are a Poisson process of varying rate, drawn by thinning (Lewis and Shedler, 1979). Each
    worker draws all calls and yields its own, so that the number of workers does not change the load.
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
    outcome_draw = rng.random()
    vanish_fraction = plan.behaviour.vanish_fraction
    vanishes = outcome_draw < vanish_fraction
    cancels = not vanishes and outcome_draw < vanish_fraction + plan.behaviour.cancel_fraction
    return ScheduledCall(at_s, serial, source, load_class, hold_s, vanishes, cancels)


def _draw_source(plan: LoadPlan, rng: random.Random) -> int:
    count = plan.source_count
    if not plan.heavy_source_factor:
        return rng.randrange(count)
    weights = [plan.heavy_source_factor, *[1.0] * (count - 1)]
    return rng.choices(range(count), weights)[0]
