"""Records of calls, attempts and roster servers, and the registry of open calls.

The call manager, the frontends and the server connections share them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from itertools import count
from typing import NamedTuple, Protocol

from stairhatch.node.recent_ids import RecentIds
from stairhatch.overload.events import Availability
from stairhatch.overload.settings import CallClass

TERMINATED_KEPT_S = 40.0  # the id of a terminated call is kept this long to recognize late messages
MAX_TERMINATED_KEPT = 20_000  # ids of terminated calls
MAX_UNKNOWN_KEPT = 8192  # ids of released calls that were never known here
NO_CONNECTION = 0  # the connection id of set-ups and responses in a driver without server connections


class ReleaseCause(IntEnum):
    """Release causes (ITU-T Q.850) that the softswitch sends or evaluates."""

    NORMAL_CLEARING = 16
    USER_BUSY = 17
    NO_CIRCUIT_AVAILABLE = 34
    TEMPORARY_FAILURE = 41
    RESOURCE_UNAVAILABLE = 47
    RECOVERY_ON_TIMER_EXPIRY = 102


class CallerSession(Protocol):
    """Interface of a frontend's record of one call, which the call manager reports the outcome to.

    Exactly one of `established`, `rejected` and `failed` is called, once. Before it, `progressing` may be
    called any number of times if the request has `reports_progress` set.
    """

    def progressing(self) -> None:
        """Report that a roster server is processing the set-up."""

    def established(self, description: bytes) -> None:
        """Report that the call is established; `description` is the server's session description."""

    def rejected(self, retry_after_s: float) -> None:
        """Report that the call is rejected; the caller may retry after `retry_after_s`, 0 if unspecified."""

    def failed(self, timed_out: bool) -> None:
        """Report that the call has failed; `timed_out` is True if its deadline has passed."""

    def released(self, cause: int) -> None:
        """Report that the server has released the established call, by a Q.850 cause."""


class CallState(Enum):
    """State of a call; the values appear in the output of the operator's console."""

    OFFERED = "offered"
    ESTABLISHED = "standing"  # the console's word for an established call
    TERMINATED = "over"


@dataclass(slots=True, eq=False, repr=False)
class CallRequest:
    """Set-up request of a caller, never modified; `ident` is sent to the roster server unchanged."""

    ident: str
    call_class: CallClass  # kept while the call is open, even if a reload changes or removes the class
    called_uri: str  # the called number as the caller wrote it
    description: str
    caller_timeout_s: float
    preferred_number: int = -1
    called_number: int = 0
    is_caller_retry: bool = False
    reports_progress: bool = False  # `progressing` is called when a roster server processes the set-up


class ServerRecord(NamedTuple):
    """Endpoint list record of one roster server; `started_at` is Unix time in seconds, 0 if unknown."""

    instance: str
    address: tuple[str, int]
    number: int
    availability: Availability
    started_at: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class RosterServer:
    """State of a roster server, keyed by the coordinator's instance id because addresses are reused."""

    id: int
    record: ServerRecord
    connected: bool = False  # set by the server pool
    dial_attempted: bool = False  # a connection was established or has failed; set by the server pool


class UnansweredSetup(NamedTuple):
    """A set-up that was written and released without an answer; the server may answer it all the same."""

    server: RosterServer
    connection_id: int


@dataclass(slots=True, eq=False, repr=False)
class Call:
    """State of a call from its offer to its termination; times are the clock's, in seconds."""

    number: int
    request: CallRequest
    caller_session: CallerSession
    deadline: float
    max_attempts: int
    state: CallState = CallState.OFFERED
    attempt: Attempt | None = None
    attempts: int = 0
    pause_until: float = 0.0  # time before which no attempt may be sent
    is_release_queued: bool = False  # the release of an attempt that was given up is not written yet
    established_at: float = 0.0
    caller_disconnected: bool = False  # the caller's connection has ended: no further attempt is made
    unanswered_setups: list[UnansweredSetup] = field(default_factory=list)  # oldest first

    def is_retry_safe(self) -> bool:
        """Whether a caller retry cannot set the call up twice: no attempt yet, or an idempotent class."""
        return self.attempts == 0 or self.request.call_class.idempotent


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """State of one attempt to set up a call at one server; times are the clock's, in seconds."""

    call: Call
    server: RosterServer
    number: int
    started_at: float
    deadline: float
    written: bool = False
    written_at: float = 0.0
    connection_id: int = NO_CONNECTION  # of the server connection that the set-up was written on
    remaining_ms: int = 0  # from `written_at` until the deadline
    ended: bool = False


class CallRegistry:
    """Registry of the open calls, by call number (assigned here) and by call id.

    The registry keeps the ids of recently terminated calls. Only its methods change the state of a call.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without calls; `clock` returns the time in seconds."""
        self.by_number: dict[int, Call] = {}
        self.by_ident: dict[str, Call] = {}
        self.unanswered = 0  # number of calls in state OFFERED
        self._numbers = count(1)
        self._terminated = RecentIds(clock, TERMINATED_KEPT_S, MAX_TERMINATED_KEPT)
        self._unknown_released = RecentIds(clock, TERMINATED_KEPT_S, MAX_UNKNOWN_KEPT)

    def add(self, request: CallRequest, session: CallerSession, deadline: float, max_attempts: int) -> Call:
        """Register a new call in state OFFERED and return it. No open call may have the same id."""
        call = Call(next(self._numbers), request, session, deadline, max_attempts)
        self.by_number[call.number] = call
        self.by_ident[request.ident] = call
        self.unanswered += 1
        return call

    def establish(self, call: Call, now: float) -> None:
        """Set the state of an offered call to ESTABLISHED, as of the time `now`."""
        call.state = CallState.ESTABLISHED
        call.established_at = now
        self.unanswered -= 1

    def remove(self, call: Call) -> None:
        """Remove a call from the registry, set its state to TERMINATED and keep its id."""
        if call.state is CallState.OFFERED:
            self.unanswered -= 1
        call.state = CallState.TERMINATED
        del self.by_number[call.number]
        del self.by_ident[call.request.ident]
        self._terminated.add(call.request.ident)

    def offered(self) -> list[Call]:
        """Return the calls that have no final answer yet."""
        return [call for call in self.by_number.values() if call.state is CallState.OFFERED]

    def is_established(self, ident: str) -> bool:
        """Whether the call with this id is open and established."""
        call = self.by_ident.get(ident)
        return call is not None and call.state is CallState.ESTABLISHED

    def has_written_setup_at(self, ident: str, server: RosterServer) -> bool:
        """Whether the current attempt of the call with this id has been written to the server's process."""
        call = self.by_ident.get(ident)
        attempt = call.attempt if call is not None else None
        return attempt is not None and attempt.written and are_same_process(attempt.server, server)

    def is_established_at(self, ident: str, server: RosterServer, before: float) -> bool:
        """Whether the call with this id was established at the server before a time, and still is."""
        call = self.by_ident.get(ident)
        return call is not None and _is_established_at(call, server, before)

    def has_established_at(self, server: RosterServer, before: float = math.inf) -> bool:
        """Whether any call that is still established was established at the server before a time."""
        return any(_is_established_at(call, server, before) for call in self.by_number.values())

    def established_at(self, server: RosterServer, before: float) -> list[Call]:
        """Return the calls still established that were established at the server before a time."""
        return [call for call in self.by_number.values() if _is_established_at(call, server, before)]

    def was_terminated(self, ident: str) -> bool:
        """Whether a call with this id, known here or not, has terminated recently; its id is still kept."""
        return ident in self._terminated or ident in self._unknown_released

    def limit_terminated(self, max_kept: int) -> None:
        """Keep at most so many ids of terminated calls, if that is below `MAX_TERMINATED_KEPT`."""
        self._terminated.max_kept = min(MAX_TERMINATED_KEPT, max_kept)
        self._unknown_released.max_kept = min(MAX_UNKNOWN_KEPT, max_kept)

    def remember_unknown(self, ident: str) -> None:
        """Keep the id of a call that was released and is not known here.

        These ids have a limit of their own: callers may invent any number of them.
        """
        self._unknown_released.add(ident)


def _is_established_at(call: Call, server: RosterServer, before: float) -> bool:
    if call.state is not CallState.ESTABLISHED or call.attempt is None:
        return False
    return call.attempt.server is server and call.established_at < before


def are_same_process(one: RosterServer, other: RosterServer) -> bool:
    """Return whether two records denote one process: a replaced instance shares its address for a while."""
    return one is other or one.record.address == other.record.address
