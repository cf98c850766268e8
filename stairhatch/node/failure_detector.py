"""Whether the process that holds a roster server's calls is still there, judged from what it sends.

A failure detector of one roster server, by time-out: its calls are lost once nothing has confirmed for
`LOST_AFTER_S` that the process which holds them is alive. Two things confirm it. One is anything that comes
on a connection that is known to lead to that process. The other is a complete answer of the coordinator that
still lists the server, some time after it was last heard, but only where the server speaks by then: a
coordinator may learn late that a silent one is gone.

A connection that comes up after all others have broken, or while they are silent, may lead to another process
at the same address, which does not have the calls. What comes on it confirms nothing until something comes on
one of the older connections as well. Nothing here knows a wire or a socket; times are those of the core's
clock, in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

LOST_AFTER_S = 7.25  # a caller has to hear of the end of its call within 8 s of it
PROBE_AFTER_S = 2.0  # silence of so long makes the server be probed, by one more connection
PROBE_INTERVAL_S = 2.0  # between two probes that come up; one that does not is followed by the next at once
LISTED_AFTER_S = 4.5  # so long after it was last confirmed the coordinator would list a restart or an end
STALL_S = 0.5  # two checks so far apart show that this process stood still: it reads before it judges


class ServerVerdict(Enum):
    """What is known of the process that holds a server's calls; the values stand in the log."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"  # it was not heard for a while, or perhaps another process was
    SILENT = "silent"  # lost: nothing at all came
    REPLACED = "replaced"  # lost: only what may be another process was heard

    @property
    def is_lost(self) -> bool:
        """Whether the calls that the process held are lost."""
        return self in (ServerVerdict.SILENT, ServerVerdict.REPLACED)


@dataclass(slots=True, eq=False, repr=False)
class FailureDetector:
    """What was heard of one roster server, over all connections to it.

    It judges nothing before the server's first load report: on each connection one comes before all else, so
    that only a server which is known to report can be found silent.
    """

    confirmed_at: float = -math.inf  # when the process that holds the calls was last known to be alive
    heard_at: float = -math.inf  # when anything came last, from whatever process
    successor_heard_at: float | None = None  # first, from a process that may be another
    trusted: set[Hashable] = field(default_factory=set)  # connections that lead to the one with the calls
    successors: set[Hashable] = field(default_factory=set)  # those that may lead to another
    reports_load: bool = False
    probed_at: float = -math.inf
    checked_at: float = -math.inf
    has_stalled: bool = False  # this process stood still before the last check
    is_suspected: bool = False  # it is logged as suspected

    # ---- what is heard ----

    def message_received(
        self, connection: Hashable, connected_at: float, now: float, is_load_report: bool
    ) -> None:
        """Something came on a connection that is up since `connected_at`.

        One that came up before the process was last known to be alive leads to that process.
        """
        self.heard_at = now
        self.reports_load = self.reports_load or is_load_report
        if connection in self.trusted or connected_at < self.confirmed_at:
            self.trusted.add(connection)
            self.confirmed_at = now
            self.successor_heard_at = None
            self.successors.clear()
            return
        self.successors.add(connection)
        if self.successor_heard_at is None:
            self.successor_heard_at = now

    def connection_lost(self, connection: Hashable) -> None:
        """A connection has ended."""
        self.trusted.discard(connection)
        self.successors.discard(connection)

    def trust_successor(self) -> None:
        """What was heard last is the process that holds the calls, or there are none at another."""
        self.trusted |= self.successors
        self.successors.clear()
        self.successor_heard_at = None
        self.confirmed_at = self.heard_at

    def confirm_by_list(self, listed_at: float) -> None:
        """The coordinator has listed the server as it was, in a complete answer at `listed_at`."""
        if self.successor_heard_at is not None and listed_at >= self.confirmed_at + LISTED_AFTER_S:
            self.trust_successor()

    # ---- what follows from it ----

    def lost_before(self) -> float:
        """Calls that were established before this time are at the process that is not confirmed."""
        return math.inf if self.successor_heard_at is None else self.successor_heard_at

    def check(self, now: float) -> ServerVerdict:
        """Judge by what was heard until now; to be called regularly."""
        self.has_stalled = (
            now - self.checked_at > STALL_S and not self.has_stalled
        )  # the next check may judge
        self.checked_at = now
        unconfirmed_s = now - self.confirmed_at
        if not self.reports_load or unconfirmed_s < PROBE_AFTER_S:
            return ServerVerdict.CONFIRMED
        if unconfirmed_s < LOST_AFTER_S or self.has_stalled:
            return ServerVerdict.UNCONFIRMED
        return ServerVerdict.SILENT if self.successor_heard_at is None else ServerVerdict.REPLACED

    def calls_ended(self) -> list[Hashable]:
        """The calls of the process that is lost have been ended. Returns the connections that led to it."""
        lost = list(self.trusted)
        self.trusted.clear()
        self.trust_successor()
        return lost

    # ---- probes ----

    def is_probe_due(self, now: float) -> bool:
        """Whether another connection is to be opened, to see whether the server says anything on that."""
        return now - self.heard_at >= PROBE_AFTER_S and now - self.probed_at >= PROBE_INTERVAL_S

    def probe_started(self, now: float) -> None:
        """Another connection is being opened."""
        self.probed_at = now

    def probe_failed(self) -> None:
        """It did not come up: the next one need not wait."""
        self.probed_at = -math.inf
