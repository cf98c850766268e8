"""The coordinator's directory: owns the long poll for changes of the list of roster servers and its HTTP, as
a state machine that is fed bytes and hands bytes out. It must never know a socket, never skip an event, and
never judge a server: it only says what the list says.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

import httptools

from stairhatch.interface import Standing
from stairhatch.node.core import Core, Listing, Machine, idle

FIRST_WAIT_MS = 50  # the first answer tells at once whether what was known at the start is the whole list
HEARD_S = 1.5  # a coordinator that is not heard does not keep a softswitch that knows a list from serving
WAIT_MS = 2000  # what is missed by a silent stop is asked for again so much sooner than with the longest wait
WHOLE_S = WAIT_MS / 1000 + 0.7  # an answer that is not whole by then will not come on this connection
MOST_BODY = 4 * 1024 * 1024
SOON_S, PACE_S = 0.025, 0.1  # an answer that comes so soon and tells nothing new: the next question waits
STATES = {
    "in_service": Standing.READY,
    "terminating": Standing.DRAINING,
    "terminated": Standing.GONE,
}


class DirectoryError(ValueError):
    """An answer that is not the directory's."""


def parse_address(text: object) -> tuple[str, int]:
    """`host:port`, with IPv6 in brackets."""
    host, _, port = str(text).rpartition(":")
    if ":" in host:
        host = host[1:-1] if host[0] == "[" and host[-1] == "]" else ""
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise DirectoryError(f"{text!r} is no address")
    return host, int(port)


def _listing(raw: dict[str, Any]) -> Listing:
    return Listing(
        instance=str(raw["instanceId"]),
        address=parse_address(str(raw["hostPort"])),
        number=int(raw["cell"]),
        standing=STATES[raw["lifecycle"]],
        started_s=float(raw.get("startedAtMs") or 0) / 1000,
    )


Change = tuple[int, list[Listing], bool]


def read_events(answer: Any, after: int) -> tuple[int, list[Change]]:
    """The number of the last event, and what is new in an answer or `known`; DirectoryError if it is odd."""
    try:
        last, changes = int(answer["index"]), []
        for event in answer["updates"]:
            index, told = int(event["index"]), event.get("endpoints")
            if index > after and told is not None:
                lines = [_listing(raw) for raw in told["instances"]]
                changes.append((index, lines, bool(told.get("reset")) or after == 0))
            after = max(after, index)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DirectoryError(f"directory event: {type(error).__name__}: {error}") from None
    return max(last, after), changes


def apply_events(core: Core, answer: Any, after: int) -> int:
    """Tell the core what is new; returns the number of the last event. An odd answer changes nothing."""
    last, changes = read_events(answer, after)
    for _, lines, complete in changes:
        core.list_servers(lines, complete)
    return last


class Directory(Machine):
    """The subscription. A broken or odd answer ends the connection; the driver comes again."""

    def __init__(self, core: Core, address: tuple[str, int], after: int) -> None:
        super().__init__()
        self.core, self.address, self.after = core, address, after
        self.answers = 0
        self.told_at = core.clock()  # when the last whole answer came
        self.hurry: Callable[[], None] = idle  # come at once, set by the driver
        self.told: Callable[[Any], None] | None = None  # hears each answer that has been taken in
        self.may_ask: Callable[[], bool] | None = None  # whether it is this softswitch's turn to ask
        self._asked, self._asked_at = 0, 0.0
        self._older = False  # the last answer's number was below what is known
        self._parser: Any = None
        self._output = b""
        self._body = bytearray()
        core.at(core.clock() + HEARD_S, self._unheard)

    def _unheard(self) -> None:
        """No answer so far: what was known at the start has to do."""
        self.core.list_known = True

    def move(self, address: tuple[str, int]) -> None:
        """Another coordinator goes on with the same numbers: leave the old one, whatever it still holds."""
        self.address = address
        self.abort()
        self.hurry()

    def rests(self) -> bool:
        """Whether somebody else asks, and hands on what is new."""
        return self.may_ask is not None and not self.may_ask()

    def handed(self, answer: Any) -> None:
        """The list came from whoever asks for all. What is odd changes nothing, what is old neither."""
        try:
            self.after = apply_events(self.core, answer, self.after)
        except DirectoryError as error:
            self.core.log("directory", why=f"handed on: {error}")
            return
        self.core.list_known = True
        self.told_at = self.core.clock()

    def connected(self) -> None:
        """A connection has come up."""
        self.closing = False
        self._ask()

    def _stalled(self, asked: int) -> None:
        """No whole answer came in time.

        Guards against a coordinator that stops, also in mid-event, and leaves the connection open: changes
        count as told 2 s after the wait that was asked for.
        """
        if asked == self._asked and self._parser is not None:
            self.core.counters.add("directory_stalls")
            self.core.log("directory", why="no whole answer in time")
            self.abort()

    def _ask(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._asked, self._asked_at = self._asked + 1, self.core.clock()
        self.core.at(self._asked_at + WHOLE_S, partial(self._stalled, self._asked))
        wait_ms = WAIT_MS if self.core.list_known else FIRST_WAIT_MS
        path = f"/v2/stream?follow={self.after}&wait_ms={wait_ms}"
        host = f"{self.address[0]}:{self.address[1]}"
        self._output = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.wake()

    def _ask_again(self, asked: int) -> None:
        """Guards against a coordinator that answers at once though nothing is new: a core went to that."""
        if asked == self._asked and self._parser is not None and not self.closing:
            self._ask()

    def _look_at_number(self, index: int) -> None:
        """A coordinator that has lost its memory counts from an older number: what is known is kept, and the
        number asked for too, so that nothing is taken twice; whoever is on call is told.
        """
        older = index < self.after
        if older and not self._older:
            self.core.counters.add("directory_older")
            self.core.log("directory", why=f"its number {index} is older than {self.after}, which is kept")
        self._older = older

    def pull(self) -> bytes:
        """What is to be written."""
        data, self._output = self._output, b""
        return data

    def lost(self) -> None:
        """The connection has ended."""
        self._parser = None

    def receive(self, data: bytes | memoryview) -> None:
        """Bytes from the coordinator."""
        if self.closing:
            return
        try:
            self._parser.feed_data(bytes(data))
        except (httptools.HttpParserError, DirectoryError) as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
            self.core.counters.add("directory_faults")
            self.core.log("directory", why=str(cause or error))
            self.closing = True
            self.wake()

    def on_body(self, body: bytes) -> None:
        """Part of an answer."""
        self._body += body
        if len(self._body) > MOST_BODY:
            raise DirectoryError("answer too long")

    def on_message_complete(self) -> None:
        """A whole answer: tell the news and ask for more."""
        status = self._parser.get_status_code()
        if status != 200:
            raise DirectoryError(f"status {status}")
        try:
            answer = json.loads(self._body)
        except ValueError:
            raise DirectoryError("answer is no JSON") from None
        keep, before = self._parser.should_keep_alive(), self.after
        self.after = apply_events(self.core, answer, self.after)
        self._look_at_number(int(answer["index"]))
        self.answers, self.told_at = self.answers + 1, self.core.clock()
        self.core.list_known = True
        self.core.counters.add("directory_answers")
        if self.told is not None:
            self.told(answer)
        now = self.core.clock()
        idle_turn = self.after == before and now < self._asked_at + SOON_S and self.answers > 1
        if keep and not self.rests() and idle_turn:
            self.core.at(now + PACE_S, partial(self._ask_again, self._asked))
        elif keep and not self.rests():
            self._ask()
        else:
            self.closing = True
            self.wake()
