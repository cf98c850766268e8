"""The service discovery client, which long-polls the coordinator for changes of the endpoint list.

The client is a sans-I/O protocol of HTTP/1.1: the driver (`stairhatch.node.io`) connects and transfers the
bytes. A stalled or invalid answer ends the connection, and the driver connects again; the last known list
stays in force until then. `stairhatch.node.endpoint_list` parses the answers. Log event: `service_discovery`;
counters: `discovery_...`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

import httptools

from stairhatch.node.call_manager import CallManager
from stairhatch.node.endpoint_list import ServiceDiscoveryError, apply_answer
from stairhatch.node.endpoint_list_repair import skip_unreadable
from stairhatch.node.protocol import ConnectionProtocol, do_nothing

FIRST_POLL_WAIT_MS = 50  # the first answer confirms whether the known servers are the complete list
POLL_WAIT_MS = 2000  # below the coordinator's maximum, to detect a stalled connection sooner
ANSWER_MARGIN_S = 0.7  # beyond the wait; a complete answer that takes longer is given up
ANSWER_TIMEOUT_S = POLL_WAIT_MS / 1000 + ANSWER_MARGIN_S
PATIENT_POLL_WAIT_MS = 3000  # for every second poll while answers are late, since the coordinator may be slow
PATIENT_ANSWER_TIMEOUT_S = 4.5  # less than 2 s beyond the wait, as changes count as notified by then
FIRST_ANSWER_TIMEOUT_S = 1.5  # then a softswitch that has a list serves without the coordinator
IMMEDIATE_ANSWER_S = 0.025  # a faster answer without events means that the coordinator does not hold polls
EMPTY_ANSWER_PAUSE_S = 0.1  # pause before the next request after such an answer
HTTP_OK = 200
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_REQUESTS = 3  # in all for an answer with an unreadable line; then its other lines are applied


def _with_events(answer: Any) -> Any:
    """Return an answer with an empty list of events if it has none, which tells that nothing has changed."""
    if isinstance(answer, dict) and answer.get("updates") is None:
        return {**answer, "updates": []}
    return answer


class ServiceDiscoveryClient(ConnectionProtocol):
    """The client protocol that polls one coordinator.

    The driver sets `reconnect_now`; `on_answer` and `may_poll` are set if one softswitch polls for several
    (`stairhatch.fleet`).
    """

    def __init__(self, call_manager: CallManager, address: tuple[str, int], after: int) -> None:
        """Create a client for a coordinator's address; `after` is the index of the last known event."""
        super().__init__()
        self.call_manager = call_manager
        self.address = address
        self.last_index = after
        self.answers_received = 0
        self.last_answer_at = call_manager.clock()
        self.reconnect_now: Callable[[], None] = do_nothing
        self.on_answer: Callable[[Any], None] | None = None  # called with each answer that has been applied
        self.may_poll: Callable[[], bool] | None = None  # returns whether this softswitch polls
        self._request_number = 0
        self._requested_at = 0.0
        self._unusable_answers = 0  # consecutive answers that could not be applied
        self._is_behind = False  # the index of the last answer was below `last_index`
        self._is_patient = False  # the last answer was late, so the next poll waits longer
        self._unreachable_since: float | None = None  # first failed dial since the last complete answer
        self._parser: Any = None  # parser of the current answer; None: not connected
        self._body = bytearray()
        self._output = b""
        call_manager.timers.schedule(
            call_manager.clock() + FIRST_ANSWER_TIMEOUT_S, self._first_answer_overdue
        )

    def _first_answer_overdue(self) -> None:
        """Serve with the servers known at the start, since the coordinator has not answered in time."""
        self.call_manager.readiness.list_known = True

    # ---- control by the fleet ----

    def switch_coordinator(self, address: tuple[str, int]) -> None:
        """Poll another coordinator, which uses the same event indexes, and end the current connection."""
        self.address = address
        self.abort()
        self.reconnect_now()

    def is_paused(self) -> bool:
        """Return whether another softswitch polls and relays the answers."""
        return self.may_poll is not None and not self.may_poll()

    def accept_relayed(self, answer: Any) -> None:
        """Apply an answer that another softswitch has polled; an invalid or old answer changes nothing."""
        try:
            self._apply(answer, skip_lines=True)
        except ServiceDiscoveryError as error:
            self._log(f"the relayed answer is invalid: {error}")
            return
        self.call_manager.readiness.list_known = True
        self.last_answer_at = self.call_manager.servers.list_confirmed_at = self.call_manager.clock()

    def confirm_relayed(self) -> None:
        """Note that the polling softswitch has confirmed the list without changes."""
        self.call_manager.servers.list_confirmed_at = self.call_manager.clock()

    # ---- sending requests ----

    def connected(self) -> None:
        """Send the first request on a new connection."""
        self.closing = False
        self._request()

    def connect_failed(self, error: OSError) -> None:
        """Count a failed dial to the coordinator, and log the first one since its last complete answer."""
        self.call_manager.counters.add("discovery_unreachable")
        if self._unreachable_since is None:
            self._unreachable_since = self.call_manager.clock()
            self._log(f"unreachable at event {self.last_index}: {type(error).__name__}: {error}")

    def _request(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._request_number += 1
        self._requested_at = self.call_manager.clock()
        timeout_s = PATIENT_ANSWER_TIMEOUT_S if self._is_patient else ANSWER_TIMEOUT_S
        overdue_at = self._requested_at + timeout_s
        self.call_manager.timers.schedule(overdue_at, partial(self._answer_overdue, self._request_number))
        wait_ms = self._poll_wait_ms()
        path = f"/v2/stream?follow={self.last_index}&wait_ms={wait_ms}"
        host = f"{self.address[0]}:{self.address[1]}"
        self._output = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.notify_writable()

    def _poll_wait_ms(self) -> int:
        if not self.call_manager.readiness.list_known:
            return FIRST_POLL_WAIT_MS
        return PATIENT_POLL_WAIT_MS if self._is_patient else POLL_WAIT_MS

    def _is_awaiting(self, request_number: int) -> bool:
        return request_number == self._request_number and self._parser is not None

    def _answer_overdue(self, request_number: int) -> None:
        """End the connection if a request has no complete answer yet.

        A coordinator may stop, even in the middle of an event, and leave the connection open, although
        changes count as notified 2 s after the requested wait.
        """
        if self._is_awaiting(request_number):
            self.call_manager.counters.add("discovery_stalls")
            self._is_patient = not self._is_patient
            self._log("the coordinator sent no complete answer in time")
            self.abort()

    def _request_after_pause(self, request_number: int) -> None:
        if self._is_awaiting(request_number) and not self.closing:
            self._request()

    # ---- applying answers ----

    def _apply(self, answer: Any, skip_lines: bool) -> Any:
        """Apply an answer, and return it in the form in which it was applied.

        An answer with an unreadable line is requested again, since it may have been corrupted in transit. If
        it stays unreadable, its other lines are applied (`skip_lines`): one bad line must not delay the
        drains that they notify. Raises ServiceDiscoveryError if the answer cannot be applied.
        """
        self._unusable_answers += 1
        answer = _with_events(answer)
        skipped = ""
        if skip_lines:
            readable = skip_unreadable(self.call_manager, answer, self.last_index)
            answer = readable.answer
            skipped = readable.skipped
        self.last_index = apply_answer(self.call_manager, answer, self.last_index)
        self._unusable_answers = 0
        if skipped:
            self.call_manager.counters.add("discovery_lines_skipped")
            self._log(f"unreadable lines skipped; their servers get no new calls: {skipped}")
        return answer

    def _check_index(self, index: int) -> None:
        """Log once if the coordinator has lost its state and its event index is below the last known one.

        The list and the index that is polled for are kept, so that no event is applied twice.
        """
        is_behind = index < self.last_index
        if is_behind and not self._is_behind:
            self.call_manager.counters.add("discovery_index_behind")
            self._log(f"the coordinator's index {index} is below {self.last_index}, which is kept")
        self._is_behind = is_behind

    def _log(self, reason: str) -> None:
        self.call_manager.log("service_discovery", why=reason)

    # ---- calls from the driver and the HTTP parser ----

    def data_to_send(self) -> bytes:
        """Return the request if it has not been written yet, else nothing."""
        data = self._output
        self._output = b""
        return data

    def connection_lost(self) -> None:
        """Discard the partly received answer of the lost connection."""
        self._parser = None

    def receive_data(self, data: bytes | memoryview) -> None:
        """Parse bytes of an answer; close the connection if they are not a valid answer of a coordinator."""
        if self.closing:
            return
        try:
            self._parser.feed_data(bytes(data))
        except (httptools.HttpParserError, ServiceDiscoveryError) as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
            self.call_manager.counters.add("discovery_faults")
            self._log(str(cause or error))
            self.closing = True
            self.notify_writable()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body (httptools callback); raise ServiceDiscoveryError if it is too long."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise ServiceDiscoveryError("the answer is longer than 4 MiB")

    def on_message_complete(self) -> None:
        """Apply a complete answer, then poll again or close the connection (httptools callback)."""
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
            next_at = self.call_manager.clock() + EMPTY_ANSWER_PAUSE_S
            self.call_manager.timers.schedule(
                next_at, partial(self._request_after_pause, self._request_number)
            )
        else:
            self._request()

    def _note_complete_answer(self) -> None:
        now = self.call_manager.clock()
        self.answers_received += 1
        self._is_patient = False
        self.last_answer_at = self.call_manager.servers.list_confirmed_at = now
        self.call_manager.readiness.list_known = True
        self.call_manager.counters.add("discovery_answers")
        if self._unreachable_since is not None:
            self._log(f"reachable again after {now - self._unreachable_since:.1f} s, event {self.last_index}")
            self._unreachable_since = None

    def _decoded(self) -> Any:
        status = self._parser.get_status_code()
        if status != HTTP_OK:
            raise ServiceDiscoveryError(f"the HTTP status is {status}")
        try:
            return json.loads(self._body)
        except ValueError as error:
            raise ServiceDiscoveryError("the answer is not JSON") from error

    def _was_immediate_and_empty(self, index_before: int) -> bool:
        """Return whether the answer came at once without new events, and is not the first one."""
        return (
            self.last_index == index_before
            and self.call_manager.clock() < self._requested_at + IMMEDIATE_ANSWER_S
            and self.answers_received > 1
        )
