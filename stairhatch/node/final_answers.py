"""The final answer to a call's caller: exactly one a call, whatever the decisions and the servers do."""

from __future__ import annotations

from stairhatch.node.calls import Call, CallRegistry
from stairhatch.node.context import NodeContext
from stairhatch.overload.actions import FailCall, RejectCall

ANSWER_EARLY_S = 0.03  # attempts and calls end this long before the caller stops waiting


class FinalAnswers:
    """Ends calls that were offered and not established by rejecting or failing them."""

    def __init__(self, context: NodeContext, calls: CallRegistry) -> None:
        """Answer the calls of this registry."""
        self._context = context
        self._calls = calls

    def give(self, call: Call, action: RejectCall | FailCall) -> None:
        """Remove the call from the registry and answer its caller. An attempt that is out stays as it is."""
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

    def give_undecided(self, call: Call) -> None:
        """Answer without asking the controller: rejected where a caller retry does no harm, else failed."""
        self.give(call, (RejectCall if call.is_retry_safe() else FailCall)(call.number))
