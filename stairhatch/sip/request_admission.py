"""Admission of new requests: drain and overload control (RFC 7339).

While the processor is overloaded, datagrams are scanned before they are parsed: a retransmission is answered
and a call that is shed gets its 503 at the cost of a scan.
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
    """A new request that is answered 503 without a transaction."""

    retry_after_s: int
    counter: str


class RequestAdmission:
    """Admission of the new requests of one frontend, and the overload feedback to callers."""

    def __init__(self, context: SipContext) -> None:
        """By the policy of the configuration; a reload changes nothing here."""
        policy = context.config.admission
        self.control = AdmissionControl(context.draw_fraction, policy) if policy is not None else None
        self._context = context
        self._admitted_key = b""  # the transaction that a scan has just admitted

    def is_overloaded(self) -> bool:
        """Whether datagrams should be scanned before they are parsed."""
        return self.control is not None and self.control.overload.level is not OverloadLevel.NORMAL

    def observe_delay(self, delay_s: float) -> None:
        """The event loop was late by so much, or a datagram has waited so long."""
        if self.control is None:
            return
        overload = self.control.overload
        level_before = overload.level
        level = overload.observe_delay(self._context.now(), delay_s)
        if level is not level_before:
            self._context.core.log(
                "load",
                level=level.name.lower(),
                delay_ms=f"{1000 * overload.delay_s:.0f}",
                shed=f"{overload.shed_fraction:.2f}",
            )

    def admit_scanned(self, source: str, scan: RequestScan) -> AdmissionRejection | None:
        """Decide on a new INVITE that was only scanned; None: it is admitted, and is to be parsed."""
        decision = self._decide_call(source, scan.user, "")
        if decision.outcome is AdmissionOutcome.ADMITTED:
            self._admitted_key = scan.transaction_key
            return None
        return AdmissionRejection(decision.retry_after_s, decision.outcome.value)

    def admit(self, flow: Flow, head: RequestHead) -> AdmissionRejection | None:
        """Decide on a new request; None: it is admitted."""
        decision = self._decide(flow, head)
        if head.method == "INVITE" and not head.to_tag and self._context.core.readiness.rejects_new_calls():
            return AdmissionRejection(max(1, math.ceil(RETRY_AFTER_S)), "calls_rejected_draining")
        if decision.outcome is not AdmissionOutcome.ADMITTED:
            return AdmissionRejection(decision.retry_after_s, decision.outcome.value)
        return None

    def feedback(self, source: str, algorithms: str) -> str:
        """The Via parameters for a caller that knows overload control, "" for others (RFC 7339).

        `algorithms` is its `oc-algo`, "" if it knows none.
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
        """Decide on a new call of a source, by what its class is worth."""
        assert self.control is not None
        call_class = classify_call(self._context, called_user, call_kind).call_class
        weight = call_class.priority_weight if call_class else 0.0
        return self.control.admit(RequestKind.NEW_CALL, source, weight, self._context.now())
