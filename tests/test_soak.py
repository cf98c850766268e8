"""Dense trials: the drawing of schedules, the ports that can fail, and one short trial from end to end."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from dataclasses import replace
from itertools import pairwise

import pytest
import uvloop

from stairhatch.config.platform import RELOAD_SCHEMA
from stairhatch.settings.lost_keys import check_no_key_lost
from stairhatch.soak.batch import TrialRequest, run_trial
from stairhatch.soak.errors import TrialError
from stairhatch.soak.optional_keys import with_optional_keys
from stairhatch.soak.port import Port
from stairhatch.soak.rules import RuleChecker
from stairhatch.soak.schedule import ServerVanishes, TimedAction, draw_schedule
from stairhatch.soak.trial import Trial, TrialResult

from .support.paths import ROOT


def test_the_same_seed_draws_the_same_schedule_and_another_seed_a_different_one():
    """A trial that broke a rule must be repeatable from its seed."""
    assert draw_schedule(7).to_json_dict() == draw_schedule(7).to_json_dict()
    assert draw_schedule(7).to_json_dict() != draw_schedule(8).to_json_dict()


def test_schedules_of_many_seeds_contain_every_fault_effect_and_kind_of_deadline():
    """A kind of fault that no seed draws would never be tested."""
    schedules = [draw_schedule(seed) for seed in range(60)]
    fault_kinds = {type(each.action).__name__ for schedule in schedules for each in schedule.actions}
    assert len(fault_kinds) == 15
    assert {each.deployment.kill_after_s - 0.6 < 1.1 for each in schedules} == {True, False}
    effects = {each.effect for schedule in schedules for each in schedule.deployment.classes}
    assert len(effects) == 3


def test_reloads_of_a_trial_add_leave_out_and_change_keys_that_are_not_required():
    """Trials whose configurations all have the same keys would not find a file that is rejected for one."""
    settings = draw_schedule(7).deployment.settings(0)
    files = [{"settings": with_optional_keys(settings, change)} for change in range(13)]
    left_out = [check_no_key_lost(old, new, RELOAD_SCHEMA) for old, new in pairwise(files)]
    paths = {path for each in left_out for path in each}
    assert {"settings.prices.fleet", "settings.undocumented"} < paths
    assert len({type(each["settings"].get("undocumented")) for each in files}) == 4


@pytest.mark.parametrize("words", [["trial", "-1"], ["batch", "9-3"], ["trial", "x"]])
def test_an_unusable_seed_ends_the_command_with_an_error_and_exit_code_2(words):
    """An unusable seed is an error of the command line, not a failed trial."""
    command = [sys.executable, "-m", "stairhatch", "soak", *words]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert completed.returncode == 2
    assert completed.stderr.strip()


def test_a_port_leaves_connects_unanswered_refuses_them_and_accepts_again():
    """Trials emulate a lost machine, a crashed process and their return with these states of a port."""

    async def connect_result(port: Port, within_s: float) -> str:
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port.number), within_s)
        except TimeoutError:
            return "unanswered"
        except ConnectionRefusedError:
            return "refused"
        writer.close()
        return "up"

    async def scenario() -> list[str]:
        accepted: list[socket.socket] = []
        port = Port(accepted.append)
        port.accept()
        results = [await connect_result(port, 5.0)]
        port.leave_unanswered()
        results.append(await connect_result(port, 0.3))
        port.accept()
        results.append(await connect_result(port, 5.0))
        port.refuse()
        results.append(await connect_result(port, 5.0))
        port.accept()
        results.append(await connect_result(port, 5.0))
        port.close()
        for each in accepted:
            each.close()
        return results

    assert uvloop.run(scenario()) == ["up", "unanswered", "up", "refused", "up"]


def test_no_other_socket_can_bind_a_port_while_it_refuses():
    """Guards against a port that another trial's server takes while its own server is down, which happened.

    The test connects to the port at no time: a connection that has just ended would itself keep the port from
    other sockets and hide the fault.
    """

    async def scenario() -> None:
        port = Port(lambda _: None)
        port.refuse()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port.number))
        port.close()

    uvloop.run(scenario())


def test_a_trial_whose_softswitches_do_not_start_counts_as_not_run(monkeypatch):
    """A trial that could not be run must not count as one that kept every rule."""
    monkeypatch.setattr("stairhatch.soak.softswitch.Softswitch._wait_until_serving", never_serves)
    summary = run_trial(TrialRequest(3))
    assert "does not serve" in summary.error
    assert summary.line().startswith("seed 3: NOT RUN")


async def never_serves(_softswitch) -> bool:
    return False


def test_a_short_trial_with_a_vanished_server_keeps_every_rule(tmp_path):
    """Runs harness, softswitches and rule checks from end to end.

    A server's machine is lost for good and leaves the endpoint list far too late; the softswitches must still
    release all its calls towards their callers. The fault must have taken effect on established calls.
    """
    drawn = draw_schedule(5)
    deployment = replace(
        drawn.deployment,
        softswitches=2,
        servers=3,
        calls_per_s=15.0,
        classes=tuple(replace(each, call_length_s=6.0) for each in drawn.deployment.classes),
    )
    vanish = TimedAction(2.0, ServerVanishes(0, None, same_address=False, listed_after_s=12.0))
    schedule = replace(drawn, deployment=deployment, duration_s=5.0, actions=(vanish,))
    result = uvloop.run(Trial(schedule, tmp_path).run())
    assert not violations_of(result)
    assert result.record.activations["ServerVanishes"] == 1
    assert not result.ineffective_faults()
    lost_calls = [each for each in result.record.observations if each.detail == "vanished"]
    assert lost_calls, "calls were established at the server"


def violations_of(result: TrialResult) -> list[str]:
    """Return the violations with the limits extended by the time a softswitch waited for a processor.

    A busy machine must not change the verdict.
    """
    record = result.record
    record.stalled_s += record.starved_s
    return [each.line(record.started_at) for each in RuleChecker(result.schedule.deployment, record).check()]


def test_a_trial_error_names_the_seed():
    """The error must identify the seed when many seeds are run."""
    with pytest.raises(TrialError, match="seed -3"):
        draw_schedule(-3)
