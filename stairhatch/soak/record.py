"""Record of what the emulators of a trial observed at their sockets, in order of time.

Times are seconds by the machine's monotonic clock. Softswitches are named `n0`, `n1`, ...; a process of a
softswitch is named with the number of its start, as `n0#2`; roster servers are named by their instance ids.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Kind of an observation; the values are written to the record's file."""

    # observed at the callers
    SETUP_SENT = "set-up sent"  # the whole INVITE was written, on a connection that the softswitch accepted
    FINAL_ANSWER = "final answer"  # `status`: of the final response; `detail`: its body if the status is 200
    CALLER_LEFT = "caller left"  # the caller cancelled the set-up or closed its connection
    CALLER_HUNG_UP = "caller hung up"  # the caller released an established call
    CALLER_RELEASED = "caller was released"  # the softswitch released the call towards the caller
    CONNECTION_ENDED = "connection ended"  # before the response; `detail`: "crossed" or the set-up's age in s
    # observed at the roster servers
    SETUP_RECEIVED = "set-up received"
    ESTABLISHED = "established"  # `detail`: the session description
    REJECTED = "rejected"  # the server rejected the set-up without executing it
    FAILED = "failed"  # the server answered the set-up with an error
    SETUP_LOST = "set-up lost"  # the set-up's connection or the server's process ended before the answer
    LINK_ENDED = "link ended"  # the connection on which the set-up of an established call arrived has ended
    GIVEN_UP = "given up"  # the softswitch abandoned the set-up or released the call
    CALL_OVER = "call over"  # an established call ended at the server; `detail`: the cause
    RELEASE_SENT = "release sent"  # the server sent the release on a connection that delivers it
    STARTED_COLD = "started cold"  # a server's process has started, whether it is listed as in service or not
    # changes and failures of the endpoint list, one observation for each softswitch
    LIST_CHANGED = "list changed"  # the coordinator holds the event; `detail`: the server's new lifecycle
    LIST_NOTIFIED = "list notified"  # the answer with the event was written completely
    DISCOVERY_FAILED = "discovery failed"  # answers are missing, late or incomplete from now on
    DISCOVERY_RETURNED = "discovery returned"
    # observed at the softswitch processes
    PROCESS_STARTED = "process started"
    PROCESS_READY = "process ready"
    TERMINATE_SENT = "SIGTERM sent"
    KILL_SENT = "SIGKILL sent"
    PROCESS_ENDED = "process ended"  # `status`: the exit code
    DRAIN_ON = "drain on"
    DRAIN_OFF = "drain off"
    LIMIT_EXCEEDED = "limit exceeded"
    LOG_LINE = "log line"  # `detail`: a line of the log that reports a fault of the program


@dataclass(frozen=True, slots=True)
class Observation:
    """Observation of one event, with the call, softswitch and server that it concerns."""

    at: float
    kind: Kind
    call: str = ""
    softswitch: str = ""  # its process, as `n0#1`; for events of the endpoint list its name, as `n0`
    server: str = ""
    status: int = 0
    detail: str = ""

    def line(self, started_at: float) -> str:
        """Return the observation as one line of text, with the seconds since the trial's start."""
        parts = (self.softswitch, self.server, str(self.status or ""), self.detail[:60])
        return f"{self.at - started_at:8.3f} {self.kind}: {' '.join(filter(None, parts))}"


@dataclass
class Record:
    """Record of one trial: its observations, its counts of faults, and how long the machine delayed it."""

    started_at: float = 0.0
    observations: list[Observation] = field(default_factory=list)
    activations: Counter[str] = field(default_factory=Counter)
    stalled_s: float = 0.0  # the longest stall of the harness' event loop; extends the limits of the rules
    starved_s: float = 0.0  # the longest total time for which one softswitch process waited for a processor
    # `starved_s` is reported only: it does not extend the limits of the rules.

    def note(self, kind: Kind, call: str = "", **fields: str | int) -> None:
        """Append an observation with the present time; `fields` are the other fields of `Observation`."""
        observation = Observation(time.monotonic(), kind, call, **fields)  # type: ignore[arg-type]
        self.observations.append(observation)

    def of_call(self, call: str) -> list[Observation]:
        """Return the observations of one call, in order of time."""
        return [each for each in self.observations if each.call == call]
