"""The caller of one call at a simulated softswitch: the call's frontend session, in place of a protocol."""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call, ReleaseCause
from stairhatch.scale_test.call_generator import GeneratedCall
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.simulation_context import SimulationContext


class CallOwner(Protocol):
    """The process that handles a call."""

    core: CallManager
    is_running: bool


class SimulatedCaller:
    """The session of one call (`CallerSession`), which hangs up after the hold time."""

    __slots__ = ("call", "context", "has_ended", "owner", "request")

    def __init__(self, context: SimulationContext, owner: CallOwner, request: GeneratedCall) -> None:
        """Before its call is offered; `call` is set by who offers it."""
        self.context = context
        self.owner = owner
        self.request = request
        self.call: Call | None = None
        self.has_ended = False

    def progressing(self) -> None:
        """Ignore progress: only the result counts."""

    def established(self, description: bytes) -> None:  # noqa: ARG002 - the session needs no description
        """Hold the call for its time, then hang up."""
        self.context.clock.call_later(self.request.hold_s, self._hang_up)
        self._record(SimulatedCallResult.ESTABLISHED)

    def rejected(self, retry_after_s: float) -> None:  # noqa: ARG002 - nobody calls again
        """Record the call as rejected."""
        self._record(SimulatedCallResult.REJECTED)

    def failed(self, timed_out: bool) -> None:  # noqa: ARG002 - both count as failed
        """Record the call as failed."""
        self._record(SimulatedCallResult.FAILED)

    def released(self, cause: int) -> None:
        """Record the release by the roster server."""
        self.has_ended = True
        if cause != ReleaseCause.NORMAL_CLEARING:
            self.context.calls.tally.interrupted += 1

    def softswitch_ended(self) -> None:
        """Record that the call has ended with its softswitch."""
        if self.request.result is None:
            self._record(SimulatedCallResult.LOST)
        elif not self.has_ended:
            self.context.calls.tally.interrupted += 1
        self.has_ended = True

    def _record(self, result: SimulatedCallResult) -> None:
        self.context.calls.record_result(self.request, result, self.context.elapsed_s)

    def _hang_up(self) -> None:
        if not self.has_ended and self.call is not None and self.owner.is_running:
            self.owner.core.release(self.call, ReleaseCause.NORMAL_CLEARING)
