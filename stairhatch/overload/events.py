"""The events that the overload control receives, in order, and the records that the events carry.

Durations are seconds; points in time are seconds on the node's own clock. This module makes no decisions.

An event is never changed after its creation. The classes are not `frozen` all the same: each call creates
several events, and a frozen instance takes two and a half times as long to create (and its class twice as
long to define at each start). An event equals only itself; a record equals any record with the same values.
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
    TIMED_OUT = "timed out"  # no answer in time; the server may have gone on with the set-up
    UNREACHABLE = "unreachable"  # no connection to the server; the set-up never ran
    RESET = "reset"  # the set-up or the established call was cut off
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # the set-up never left the node

    @property
    def is_unclear(self) -> bool:
        """Whether the server may still process the set-up or keep the call."""
        return self in (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did not process the set-up."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)


class LoadReport(NamedTuple):
    """A server's load figures; None: not reported. Line counts are exact, the others late and noisy."""

    free_lines: float | None = None
    total_lines: float | None = None
    processor_wait_s: float | None = None  # queueing delay at its processor
    queue_length: float | None = None  # messages waiting for its processor
    in_service: float | None = None  # messages being processed
    utilization: float | None = None  # fraction of the processor in use, 0 to 1
    admissible_rate: float | None = None  # new set-ups per second that it accepts from all senders
    throttle_fraction: float | None = None  # fraction of new set-ups that each sender should reject


NO_LOAD = LoadReport()  # for a message that carries no load report


class EndpointRecord(NamedTuple):
    """One call server in the endpoint list; several servers may share a number."""

    server_id: int
    number: int
    availability: Availability = Availability.READY
    started_at: float = 0.0  # when the server last started; 0: long ago


class Message:
    """The base class of events and actions.

    All subclasses share one `__repr__`, because a generated one for each class takes time at every start.
    """

    __slots__ = ()
    __match_args__: ClassVar[tuple[str, ...]]  # the field names, set by `dataclass`

    def __repr__(self) -> str:
        """Return the class name and the fields in the format of `dataclass`."""
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
        return f"{type(self).__name__}({fields})"


@dataclass(slots=True, eq=False, repr=False)
class EndpointsUpdated(Message):
    """The endpoint list was received: completely, or only the records that changed."""

    endpoints: tuple[EndpointRecord, ...]
    complete: bool


@dataclass(slots=True, eq=False, repr=False)
class CallOffered(Message):
    """A caller offered a call. The call needs one final answer within `caller_timeout_s`."""

    call_id: int
    call_class: CallClass | None  # as in the settings at the offer, also after a reload; None: unknown
    preferred_number: int  # number of the servers of first choice; -1: none
    caller_timeout_s: float
    is_caller_retry: bool = False  # the caller marked the call as a retry
    in_transit: bool = False  # the call comes from another node and may go only to its first choice
    called_number: int = 0  # destination number; 0: unknown


@dataclass(slots=True, eq=False, repr=False)
class CallEstablished(Message):
    """A server established a call; the set-up took `elapsed_s`."""

    call_id: int
    server_id: int
    elapsed_s: float


@dataclass(slots=True, eq=False, repr=False)
class AttemptEnded(Message):
    """An attempt has ended. `answered`: the caller already has its final answer."""

    call_id: int
    server_id: int
    outcome: AttemptOutcome
    answered: bool
    report: LoadReport
    elapsed_s: float = 0.0
    retry_after_s: float | None = None  # the delay requested in the server's rejection
    destination_busy: bool = False  # all lines of the called number are busy
    no_free_line: bool = False  # the set-up was rejected for lack of a free line, not of processor time
    withdrawn: bool = False  # released at the server, since the outcome may be that of an earlier attempt


@dataclass(slots=True, eq=False, repr=False)
class CallAbandoned(Message):
    """The caller abandoned the call, which needs no final answer any more."""

    call_id: int


@dataclass(slots=True, eq=False, repr=False)
class LoadReported(Message):
    """A server sent a load report, unsolicited or as the answer to a health check."""

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
    """Another node sent a message."""

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
