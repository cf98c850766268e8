"""The calls of a run, drawn from its seed: the same for simulated and for real softswitches."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from stairhatch.scale_test.call_graph import CallGraph
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.call_tally import CallTally
from stairhatch.scale_test.schema import ScalePlan
from stairhatch.scale_test.topology import Topology

SERVICE_PREFIX_BASE = 1000  # a called number begins with this plus the service
FOLLOW_UP_SERIALS = (10**9, 10**16)  # above those of the calls from outside


def service_prefix(service: int) -> str:
    """Return what the called numbers of a service begin with."""
    return str(SERVICE_PREFIX_BASE + service)


@dataclass(slots=True, kw_only=True)
class GeneratedCall:
    """A call that is requested of a softswitch."""

    serial: int
    at_s: float  # after the beginning of the run
    service: int
    depth: int  # in the chain of calls; 1: from outside
    softswitch: int
    hold_s: float
    result: SimulatedCallResult | None = None

    @property
    def called_number(self) -> str:
        """The number called. Its prefix names the service."""
        return f"{service_prefix(self.service)}{self.serial:016d}"


class CallGenerator:
    """Generates the calls of a run and records their results.

    The calls from outside come when they are due, whatever becomes of others (an open workload). An
    established call leads to calls of the services below its own. What a call leads to is drawn from its own
    serial, so that it does not depend on the order in which answers come.
    """

    def __init__(self, plan: ScalePlan, place_call: Callable[[GeneratedCall], None]) -> None:
        """`place_call` hands a call that is due to its softswitch."""
        self.plan = plan
        self.topology = Topology(plan)
        self.graph = CallGraph(plan)
        self.tally = CallTally()
        self.open_calls: dict[str, GeneratedCall] = {}  # by called number
        self._place_call = place_call
        self._next_serial = 1
        self._servers: dict[str, int] = {}  # where an open call was established, by called number

    def calls_from_outside(self) -> Iterator[GeneratedCall]:
        """Draw the calls from outside in the order of their times, a Poisson process."""
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
        """Place a call that is due."""
        self.open_calls[call.called_number] = call
        self.tally.record_request(call.depth)
        self._place_call(call)

    def record_server(self, called_number: str, server: int) -> None:
        """Record the roster server that has established a call."""
        if called_number in self.open_calls:
            self._servers[called_number] = server

    def record_result(self, call: GeneratedCall, result: SimulatedCallResult, at_s: float) -> None:
        """Record a call's one final answer, at its time in seconds after the beginning of the run.

        AssertionError: it had one already.
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
        """Request the calls that an established call leads to, at the softswitch beside its server."""
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
                        softswitch=self.topology.softswitch_beside(server),
                        hold_s=hold_s,
                    )
                )


def _follow_up_serial(serial: int, order: int) -> int:
    return random.Random(f"{serial} {order}").randrange(*FOLLOW_UP_SERIALS)
