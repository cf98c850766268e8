"""Final answers to callers: each call gets exactly one, whatever the overload control and servers do."""

from __future__ import annotations

from stairhatch.node.calls import Call, CallRegistry
from stairhatch.node.context import NodeContext
from stairhatch.overload.actions import FailCall, RejectCall

ANSWER_EARLY_S = 0.03  # attempts and calls end this long before the caller timeout


class FinalAnswers:
    """Sender of the final answers that reject or fail a call; both end the call."""

    def __init__(self, context: NodeContext, calls: CallRegistry) -> None:
        """Answer calls of `calls`, which each answered call is removed from."""
        self._context = context
        self._calls = calls

    def give(self, call: Call, action: RejectCall | FailCall) -> None:
        """Remove the call from the registry and answer its caller. Its attempt in progress is not ended."""
        context = self._context
        self._calls.remove(call)
        if isinstance(action, RejectCall):
            context.counters.add("calls_rejected")
            if context.tracing:
                retry_after_ms = int(action.retry_after_s * 1000)
                context.log(
                    "call_answered", call=call.request.ident, result="rejected", retry_after_ms=retry_after_ms
                )
            call.caller_session.rejected(action.retry_after_s)
        else:
            context.counters.add("calls_failed")
            if context.tracing:
                context.log("call_answered", call=call.request.ident, result="failed")
            call.caller_session.failed(timed_out=context.clock() >= call.deadline - ANSWER_EARLY_S)

    def give_without_decision(self, call: Call) -> None:
        """Reject a call if a caller retry is safe, else fail it, without asking the overload control."""
        self.give(call, (RejectCall if call.is_retry_safe() else FailCall)(call.number))
