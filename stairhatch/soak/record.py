"""What the emulators of a trial observed at their sockets, in the order in which it happened.

A record's times are seconds by the machine's monotonic clock. Names: `n0`, `n1`, ... are softswitches, a
softswitch's process is named with its start, `n0#2`; servers go by their instance ids.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """What was observed."""

    # at callers
    SETUP_SENT = "set-up sent"  # whole, on a connection that was accepted
    FINAL_ANSWER = "final answer"  # its status; `detail` is the description
    CALLER_LEFT = "caller left"  # cancelled the set-up, or closed its connection
    CALLER_HUNG_UP = "caller hung up"  # released an established call
    CALLER_RELEASED = "caller was released"  # was told that its call is over
    CONNECTION_ENDED = "connection ended"  # with this set-up unanswered; `detail`: who ended it
    # at roster servers
    SETUP_RECEIVED = "set-up received"
    ESTABLISHED = "established"  # `detail` is the description
    REJECTED = "rejected"  # the set-up never ran
    FAILED = "failed"  # the server answered with an error
    SETUP_LOST = "set-up lost"  # its connection or its server's process ended
    LINK_ENDED = "link ended"  # the connection that its set-up came by, the call being established
    GIVEN_UP = "given up"  # the softswitch gave the set-up up, or released the call
    CALL_OVER = "call over"  # at the server; `detail`: why
    RELEASE_SENT = "release sent"  # by the server, on a connection that works
    STARTED_COLD = "started cold"  # a server's process has started, in service before or not
    # of the endpoint list, by softswitch
    LIST_CHANGED = "list changed"  # the coordinator holds it; `detail` is the lifecycle
    LIST_NOTIFIED = "list notified"  # its answer was written whole
    DISCOVERY_FAILED = "discovery failed"  # from now on its answers do not come, or not as they should
    DISCOVERY_RETURNED = "discovery returned"
    # of processes
    PROCESS_STARTED = "process started"
    PROCESS_READY = "process ready"
    TERMINATE_SENT = "SIGTERM sent"
    KILL_SENT = "SIGKILL sent"
    PROCESS_ENDED = "process ended"  # its exit code
    DRAIN_ON = "drain on"
    DRAIN_OFF = "drain off"
    LIMIT_EXCEEDED = "limit exceeded"
    LOG_LINE = "log line"  # a line that says that the program is at fault


@dataclass(frozen=True, slots=True)
class Observation:
    """One thing that was observed."""

    at: float
    kind: Kind
    call: str = ""
    softswitch: str = ""  # the process, as `n0#1`
    server: str = ""
    status: int = 0
    detail: str = ""

    def line(self, since: float) -> str:
        """Return it in a line for people, with its time since the trial's start."""
        parts = (self.softswitch, self.server, str(self.status or ""), self.detail[:60])
        return f"{self.at - since:8.3f} {self.kind}: {' '.join(filter(None, parts))}"


@dataclass
class Record:
    """All observations of one trial, how often each fault took effect, and how late the harness was."""

    started_at: float = 0.0
    observations: list[Observation] = field(default_factory=list)
    activations: Counter[str] = field(default_factory=Counter)
    stalled_s: float = 0.0  # the longest time for which the harness did not run
    starved_s: float = 0.0  # for which the softswitch that waited most was ready to run, in all; no slack

    def note(self, kind: Kind, call: str = "", **fields: str | int) -> None:
        """Note what happens now."""
        seen = Observation(time.monotonic(), kind, call, **fields)  # type: ignore[arg-type]
        self.observations.append(seen)

    def of_call(self, call: str) -> list[Observation]:
        """Return what was observed of one call."""
        return [each for each in self.observations if each.call == call]
