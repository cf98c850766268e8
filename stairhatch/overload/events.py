"""The events that the controller is told, in order, and the records they carry.

Times are seconds on the node's own clock. Nothing in this module decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.overload.settings import CallClass


class Availability(Enum):
    """What the endpoint list says of a call server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class AttemptOutcome(Enum):
    """How a set-up attempt ended."""

    COMPLETED = "completed"  # the call was established and has ended normally
    ERROR = "error"  # the called number is busy, or a signalling fault
    REJECTED = "rejected"  # the server had no capacity; the set-up never ran
    TIMED_OUT = "timed out"  # no answer in time; it may have gone on
    UNREACHABLE = "unreachable"  # no connection; it never ran
    RESET = "reset"  # the set-up or the established call was cut
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # it never left the node


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load figures; each may be missing. Line counts are exact, the others late and noisy."""

    free_lines: float | None = None
    total_lines: float | None = None
    processor_wait_s: float | None = None  # queueing delay at its processor
    queue_length: float | None = None  # messages waiting there
    in_service: float | None = None  # messages being processed
    utilization: float | None = None  # fraction of the processor in use, 0 to 1
    admissible_rate: float | None = None  # new set-ups a second it can take from all senders
    throttle_fraction: float | None = None  # fraction of new set-ups it asks each sender to reject


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One line of the server list."""

    server: int
    number: int
    standing: Availability = Availability.READY
    up_since: float = 0.0  # when it last started; 0: long ago


@dataclass(frozen=True, slots=True)
class ServersListed:
    """News of the server list: the complete list, or only the lines that changed."""

    servers: tuple[ListedServer, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A caller asks for a call. One final answer is owed within `grace_s`."""

    call: int
    kind: CallClass | None  # as it is when the call comes, and for as long as it is open; None: no such class
    choice: int  # number of the server of first choice
    grace_s: float
    redial: bool = False
    in_transit: bool = False
    called: int = 0  # the number called; 0: not told


@dataclass(frozen=True, slots=True)
class SetupStood:
    """The call stands; the set-up took this long."""

    call: int
    server: int
    took_s: float


@dataclass(frozen=True, slots=True)
class SetupEnded:
    """An attempt is over. `answered` tells that the caller has had a final answer."""

    call: int
    server: int
    ending: AttemptOutcome
    answered: bool
    report: LoadReport
    took_s: float = 0.0
    told_wait_s: float | None = None  # a full server's own word on how long to wait
    number_busy: bool = False  # all lines of the number called are busy
    no_line: bool = False  # turned away for want of a free line, not of processor time


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller gave up; no answer is owed any more."""

    call: int


@dataclass(frozen=True, slots=True)
class LoadTold:
    """A server's figures, unasked or as the answer to a probe."""

    server: int
    report: LoadReport
    reached: bool = True
    asked: bool = False


@dataclass(frozen=True, slots=True)
class TimerRang:
    """A timer that was set has come due."""

    label: int


@dataclass(frozen=True, slots=True)
class PeerTold:
    """A message from another node."""

    peer: int
    body: bytes


Event = ServersListed | CallOffered | SetupStood | SetupEnded | CallerLeft | LoadTold | TimerRang | PeerTold
