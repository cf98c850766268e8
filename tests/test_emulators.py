"""Emulated roster servers and callers: the processor model, lost connections and reconnecting callers."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
import uvloop

from stairhatch.emulators.caller_emulator import CallerEmulator
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.processor import (
    COST_PER_CALL,
    Processor,
    ProcessorProfile,
    ProcessorState,
    SetupAdmission,
)
from stairhatch.emulators.server_emulator import ServerEmulator, ServerEmulatorConnection

# Called numbers, named after the emulated server's reply (stairhatch.emulators.scripted_replies).
NEVER_ANSWERED, PROGRESS_ONLY, ESTABLISHED, REJECTED = "1201", "1602", "1003", "1704"
SETUP_S = 0.1


def processor(**profile: float) -> Processor:
    return Processor(ProcessorProfile(setup_s=SETUP_S, **profile), random.Random(1))


# ---- the processor of a server ----


def test_a_processor_answers_in_order_rejects_setups_beyond_its_queue_and_reports_its_load():
    """An overloaded emulated server shows its overload by queue delay and rejections."""
    busy = processor(max_queue_delay_s=1.0, load_report_error=0.0, retransmission_interval_s=0)

    admissions = [busy.offer(100.0, f"c{serial}") for serial in range(20)]
    queued = admissions.count(SetupAdmission.QUEUED)
    completed = []
    while (due_at := busy.next_completion_at()) is not None:
        completed += busy.take_completed(due_at)

    assert 7 <= queued <= 9
    assert admissions[queued:] == [SetupAdmission.REJECTED] * (20 - queued)
    assert busy.rejected_count == 20 - queued
    assert busy.wasted_work_s > 0
    assert completed == [f"c{serial}" for serial in range(queued)]
    load = busy.report_load(100.0)
    assert load.queue_delay_s > 1.0
    assert load.calls_per_s == pytest.approx(10 / COST_PER_CALL)
    assert busy.report_load(100.1) == load, "the report is refreshed only after its interval"
    assert busy.report_load(200.0).queue_delay_s == 0.0


def test_an_abandoned_setup_costs_work_and_is_not_answered():
    """A server spends its work on a set-up even if the caller cancels the call."""
    server = processor(retransmission_interval_s=0)
    server.offer(100.0, "a")
    server.offer(100.0, "b")

    server.release(100.01, "a")

    assert server.take_completed(101.0) == ["b"]
    assert server.wasted_work_s == pytest.approx(SETUP_S)


@pytest.mark.parametrize(("rate", "crashes"), [(2.0, False), (12.0, True)])
def test_an_overloaded_cold_server_crashes_and_stays_down(rate, crashes):
    """Too much load in the warm-up, which the fourth safety rule forbids, crashes the server for good.

    Rejected set-ups count towards that load.
    """
    cold = processor(initial_capacity_fraction=0.3, warm_up_s=14.0)
    cold.start_cold(100.0)

    admissions = [cold.offer(100.0 + serial / rate, f"c{serial}") for serial in range(int(3 * rate))]
    cold.recover(200.0)

    assert (cold.state is ProcessorState.CRASHED) is crashes
    assert (SetupAdmission.DOWN in admissions) is crashes
    assert (cold.offer(200.0, "x") is SetupAdmission.DOWN) is crashes


def test_a_hung_server_accepts_setups_answers_none_and_forgets_them():
    """A server that recovers from a hang does not answer set-ups that were released long ago."""
    server = processor()
    server.hang()

    assert server.offer(100.0, "a") is SetupAdmission.IGNORED
    assert server.next_completion_at() is None

    server.recover(105.0)

    assert server.offer(105.0, "b") is SetupAdmission.QUEUED
    assert server.take_completed(106.0) == ["b"]


# ---- the observations of a server ----


class StoppedClock:
    """Timers that never fire, so that a server sends no delayed reply and no periodic load report."""

    def time(self) -> float:
        return 0.0

    def call_later(self, *_: Any) -> None:
        pass

    call_at = call_later


class DiscardingTransport(asyncio.Transport):
    """Transport that drops everything written."""

    def write(self, data: Any) -> None:
        pass


def connect(server: ServerEmulator) -> ServerEmulatorConnection:
    connection = ServerEmulatorConnection(server)
    connection.connection_made(DiscardingTransport())
    return connection


def line_of(verb: str, tag: str, **options: str) -> bytes:
    return json.dumps({"verb": verb, "tag": tag, "opts": options}).encode() + b"\n"


@pytest.mark.parametrize("error", [None, ConnectionResetError()], ids=["closed", "reset"])
def test_the_end_of_a_connection_ends_its_pending_setups_and_no_established_call(error):
    """The server reports the loss of each set-up that was pending on the ended connection.

    Without that report the attempt would stay open in the record, and the next attempt of the call would be a
    violation of the rule that allows one open attempt at a time.
    """
    server = ServerEmulator(timers=StoppedClock())
    observed: list[tuple[ObservationKind, str]] = []
    server.observer = lambda kind, number: observed.append((kind, number))
    first, second = connect(server), connect(server)
    for tag, number in (("a", NEVER_ANSWERED), ("b", PROGRESS_ONLY), ("c", ESTABLISHED), ("d", REJECTED)):
        first.data_received(line_of("START", tag, key=number))
    second.data_received(line_of("START", "e", key=NEVER_ANSWERED))
    observed.clear()

    first.connection_lost(error)
    second.data_received(line_of("FINISH", "c"))

    assert observed == [
        (ObservationKind.CONNECTION_LOST, NEVER_ANSWERED),
        (ObservationKind.CONNECTION_LOST, PROGRESS_ONLY),
        (ObservationKind.RELEASE_RECEIVED, ESTABLISHED),
    ]


def test_a_server_without_a_free_line_rejects_the_next_setup():
    """Guards against plays in which a server establishes more calls than it reports lines."""
    server = ServerEmulator(lines=2, timers=StoppedClock())
    server.enforces_lines = True
    connection = connect(server)
    for tag in "abc":
        connection.data_received(line_of("START", tag, key=ESTABLISHED))
    assert list(server.calls) == ["a", "b"]
    connection.data_received(line_of("FINISH", "a"))
    connection.data_received(line_of("START", "d", key=ESTABLISHED))
    assert list(server.calls) == ["b", "d"]


# ---- the connection of a caller ----


def test_a_caller_that_is_reconnecting_may_place_calls():
    """A call placed between two connections raises no error.

    The test runs on uvloop, whose closed transports raise on a write, unlike asyncio's.
    """

    async def place_while_reconnecting() -> int:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        caller = await CallerEmulator.over_tcp(address, "c", 1)
        reconnecting = asyncio.create_task(caller.reconnect(address))
        while not reconnecting.done():
            caller.place("1000", 0.0, loop.time(), lambda *_: None)
            await asyncio.sleep(0)
        await reconnecting
        caller.close()
        server.close()
        return len(caller.calls)

    assert uvloop.run(place_while_reconnecting()) > 1
