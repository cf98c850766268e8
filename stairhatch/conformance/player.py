"""Plays a case in an environment, as the caller that the case describes."""

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
TIME_TOLERANCE_S = 1e-9
SHOWN_BYTES = 60  # of a message in the transcript
OTHER_FLOW = "other"  # flows whose names begin so have the other transport
OTHER_TRANSPORT = {"tcp": "udp", "udp": "tcp"}
T = TypeVar("T")
_serials = count(1)  # distinguishes the calls of the cases of one run


def play(case: Case, environment: ConformanceEnvironment) -> CaseResult:
    """Play one case; the environment is closed behind it."""
    try:
        return CasePlayer(case, environment).play()
    finally:
        environment.close()


class CasePlayer:
    """One case while it is played: the caller's flows and calls, and what has come."""

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
        """Play all steps; the first that fails ends the case."""
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
                self._act(step, dialog)
            case _:
                self._expect(step, dialog)

    def _act(self, step: Step, dialog: CallerDialog) -> None:
        """Do what the caller does in a step."""
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

    def _expect(self, step: Step, dialog: CallerDialog) -> None:
        """Hold what comes against a step. Raises CheckFailedError."""
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

    # ---- what the caller sends ----

    def _flow(self, name: str) -> CallerFlow:
        """Return a flow; it is opened when it is first named."""
        if name not in self._flows:
            transport = self._case.transport
            if name.startswith(OTHER_FLOW):
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
        """Send the ACK: to a 2xx on its own, else within the INVITE's transaction (RFC 3261, 17.1.1.3)."""
        if dialog.final_response is None:
            raise CheckFailedError("there was no final answer to acknowledge")
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
        self._note(self._environment.now(), f"> {flow_name} {data[:SHOWN_BYTES].splitlines()[:1]}")
        flow.send(data, piece_bytes)
        self._receive()

    # ---- what comes ----

    def _note(self, at_s: float, text: str) -> None:
        self._transcript.append(f"{at_s - self._started_at:8.3f} {text}")

    def _receive(self) -> None:
        """Take in what has come on all flows."""
        for flow in self._flows.values():
            for received in flow.receive():
                self._take(received)

    def _take(self, received: ReceivedMessage) -> None:
        message = received.message
        self._inbox.add(received)
        shown = message.method or f"{message.status} {message.get('cseq')}"
        self._note(received.at_s, f"< {received.flow} {shown}")
        if not message.method:
            self._dialogs.take_response(message)

    def _wait_for(self, find: Callable[[], T | None], timeout_s: float) -> T | None:
        """Return what is found within so long, None if nothing is."""
        end = self._environment.now() + timeout_s
        while True:
            self._receive()
            if (found := find()) is not None:
                return found
            left = end - self._environment.now()
            if left <= 0:
                return None
            self._environment.wait(min(POLL_INTERVAL_S, left))

    def _pass_time(self, seconds: float) -> None:
        end = self._environment.now() + seconds
        while (left := end - self._environment.now()) > TIME_TOLERANCE_S:
            self._environment.wait(left)
            self._receive()

    def _expect_response(self, step: ExpectResponse, dialog: CallerDialog) -> None:
        method = dialog.last_method if step.method is None else step.method
        received = self._wait_for(
            lambda: self._inbox.next_response(dialog, method, step.status), step.timeout_s
        )
        if received is None:
            raise CheckFailedError(f"no {step.status} to {method} came in {step.timeout_s} s")
        received.claimed = True
        message = received.message
        if message.status != step.status:
            raise CheckFailedError(f"{message.status} came for {method}, not {step.status}")
        _check_flow(step.flow, received, "it")
        if step.same_tag and sip.parameters(message.get("to")).get("tag") != dialog.to_tag:
            raise CheckFailedError("it has another To tag")
        check_headers(step.headers, message)
        check_body(step.body, message)

    def _expect_request(self, step: ExpectRequest, dialog: CallerDialog) -> None:
        received = self._wait_for(lambda: self._inbox.next_request(dialog, step.method), step.timeout_s)
        if received is None:
            raise CheckFailedError(f"no {step.method} came in {step.timeout_s} s")
        received.claimed = True
        _check_flow(step.flow, received, step.method)
        expected_headers = step.headers if step.answer is None else {}  # else they are the answer's
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
        before = len(self._inbox.select(dialog, step))
        self._pass_time(step.duration_s)
        selected = self._inbox.select(dialog, step)
        if len(selected) > before:
            message = selected[before].message
            raise CheckFailedError(f"{message.method or message.status} came where nothing must")

    def _expect_count(self, step: ExpectCount, dialog: CallerDialog) -> None:
        self._receive()
        found = len(self._inbox.select(dialog, step))
        if found != step.count:
            raise CheckFailedError(f"{found} came, not {step.count}")

    def _expect_pong(self, step: ExpectPong) -> None:
        def flow_with_pong() -> CallerFlow | None:
            return next((flow for flow in self._flows.values() if flow.pongs), None)

        if self._wait_for(flow_with_pong, step.timeout_s) is None:
            raise CheckFailedError("no CRLF came for a ping")


def _check_flow(expected: str | None, received: ReceivedMessage, what: str) -> None:
    if expected is not None and received.flow != expected:
        raise CheckFailedError(f"{what} came by {received.flow}, not by {expected}")
