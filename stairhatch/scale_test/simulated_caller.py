"""The caller of one call at a simulated softswitch, which replaces a frontend and its protocol."""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call, ReleaseCause
from stairhatch.scale_test.call_generator import GeneratedCall
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.simulation_context import SimulationContext


class CallOwner(Protocol):
    """Interface of the softswitch process that handles a call."""

    call_manager: CallManager
    is_running: bool


class SimulatedCaller:
    """Caller session (`CallerSession`) of one call, which releases the call after the hold time."""

    __slots__ = ("call", "context", "has_ended", "owner", "request")

    def __init__(self, context: SimulationContext, owner: CallOwner, request: GeneratedCall) -> None:
        """Create the session before its call is offered; the softswitch sets `call` when it offers it."""
        self.context = context
        self.owner = owner
        self.request = request
        self.call: Call | None = None
        self.has_ended = False

    def progressing(self) -> None:
        """Ignore progress; the run counts only final answers."""

    def established(self, description: bytes) -> None:  # noqa: ARG002 - no media in a simulation
        """Record the call as established and schedule its release after the hold time."""
        self.context.clock.call_later(self.request.hold_s, self._hang_up)
        self._record(SimulatedCallResult.ESTABLISHED)

    def rejected(self, retry_after_s: float) -> None:  # noqa: ARG002 - a rejected call is not retried
        """Record the call as rejected."""
        self._record(SimulatedCallResult.REJECTED)

    def failed(self, timed_out: bool) -> None:  # noqa: ARG002 - both count as failed
        """Record the call as failed, whether timed out or not."""
        self._record(SimulatedCallResult.FAILED)

    def released(self, cause: int) -> None:
        """Handle the release by the roster server; an abnormal cause counts as interrupted."""
        self.has_ended = True
        if cause != ReleaseCause.NORMAL_CLEARING:
            self.context.calls.tally.interrupted += 1

    def softswitch_ended(self) -> None:
        """Handle the end of the softswitch: a call in set-up is lost, an established call is interrupted."""
        if self.request.result is None:
            self._record(SimulatedCallResult.LOST)
        elif not self.has_ended:
            self.context.calls.tally.interrupted += 1
        self.has_ended = True

    def _record(self, result: SimulatedCallResult) -> None:
        self.context.calls.record_result(self.request, result, self.context.elapsed_s)

    def _hang_up(self) -> None:
        if not self.has_ended and self.call is not None and self.owner.is_running:
            self.owner.call_manager.release(self.call, ReleaseCause.NORMAL_CLEARING)
