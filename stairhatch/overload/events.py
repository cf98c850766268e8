"""The events that the overload control is fed, in order, and the records that they carry.

Durations are seconds, points in time seconds on the node's own clock. Nothing here decides anything.

Nothing changes an event once it is made. They are not `frozen` for all that: several are made for each call,
and a frozen one takes two and a half times as long to make (and twice as long to define at each start). An
event is equal to itself alone, a record to any other that holds the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, NamedTuple

from stairhatch.overload.settings import CallClass


class Availability(Enum):
    """State of a call server in the endpoint list."""

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

    @property
    def is_unclear(self) -> bool:
        """Whether the server may still be at work on the set-up, or hold the call."""
        return self in (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did nothing for the call."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)


class LoadReport(NamedTuple):
    """A server's load figures; each may be missing. Line counts are exact, the others late and noisy."""

    free_lines: float | None = None
    total_lines: float | None = None
    processor_wait_s: float | None = None  # queueing delay at its processor
    queue_length: float | None = None  # messages waiting there
    in_service: float | None = None  # messages being processed
    utilization: float | None = None  # fraction of the processor in use, 0 to 1
    admissible_rate: float | None = None  # new set-ups a second it can take from all senders
    throttle_fraction: float | None = None  # fraction of new set-ups it asks each sender to reject


NO_LOAD = LoadReport()  # for what came without a load report


class EndpointRecord(NamedTuple):
    """One call server in the endpoint list; several servers may have one number."""

    server_id: int
    number: int
    availability: Availability = Availability.READY
    started_at: float = 0.0  # when it last started; 0: long ago


class Message:
    """An event or an action.

    One method shows the fields of all: a generated one for each costs time at every start.
    """

    __slots__ = ()
    __match_args__: ClassVar[tuple[str, ...]]  # the names of the fields, as `dataclass` sets them

    def __repr__(self) -> str:
        """Return the class and the fields, as `dataclass` would."""
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
        return f"{type(self).__name__}({fields})"


@dataclass(slots=True, eq=False, repr=False)
class EndpointsUpdated(Message):
    """The complete endpoint list, or only the records that changed."""

    endpoints: tuple[EndpointRecord, ...]
    complete: bool


@dataclass(slots=True, eq=False, repr=False)
class CallOffered(Message):
    """A caller asks for a call. One final answer is owed within `caller_timeout_s`."""

    call_id: int
    call_class: CallClass | None  # as it was when the call came, while the call is open; None: unknown
    preferred_number: int  # number of the servers of first choice; -1: none
    caller_timeout_s: float
    is_caller_retry: bool = False  # the caller has tried this call before, and says so
    in_transit: bool = False  # it comes from another node and must go to its first choice
    called_number: int = 0  # destination number; 0: unknown


@dataclass(slots=True, eq=False, repr=False)
class CallEstablished(Message):
    """A call is established; its set-up took `elapsed_s`."""

    call_id: int
    server_id: int
    elapsed_s: float


@dataclass(slots=True, eq=False, repr=False)
class AttemptEnded(Message):
    """An attempt has ended. `answered`: the caller has had its final answer."""

    call_id: int
    server_id: int
    outcome: AttemptOutcome
    answered: bool
    report: LoadReport
    elapsed_s: float = 0.0
    retry_after_s: float | None = None  # as the server that rejected it asked
    destination_busy: bool = False  # all lines of the number called are busy
    no_free_line: bool = False  # rejected for want of a free line, not of processor time


@dataclass(slots=True, eq=False, repr=False)
class CallAbandoned(Message):
    """The caller has gone; no answer is owed any more."""

    call_id: int


@dataclass(slots=True, eq=False, repr=False)
class LoadReported(Message):
    """A load report that came by itself or as the answer to a health check."""

    server_id: int
    report: LoadReport
    reached: bool = True
    solicited: bool = False


@dataclass(slots=True, eq=False, repr=False)
class TimerExpired(Message):
    """A timer that was set by SetTimer has expired."""

    timer_id: int


@dataclass(slots=True, eq=False, repr=False)
class PeerMessageReceived(Message):
    """A message from another node."""

    peer_id: int
    body: bytes


Event = (
    EndpointsUpdated
    | CallOffered
    | CallEstablished
    | AttemptEnded
    | CallAbandoned
    | LoadReported
    | TimerExpired
    | PeerMessageReceived
)
