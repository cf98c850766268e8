"""The records of calls, attempts and roster servers that the call manager and its neighbours share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stairhatch.overload.events import Availability
from stairhatch.overload.settings import CallClass


class CallerSession(Protocol):
    """One call as its front holds it. Exactly one of `stood`, `refused` and `failed` is called, once; before
    it `rang` any number of times, where a front asked for that (`Offer.rings`).
    """

    def progressing(self) -> None: ...
    def established(self, description: bytes) -> None: ...
    def rejected(self, return_s: float) -> None: ...
    def failed(self, timed_out: bool) -> None: ...
    def released(self, cause: int) -> None: ...


class CallState(Enum):
    """Where a call is in its life."""

    OFFERED = "offered"
    ESTABLISHED = "standing"
    TERMINATED = "over"


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A set-up as its caller made it. `ident` goes to the roster server, unchanged."""

    ident: str
    call_class: CallClass  # held for as long as the call is open, whatever the settings say by then
    called_uri: str  # the number called, as it was written
    description: str
    caller_timeout_s: float
    preferred_number: int = -1
    called_number: int = 0
    is_caller_retry: bool = False
    reports_progress: bool = False  # its front is told that a roster server is at work on it


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One line of the directory."""

    instance: str
    address: tuple[str, int]
    number: int
    availability: Availability
    started_at: float = 0.0


@dataclass(eq=False, slots=True)
class RosterServer:
    """A roster server. Keyed by the directory's instance id, since addresses are used again."""

    id: int
    record: ServerRecord
    connected: bool = False  # these two are kept by the roster side
    dial_attempted: bool = False  # a connection has come up, or failed to


@dataclass(eq=False, slots=True)
class Call:
    """A call from its offer to its end."""

    number: int
    offer: CallRequest
    caller_session: CallerSession
    deadline: float
    max_attempts: int  # on its attempts
    state: CallState = CallState.OFFERED
    attempt: Attempt | None = None
    attempts: int = 0
    pause_until: float = 0.0
    established_at: float = 0.0
    caller_gone: bool = False  # its caller can't be heard any more: nothing new is sent for it


@dataclass(eq=False, slots=True)
class Attempt:
    """One set-up of a call at one server."""

    call: Call
    server: RosterServer
    number: int
    started_at: float
    deadline: float
    written: bool = False
    written_at: float = 0.0
    ended: bool = False
