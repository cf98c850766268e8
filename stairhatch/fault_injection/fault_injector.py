"""Carry out a fault schedule on real processes and the links between them.

A fault that concerns the holder of the endpoint list's lease waits until somebody holds it. Where the run
proves nothing without that fault, the rest of the schedule is put off until then; and so where a change of
the voter set finds that the last one has not come through. `activations` counts how often each fault took
effect, since a run whose faults did nothing proves nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Callable

from msgspec.structs import replace

from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.lease_rules import hold_intervals
from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.fault_injection.network_links import NetworkLinks
from stairhatch.fault_injection.run_tasks import RunTasks
from stairhatch.fault_injection.schedule import (
    DATA_DIRECTORY_FAULTS,
    ENDPOINT_LIST_LEASE,
    HOLDER,
    FaultKind,
    FaultSchedule,
    MemberNames,
    ScheduledFault,
    blocks_traffic,
)
from stairhatch.fleet.effects import LeaseEventKind

POLL_INTERVAL_S = 0.005
BACKUP_INTERVAL_S = 0.5
HOLDER_WAIT_LEASES = 2.0  # lease durations for which a fault that wants a holder waits for one
MAX_PAUSE_S = 30.0  # for which a schedule is put off in all, for required faults that wait
STOP_WAIT_LEASES = 2.0  # lease durations for which a holder is given work at which to stop
ADMIN_TIMEOUT_S = 1.0
RESTART_LEASES = (0.05, 0.3)  # lease durations after which a member with another voter set is started again

WriteConfig = Callable[[MemberProcess, int, MemberNames], None]  # of a member, for an epoch and its voters


class FaultInjector:
    """Injects the faults of one schedule, each at its time.

    Holds the faults that are under way or wait, the voter sets, and the epoch of the one in each member's
    file: a file never goes back to an earlier epoch.
    """

    def __init__(
        self,
        schedule: FaultSchedule,
        members: dict[str, MemberProcess],
        links: NetworkLinks,
        rng: random.Random,
        write_config: WriteConfig,
    ) -> None:
        """Inject into the members and links of one run; `write_config` changes a member\'s file."""
        self.schedule = schedule
        self.members = members
        self.links = links
        self.rng = rng
        self.write_config = write_config
        self.tasks = RunTasks()
        self.started_at = 0.0
        self.activations: Counter[str] = Counter()
        self.waiting_faults: list[ScheduledFault] = []
        self.paused_s = 0.0  # for which the schedule was put off so far
        self.voter_sets = [schedule.voters]  # by their epochs, from 1
        self.member_epochs = dict.fromkeys(schedule.members, 1)  # of the voter set in each file

    async def run(self, started_at: float, on_progress: Callable[[float], None]) -> None:
        """Inject all faults, until the run's duration has passed since `started_at` (monotonic time).

        `on_progress` is called with the seconds that have passed.
        """
        self.started_at = started_at
        upcoming = sorted(self.schedule.faults, key=lambda each: each.at_s)
        last_s = 0.0
        while (elapsed_s := self.elapsed_s()) < self.duration_s:
            if any(self._is_required(fault) for fault in self.waiting_faults):
                self.paused_s += elapsed_s - last_s
            last_s = elapsed_s
            due, self.waiting_faults = self.waiting_faults, []
            while upcoming and upcoming[0].at_s + self.paused_s <= elapsed_s:
                fault = upcoming.pop(0)
                due.append(replace(fault, at_s=fault.at_s + self.paused_s))
            for fault in due:
                self._inject(fault)
            for fault in [each for each in self.links.conditions.active if _end_s(each) <= elapsed_s]:
                self.links.conditions.active.remove(fault)
            for member in self.members.values():
                member.resume_if_due()
            on_progress(elapsed_s)
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def duration_s(self) -> float:
        """Seconds that the run takes, as far as is known."""
        return self.schedule.duration_s + self.paused_s

    def elapsed_s(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.started_at

    def records(self) -> list[HistoryRecord]:
        """The histories of all members so far, in no order."""
        return [each for member in self.members.values() for each in member.history()]

    def holder(self) -> MemberProcess | None:
        """The member that holds the endpoint list's lease now, by the histories."""
        now = time.monotonic()
        for each in reversed(hold_intervals(self.records())):
            if each.lease == ENDPOINT_LIST_LEASE and each.until_s > now:
                return self.members[each.member]
        return None

    def close(self) -> None:
        """End the faults that are under way."""
        self.tasks.cancel()

    async def back_up_regularly(self) -> None:
        """Copy the members' data directories now and then, as somebody's script would."""
        while True:
            await asyncio.sleep(BACKUP_INTERVAL_S)
            for member in self.members.values():
                member.back_up()

    def _inject(self, fault: ScheduledFault) -> None:
        if fault.member == HOLDER or fault.kind in (FaultKind.HAND_OVER, FaultKind.STOP_BEFORE_WRITE):
            holder = self.holder()
            if holder is None:
                self._wait(fault)
                return
            fault = replace(fault, member=holder.name)
        if fault.kind is FaultKind.CHANGE_VOTERS and self._is_required(fault) and not self._has_settled():
            self._wait(fault)
            return
        member = self.members.get(fault.member)
        if fault.kind is FaultKind.KILL_ALL:
            self._kill_all(fault)
        elif fault.kind is FaultKind.CHANGE_VOTERS:
            self._change_voters(fault)
        elif member is None or not self._inject_on_member(fault, member):
            self._add_network_condition(fault)

    def _has_settled(self) -> bool:
        """Whether all voters of the last voter set vote, each by that set."""
        epoch, voters = len(self.voter_sets), self.voter_sets[-1]
        previous_voters = self.voter_sets[-2] if epoch > 1 else ()
        records = self.records()
        voting = {
            each.member
            for each in records
            if each.event == LeaseEventKind.VOTING.value
            and each.start_number == self.members[each.member].start_count
        }
        advanced = {
            each.member
            for each in records
            if each.event == LeaseEventKind.VOTER_SET_ADVANCED.value and each.fencing_token == epoch
        }
        # A voter that is new to the set is admitted by those that go by it.
        return voting >= set(voters) and advanced >= set(voters) & set(previous_voters)

    def _is_required(self, fault: ScheduledFault) -> bool:
        return fault.kind.value in self.schedule.required_activations

    def _wait(self, fault: ScheduledFault) -> None:
        """Inject it anew at the next poll, unless it has waited for too long."""
        if self._is_required(fault):
            may_wait = self.paused_s < MAX_PAUSE_S
        else:
            may_wait = self.elapsed_s() < fault.at_s + HOLDER_WAIT_LEASES * self.schedule.lease_duration_s
        if may_wait:
            self.waiting_faults.append(fault)

    def _inject_on_member(self, fault: ScheduledFault, member: MemberProcess) -> bool:
        """Inject a fault of one process, its disk or its clock; whether it was one."""
        match fault.kind:
            case FaultKind.STOP:
                self.activations[fault.kind.value] += member.stop(fault.duration_s)
            case FaultKind.KILL:
                self.tasks.spawn(self._kill_and_restart(fault, member))
            case kind if kind in DATA_DIRECTORY_FAULTS:
                self.tasks.spawn(self._kill_and_restart(fault, member))
            case FaultKind.DISK_FULL:
                self.tasks.spawn(self._fail_disk(fault, member, "full"))
            case FaultKind.DISK_READ_ONLY:
                self.tasks.spawn(self._fail_disk(fault, member, "read-only"))
            case FaultKind.DISK_SLOW:
                self.tasks.spawn(self._fail_disk(fault, member, fault.amount))
            case FaultKind.STEP_WALL_CLOCK if member.process is not None:
                self.activations[fault.kind.value] += 1
                member.send_command(step=fault.amount)
            case FaultKind.STOP_BEFORE_WRITE:
                self.tasks.spawn(self._stop_before_write(fault, member))
            case FaultKind.HAND_OVER:
                self.tasks.spawn(self._hand_over(fault, member))
            case _:
                return False
        return True

    def _add_network_condition(self, fault: ScheduledFault) -> None:
        blocks = any(blocks_traffic(fault, a, b) for a in self.members for b in self.members)
        if blocks or fault.amount:
            self.links.conditions.active.append(fault)

    def _kill_all(self, fault: ScheduledFault) -> None:
        for member in self.members.values():
            self.activations[fault.kind.value] += member.kill()
        for member in self.members.values():
            self.tasks.spawn(self._start_later(member, self.rng.uniform(0, fault.duration_s)))

    async def _start_later(self, member: MemberProcess, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        member.start()

    async def _kill_and_restart(self, fault: ScheduledFault, member: MemberProcess) -> None:
        kind = fault.kind
        self.activations[kind.value] += member.kill() or kind in DATA_DIRECTORY_FAULTS
        restored = kind is FaultKind.RESTORE_OLD_DATA_DIRECTORY and member.restore_backup(
            time.monotonic() - max(BACKUP_INTERVAL_S, fault.amount)
        )
        if kind is FaultKind.FLIP_BIT:
            member.flip_bit(self.rng)
        elif kind in DATA_DIRECTORY_FAULTS and not restored:
            member.delete_data_directory()
        await self._start_later(member, fault.duration_s)

    def _change_voters(self, fault: ScheduledFault) -> None:
        self.voter_sets.append(fault.members)
        epoch = len(self.voter_sets)
        unchanged = set(fault.unchanged_members)
        if HOLDER in unchanged and (holder := self.holder()) is not None:
            unchanged.add(holder.name)
        for name, member in self.members.items():
            if name not in unchanged:
                self.tasks.spawn(self._restart_with_voters(member, epoch, fault))

    async def _restart_with_voters(self, member: MemberProcess, epoch: int, fault: ScheduledFault) -> None:
        """Write the next voter set to a member's file, some time after the others', and start it again."""
        await asyncio.sleep(self.rng.uniform(0, fault.duration_s))
        if epoch < self.member_epochs[member.name]:
            return  # a later one was quicker
        self.member_epochs[member.name] = epoch
        self.write_config(member, epoch, fault.members)
        self.activations[fault.kind.value] += 1
        if member.process is not None:
            member.kill()
            await self._start_later(
                member, self.rng.uniform(*RESTART_LEASES) * self.schedule.lease_duration_s
            )

    async def _fail_disk(self, fault: ScheduledFault, member: MemberProcess, disk: str | float) -> None:
        member.send_command(disk=disk)
        if fault.kind is FaultKind.DISK_SLOW:  # a full disk is activated by a write that fails
            self.activations[fault.kind.value] += 1
        await asyncio.sleep(fault.duration_s)
        member.send_command(disk="well")

    async def _hand_over(self, fault: ScheduledFault, member: MemberProcess) -> None:
        """Have the holder release the lease by its admin endpoint.

        A holder that is stopped or dead does not answer, and one that has lost the lease rejects it: then the
        fault waits for the next holder.
        """
        answer = b""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*member.admin_endpoint)
            writer.write(f"hand-over {ENDPOINT_LIST_LEASE} {fault.peer}\n".encode())
            answer = await asyncio.wait_for(reader.read(), ADMIN_TIMEOUT_S)
            writer.close()
        if answer.startswith(b"ok"):
            self.activations[fault.kind.value] += 1
        else:
            self._wait(fault)

    async def _stop_before_write(self, fault: ScheduledFault, member: MemberProcess) -> None:
        """Have the holder stop itself at its next piece of work, and resume it after the duration."""
        member.send_command(stop=True)
        give_up_at = time.monotonic() + STOP_WAIT_LEASES * self.schedule.lease_duration_s
        while time.monotonic() < give_up_at and not member.stopped_until:
            if member.is_stopped():
                self.activations[fault.kind.value] += 1
                member.stop(fault.duration_s)
            await asyncio.sleep(POLL_INTERVAL_S)
        member.send_command(stop=False)


def _end_s(fault: ScheduledFault) -> float:
    return fault.at_s + fault.duration_s
