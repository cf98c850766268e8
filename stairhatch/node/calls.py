"""The records of calls, attempts and roster servers, and the registry of the calls that are open.

They are shared by the call manager, the frontends and the server connections.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from itertools import count
from typing import NamedTuple, Protocol

from stairhatch.overload.events import Availability
from stairhatch.overload.settings import CallClass

TERMINATED_KEPT_S = 40.0  # how long the id of a terminated call is remembered, to recognize late messages
MAX_TERMINATED_KEPT = 20_000  # how many of them


class ReleaseCause(IntEnum):
    """Causes of a release that mean something here (ITU-T Q.850)."""

    NORMAL_CLEARING = 16
    USER_BUSY = 17
    NO_CIRCUIT_AVAILABLE = 34
    TEMPORARY_FAILURE = 41
    RESOURCE_UNAVAILABLE = 47
    RECOVERY_ON_TIMER_EXPIRY = 102


class CallerSession(Protocol):
    """One call as its frontend holds it.

    Exactly one of `established`, `rejected` and `failed` is called, once; before it `progressing` any number
    of times, where its frontend asked for that.
    """

    def progressing(self) -> None:
        """A roster server is at work on it."""

    def established(self, description: bytes) -> None:
        """It is established; `description` is the server's session description."""

    def rejected(self, retry_after_s: float) -> None:
        """Answer that it is rejected and may be retried after so many seconds; 0: no time is given."""

    def failed(self, timed_out: bool) -> None:
        """It has failed, because its time is up or for another reason."""

    def released(self, cause: int) -> None:
        """Its server has ended the established call, by a Q.850 cause."""


class CallState(Enum):
    """The state of a call; the values are the console's words."""

    OFFERED = "offered"
    ESTABLISHED = "standing"  # the console's word
    TERMINATED = "over"


@dataclass(slots=True, eq=False, repr=False)
class CallRequest:
    """A set-up as its caller made it. Nothing changes it; `ident` goes to the roster server as it is."""

    ident: str
    call_class: CallClass  # held for as long as the call is open, whatever the settings say by then
    called_uri: str  # the number called, as it was written
    description: str
    caller_timeout_s: float
    preferred_number: int = -1
    called_number: int = 0
    is_caller_retry: bool = False
    reports_progress: bool = False  # `progressing` is called when a roster server is at work on it


class ServerRecord(NamedTuple):
    """One roster server as the endpoint list has it; `started_at` is Unix time in seconds, 0: unknown."""

    instance: str
    address: tuple[str, int]
    number: int
    availability: Availability
    started_at: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class RosterServer:
    """A roster server. Keyed by the coordinator's instance id, since addresses are reused."""

    id: int
    record: ServerRecord
    connected: bool = False  # these two are kept by the server pool
    dial_attempted: bool = False  # a connection has come up, or failed to


@dataclass(slots=True, eq=False, repr=False)
class Call:
    """A call from its offer to its end."""

    number: int
    request: CallRequest
    caller_session: CallerSession
    deadline: float
    max_attempts: int
    state: CallState = CallState.OFFERED
    attempt: Attempt | None = None
    attempts: int = 0
    pause_until: float = 0.0  # no attempt is sent before
    established_at: float = 0.0
    caller_disconnected: bool = False  # its caller's connection has ended: no further attempt is made

    def is_retry_safe(self) -> bool:
        """Whether a retry by its caller does no harm: no attempt was made, or the class is idempotent."""
        return self.attempts == 0 or self.request.call_class.idempotent


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One set-up of a call at one server."""

    call: Call
    server: RosterServer
    number: int
    started_at: float
    deadline: float
    written: bool = False
    written_at: float = 0.0
    remaining_ms: int = 0  # how long its answer was awaited from then on
    ended: bool = False


class CallRegistry:
    """The calls that are open, by the number given to them here and by their id.

    It remembers the ids of calls that have ended lately. Only its methods change the state of a call.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Begin with no call."""
        self.by_number: dict[int, Call] = {}
        self.by_ident: dict[str, Call] = {}
        self.unanswered = 0  # how many are OFFERED
        self._clock = clock
        self._numbers = count(1)
        self._terminated: OrderedDict[str, float] = OrderedDict()  # id -> when it ended, oldest first

    def add(self, request: CallRequest, session: CallerSession, deadline: float, max_attempts: int) -> Call:
        """Register a call that is offered. Its id must not be in use."""
        call = Call(next(self._numbers), request, session, deadline, max_attempts)
        self.by_number[call.number] = call
        self.by_ident[request.ident] = call
        self.unanswered += 1
        return call

    def establish(self, call: Call, now: float) -> None:
        """An offered call is established."""
        call.state = CallState.ESTABLISHED
        call.established_at = now
        self.unanswered -= 1

    def remove(self, call: Call) -> None:
        """Terminate a call and remember its id."""
        if call.state is CallState.OFFERED:
            self.unanswered -= 1
        call.state = CallState.TERMINATED
        del self.by_number[call.number]
        del self.by_ident[call.request.ident]
        self.remember_terminated(call.request.ident)

    def offered(self) -> list[Call]:
        """The calls whose callers still wait for an answer."""
        return [call for call in self.by_number.values() if call.state is CallState.OFFERED]

    def is_established(self, ident: str) -> bool:
        """Whether a call of that id is established."""
        call = self.by_ident.get(ident)
        return call is not None and call.state is CallState.ESTABLISHED

    def has_established_at(self, server: RosterServer, before: float = math.inf) -> bool:
        """Whether any call was established at a server before a time, and still is."""
        return any(
            call.state is CallState.ESTABLISHED
            and call.attempt is not None
            and call.attempt.server is server
            and call.established_at < before
            for call in self.by_number.values()
        )

    def established_at(self, server: RosterServer, before: float) -> list[Call]:
        """The calls that were established at a server before a time."""
        return [
            call
            for call in self.by_number.values()
            if call.state is CallState.ESTABLISHED
            and call.attempt is not None
            and call.attempt.server is server
            and call.established_at < before
        ]

    def was_terminated(self, ident: str) -> bool:
        """Whether a call of that id has ended lately."""
        return ident in self._terminated

    def remember_terminated(self, ident: str) -> None:
        """Keep the id of a call that has ended for `TERMINATED_KEPT_S`."""
        now = self._clock()
        self._terminated[ident] = now
        self._terminated.move_to_end(ident)
        while (
            len(self._terminated) > MAX_TERMINATED_KEPT
            or next(iter(self._terminated.values())) < now - TERMINATED_KEPT_S
        ):
            self._terminated.popitem(last=False)
