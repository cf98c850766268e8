"""Generates the calls of a run from the plan's seed, identically for simulated and for real softswitches."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from stairhatch.scale_test.call_graph import CallGraph
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.call_tally import CallTally
from stairhatch.scale_test.schema import ScalePlan
from stairhatch.scale_test.topology import Topology

SERVICE_PREFIX_BASE = 1000  # prefix of a called number = this base + service index
FOLLOW_UP_SERIALS = (10**9, 10**16)  # range above all serials of calls from outside


def service_prefix(service: int) -> str:
    """Return the prefix of all called numbers of a service, which identifies the service."""
    return str(SERVICE_PREFIX_BASE + service)


@dataclass(slots=True, kw_only=True)
class GeneratedCall:
    """A generated call to be placed at one softswitch."""

    serial: int
    at_s: float  # seconds since the calls began
    service: int
    depth: int  # position in the chain of calls; 1 for a call from outside
    softswitch: int
    hold_s: float
    result: SimulatedCallResult | None = None

    @property
    def called_number(self) -> str:
        """The called number: the prefix of the service, followed by the serial in 16 digits."""
        return f"{service_prefix(self.service)}{self.serial:016d}"


class CallGenerator:
    """Generates the calls of a run and records their results.

    Calls from outside arrive at their drawn times regardless of the results of earlier calls (an open
    workload). An established call triggers follow-up calls to services of the next level. Follow-up calls are
    drawn from the serial of the triggering call, so they don't depend on the order in which answers arrive.
    """

    def __init__(self, plan: ScalePlan, place_call: Callable[[GeneratedCall], None]) -> None:
        """Build topology and call graph; `place_call` places a due call at its softswitch."""
        self.plan = plan
        self.topology = Topology(plan)
        self.graph = CallGraph(plan)
        self.tally = CallTally()
        self.open_calls: dict[str, GeneratedCall] = {}  # by called number
        self._place_call = place_call
        self._next_serial = 1
        self._servers: dict[str, int] = {}  # roster server that established an open call, by called number

    def calls_from_outside(self) -> Iterator[GeneratedCall]:
        """Yield the calls from outside in order of time; their arrivals form a Poisson process."""
        rng, calls = random.Random(f"calls {self.plan.seed}"), self.plan.calls
        at_s = 0.0
        while calls.rate_per_s > 0:
            at_s += rng.expovariate(calls.rate_per_s)
            if at_s >= self.plan.duration_s:
                return
            service = rng.choice(self.graph.entry_services)
            softswitch = rng.randrange(self.plan.softswitch_count)
            serial = self._next_serial
            self._next_serial += 1
            yield GeneratedCall(
                serial=serial,
                at_s=at_s,
                service=service,
                depth=1,
                softswitch=softswitch,
                hold_s=rng.expovariate(1 / calls.mean_hold_s),
            )

    def request(self, call: GeneratedCall) -> None:
        """Count a due call as requested and place it at its softswitch."""
        self.open_calls[call.called_number] = call
        self.tally.record_request(call.depth)
        self._place_call(call)

    def record_server(self, called_number: str, server: int) -> None:
        """Record which roster server established an open call; a call that has ended is ignored."""
        if called_number in self.open_calls:
            self._servers[called_number] = server

    def record_result(self, call: GeneratedCall, result: SimulatedCallResult, at_s: float) -> None:
        """Record the final answer of a call; `at_s` is in seconds since the calls began.

        An established call triggers its follow-up calls, unless the run's duration is over.

        Raises AssertionError if the call already has a final answer.
        """
        if call.result is not None:
            raise AssertionError(f"{call.called_number}: {call.result.value} and then {result.value}")
        call.result = result
        self.open_calls.pop(call.called_number, None)
        server = self._servers.pop(call.called_number, 0)
        self.tally.record_result(result, at_s)
        if result is SimulatedCallResult.ESTABLISHED:
            self.tally.record_established(call.depth, at_s - call.at_s)
            if at_s < self.plan.duration_s:
                self._request_follow_ups(call, server, at_s)

    def _request_follow_ups(self, call: GeneratedCall, server: int, at_s: float) -> None:
        """Request the follow-up calls of an established call at the softswitch local to its roster server."""
        if call.depth >= self.graph.max_depth:
            return
        rng = random.Random(f"{self.plan.seed} {call.serial}")
        for order, service in enumerate(self.graph.services_below[call.service]):
            drawn, hold_s = rng.random(), rng.expovariate(1 / self.plan.calls.mean_hold_s)
            if drawn < self.plan.calls.follow_probability:
                self.request(
                    GeneratedCall(
                        serial=_follow_up_serial(call.serial, order),
                        at_s=at_s,
                        service=service,
                        depth=call.depth + 1,
                        softswitch=self.topology.local_softswitch(server),
                        hold_s=hold_s,
                    )
                )


def _follow_up_serial(serial: int, order: int) -> int:
    return random.Random(f"{serial} {order}").randrange(*FOLLOW_UP_SERIALS)
