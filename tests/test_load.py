"""The load tool: calls drawn from a seed, what callers and roster servers do, rules read off a record, and
short runs against the real program.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import sys
from typing import Any

import msgspec
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
from stairhatch.load_test.arrivals import CallSource, ScheduledCall, call_sources, scheduled_calls
from stairhatch.load_test.call_rules import CallObservation, CallRuleChecker
from stairhatch.load_test.caller_behaviour import (
    CallInProgress,
    OverloadParameters,
    OverloadThrottle,
    RetryPolicy,
)
from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink
from stairhatch.load_test.errors import LoadPlanError, LoadRunError
from stairhatch.load_test.experiment import planned_runs, read_experiment
from stairhatch.load_test.experiment_results import keep_results
from stairhatch.load_test.experiment_run import run_experiment
from stairhatch.load_test.load_plan import (
    CallerBehaviour,
    LoadClass,
    Transport,
    parse_load_plan,
    read_load_plan,
)
from stairhatch.load_test.load_run import (
    LoadRunResult,
    LoadSetup,
    OperatorSignal,
    check_loopback,
    run_load,
)
from stairhatch.load_test.load_tally import CallOutcome, LoadTally, TallySnapshot
from stairhatch.load_test.server_plan import ServerFault, ServerFaultKind, ServerPlan

from .support.paths import ROOT

KINDS = [
    {"name": "read-roster", "share": 0.75, "number": "1000", "hold_s": 0.5},
    {"name": "save-roster", "share": 0.25, "number": "7000", "hold_s": 0.5, "worth": 3.0, "late_worth": 0.1},
]


def load(**more):
    return parse_load_plan({"phase": [{"seconds": 20.0, "rate": 50.0}], "kind": KINDS, "offices": 6, **more})


# ---- when calls are due ----


def test_the_same_seed_draws_the_same_calls_however_many_processes_place_them():
    """Guards against a load that changes with the machine it runs on."""
    plan = load()
    whole = list(scheduled_calls(plan, 3))
    parts = [due for worker in range(4) for due in scheduled_calls(plan, 3, worker, 4)]
    assert sorted(parts, key=lambda due: due.serial) == whole and whole != list(scheduled_calls(plan, 4))
    assert [due.serial for due in whole] == list(range(len(whole)))
    assert (
        900 < len(whole) < 1100
        and 0.2 < sum(d.load_class.name == "save-roster" for d in whole) / len(whole) < 0.3
    )


def test_ramps_days_and_bursts_change_the_rate_where_they_say():
    """Guards against a load that is another than its file tells."""
    phases = [
        {"seconds": 10, "rate": 10, "to_rate": 30},
        {"seconds": 10, "rate": 10, "to_rate": 30, "day": True},
    ]
    plan = load(phase=phases, burst=[{"at": 4, "seconds": 2, "times": 3}])
    assert [plan.rate(at) for at in (0, 3, 5, 10, 15, 20)] == [10, 16, 60, 10, 30, 0]
    assert plan.rate_bound() >= max(plan.rate(at / 10) for at in range(200))
    inside = [due.at_s for due in scheduled_calls(plan, 1) if 4 <= due.at_s < 6]
    assert 80 < len(inside) < 150


def test_offices_have_their_habits_in_the_shares_told():
    """Guards against a share that rounds away: one office in ten that lies is one of ten."""
    found = call_sources(load(offices=10, tcp=0.3, habits={"oc": 0.4, "oc_lies": 0.1, "obeys": 0.5}))
    assert sum(each.transport is Transport.TCP for each in found) == 3
    assert (
        sum(each.offers_overload_control for each in found) == 5
        and sum(each.ignores_overload_control for each in found) == 1
    )
    assert sum(each.obeys_retry_after for each in found) == 5 and all(
        each.offers_overload_control for each in found if each.ignores_overload_control
    )
    heavy = list(scheduled_calls(load(offices=10, heavy=20.0), 1))
    assert 0.6 < sum(due.source == 0 for due in heavy) / len(heavy) < 0.78


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("offices = 0", "offices"), ("phase = []", "phase"),
        ("[[phase]]\nseconds = 1\nrate = -1", r"phase\[0\].rate"),
        ("[[phase]]\nseconds = 1\nrate = 1\nwarp = 9", "warp"), ("x = ", "Invalid value"),
        ('[[phase]]\nseconds = 1\nrate = 1\n[[kind]]\nname = "a"\nshare = 0.5\nnumber = "1"', "shares"),
        ("[[phase]]\nseconds = 1\nrate = 1\n[habits]\noc = 0.7\noc_lies = 0.7", "oc_lies"),
    ],
)  # fmt: skip
def test_a_file_that_cannot_be_used_is_told_by_its_place(tmp_path, text, place):
    """Guards against a mistyped key that changes the load without a word."""
    path = tmp_path / "x.toml"
    path.write_text(text)
    with pytest.raises(LoadPlanError, match=place) as error:
        read_load_plan(path)
    assert str(path) in str(error.value)


# ---- callers ----

KIND = LoadClass("read-roster", 1.0, "1000")
DUE = ScheduledCall(0.0, 0, 0, KIND, 1.0, False, False)


@pytest.mark.parametrize(
    ("tries", "return_s", "obeys", "least", "most"),
    [(1, None, True, 0, 9), (1, 3.0, True, 3.0, 3.3), (1, 3.0, False, 0, 9), (3, None, True, None, None),
     (1, 60.0, True, None, None)],
)  # fmt: skip
def test_a_refused_caller_returns_when_it_is_told_or_not_at_all(tries, return_s, obeys, least, most):
    """Guards against callers kinder or ruder than their share says."""
    policy = RetryPolicy(
        source=CallSource(0, Transport.UDP, obeys, False, False),
        behaviour=CallerBehaviour(max_retries=2),
        rng=random.Random(5),
    )
    wait = policy.delay_s(CallInProgress(DUE, 100.0, tries), 100.2, return_s)
    assert (wait is None) is (least is None)
    assert wait is None or least <= wait <= most


def parameters(value, algorithm, validity_s, sequence):
    return OverloadParameters(value=value, algorithm=algorithm, validity_s=validity_s, sequence=sequence)


def test_overload_control_holds_for_its_time_and_an_older_word_counts_for_nothing():
    """Guards against a caller that never sends again, or obeys what was overtaken (RFC 7339, 5.5)."""
    chance = random.Random(1)
    good = OverloadThrottle(CallSource(0, Transport.UDP, True, True, False))
    assert good.may_send(100.0, chance)
    good.parameters_received(100.0, parameters(50.0, "loss", 1.0, 2.0))
    good.parameters_received(100.1, parameters(100.0, "loss", 9.0, 1.0))
    sent = sum(good.may_send(100.5, chance) for _ in range(400))
    assert 150 < sent < 250 and good.withheld_count == 400 - sent and good.may_send(101.1, chance)
    good.parameters_received(102.0, parameters(10.0, "rate", 5.0, 3.0))
    assert 29 <= sum(good.may_send(102.0 + n / 100, chance) for n in range(300)) <= 32
    liar, deaf = (
        OverloadThrottle(CallSource(0, Transport.UDP, True, oc, lies))
        for oc, lies in ((True, True), (False, False))
    )
    for each in (liar, deaf):
        each.parameters_received(100.0, parameters(100.0, "loss", 9.0, 1.0))
        assert each.may_send(100.1, chance)


def test_a_caller_that_is_reconnecting_places_calls_and_is_not_ended_by_a_write():
    """Guards against a load whose callers end because a call is due between two connections. On uvloop, whose
    closed transports raise where asyncio's do not.
    """

    async def story() -> int:
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

    assert uvloop.run(story()) > 1


# ---- roster servers ----


NEVER_ANSWERED, RINGS_ONLY, ESTABLISHED, REFUSED = "1201", "1602", "1003", "1704"


class StoppedClock:
    """Timers of a server whose delayed replies and load reports never come."""

    def time(self) -> float:
        return 0.0

    def call_later(self, *_: Any) -> None:
        pass

    call_at = call_later


class DiscardingTransport(asyncio.Transport):
    """What a server writes is read by nobody."""

    def write(self, data: Any) -> None:
        pass


def connect(server: ServerEmulator) -> ServerEmulatorConnection:
    connection = ServerEmulatorConnection(server)
    connection.connection_made(DiscardingTransport())
    return connection


def line_of(verb: str, tag: str, **opts: str) -> bytes:
    return json.dumps({"verb": verb, "tag": tag, "opts": opts}).encode() + b"\n"


def test_a_processor_answers_in_turn_turns_away_past_its_wait_and_tells_both():
    """Guards against stand-ins that bear any load at once, before which overload never shows."""
    processor = Processor(
        ProcessorProfile(
            setup_s=0.1, max_queue_delay_s=1.0, load_report_error=0.0, retransmission_interval_s=0
        ),
        random.Random(1),
    )
    verdicts = [processor.offer(100.0, f"c{n}") for n in range(20)]
    queued = verdicts.count(SetupAdmission.QUEUED)
    assert 7 <= queued <= 9 and verdicts[queued:] == [SetupAdmission.REJECTED] * (20 - queued)
    assert processor.rejected_count == 20 - queued and processor.wasted_work_s > 0
    answered = []
    while (due := processor.next_completion_at()) is not None:
        answered += processor.take_completed(due)
    assert answered == [f"c{n}" for n in range(queued)]
    wait, rate = processor.report_load(100.0)
    assert wait > 1.0 and rate == pytest.approx(10 / COST_PER_CALL)
    assert processor.report_load(100.1) == (wait, rate), "reports are refreshed now and then"
    assert processor.report_load(200.0)[0] == 0.0


def test_what_was_given_up_is_worked_on_and_not_answered():
    """Guards against a stand-in to which a CANCEL is free."""
    processor = Processor(ProcessorProfile(setup_s=0.1, retransmission_interval_s=0), random.Random(1))
    processor.offer(100.0, "a")
    processor.offer(100.0, "b")
    processor.release(100.01, "a")
    assert processor.take_completed(101.0) == ["b"] and processor.wasted_work_s == pytest.approx(0.1)


@pytest.mark.parametrize(("rate", "falls"), [(2.0, False), (12.0, True)])
def test_a_cold_server_that_gets_too_much_falls_and_stays_down(rate, falls):
    """Guards against a stand-in that forgives what the fourth rule forbids; set-ups it turns away count."""
    processor = Processor(
        ProcessorProfile(setup_s=0.1, initial_capacity_fraction=0.3, warm_up_s=14.0), random.Random(1)
    )
    processor.start_cold(100.0)
    verdicts = [processor.offer(100.0 + n / rate, f"c{n}") for n in range(int(3 * rate))]
    assert (processor.state is ProcessorState.CRASHED) is falls is (SetupAdmission.DOWN in verdicts)
    processor.recover(200.0)
    assert (processor.offer(200.0, "x") is SetupAdmission.DOWN) is falls


def test_a_hung_server_takes_and_answers_nothing_and_forgets_it_all():
    """Guards against a silence that ends in a burst of answers to calls long given up."""
    processor = Processor(ProcessorProfile(setup_s=0.1), random.Random(1))
    processor.hang()
    assert processor.offer(100.0, "a") is SetupAdmission.IGNORED and processor.next_completion_at() is None
    processor.recover(105.0)
    assert processor.offer(105.0, "b") is SetupAdmission.QUEUED and processor.take_completed(106.0) == ["b"]


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
def test_a_set_up_is_broken_where_the_softswitch_ends_its_connection_and_an_established_call_is_not(error):
    """Guards against an attempt that the record leaves open for ever though the softswitch has ended its
    connection: the next attempt of that call would break the rule of one attempt out.
    """
    server = ServerEmulator(timers=StoppedClock())
    seen: list[tuple[str, str]] = []
    server.observer = lambda kind, number: seen.append((kind, number))
    first, second = connect(server), connect(server)
    for tag, number in (("a", NEVER_ANSWERED), ("b", RINGS_ONLY), ("c", ESTABLISHED), ("d", REFUSED)):
        first.data_received(line_of("START", tag, key=number))
    second.data_received(line_of("START", "e", key=NEVER_ANSWERED))
    before = len(seen)

    first.connection_lost(error)
    second.data_received(line_of("FINISH", "c"))

    assert seen[before:] == [("broke", NEVER_ANSWERED), ("broke", RINGS_ONLY), ("given up", ESTABLISHED)]


def test_the_weather_of_a_seed_is_the_same_and_a_loss_moves_no_other():
    """Guards against runs that can't be repeated."""
    clear, rough = (
        DatagramConditions(delay_ms=5.0),
        DatagramConditions(
            loss=0.2, duplication=0.1, delay_ms=5.0, reordering=0.1, reordering_delay_ms=100.0
        ),
    )
    ways = [DatagramLink(weather, random.Random(9)) for weather in (rough, rough, clear)]
    told = [[way.draw_delays_s() for _ in range(2000)] for way in ways]
    assert (
        told[0] == told[1]
        and set(told[2]) == {(0.005,)}
        and clear.is_perfect is False
        and DatagramConditions().is_perfect
    )
    assert (
        340 < told[0].count(()) < 460
        and 120 < ways[0].duplicated_count < 220
        and 120 < ways[0].reordered_count < 220
    )
    drier = DatagramLink(
        DatagramConditions(
            loss=0.1, duplication=0.1, delay_ms=5.0, reordering=0.1, reordering_delay_ms=100.0
        ),
        random.Random(9),
    )
    assert all(
        other in ((), one)
        for one, other in zip((drier.draw_delays_s() for _ in range(2000)), told[0], strict=True)
    )


# ---- the rules ----

KEPT = [
    CallObservation(0.0, ObservationKind.CALL_PLACED, "c"),
    CallObservation(0.1, ObservationKind.SETUP_RECEIVED, "c", "r0"),
    CallObservation(0.5, ObservationKind.RELEASE_RECEIVED, "c", "r0"),
    CallObservation(1.1, ObservationKind.SETUP_RECEIVED, "c", "r1"),
    CallObservation(1.2, ObservationKind.REJECTED, "c", "r1"),
    CallObservation(1.21, ObservationKind.SETUP_RECEIVED, "c", "r0"),
    CallObservation(1.3, ObservationKind.ESTABLISHED, "c", "r0"),
    CallObservation(1.31, ObservationKind.FINAL_RESPONSE, "c", status=200, told_apart_by="a"),
    CallObservation(1.9, ObservationKind.FINAL_RESPONSE, "c", status=200, told_apart_by="a"),
    CallObservation(5.0, ObservationKind.CALLER_HUNG_UP, "c"),
    CallObservation(5.01, ObservationKind.RELEASE_RECEIVED, "c", "r0"),
]


def changed(*without, more=()):
    return [each for index, each in enumerate(KEPT) if index not in without] + list(more)


@pytest.mark.parametrize(
    ("story", "rules"),
    [
        (KEPT, []),
        (changed(7, 8, 9, 10), ["answer"]),
        (
            changed(
                more=[
                    CallObservation(2.0, ObservationKind.FINAL_RESPONSE, "c", status=503, told_apart_by="b")
                ]
            ),
            ["answer"],
        ),
        (
            changed(
                more=[
                    CallObservation(2.0, ObservationKind.FINAL_RESPONSE, "c", status=200, told_apart_by="b")
                ]
            ),
            ["answer"],
        ),
        (changed(0), ["answer"]),
        (changed(2), ["one attempt"]),
        (changed(2, more=[CallObservation(0.5, ObservationKind.CONNECTION_LOST, "c", "r0")]), []),
        (changed(2, more=[CallObservation(0.8, ObservationKind.CONNECTION_LOST, "c", "r0")]), ["pause"]),
        (
            changed(
                3,
                4,
                more=[
                    CallObservation(0.8, ObservationKind.SETUP_RECEIVED, "c", "r1"),
                    CallObservation(0.9, ObservationKind.REJECTED, "c", "r1"),
                ],
            ),
            ["pause"],
        ),
        (changed(10), ["release"]),
        (changed(9, 10, more=[CallObservation(1.25, ObservationKind.CALLER_VANISHED, "c")]), ["release"]),
        (
            changed(
                9,
                10,
                more=[
                    CallObservation(1.25, ObservationKind.CALLER_VANISHED, "c"),
                    CallObservation(33.4, ObservationKind.RELEASE_RECEIVED, "c", "r0"),
                ],
            ),
            [],
        ),
        (
            changed(9, 10, more=[CallObservation(5.0, ObservationKind.RELEASED_BY_SERVER, "c", "r0")]),
            ["release"],
        ),
        (
            changed(
                9,
                10,
                more=[
                    CallObservation(5.0, ObservationKind.RELEASED_BY_SERVER, "c", "r0"),
                    CallObservation(5.1, ObservationKind.BYE_RECEIVED, "c"),
                ],
            ),
            [],
        ),
        (changed(more=[CallObservation(0.0, ObservationKind.DRAIN_NOTIFIED, "", "r1")]), ["drain"]),
        (changed(more=[CallObservation(0.3, ObservationKind.DRAIN_NOTIFIED, "", "r1")]), []),
        (
            changed(
                more=[
                    CallObservation(1.2 + n / 1000, w, "c", "r1")
                    for n in range(1, 5)
                    for w in (ObservationKind.SETUP_RECEIVED, ObservationKind.REJECTED)
                ]
            ),
            ["attempts"],
        ),
    ],
)
def test_each_rule_is_read_off_the_record_and_no_other(story, rules):
    """Guards against a checker that passes everything, or calls one thing by another's name."""
    assert [each.rule for each in CallRuleChecker(60.0).check(list(story))] == rules
    assert CallRuleChecker(1.25).check(KEPT[:3]) == [], "a call that is under way owes nothing yet"


# ---- what came of it ----


def test_tallies_add_up_and_a_tool_that_was_late_proves_nothing():
    """Guards against figures of a load that was never brought."""
    one, two = LoadTally(), LoadTally()
    for tally, count, late_s in ((one, 300, 0.001), (two, 10, 0.4)):
        for number in range(count):
            tally.call_offered(KIND, number / 10, late_s)
            tally.call_ended(KIND, number / 10, CallOutcome.ESTABLISHED, 0.2 if number % 2 else 2.0)
    assert not one.void_reason() and "late" in two.void_reason() and LoadTally().void_reason()
    whole = LoadTally()
    for each in (one, two):
        whole.add(msgspec.json.decode(msgspec.json.encode(each.snapshot()), type=TallySnapshot))
    assert whole.counts["asked"] == 310 and whole.weight_offered == 310
    assert whole.weight_earned == 155 and whole.void_reason()
    assert whole.figures(30.0)["in_time_a_second"] == pytest.approx(155 / 30)
    assert whole.figures(30.0)["stood_p99_ms"] == pytest.approx(2000, rel=0.02)


# ---- on sockets ----


def test_a_load_over_a_bad_way_with_a_server_that_hangs_breaks_no_rule():
    """Guards against the rules under loss, copies, a hung server, cut connections and a reload at once. What
    the machine can bear is not judged here: only the rules are, and that calls stood.
    """
    plan = load(
        phase=[{"seconds": 6.0, "rate": 40.0}],
        tcp=0.34,
        cuts=[3.0],
        habits={"vanish": 0.05, "cancels": 0.05, "cancel_s": 0.3, "oc": 0.3, "oc_lies": 0.2},
    )
    faults = (ServerFault(1.0, 0, ServerFaultKind.HANG), ServerFault(4.0, 0, ServerFaultKind.RECOVER))
    servers = ServerPlan(count=2, setup_ms=5.0, faults=faults)
    conditions = DatagramConditions(loss=0.1, duplication=0.1, jitter_ms=5.0)
    signals = (OperatorSignal(2.0, signal.SIGHUP), OperatorSignal(2.5, signal.SIGUSR1))
    result = run_load(LoadSetup(plan, 2, 2, servers=servers, conditions=conditions, signals=signals))
    assert result.is_checked and [each.line() for each in result.violations] == []
    assert result.tally.counts["stood"] > 50
    assert result.usage is not None and result.usage.counters["reloads"] == 1


def test_the_command_tells_a_load_that_cannot_be_run(tmp_path):
    """Guards against load sent to another machine, and against an exit code that hides a fault."""
    path = tmp_path / "load.toml"
    path.write_text("[[phase]]\nseconds = 1\nrate = 1\n")
    command = [sys.executable, "-m", "stairhatch", "load", str(path)]
    done = subprocess.run([*command, "--udp", "192.0.2.1:5060"], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 2 and "no load goes elsewhere" in done.stderr
    with pytest.raises(LoadRunError):
        check_loopback(("example.org", 5060))
    done = subprocess.run([*command, "--tcp", "127.0.0.1:9"], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 2 and "over udp" in done.stderr


@pytest.mark.parametrize("words", [["load", "a.toml"], ["experiment", "a.toml"], ["scale", "a.toml"]])
def test_a_command_without_its_libraries_says_what_to_install(tmp_path, words):
    """Guards against a traceback for who set up the appliance alone, as README's first command does."""
    blocked = "import sys; sys.modules['hdrh'] = None; sys.modules['hdrh.histogram'] = None; "
    start = "sys.argv[0] = 'stairhatch'; from stairhatch.__main__ import main; sys.exit(main())"
    command = [sys.executable, "-c", blocked + start, *words]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    assert f"{words[0]} needs what requirements-load.txt lists" in done.stderr


def test_an_experiment_takes_sides_in_turn_and_keeps_every_run(tmp_path):
    """Guards against sides that meet different calls, and against void runs that vanish from the table."""
    path = tmp_path / "e.toml"
    path.write_text(
        'name = "two"\nrates = [10, 20]\nseconds = 2\nrepeats = 2\n'
        '[[side]]\nname = "a"\n[[side]]\nname = "b"\n'
        "[load]\noffices = 2\n[[load.phase]]\nseconds = 1\nrate = 1\n"
    )
    told = read_experiment(path)
    assert [(each.rate, each.repeat, each.side.name) for each in planned_runs(told)][:4] == [
        (10, 0, "a"), (10, 0, "b"), (10, 1, "b"), (10, 1, "a"),
    ]  # fmt: skip
    drawn = []

    def one(setup):
        drawn.append((setup.seed, setup.plan.rate(1.0)))
        tally = LoadTally()
        for due in scheduled_calls(setup.plan, setup.seed):
            tally.call_offered(due.load_class, due.at_s, 0.5 if len(drawn) == 1 else 0.0)
            tally.call_ended(due.load_class, due.at_s, CallOutcome.ESTABLISHED, 0.1)
        return LoadRunResult(tally=tally, seconds=setup.plan.seconds, is_checked=True)

    runs = run_experiment(told, run_one=one)
    assert len(runs) == 8 and drawn[0] == drawn[1] == (1, 10) and drawn[2] == (2, 10)
    where = keep_results(told, runs, tmp_path / "out", "a command")
    text = (where / "table.md").read_text()
    assert "Void runs: 1 of 8" in text and "| 20 | b |" in text
    assert len(json.loads((where / "experiment.json").read_text())["runs"]) == 8
    assert (where / "chart.svg").read_text().startswith("<?xml")
