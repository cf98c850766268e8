"""Ends the calls at roster servers that have failed silently.

If a server's machine vanishes, is cut off or hangs, no process reports the releases of its calls, and the
coordinator may be down at the same time. The monitor runs a failure detector for each server. While a server
with established calls is suspected, the monitor has additional connections opened. Once the server counts as
lost, it releases these calls on both sides and ends the connections that led to the server. It uses no
socket.
"""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ReleaseCause, RosterServer
from stairhatch.node.failure_detector import FailureDetector, ServerVerdict
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_responses import LossReason
from stairhatch.overload.events import Availability, LoadReport

CHECK_INTERVAL_S = 0.1
LOSS_REASONS = {
    ServerVerdict.SILENT: LossReason.SILENT,
    ServerVerdict.REPLACED: LossReason.REPLACED,
}


class MonitoredPool(Protocol):
    """The interface of the connection pool that the monitor uses."""

    call_manager: CallManager
    active: dict[int, ServerConnection]
    standby: dict[int, ServerConnection]
    handed_over: bool

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Return the active, standby and superseded connections to a server."""

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial a standby to the server of an active connection."""

    def send_release(self, server: RosterServer, ident: str, cause: int) -> bool:
        """Release a call at a server, with a Q.850 cause; return whether it waits to be written."""


class FailureMonitor:
    """The monitor of all roster servers from which messages have been received."""

    def __init__(self, pool: MonitoredPool) -> None:
        """Schedule the first check; the pool notifies the monitor of messages and lost connections."""
        self._pool = pool
        self._call_manager = pool.call_manager
        self._detectors: dict[int, FailureDetector] = {}  # by server id
        self._schedule_check()

    # ---- notifications by the pool ----

    def message_received(
        self, connection: ServerConnection, is_load_report: bool, report: LoadReport
    ) -> None:
        """Note a message on a connection in the detector of its server."""
        server = connection.server
        detector = self._detectors.get(server.id)
        if detector is None:
            detector = self._detectors[server.id] = FailureDetector()
        connected_at = connection.liveness.connected_at
        lines_in_use = None
        if report.total_lines is not None and report.free_lines is not None:
            lines_in_use = report.total_lines - report.free_lines
        now = self._call_manager.clock()
        detector.message_received(connection, connected_at, now, is_load_report, lines_in_use)
        if detector.sightings:
            self._judge_successor(server, detector)

    def connection_lost(self, connection: ServerConnection) -> None:
        """Note the loss of a connection in the detector of its server."""
        if (detector := self._detectors.get(connection.server.id)) is not None:
            detector.connection_lost(connection)

    def release_received(self, connection: ServerConnection, ident: str, cause: int) -> None:
        """Let the normal release of a call that the unconfirmed process held confirm that process."""
        server = connection.server
        detector = self._detectors.get(server.id)
        if detector is None or connection not in detector.successors or cause != ReleaseCause.NORMAL_CLEARING:
            return
        if not self._call_manager.calls.is_established_at(ident, server, detector.lost_before()):
            return
        now = self._call_manager.clock()
        self._call_manager.log(
            "server_confirmed_by_release",
            server=server.record.instance,
            call=ident,
            unconfirmed_s=round(now - detector.confirmed_at, 2),
        )
        detector.confirm_by_release(connection, now)

    def probe_failed(self, server: RosterServer) -> None:
        """Note in a server's detector that an additional connection did not come up."""
        if (detector := self._detectors.get(server.id)) is not None:
            detector.probe_failed()

    # ---- periodic check ----

    def _schedule_check(self) -> None:
        self._call_manager.timers.schedule(self._call_manager.clock() + CHECK_INTERVAL_S, self._check_all)

    def _check_all(self) -> None:
        if self._pool.handed_over:
            return
        self._schedule_check()
        servers = self._call_manager.servers.by_id
        for server_id in [each for each in self._detectors if each not in servers]:
            del self._detectors[server_id]
        for server_id, detector in self._detectors.items():
            self._check(servers[server_id], detector)

    def _check(self, server: RosterServer, detector: FailureDetector) -> None:
        if detector.sightings:
            self._judge_successor(server, detector)
        verdict = detector.check(self._call_manager.clock())
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
        """Trust a possible other process if no call is at risk, or if the coordinator confirms the server."""
        if not self._has_calls(server, detector):
            detector.trust_successors()
        elif not self._shares_address(server):
            self._confirm_by_list(server, detector)

    def _confirm_by_list(self, server: RosterServer, detector: FailureDetector) -> None:
        """Let the coordinator's last answer confirm the process, and log what that rests on."""
        confirmed_at = detector.confirmed_at
        connected_at = detector.sightings[0].connected_at
        listed_at = self._call_manager.servers.list_confirmed_at
        held_calls = len(self._call_manager.calls.established_at(server, detector.lost_before()))
        if detector.confirm_by_list(listed_at, held_calls):
            self._call_manager.log(
                "server_confirmed_by_list",
                server=server.record.instance,
                connected_after_s=round(connected_at - confirmed_at, 2),
                listed_after_s=round(listed_at - confirmed_at, 2),
            )

    def _shares_address(self, server: RosterServer) -> bool:
        """Return whether another server, from which messages may come instead, is listed at the address."""
        return any(
            other is not server
            and other.record.address == server.record.address
            and other.record.availability is not Availability.GONE
            for other in self._call_manager.servers.by_id.values()
        )

    def _has_calls(self, server: RosterServer, detector: FailureDetector) -> bool:
        """Return whether established calls would be lost with the unconfirmed process."""
        return self._call_manager.calls.has_established_at(server, detector.lost_before())

    def _probe(self, server: RosterServer, detector: FailureDetector) -> None:
        """Dial a standby if a probe is due; a server that is alive reports its load on the new connection."""
        connection = self._pool.active.get(server.id)
        if connection is None or not connection.liveness.is_connected:
            return  # the active connection is being dialled already
        now = self._call_manager.clock()
        if server.id not in self._pool.standby and detector.is_probe_due(now):
            detector.probe_started(now)
            self._call_manager.counters.add("server_probes")
            self._pool.dial_standby(connection)

    def _end_calls(self, server: RosterServer, detector: FailureDetector, verdict: ServerVerdict) -> None:
        """Release the lost calls on both sides, and end the connections that led to the lost process."""
        call_manager = self._call_manager
        lost_before = detector.lost_before()
        silent_s = round(call_manager.clock() - detector.last_received_at, 2)
        unconfirmed_s = round(call_manager.clock() - detector.confirmed_at, 2)
        led_to_lost = detector.reset_after_loss()
        lost_ids = call_manager.responses.terminate_established_at(server, lost_before, LOSS_REASONS[verdict])
        call_manager.counters.add("servers_lost")
        call_manager.log(
            "server_lost",
            server=server.record.instance,
            why=verdict.value,
            calls=len(lost_ids),
            unheard_s=silent_s,
            unconfirmed_s=unconfirmed_s,
        )
        for ident in lost_ids:
            self._pool.send_release(server, ident, ReleaseCause.TEMPORARY_FAILURE)
        for connection in self._pool.connections_to(server):
            if connection in led_to_lost or verdict is ServerVerdict.SILENT:
                connection.abort_as_dead()

    # ---- logging of suspicions ----

    def _note_suspected(self, server: RosterServer, detector: FailureDetector) -> None:
        if detector.is_suspected:
            return
        detector.is_suspected = True
        now = self._call_manager.clock()
        self._call_manager.counters.add("servers_suspected")
        self._call_manager.log(
            "server_suspected",
            server=server.record.instance,
            unheard_s=round(now - detector.last_received_at, 2),
            unconfirmed_s=round(now - detector.confirmed_at, 2),
            connections=sum(each.liveness.is_connected for each in self._pool.connections_to(server)),
        )

    def _note_confirmed(self, server: RosterServer, detector: FailureDetector) -> None:
        if detector.is_suspected:
            detector.is_suspected = False
            self._call_manager.log("server_confirmed", server=server.record.instance)
