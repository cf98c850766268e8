"""The events that the controller is told, in order, and the records they carry.

Times are seconds on the node's own clock. Nothing in this module decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.overload.settings import CallClass


class Standing(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Ending(Enum):
    """How an attempt ended."""

    DONE = "done"  # the call stood and has ended
    ERROR = "error"  # the number is busy, or a signalling fault
    FULL = "full"  # turned away; it never ran
    TIMED_OUT = "timed out"  # no answer in time; it may have gone on
    UNREACHED = "unreached"  # no connection; it never ran
    RESET = "reset"  # the set-up or the standing call was cut
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # it never left the node


@dataclass(frozen=True, slots=True)
class Report:
    """A server's figures; each may be missing. `free` and `size` are exact, the others late and noisy."""

    free: float | None = None  # free lines
    size: float | None = None  # lines in all
    wait_s: float | None = None  # wait at its processor
    queue: float | None = None  # messages waiting there
    working: float | None = None  # messages being worked on
    busy: float | None = None  # share of the processor in use, 0 to 1
    rate: float | None = None  # new set-ups a second it can take from all senders
    hold_back: float | None = None  # share of new set-ups it asks each sender to hold back


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One line of the server list."""

    server: int
    number: int
    standing: Standing = Standing.READY
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
    ending: Ending
    answered: bool
    report: Report
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
    report: Report
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
