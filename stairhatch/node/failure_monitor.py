"""Ends the calls at roster servers that have failed without a word.

Where a machine vanishes, is cut off or hangs, nobody reports the ends of the calls there, and the coordinator
may be down just then. The monitor runs a failure detector for each server. While one is suspected, and calls
are established there, it has further connections opened; once the server counts as lost it releases these
calls on both sides and has the connections that led to it ended. It knows no wire and no socket.
"""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ReleaseCause, RosterServer
from stairhatch.node.failure_detector import FailureDetector, ServerVerdict
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_responses import LossReason
from stairhatch.overload.events import Availability

CHECK_INTERVAL_S = 0.1
LOSS_REASONS = {
    ServerVerdict.SILENT: LossReason.SILENT,
    ServerVerdict.REPLACED: LossReason.REPLACED,
}


class MonitoredPool(Protocol):
    """What the monitor asks of the connections to the servers."""

    core: CallManager
    active: dict[int, ServerConnection]
    standby: dict[int, ServerConnection]
    handed_over: bool

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Every connection to a server."""

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial once more to the server of the connection in use."""

    def send_release(self, server: RosterServer, ident: str, cause: int) -> None:
        """Have a server release a call."""


class FailureMonitor:
    """Watches all roster servers to which a connection is kept."""

    def __init__(self, pool: MonitoredPool) -> None:
        """Begin to watch; the pool reports what comes on its connections."""
        self._pool = pool
        self._core = pool.core
        self._detectors: dict[int, FailureDetector] = {}  # by the server's id
        self._schedule_check()

    # ---- what the pool reports ----

    def message_received(self, connection: ServerConnection, is_load_report: bool) -> None:
        """Something came on a connection."""
        server = connection.server
        detector = self._detectors.get(server.id)
        if detector is None:
            detector = self._detectors[server.id] = FailureDetector()
        connected_at = connection.liveness.connected_at
        detector.message_received(connection, connected_at, self._core.clock(), is_load_report)
        if detector.successor_heard_at is not None:
            self._judge_successor(server, detector)

    def connection_lost(self, connection: ServerConnection) -> None:
        """A connection has ended."""
        if (detector := self._detectors.get(connection.server.id)) is not None:
            detector.connection_lost(connection)

    def probe_failed(self, server: RosterServer) -> None:
        """A further connection to a server did not come up."""
        if (detector := self._detectors.get(server.id)) is not None:
            detector.probe_failed()

    # ---- regularly ----

    def _schedule_check(self) -> None:
        self._core.timers.schedule(self._core.clock() + CHECK_INTERVAL_S, self._check_all)

    def _check_all(self) -> None:
        if self._pool.handed_over:
            return
        self._schedule_check()
        servers = self._core.servers.by_id
        for server_id in [each for each in self._detectors if each not in servers]:
            del self._detectors[server_id]
        for server_id, detector in self._detectors.items():
            self._check(servers[server_id], detector)

    def _check(self, server: RosterServer, detector: FailureDetector) -> None:
        if detector.successor_heard_at is not None:
            self._judge_successor(server, detector)
        verdict = detector.check(self._core.clock())
        if verdict is ServerVerdict.CONFIRMED:
            self._note_confirmed(server, detector)
        elif server.record.availability is Availability.GONE or not self._has_calls(server, detector):
            return
        elif verdict is ServerVerdict.UNCONFIRMED:
            self._note_suspected(server, detector)
            self._probe(server, detector)
        else:
            self._end_calls(server, detector, verdict)

    def _judge_successor(self, server: RosterServer, detector: FailureDetector) -> None:
        """Trust what may be another process where no call is at stake, or the coordinator vouches for it."""
        if not self._has_calls(server, detector):
            detector.trust_successor()
        elif not self._shares_address(server):
            detector.confirm_by_list(self._core.servers.list_confirmed_at)

    def _shares_address(self, server: RosterServer) -> bool:
        """Whether another server is listed at its address: what answers there is that one."""
        return any(
            other is not server
            and other.record.address == server.record.address
            and other.record.availability is not Availability.GONE
            for other in self._core.servers.by_id.values()
        )

    def _has_calls(self, server: RosterServer, detector: FailureDetector) -> bool:
        """Whether calls are established that are lost if the process which is not confirmed has gone."""
        return self._core.calls.has_established_at(server, detector.lost_before())

    def _probe(self, server: RosterServer, detector: FailureDetector) -> None:
        """Open a further connection beside the one in use, on which the server would report its load."""
        connection = self._pool.active.get(server.id)
        if connection is None or not connection.liveness.is_connected:
            return  # it is being dialled
        now = self._core.clock()
        if server.id not in self._pool.standby and detector.is_probe_due(now):
            detector.probe_started(now)
            self._core.counters.add("server_probes")
            self._pool.dial_standby(connection)

    def _end_calls(self, server: RosterServer, detector: FailureDetector, verdict: ServerVerdict) -> None:
        """The calls are lost: release them on both sides, and end the connections that led to them."""
        core = self._core
        lost_before = detector.lost_before()
        unheard_s = round(core.clock() - detector.heard_at, 2)
        unconfirmed_s = round(core.clock() - detector.confirmed_at, 2)
        trusted = detector.calls_ended()
        lost = core.responses.terminate_established_at(server, lost_before, LOSS_REASONS[verdict])
        core.counters.add("servers_lost")
        core.log(
            "server_lost",
            server=server.record.instance,
            why=verdict.value,
            calls=len(lost),
            unheard_s=unheard_s,
            unconfirmed_s=unconfirmed_s,
        )
        for ident in lost:
            self._pool.send_release(server, ident, ReleaseCause.TEMPORARY_FAILURE)
        for connection in self._pool.connections_to(server):
            if connection in trusted or verdict is ServerVerdict.SILENT:
                connection.abort_as_dead()

    # ---- the log ----

    def _note_suspected(self, server: RosterServer, detector: FailureDetector) -> None:
        if detector.is_suspected:
            return
        detector.is_suspected = True
        now = self._core.clock()
        self._core.counters.add("servers_suspected")
        self._core.log(
            "server_suspected",
            server=server.record.instance,
            unheard_s=round(now - detector.heard_at, 2),
            unconfirmed_s=round(now - detector.confirmed_at, 2),
            connections=sum(each.liveness.is_connected for each in self._pool.connections_to(server)),
        )

    def _note_confirmed(self, server: RosterServer, detector: FailureDetector) -> None:
        if detector.is_suspected:
            detector.is_suspected = False
            self._core.log("server_confirmed", server=server.record.instance)
