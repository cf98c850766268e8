"""A time-out failure detector for the process that holds the calls of one roster server.

The calls count as lost once nothing has confirmed for `LOST_AFTER_S` that the process which holds them is
alive. A message does on a connection that is known to lead to that process.

A connection that comes up after all others have broken, or while they are silent, may lead to another process
at the same address, which does not hold the calls. What is received on it is kept as a `Sighting`. It counts
once a message arrives on one of the older connections as well, or the server releases one of the calls on it,
or once the coordinator answers completely `LISTING_DELAY_S` or more after the last confirmation and lists no
restart.

The coordinator lists a restart only some time after it (`LISTING_DELAY_S`). So its answer counts only for a
connection that came up within `MAX_SUCCESSION_S` of the last confirmation: if the process restarted before
that, the list says so before the calls would count as lost. A restart during a longer loss may be listed too
late, and an answer that does not list it proves nothing.

The coordinator may list the silent end of a process later than that, so its answer does not count either if
the first load report on the connection refutes it: if fewer lines are in use than calls must be, or far fewer
than the process with the calls reported last. A process that has just started holds few calls.

The module uses no socket; times are those of the call manager's clock, in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

LOST_AFTER_S = 7.25  # a caller must receive the release of its call within 8 s of the call's end
PROBE_AFTER_S = 2.0  # silence after which the server is probed with an additional connection
PROBE_INTERVAL_S = 2.0  # between two probes; after a probe that fails to connect the next one is due at once
LISTING_DELAY_S = 4.5  # from a restart or an end until the coordinator lists it
MAX_SUCCESSION_S = LOST_AFTER_S - LISTING_DELAY_S  # from the last confirmation until a connection came up
MIN_LINES_FRACTION = 0.5  # of the lines in use that remain in use during a loss of some seconds
STALL_THRESHOLD_S = 0.5  # a longer gap between checks shows a stall: messages are read before a verdict


class ServerVerdict(Enum):
    """The state of the process that holds a server's calls; the values are written to the log."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"  # nothing was received for a while, or only from what may be another process
    SILENT = "silent"  # lost: no message at all was received
    REPLACED = "replaced"  # lost: messages came only from what may be another process

    @property
    def is_lost(self) -> bool:
        """Whether the verdict means that the calls held by the process are lost."""
        return self in (ServerVerdict.SILENT, ServerVerdict.REPLACED)


@dataclass(slots=True, eq=False, repr=False)
class Sighting:
    """The messages on one connection that may lead to another process; times in seconds."""

    connection: Hashable
    connected_at: float
    first_received_at: float
    last_received_at: float
    lines_in_use: float | None = None  # of the first load report that names them


@dataclass(slots=True, eq=False, repr=False)
class FailureDetector:
    """The failure detector of one roster server, over all connections to it.

    The verdict is CONFIRMED until the server's first load report has arrived. A server that reports load
    sends a report first on each connection, so that only a server which is known to report can be found
    silent.
    """

    confirmed_at: float = -math.inf  # when the process that holds the calls was last known to be alive
    last_received_at: float = -math.inf  # when the last message arrived, from any process
    trusted: set[Hashable] = field(default_factory=set)  # connections that lead to the process with the calls
    sightings: list[Sighting] = field(default_factory=list)  # unconfirmed, also of ended connections
    successors: dict[Hashable, Sighting] = field(default_factory=dict)  # those of open connections
    confirmed_lines: float | None = None  # lines in use by the last report of the process with the calls
    reports_load: bool = False
    probed_at: float = -math.inf
    checked_at: float = -math.inf
    has_stalled: bool = False  # the softswitch stalled before the last check
    is_suspected: bool = False  # set by the monitor once the suspicion is logged

    # ---- observations ----

    def message_received(
        self,
        connection: Hashable,
        connected_at: float,
        now: float,
        is_load_report: bool,
        lines_in_use: float | None = None,
    ) -> None:
        """Note a message on a connection that has been up since `connected_at`.

        A connection that was up before the last confirmation of the process leads to that process.
        `lines_in_use` is the number that a load report names.
        """
        self.last_received_at = now
        self.reports_load = self.reports_load or is_load_report
        if connection in self.trusted or connected_at < self.confirmed_at:
            self.trusted.add(connection)
            self.confirmed_at = now
            if lines_in_use is not None:
                self.confirmed_lines = lines_in_use
            self._clear_sightings()
            return
        sighting = self.successors.get(connection)
        if sighting is None:
            sighting = self.successors[connection] = Sighting(connection, connected_at, now, now)
            self.sightings.append(sighting)
        sighting.last_received_at = now
        if sighting.lines_in_use is None:
            sighting.lines_in_use = lines_in_use

    def connection_lost(self, connection: Hashable) -> None:
        """Drop a connection that has ended; what was received on it may still be confirmed."""
        self.trusted.discard(connection)
        self.successors.pop(connection, None)

    def trust_successors(self) -> None:
        """Treat the process behind all connections as the one that holds the calls."""
        self.trusted.update(self.successors)
        self.confirmed_lines = self.sightings[-1].lines_in_use if self.sightings else None
        self._clear_sightings()
        self.confirmed_at = self.last_received_at

    def confirm_by_release(self, connection: Hashable, now: float) -> None:
        """Confirm the process behind a connection on which it has released one of the calls normally.

        Another process at the address would not know the call.
        """
        self.trusted.add(connection)
        self.confirmed_at = now
        self._clear_sightings()

    def confirm_by_list(self, listed_at: float, held_calls: int) -> bool:
        """Confirm what a complete answer at `listed_at` shows to be messages of the process with the calls.

        `held_calls` is the number of calls that this process must hold. Returns whether there were any.
        """
        confirmed_before = self.confirmed_at
        while self.sightings and self._is_confirmed_by_list(self.sightings[0], listed_at, held_calls):
            sighting = self.sightings.pop(0)
            self.confirmed_at = max(self.confirmed_at, sighting.last_received_at)
            if self.successors.get(sighting.connection) is sighting:
                del self.successors[sighting.connection]
                self.trusted.add(sighting.connection)
        return self.confirmed_at > confirmed_before

    def _is_confirmed_by_list(self, sighting: Sighting, listed_at: float, held_calls: int) -> bool:
        if sighting.connected_at < self.confirmed_at:
            return True  # the process was confirmed while the connection was up
        is_listed_in_time = sighting.connected_at <= self.confirmed_at + MAX_SUCCESSION_S
        is_listed = is_listed_in_time and listed_at >= self.confirmed_at + LISTING_DELAY_S
        return is_listed and not self.is_refuted(sighting, held_calls)

    def is_refuted(self, sighting: Sighting, held_calls: int) -> bool:
        """Return whether the lines in use show that another process sent the messages of a sighting."""
        if sighting.lines_in_use is None:
            return False
        if sighting.lines_in_use < held_calls:
            return True
        if self.confirmed_lines is None:
            return False
        spread = math.sqrt(max(0.0, self.confirmed_lines))
        return sighting.lines_in_use < MIN_LINES_FRACTION * self.confirmed_lines - spread

    def _clear_sightings(self) -> None:
        self.sightings.clear()
        self.successors.clear()

    # ---- verdict ----

    def lost_before(self) -> float:
        """Return the time before which calls belong to the unconfirmed process; inf: all calls do."""
        return self.sightings[0].first_received_at if self.sightings else math.inf

    def check(self, now: float) -> ServerVerdict:
        """Return the verdict on the messages received until now; the monitor calls this regularly."""
        self.has_stalled = (
            now - self.checked_at > STALL_THRESHOLD_S and not self.has_stalled
        )  # only one check in a row is held back
        self.checked_at = now
        unconfirmed_s = now - self.confirmed_at
        if not self.reports_load or unconfirmed_s < PROBE_AFTER_S:
            return ServerVerdict.CONFIRMED
        if unconfirmed_s < LOST_AFTER_S or self.has_stalled:
            return ServerVerdict.UNCONFIRMED
        return ServerVerdict.REPLACED if self.sightings else ServerVerdict.SILENT

    def reset_after_loss(self) -> list[Hashable]:
        """Reset the detector as the lost process's calls are ended; return the connections that led to it."""
        lost = list(self.trusted)
        self.trusted.clear()
        self.trust_successors()
        return lost

    # ---- probes ----

    def is_probe_due(self, now: float) -> bool:
        """Return whether to open an additional connection, to see whether the server sends anything on it."""
        return now - self.last_received_at >= PROBE_AFTER_S and now - self.probed_at >= PROBE_INTERVAL_S

    def probe_started(self, now: float) -> None:
        """Note that an additional connection is being opened."""
        self.probed_at = now

    def probe_failed(self) -> None:
        """Note that the additional connection did not come up, so that the next probe is due at once."""
        self.probed_at = -math.inf
