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

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.protocol import ConnectionProtocol, do_nothing
from stairhatch.overload.events import Availability

FIRST_WAIT_MS = 50  # the first answer tells at once whether what was known at the start is the whole list
HEARD_S = 1.5  # a coordinator that is not heard does not keep a softswitch that knows a list from serving
WAIT_MS = 2000  # what is missed by a silent stop is asked for again so much sooner than with the longest wait
WHOLE_S = WAIT_MS / 1000 + 0.7  # an answer that is not whole by then will not come on this connection
MOST_BODY = 4 * 1024 * 1024
TRIES = 3  # so often an answer with a line that can't be read is asked for, before the others are taken
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
SOON_S, PACE_S = 0.025, 0.1  # an answer that comes so soon and tells nothing new: the next question waits
STATES = {
    "in_service": Availability.READY,
    "terminating": Availability.DRAINING,
    "terminated": Availability.GONE,
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


def _listing(raw: dict[str, Any]) -> ServerRecord:
    return ServerRecord(
        instance=str(raw["instanceId"]),
        address=parse_address(str(raw["hostPort"])),
        number=int(raw["cell"]),
        availability=STATES[raw["lifecycle"]],
        started_at=float(raw.get("startedAtMs") or 0) / 1000,
    )


Change = tuple[int, list[ServerRecord], bool]


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
    except UNREADABLE as error:
        raise DirectoryError(f"directory event: {type(error).__name__}: {error}") from None
    return max(last, after), changes


def _raw(line: ServerRecord) -> dict[str, Any]:
    """A line as the coordinator tells it."""
    host, port = line.address
    return {
        "instanceId": line.instance, "hostPort": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        "cell": line.number, "lifecycle": "in_service", "startedAtMs": round(line.started_at * 1000),
    }  # fmt: skip


def pass_over_unread(core: CallManager, answer: Any, after: int) -> tuple[Any, str]:
    """An answer without the lines in it that can't be read, and what was passed over; DirectoryError if it is
    odd beyond that.

    In their place stands that their servers get nothing new until a line says so, and that what stands there
    goes on; only that a server is gone is believed of such a line. In a whole list a line without a name may
    be that of any server not named. Guards against set-ups to a server whose drain was told in such a line,
    which no rule allows; where it told that one is ready, the others bear its share meanwhile.
    """
    known = {
        name: _raw(server.record)
        for name, server in core.by_instance.items()
        if server.record.availability is not Availability.GONE
    }
    events, said = [], []
    try:
        for event in answer["updates"]:
            index, told = int(event["index"]), event.get("endpoints")
            if index <= after or told is None:
                events.append(event)
                continue
            lines: dict[str, Any] = {}
            unread: dict[str, str] = {}
            for raw in told["instances"]:
                try:
                    lines[_listing(raw).instance] = raw
                except UNREADABLE as error:
                    name = raw.get("instanceId") if isinstance(raw, dict) else None
                    name = name if isinstance(name, str) else ""
                    gone = bool(name) and raw.get("lifecycle") == "terminated"
                    unread[name] = "terminated" if gone else "terminating"
                    said.append(f"{name or 'a line'}: {type(error).__name__}: {error}"[:80])
            complete = bool(told.get("reset")) or after == 0
            if complete and "" in unread:
                unread = {**dict.fromkeys(known, "terminating"), **unread}
            held = {n: {**known[n], "lifecycle": unread[n]} for n in unread if n in known and n not in lines}
            known = {**({} if complete else known), **lines, **held}
            instances = [*lines.values(), *held.values()]
            events.append({**event, "endpoints": {**told, "instances": instances}})
            after = index
    except UNREADABLE as error:
        raise DirectoryError(f"directory event: {type(error).__name__}: {error}") from None
    return {**answer, "updates": events}, "; ".join(said[:4])


def apply_events(core: CallManager, answer: Any, after: int) -> int:
    """Tell the core what is new; returns the number of the last event. An odd answer changes nothing."""
    last, changes = read_events(answer, after)
    for _, lines, complete in changes:
        core.list_servers(lines, complete)
    return last


class Directory(ConnectionProtocol):
    """The subscription. A broken or odd answer ends the connection; the driver comes again."""

    def __init__(self, core: CallManager, address: tuple[str, int], after: int) -> None:
        super().__init__()
        self.core, self.address, self.after = core, address, after
        self.answers = 0
        self.told_at = core.clock()  # when the last whole answer came
        self.hurry: Callable[[], None] = do_nothing  # come at once, set by the driver
        self.told: Callable[[Any], None] | None = None  # hears each answer that has been taken in
        self.may_ask: Callable[[], bool] | None = None  # whether it is this softswitch's turn to ask
        self._asked, self._asked_at = 0, 0.0
        self._odd = 0  # answers since the last that could be taken
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
            self._take(answer, pass_over=True)
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
        self.notify_writable()

    def _ask_again(self, asked: int) -> None:
        """Guards against a coordinator that answers at once though nothing is new: a core went to that."""
        if asked == self._asked and self._parser is not None and not self.closing:
            self._ask()

    def _take(self, answer: Any, pass_over: bool) -> Any:
        """Take an answer in, and return it as it was taken. One with a line that can't be read is asked for
        again, since it may have been spoilt on its way; where it stays so the other lines are taken.

        Guards against a list that stands still for one line of it: drains told in the others went unheard.
        """
        self._odd += 1
        said = ""
        if pass_over:
            answer, said = pass_over_unread(self.core, answer, self.after)
        self.after = apply_events(self.core, answer, self.after)
        self._odd = 0
        if said:
            self.core.counters.add("directory_lines_unread")
            self.core.log("directory", why=f"passed over, nothing new goes there: {said}")
        return answer

    def _look_at_number(self, index: int) -> None:
        """A coordinator that has lost its memory counts from an older number: what is known is kept, and the
        number asked for too, so that nothing is taken twice; whoever is on call is told.
        """
        older = index < self.after
        if older and not self._older:
            self.core.counters.add("directory_older")
            self.core.log("directory", why=f"its number {index} is older than {self.after}, which is kept")
        self._older = older

    def data_to_send(self) -> bytes:
        """What is to be written."""
        data, self._output = self._output, b""
        return data

    def connection_lost(self) -> None:
        """The connection has ended."""
        self._parser = None

    def receive_data(self, data: bytes | memoryview) -> None:
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
            self.notify_writable()

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
        answer = self._take(answer, pass_over=self._odd >= TRIES - 1)
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
            self.notify_writable()
