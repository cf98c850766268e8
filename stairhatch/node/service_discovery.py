"""The service discovery client: long polls of the coordinator for changes of the list of call servers.

A sans-I/O protocol of HTTP/1.1: the driver (`stairhatch.node.io`) connects and carries the bytes. A
stalled or odd answer ends the connection, and the driver connects again; what was known stays in force
meanwhile. What an answer holds is read in `stairhatch.node.endpoint_list`. Log event:
`service_discovery`; counters: `discovery_...`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

import httptools

from stairhatch.node.call_manager import CallManager
from stairhatch.node.endpoint_list import ServiceDiscoveryError, apply_answer, skip_unreadable
from stairhatch.node.protocol import ConnectionProtocol, do_nothing

FIRST_POLL_WAIT_MS = 50  # the first answer shows at once whether the known servers are the complete list
POLL_WAIT_MS = 2000  # shorter than the coordinator allows, so that a stalled connection is found sooner
ANSWER_MARGIN_S = 0.7  # beyond that wait; a complete answer that takes longer will not come here
ANSWER_TIMEOUT_S = POLL_WAIT_MS / 1000 + ANSWER_MARGIN_S
PATIENT_POLL_WAIT_MS = 3000  # after an answer that did not come in time the coordinator may be slow:
PATIENT_ANSWER_TIMEOUT_S = 4.5  # every second poll waits longer, and less than 2 s beyond what it asks for
FIRST_ANSWER_TIMEOUT_S = 1.5  # then a softswitch that knows some servers serves without a coordinator
IMMEDIATE_ANSWER_S = 0.025  # an answer that comes so soon, and brings nothing new,
EMPTY_ANSWER_PAUSE_S = 0.1  # makes the next request wait: the coordinator does not hold polls back
HTTP_OK = 200
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_REQUESTS = 3  # for an answer with an unreadable line; then its other lines are taken


class ServiceDiscoveryClient(ConnectionProtocol):
    """The subscription to one coordinator.

    The driver sets `reconnect_now`; `on_answer` and `may_poll` are set where one softswitch polls for several
    (`stairhatch.fleet`).
    """

    def __init__(self, core: CallManager, address: tuple[str, int], after: int) -> None:
        """`after` is the index of the last event that is known."""
        super().__init__()
        self.core = core
        self.address = address
        self.last_index = after
        self.answers_received = 0
        self.last_answer_at = core.clock()
        self.reconnect_now: Callable[[], None] = do_nothing
        self.on_answer: Callable[[Any], None] | None = None  # called with each answer that has been applied
        self.may_poll: Callable[[], bool] | None = None  # whether it is this softswitch that polls
        self._request_number = 0
        self._requested_at = 0.0
        self._unusable_answers = 0  # since the last one that could be applied
        self._is_behind = False  # the last answer's index was below what is known
        self._is_patient = False  # the last answer was given up as too late: the next is awaited longer
        self._unreachable_since: float | None = (
            None  # when the first dial failed, none having succeeded since
        )
        self._parser: Any = None  # of the answer under way; None: not connected
        self._body = bytearray()
        self._output = b""
        core.timers.schedule(core.clock() + FIRST_ANSWER_TIMEOUT_S, self._first_answer_overdue)

    def _first_answer_overdue(self) -> None:
        """What was known at the start has to do."""
        self.core.readiness.list_known = True

    # ---- what others ask of it ----

    def switch_coordinator(self, address: tuple[str, int]) -> None:
        """Go on at another coordinator, which counts events alike; the old one is left at once."""
        self.address = address
        self.abort()
        self.reconnect_now()

    def is_paused(self) -> bool:
        """Return whether another softswitch polls, and relays what is new."""
        return self.may_poll is not None and not self.may_poll()

    def accept_relayed(self, answer: Any) -> None:
        """Apply an answer that another softswitch has polled. An odd or old one changes nothing."""
        try:
            self._apply(answer, skip_lines=True)
        except ServiceDiscoveryError as error:
            self._log(f"handed on: {error}")
            return
        self.core.readiness.list_known = True
        self.last_answer_at = self.core.servers.list_confirmed_at = self.core.clock()

    def confirm_relayed(self) -> None:
        """Another softswitch, which polls, has nothing new: the list holds."""
        self.core.servers.list_confirmed_at = self.core.clock()

    # ---- requests ----

    def connected(self) -> None:
        """Begin to poll on a new connection."""
        self.closing = False
        self._request()

    def connect_failed(self, error: OSError) -> None:
        """The coordinator could not be reached; logged once until it answers again."""
        self.core.counters.add("discovery_unreachable")
        if self._unreachable_since is None:
            self._unreachable_since = self.core.clock()
            self._log(f"unreachable at event {self.last_index}: {type(error).__name__}: {error}")

    def _request(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._request_number += 1
        self._requested_at = self.core.clock()
        timeout_s = PATIENT_ANSWER_TIMEOUT_S if self._is_patient else ANSWER_TIMEOUT_S
        overdue_at = self._requested_at + timeout_s
        self.core.timers.schedule(overdue_at, partial(self._answer_overdue, self._request_number))
        wait_ms = self._poll_wait_ms()
        path = f"/v2/stream?follow={self.last_index}&wait_ms={wait_ms}"
        host = f"{self.address[0]}:{self.address[1]}"
        self._output = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.notify_writable()

    def _poll_wait_ms(self) -> int:
        if not self.core.readiness.list_known:
            return FIRST_POLL_WAIT_MS
        return PATIENT_POLL_WAIT_MS if self._is_patient else POLL_WAIT_MS

    def _is_awaiting(self, request_number: int) -> bool:
        return request_number == self._request_number and self._parser is not None

    def _answer_overdue(self, request_number: int) -> None:
        """End the connection if a request has no complete answer yet.

        A coordinator may stop, also in mid-event, and leave the connection open, while changes count as
        notified 2 s after the wait that was asked for.
        """
        if self._is_awaiting(request_number):
            self.core.counters.add("discovery_stalls")
            self._is_patient = not self._is_patient
            self._log("no whole answer in time")
            self.abort()

    def _request_after_pause(self, request_number: int) -> None:
        if self._is_awaiting(request_number) and not self.closing:
            self._request()

    # ---- answers ----

    def _apply(self, answer: Any, skip_lines: bool) -> Any:
        """Apply an answer; return it as it was applied.

        One with an unreadable line is requested again, since it may have been corrupted on its way. Where it
        stays so the other lines are taken (`skip_lines`): their drains must not wait for one bad line.
        """
        self._unusable_answers += 1
        skipped = ""
        if skip_lines:
            readable = skip_unreadable(self.core, answer, self.last_index)
            answer = readable.answer
            skipped = readable.skipped
        self.last_index = apply_answer(self.core, answer, self.last_index)
        self._unusable_answers = 0
        if skipped:
            self.core.counters.add("discovery_lines_skipped")
            self._log(f"passed over, nothing new goes there: {skipped}")
        return answer

    def _check_index(self, index: int) -> None:
        """Say once if the coordinator has lost its memory and counts from an older index.

        What is known stays, and so does the index that is polled for: no event is applied twice.
        """
        is_behind = index < self.last_index
        if is_behind and not self._is_behind:
            self.core.counters.add("discovery_index_behind")
            self._log(f"its number {index} is older than {self.last_index}, which is kept")
        self._is_behind = is_behind

    def _log(self, reason: str) -> None:
        self.core.log("service_discovery", why=reason)

    # ---- the connection ----

    def data_to_send(self) -> bytes:
        """Return the request that has not been written yet."""
        data = self._output
        self._output = b""
        return data

    def connection_lost(self) -> None:
        """Forget the answer under way."""
        self._parser = None

    def receive_data(self, data: bytes | memoryview) -> None:
        """Take bytes of an answer. What is no answer of a coordinator ends the connection."""
        if self.closing:
            return
        try:
            self._parser.feed_data(bytes(data))
        except (httptools.HttpParserError, ServiceDiscoveryError) as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
            self.core.counters.add("discovery_faults")
            self._log(str(cause or error))
            self.closing = True
            self.notify_writable()

    def on_body(self, body: bytes) -> None:
        """Collect the body; httptools calls this."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise ServiceDiscoveryError("answer too long")

    def on_message_complete(self) -> None:
        """Apply a complete answer and poll again; httptools calls this."""
        keep_alive = self._parser.should_keep_alive()
        index_before = self.last_index
        answer = self._apply(self._decoded(), skip_lines=self._unusable_answers >= MAX_REQUESTS - 1)
        self._check_index(int(answer["index"]))
        self._note_complete_answer()
        if self.on_answer is not None:
            self.on_answer(answer)
        if not keep_alive or self.is_paused():
            self.closing = True
            self.notify_writable()
        elif self._was_immediate_and_empty(index_before):
            next_at = self.core.clock() + EMPTY_ANSWER_PAUSE_S
            self.core.timers.schedule(next_at, partial(self._request_after_pause, self._request_number))
        else:
            self._request()

    def _note_complete_answer(self) -> None:
        now = self.core.clock()
        self.answers_received += 1
        self._is_patient = False
        self.last_answer_at = self.core.servers.list_confirmed_at = now
        self.core.readiness.list_known = True
        self.core.counters.add("discovery_answers")
        if self._unreachable_since is not None:
            self._log(f"answers again after {now - self._unreachable_since:.1f} s, event {self.last_index}")
            self._unreachable_since = None

    def _decoded(self) -> Any:
        status = self._parser.get_status_code()
        if status != HTTP_OK:
            raise ServiceDiscoveryError(f"status {status}")
        try:
            return json.loads(self._body)
        except ValueError as error:
            raise ServiceDiscoveryError("answer is no JSON") from error

    def _was_immediate_and_empty(self, index_before: int) -> bool:
        """Return whether the answer brought nothing new and came at once, and is not the first."""
        return (
            self.last_index == index_before
            and self.core.clock() < self._requested_at + IMMEDIATE_ANSWER_S
            and self.answers_received > 1
        )
