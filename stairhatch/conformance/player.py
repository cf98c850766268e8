"""Plays the steps of a case in an environment, in the role of the caller."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TypeVar

import msgspec

from stairhatch.conformance.caller_dialog import CallerDialog, CallerDialogs
from stairhatch.conformance.caller_flow import CallerFlow
from stairhatch.conformance.cases import Case
from stairhatch.conformance.environment import ConformanceEnvironment
from stairhatch.conformance.errors import CheckFailedError, ConformanceError
from stairhatch.conformance.inbox import Inbox, ReceivedMessage, check_body, check_headers
from stairhatch.conformance.request_writer import RequestWriter, WrittenRequest
from stairhatch.conformance.results import CaseResult
from stairhatch.conformance.steps import (
    CloseFlow,
    ExpectCount,
    ExpectPong,
    ExpectRequest,
    ExpectResponse,
    ExpectSilence,
    HeaderValues,
    PassTime,
    RequestStep,
    Retransmit,
    SendAck,
    SendRequest,
    SendText,
    Step,
)
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip import grammar

POLL_INTERVAL_S = 0.05
TIME_TOLERANCE_S = 1e-9  # a wait is over if less time than this remains
MAX_SHOWN_BYTES = 60  # of a sent message in the transcript
OTHER_FLOW_PREFIX = "other"  # a flow whose name begins with it uses the transport that the case does not
OTHER_TRANSPORT = {"tcp": "udp", "udp": "tcp"}
T = TypeVar("T")
_serials = count(1)  # keeps call ids and branches distinct among the cases of one process


def play(case: Case, environment: ConformanceEnvironment) -> CaseResult:
    """Play one case and return its result; the environment is closed in any case."""
    try:
        return CasePlayer(case, environment).play()
    finally:
        environment.close()


class CasePlayer:
    """The player of one case: holds the caller's flows and calls, and the messages received."""

    def __init__(self, case: Case, environment: ConformanceEnvironment) -> None:
        self._case = case
        self._environment = environment
        self._started_at = environment.now()
        serial = next(_serials)
        self._dialogs = CallerDialogs(case.id, serial)
        self._writer = RequestWriter(self._dialogs, serial)
        self._flows: dict[str, CallerFlow] = {}
        self._inbox = Inbox()
        self._transcript: list[str] = []

    def play(self) -> CaseResult:
        """Play the steps in order until one fails, and return the result; a failed step raises nothing."""
        result = CaseResult(case=self._case, transcript=self._transcript)
        try:
            for number, step in enumerate(self._case.steps, 1):
                result.step_number = number
                self._play_step(step, self._dialogs.get(step.call))
        except ConformanceError as error:
            result.failure = str(error)
        except (sip_parser.SipError, grammar.GrammarError, OSError, ValueError) as error:
            result.failure = f"{type(error).__name__}: {error}"
        result.duration_s = self._environment.now() - self._started_at
        return result

    def _play_step(self, step: Step, dialog: CallerDialog) -> None:
        match step:
            case PassTime():
                self._pass_time(step.duration_s)
            case SendRequest() | SendAck() | SendText() | Retransmit() | CloseFlow():
                self._play_caller_action(step, dialog)
            case _:
                self._check_expectation(step, dialog)

    def _play_caller_action(self, step: Step, dialog: CallerDialog) -> None:
        """Carry out a step in which the caller sends a message or closes a flow."""
        match step:
            case SendRequest():
                request = self._send_request(step.method, step, dialog)
                dialog.last_request, dialog.last_method = request.data, request.method
            case SendAck():
                self._send_ack(step, dialog)
            case SendText():
                self._send_text(step, dialog)
            case Retransmit():
                self._transmit(dialog.last_request, step.flow or dialog.flow)
            case CloseFlow():
                self._flow(step.flow).close()

    def _check_expectation(self, step: Step, dialog: CallerDialog) -> None:
        """Check the program's messages against a step. Raises CheckFailedError if they differ."""
        match step:
            case ExpectResponse():
                self._expect_response(step, dialog)
            case ExpectRequest():
                self._expect_request(step, dialog)
            case ExpectSilence():
                self._expect_silence(step, dialog)
            case ExpectCount():
                self._expect_count(step, dialog)
            case ExpectPong():
                self._expect_pong(step)

    # ---- messages that the caller sends ----

    def _flow(self, name: str) -> CallerFlow:
        """Return the flow with a name; it is opened at the first use of the name."""
        if name not in self._flows:
            transport = self._case.transport
            if name.startswith(OTHER_FLOW_PREFIX):
                transport = OTHER_TRANSPORT[transport]
            self._flows[name] = CallerFlow(name, self._environment.open(transport))
        return self._flows[name]

    def _send_request(self, method: str, step: RequestStep, dialog: CallerDialog) -> WrittenRequest:
        flow = self._flow(step.flow or dialog.flow)
        if step.number is not None:
            dialog.number = step.number
        request = self._writer.write(method, step, dialog, flow.transport)
        if method == "INVITE":
            dialog.invite_cseq, dialog.invite_branch = request.cseq, request.branch
            dialog.final_response = None
        dialog.flow = flow.name
        self._transmit(request.data, flow.name, step.piece_bytes)
        return request

    def _send_ack(self, step: SendAck, dialog: CallerDialog) -> None:
        """Send the ACK: to a 2xx with a new branch, else with the INVITE's branch (RFC 3261, 17.1.1.3).

        Raises CheckFailedError if the last INVITE has no final response.
        """
        if dialog.final_response is None:
            raise CheckFailedError(
                "no final response to the INVITE was received, so there is nothing to acknowledge"
            )
        branch, to_tag = "new", "theirs"
        if dialog.final_response.status >= 300:
            branch = "same"
            to_tag = sip.parameters(dialog.final_response.get("to")).get("tag", "none")
        step = msgspec.structs.replace(
            step,
            branch=branch if step.branch is None else step.branch,
            to_tag=to_tag if step.to_tag is None else step.to_tag,
        )
        self._send_request("ACK", step, dialog)

    def _send_text(self, step: SendText, dialog: CallerDialog) -> None:
        flow = self._flow(step.flow or dialog.flow)
        data = self._writer.write_text(step, dialog, flow.transport)
        dialog.last_request, dialog.flow = data, flow.name
        method = data.decode("utf-8", "surrogateescape").lstrip().split(" ", 1)[0]
        if method.isalpha() and method.isupper():
            dialog.last_method = method
        self._transmit(data, flow.name, step.piece_bytes)

    def _transmit(self, data: bytes, flow_name: str, piece_bytes: int = 0) -> None:
        flow = self._flow(flow_name)
        self._add_to_transcript(
            self._environment.now(), f"> {flow_name} {data[:MAX_SHOWN_BYTES].splitlines()[:1]}"
        )
        flow.send(data, piece_bytes)
        self._receive()

    # ---- messages that the program sends ----

    def _add_to_transcript(self, at_s: float, text: str) -> None:
        self._transcript.append(f"{at_s - self._started_at:8.3f} {text}")

    def _receive(self) -> None:
        """Add the messages received on all flows to the inbox."""
        for flow in self._flows.values():
            for received in flow.receive():
                self._record_received(received)

    def _record_received(self, received: ReceivedMessage) -> None:
        message = received.message
        self._inbox.add(received)
        summary = message.method or f"{message.status} {message.get('cseq')}"
        self._add_to_transcript(received.received_at_s, f"< {received.flow} {summary}")
        if not message.method:
            self._dialogs.record_response(message)

    def _wait_for(self, find: Callable[[], T | None], timeout_s: float) -> T | None:
        """Poll `find` for up to `timeout_s` and return its first result, None if it finds nothing."""
        end = self._environment.now() + timeout_s
        while True:
            self._receive()
            if (found := find()) is not None:
                return found
            remaining_s = end - self._environment.now()
            if remaining_s <= 0:
                return None
            self._environment.wait(min(POLL_INTERVAL_S, remaining_s))

    def _pass_time(self, seconds: float) -> None:
        end = self._environment.now() + seconds
        while (remaining_s := end - self._environment.now()) > TIME_TOLERANCE_S:
            self._environment.wait(remaining_s)
            self._receive()

    def _expect_response(self, step: ExpectResponse, dialog: CallerDialog) -> None:
        method = dialog.last_method if step.method is None else step.method
        received = self._wait_for(
            lambda: self._inbox.next_response(dialog, method, step.status), step.timeout_s
        )
        if received is None:
            raise CheckFailedError(f"no {step.status} to {method} was received within {step.timeout_s} s")
        received.claimed = True
        message = received.message
        if message.status != step.status:
            raise CheckFailedError(f"{message.status} received for {method}, expected {step.status}")
        _check_flow(step.flow, received, "it")
        if step.same_tag and sip.parameters(message.get("to")).get("tag") != dialog.to_tag:
            raise CheckFailedError("the To tag differs from the dialog's")
        check_headers(step.headers, message)
        check_body(step.body, message)

    def _expect_request(self, step: ExpectRequest, dialog: CallerDialog) -> None:
        received = self._wait_for(lambda: self._inbox.next_request(dialog, step.method), step.timeout_s)
        if received is None:
            raise CheckFailedError(f"no {step.method} was received within {step.timeout_s} s")
        received.claimed = True
        _check_flow(step.flow, received, step.method)
        # With `answer`, the step's headers are those of the answer to send.
        expected_headers = step.headers if step.answer is None else {}
        check_headers(expected_headers, received.message)
        check_body(step.body, received.message)
        if step.answer is not None:
            self._answer(received, step.answer, step.headers)

    def _answer(self, received: ReceivedMessage, status: int, headers: HeaderValues) -> None:
        lines = sip.echoed(received.message)
        for name, values in headers.items():
            lines += [(name.lower(), value) for value in (values if isinstance(values, list) else [values])]
        self._transmit(sip.response(status, lines), received.flow)

    def _expect_silence(self, step: ExpectSilence, dialog: CallerDialog) -> None:
        self._receive()
        count_before = len(self._inbox.select(dialog, step))
        self._pass_time(step.duration_s)
        selected = self._inbox.select(dialog, step)
        if len(selected) > count_before:
            message = selected[count_before].message
            raise CheckFailedError(f"{message.method or message.status} received, expected no message")

    def _expect_count(self, step: ExpectCount, dialog: CallerDialog) -> None:
        self._receive()
        found = len(self._inbox.select(dialog, step))
        if found != step.count:
            raise CheckFailedError(f"{found} messages received, expected {step.count}")

    def _expect_pong(self, step: ExpectPong) -> None:
        def flow_with_pong() -> CallerFlow | None:
            return next((flow for flow in self._flows.values() if flow.pongs), None)

        if self._wait_for(flow_with_pong, step.timeout_s) is None:
            raise CheckFailedError("no CRLF was received as the answer to a keep-alive")


def _check_flow(expected: str | None, received: ReceivedMessage, message_name: str) -> None:
    """Raise CheckFailedError if a message was received on a flow other than the expected one, if any."""
    if expected is not None and received.flow != expected:
        raise CheckFailedError(
            f"{message_name} was received on flow {received.flow}, expected on flow {expected}"
        )
