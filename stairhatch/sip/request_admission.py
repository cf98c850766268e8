"""The admission of new requests: drain and overload control (RFC 7339).

While the processor is overloaded, datagrams are scanned before they are parsed, so that a retransmission is
answered and a call is shed with 503 without the cost of a parse.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from stairhatch.admission.admission_control import (
    ADMITTED,
    AdmissionControl,
    AdmissionDecision,
    AdmissionOutcome,
    RequestKind,
)
from stairhatch.admission.feedback import algorithm_for
from stairhatch.admission.overload_detector import OverloadLevel
from stairhatch.node import sip_message as sip
from stairhatch.node.readiness import RETRY_AFTER_S
from stairhatch.sip.call_classification import classify_call
from stairhatch.sip.context import SipContext
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.request_scan import RequestScan
from stairhatch.sip.transport import Flow

TABLE_FULL_RETRY_AFTER_S = 2
ALWAYS_ADMITTED_METHODS = ("CANCEL", "PRACK", "BYE", "UPDATE")


@dataclass(frozen=True, slots=True)
class AdmissionRejection:
    """The rejection of a new request, which is answered 503 without a transaction."""

    retry_after_s: int
    counter: str  # name of the counter that the rejection increments


class RequestAdmission:
    """The admission of one frontend's new requests, and the overload feedback to callers."""

    def __init__(self, context: SipContext) -> None:
        """Create admission control with the configured policy, which a reload does not change."""
        policy = context.config.admission
        self.control = AdmissionControl(context.draw_fraction, policy) if policy is not None else None
        self._context = context
        # Transaction key of the INVITE that was admitted by its scan and is being parsed, or b"".
        self._admitted_key = b""

    def is_overloaded(self) -> bool:
        """Whether datagrams should be scanned before they are parsed."""
        return self.control is not None and self.control.overload.level is not OverloadLevel.NORMAL

    def observe_delay(self, delay_s: float) -> None:
        """Record a delay of the event loop or of a datagram; logs a change of the overload level."""
        if self.control is None:
            return
        overload = self.control.overload
        level_before = overload.level
        level = overload.observe_delay(self._context.now(), delay_s)
        if level is not level_before:
            self._context.call_manager.log(
                "load",
                level=level.name.lower(),
                delay_ms=f"{1000 * overload.delay_s:.0f}",
                shed=f"{overload.shed_fraction:.2f}",
            )

    def admit_scanned(self, source: str, scan: RequestScan) -> AdmissionRejection | None:
        """Return the rejection of a new INVITE that was only scanned, or None if it is admitted.

        An admitted INVITE must be parsed next; `admit` then does not apply overload control to it again.
        """
        decision = self._decide_call(source, scan.user, "")
        if decision.outcome is AdmissionOutcome.ADMITTED:
            self._admitted_key = scan.transaction_key
            return None
        return AdmissionRejection(decision.retry_after_s, decision.outcome.value)

    def admit(self, flow: Flow, head: RequestHead) -> AdmissionRejection | None:
        """Return the rejection of a new request, or None if it is admitted."""
        decision = self._decide(flow, head)
        if (
            head.method == "INVITE"
            and not head.to_tag
            and self._context.call_manager.readiness.rejects_new_calls()
        ):
            return AdmissionRejection(max(1, math.ceil(RETRY_AFTER_S)), "calls_rejected_draining")
        if decision.outcome is not AdmissionOutcome.ADMITTED:
            return AdmissionRejection(decision.retry_after_s, decision.outcome.value)
        return None

    def feedback(self, source: str, algorithms: str) -> str:
        """Return the Via parameters of the overload feedback to a caller (RFC 7339).

        `algorithms` is the caller's `oc-algo` parameter, or "" if the caller does not support overload
        control. For a caller without a supported algorithm, "" is returned.
        """
        algorithm = algorithm_for(algorithms)
        if self.control is None or algorithm is None:
            return ""
        now = self._context.now()
        feedback = self.control.feedback
        caller = feedback.callers.get(source) or self.control.track_feedback_caller(source, algorithm, now)
        return feedback.via_parameters(caller, self.control.overload.current_shed_fraction(now), now)

    def _decide(self, flow: Flow, head: RequestHead) -> AdmissionDecision:
        admitted_key, self._admitted_key = self._admitted_key, b""
        if self.control is None or head.to_tag or head.method in ALWAYS_ADMITTED_METHODS:
            return ADMITTED
        source = flow.peer[0]
        now = self._context.now()
        if head.method != "INVITE":
            return self.control.admit(RequestKind.OTHER, source, 0.0, now)
        if head.overload_algorithms and (algorithm := algorithm_for(head.overload_algorithms)) is not None:
            self.control.track_feedback_caller(source, algorithm, now)
        if admitted_key == head.transaction_key:
            return ADMITTED
        return self._decide_call(source, sip.user_of(head.message.uri), head.message.get("call-kind"))

    def _decide_call(self, source: str, called_user: str, call_kind: str) -> AdmissionDecision:
        """Decide on a new call of a source by its rate limit and the priority weight of the call's class.

        A call of an unknown class has weight 0.
        """
        assert self.control is not None
        call_class = classify_call(self._context, called_user, call_kind).call_class
        weight = call_class.priority_weight if call_class else 0.0
        return self.control.admit(RequestKind.NEW_CALL, source, weight, self._context.now())
