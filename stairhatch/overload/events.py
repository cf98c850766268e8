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

    @property
    def is_unclear(self) -> bool:
        """Whether the server may still be at work on the set-up, or hold the call."""
        return self in (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did nothing for the call."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)


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
class EndpointRecord:
    """One line of the server list."""

    server_id: int
    number: int
    availability: Availability = Availability.READY
    started_at: float = 0.0  # when it last started; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """News of the server list: the complete list, or only the lines that changed."""

    endpoints: tuple[EndpointRecord, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A caller asks for a call. One final answer is owed within `grace_s`."""

    call_id: int
    call_class: (
        CallClass | None
    )  # as it is when the call comes, and for as long as it is open; None: no such class
    preferred_number: int  # number of the server of first choice
    caller_timeout_s: float
    is_caller_retry: bool = False
    in_transit: bool = False
    called_number: int = 0  # the number called; 0: not told


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """The call stands; the set-up took this long."""

    call_id: int
    server_id: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over. `answered` tells that the caller has had a final answer."""

    call_id: int
    server_id: int
    outcome: AttemptOutcome
    answered: bool
    report: LoadReport
    elapsed_s: float = 0.0
    retry_after_s: float | None = None  # a full server's own word on how long to wait
    destination_busy: bool = False  # all lines of the number called are busy
    no_free_line: bool = False  # turned away for want of a free line, not of processor time


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller gave up; no answer is owed any more."""

    call_id: int


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A server's figures, unasked or as the answer to a probe."""

    server_id: int
    report: LoadReport
    reached: bool = True
    solicited: bool = False


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that was set has come due."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
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
