"""Injects the faults of a trial's schedule and counts how often each kind of fault took effect."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from stairhatch.node import sip_message as sip
from stairhatch.soak import schedule
from stairhatch.soak.caller import Callers
from stairhatch.soak.record import Kind, Record
from stairhatch.soak.roster_server import LinkConnection
from stairhatch.soak.softswitch import Softswitch
from stairhatch.soak.world import TERMINATED, TERMINATING, Place, World

BAD_CALLER_DURATION_S = 4.0  # a connection of a bad caller is closed after this time
RELOAD_WINDOW_S = 1.0  # the reloads of one SettingsChange all happen within this time
TRUNCATED_LINE = b'{"verb":"LOAD","tag":"","opts":{"lo'  # the beginning of a load report


class InjectedTrial(Protocol):
    """Protocol of the parts of a trial that the injector uses."""

    schedule: schedule.Schedule
    world: World
    callers: Callers
    softswitches: list[Softswitch]
    record: Record

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task that is cancelled when the trial ends."""


class TrialInjector:
    """Injector of the faults of one trial; each type of action has its own method.

    A method returns whether its fault took effect. It returns False if, for example, the server to fail has
    already failed.
    """

    def __init__(self, trial: InjectedTrial) -> None:
        """Create the injector of a trial; its random choices depend only on the seed of the schedule."""
        self._trial = trial
        self._world = trial.world
        self._rng = random.Random(f"inject {trial.schedule.seed}")

    def inject(self, action: schedule.Action) -> None:
        """Inject the fault of an action and count it in the record if it took effect."""
        handlers: dict[type[schedule.Action], Callable[[Any], bool]] = {
            schedule.ServerVanishes: self._lose_server,
            schedule.ServerDies: self._kill_server,
            schedule.ServerHangs: self._hang_server,
            schedule.LinkCut: self._cut_link,
            schedule.DialsLate: self._delay_dials,
            schedule.ConnectionsReset: self._reset_connections,
            schedule.AnswersSpoilt: self._spoil_answers,
            schedule.ServerDrains: self._drain_server,
            schedule.DiscoveryFails: self._fail_discovery,
        }
        if handlers.get(type(action), self._disturb_softswitch)(action):
            self._trial.record.activations[type(action).__name__] += 1

    def _disturb_softswitch(self, action: schedule.Action) -> bool:
        match action:
            case schedule.SoftswitchRestarts() | schedule.SoftswitchKilled():
                return self._restart(action)
            case schedule.SettingsChange():
                self._trial.spawn(self._reload(action))
            case schedule.DrainToggled():
                return self._toggle_drain(action)
            case schedule.CrowdOfCallers():
                softswitch = self._trial.softswitches[action.softswitch]
                for _ in range(action.calls):
                    self._trial.callers.place(action.softswitch, softswitch.takes_connections)
            case schedule.BadCallers():
                for _ in range(action.connections):
                    self._trial.spawn(self._run_bad_caller(action.softswitch))
        return True

    def _later(self, delay_s: float, step: Callable[..., object], *arguments: object) -> None:
        asyncio.get_running_loop().call_later(delay_s, step, *arguments)

    # ---- faults of roster servers ----

    def _reserve_place(self, number: int) -> Place | None:
        """Mark a place as busy with a failure and return it; return None if it may not fail now."""
        place = self._world.places[number]
        if not self._world.may_fail(place):
            return None
        place.is_busy = True
        return place

    def _lose_server(self, action: schedule.ServerVanishes) -> bool:
        place = self._reserve_place(action.server)
        if place is None:
            return False
        instance = place.server.instance
        place.server.vanish()
        for port in place.ports:
            port.leave_unanswered()
        self._later(action.listed_after_s, self._world.publish, place, TERMINATED, instance)
        if action.returns_after_s is not None:
            self._later(action.returns_after_s, self._replace, place, action.same_address)
        return True

    def _replace(self, place: Place, same_address: bool) -> None:
        self._world.replace(place, same_address)
        self._later(0.05, self._world.publish_start, place)

    def _kill_server(self, action: schedule.ServerDies) -> bool:
        place = self._reserve_place(action.server)
        if place is None:
            return False
        for port in place.ports:
            port.refuse()
        place.server.die()
        self._later(action.restarts_after_s, self._world.restart, place)
        publish_after_s = max(action.listed_after_s, action.restarts_after_s + 0.05)
        self._later(publish_after_s, self._world.publish_start, place)
        return True

    def _hang_server(self, action: schedule.ServerHangs) -> bool:
        place = self._reserve_place(action.server)
        if place is None:
            return False
        place.server.hang()
        self._later(action.for_s, self._resume_server, place)
        return True

    @staticmethod
    def _resume_server(place: Place) -> None:
        place.server.resume()
        place.is_busy = False

    def _cut_link(self, action: schedule.LinkCut) -> bool:
        place = self._reserve_place(action.server)
        if place is None:
            return False
        all_indices = range(self._trial.schedule.deployment.softswitches)
        indices = all_indices if action.softswitch is None else (action.softswitch,)
        for index in indices:
            for link in place.server.links(index):
                link.loses_input = link.loses_input or action.to_server
                link.loses_output = link.loses_output or action.to_softswitch
            place.ports[index].leave_unanswered()
        self._later(action.for_s, self._restore_ports, place, list(indices))
        return True

    @staticmethod
    def _restore_ports(place: Place, indices: list[int]) -> None:
        for index in indices:
            place.ports[index].accept()
        place.is_busy = False

    def _delay_dials(self, action: schedule.DialsLate) -> bool:
        place = self._reserve_place(action.server)
        if place is None:
            return False
        for port in place.ports:
            port.leave_unanswered()
        self._later(action.for_s, self._restore_ports, place, list(range(len(place.ports))))
        return True

    def _reset_connections(self, action: schedule.ConnectionsReset) -> bool:
        links: list[LinkConnection] = self._world.places[action.server].server.links()
        delivering_links = [each for each in links if each.delivers()]
        for link in delivering_links:
            if action.how == "reset in a line":
                link.write(TRUNCATED_LINE)
            if action.how == "close":
                link.transport.close()
            else:
                link.reset()
        return bool(delivering_links)

    def _spoil_answers(self, action: schedule.AnswersSpoilt) -> bool:
        server = self._world.places[action.server].server
        server.spoils = action.kind
        self._later(action.for_s, setattr, server, "spoils", "")
        return server.is_alive

    def _drain_server(self, action: schedule.ServerDrains) -> bool:
        place = self._reserve_place(action.server)
        if place is None:
            return False
        self._world.publish(place, TERMINATING)
        self._later(action.ends_after_s, self._end_drained, place)
        return True

    def _end_drained(self, place: Place) -> None:
        """Stop a drained server, which ends its remaining calls, and start another at a new address."""
        instance = place.server.instance
        for port in place.ports:
            port.refuse()
        place.server.die()
        self._world.publish(place, TERMINATED, instance)
        self._world.replace(place, same_address=False)
        self._world.publish_start(place)

    # ---- faults of the coordinators ----

    def _fail_discovery(self, action: schedule.DiscoveryFails) -> bool:
        coordinators = self._world.coordinators
        if any(each.failure for each in coordinators):
            return False
        for coordinator in coordinators:
            coordinator.fail(action.kind)
        self._trial.spawn(self._recover_discovery(action.for_s))
        return True

    async def _recover_discovery(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        for coordinator in self._world.coordinators:
            await coordinator.recover()

    # ---- disturbances of softswitches ----

    def _restart(self, action: schedule.SoftswitchRestarts | schedule.SoftswitchKilled) -> bool:
        softswitch = self._trial.softswitches[action.softswitch]
        if not softswitch.is_serving:
            return False
        softswitch.is_serving = False
        if isinstance(action, schedule.SoftswitchKilled):
            self._trial.spawn(softswitch.restart_after_kill(self._known_events(softswitch)))
        else:
            kill_after_s = self._trial.schedule.deployment.kill_after_s
            self._trial.spawn(softswitch.restart(self._known_events(softswitch), kill_after_s))
        return True

    def _known_events(self, softswitch: Softswitch) -> Callable[[], dict[str, Any]]:
        return lambda: self._world.known_events(softswitch.index)

    async def _reload(self, action: schedule.SettingsChange) -> None:
        softswitch = self._trial.softswitches[action.softswitch]
        for _ in range(action.times):
            for each in softswitch.settings["classes"]:
                each["importance"] = round(self._rng.uniform(0.5, 3.0), 2)
            if softswitch.is_serving:
                softswitch.reload()
            await asyncio.sleep(self._rng.uniform(0.0, RELOAD_WINDOW_S / action.times))
        coordinator = self._world.coordinators[action.softswitch]
        if action.moves_coordinator and softswitch.is_serving and not coordinator.failure:
            softswitch.coordinator = await coordinator.move()
            softswitch.reload()

    def _toggle_drain(self, action: schedule.DrainToggled) -> bool:
        softswitch = self._trial.softswitches[action.softswitch]
        if not softswitch.is_serving:
            return False
        softswitch.is_serving = False
        self._trial.spawn(self._drain_softswitch(softswitch, action.for_s))
        return True

    async def _drain_softswitch(self, softswitch: Softswitch, for_s: float) -> None:
        record = self._trial.record
        process = softswitch.process_name
        if (await softswitch.command("drain-on")).startswith("ok"):
            record.note(Kind.DRAIN_ON, softswitch=process)
        self._later(0.2, setattr, softswitch, "takes_connections", False)
        await asyncio.sleep(for_s)
        record.note(Kind.DRAIN_OFF, softswitch=process)
        if (await softswitch.command("drain-off")).startswith("ok"):
            softswitch.is_serving = softswitch.takes_connections = True

    # ---- callers that break the protocol ----

    async def _run_bad_caller(self, index: int) -> None:
        """Connect to a softswitch, send noise, half a request, an oversized line or nothing, and wait.

        The connection ends when the softswitch closes it, or after BAD_CALLER_DURATION_S.
        """
        softswitch = self._trial.softswitches[index]
        if not softswitch.takes_connections:
            return
        half_request = sip.request("INVITE", "sip:x@net", [("call-id", "00"), ("cseq", "1 INVITE")])[:40]
        data = self._rng.choice(
            (b"", b"\x00\x01\x02 noise\r\n\r\n", half_request, b"INVITE " + b"x" * 20_000)
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(BAD_CALLER_DURATION_S):
                reader, writer = await asyncio.open_connection(*softswitch.address)
                writer.write(data)
                while await reader.read(4096):
                    pass
                writer.close()
