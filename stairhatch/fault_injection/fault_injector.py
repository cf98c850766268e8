"""Inject the faults of a schedule into real processes and the links between them.

A fault of the endpoint list's lease holder waits until a member holds that lease, and is dropped after
`HOLDER_WAIT_LEASES`. If the schedule requires the fault, the rest of the schedule is paused while it waits;
it is dropped only when all pauses together have reached `MAX_PAUSE_S`. A required change of the voter set
waits in the same way until the previous change has completed. `activations` counts how often each fault took
effect, because a run whose faults had no effect proves nothing.
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
HOLDER_WAIT_LEASES = 2.0  # lease durations for which a fault that is not required waits for a holder
MAX_PAUSE_S = 30.0  # longest total pause of a schedule for waiting required faults
STOP_WAIT_LEASES = 2.0  # lease durations to wait for the holder's next write
ADMIN_TIMEOUT_S = 1.0
RESTART_LEASES = (0.05, 0.3)  # lease durations between kill and start of a member with a new voter set

# Writes a member's configuration file; the arguments are the member, an epoch and the voters of the epoch.
WriteConfig = Callable[[MemberProcess, int, MemberNames], None]


class FaultInjector:
    """Injector that applies each fault of one schedule at its scheduled time.

    It keeps the active and waiting faults, all voter sets so far, and the epoch of the voter set in each
    member's configuration file. A file never returns to an earlier epoch.
    """

    def __init__(
        self,
        schedule: FaultSchedule,
        members: dict[str, MemberProcess],
        links: NetworkLinks,
        rng: random.Random,
        write_config: WriteConfig,
    ) -> None:
        """`write_config` replaces a member's configuration file when its voter set changes."""
        self.schedule = schedule
        self.members = members
        self.links = links
        self.rng = rng
        self.write_config = write_config
        self.tasks = RunTasks()
        self.started_at = 0.0
        self.activations: Counter[str] = Counter()
        self.waiting_faults: list[ScheduledFault] = []
        self.paused_s = 0.0  # total pause of the schedule so far
        self.voter_sets = [schedule.voters]  # index 0 is the set of epoch 1
        self.member_epochs = dict.fromkeys(schedule.members, 1)  # epoch in each member's configuration file

    async def run(self, started_at: float, on_progress: Callable[[float], None]) -> None:
        """Inject all faults; return when the run's duration has passed since `started_at` (monotonic time).

        `on_progress` is called at each poll with the elapsed seconds.
        """
        self.started_at = started_at
        upcoming = sorted(self.schedule.faults, key=lambda each: each.at_s)
        previous_elapsed_s = 0.0
        while (elapsed_s := self.elapsed_s()) < self.duration_s:
            if any(self._is_required(fault) for fault in self.waiting_faults):
                self.paused_s += elapsed_s - previous_elapsed_s
            previous_elapsed_s = elapsed_s
            due_faults, self.waiting_faults = self.waiting_faults, []
            while upcoming and upcoming[0].at_s + self.paused_s <= elapsed_s:
                fault = upcoming.pop(0)
                due_faults.append(replace(fault, at_s=fault.at_s + self.paused_s))
            for fault in due_faults:
                self._inject(fault)
            for fault in [each for each in self.links.conditions.active if _end_s(each) <= elapsed_s]:
                self.links.conditions.active.remove(fault)
            for member in self.members.values():
                member.resume_if_due()
            on_progress(elapsed_s)
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def duration_s(self) -> float:
        """Duration of the run in seconds, including the pauses so far."""
        return self.schedule.duration_s + self.paused_s

    def elapsed_s(self) -> float:
        """Seconds since the run's start."""
        return time.monotonic() - self.started_at

    def records(self) -> list[HistoryRecord]:
        """All members' history records so far, unsorted."""
        return [each for member in self.members.values() for each in member.history()]

    def holder(self) -> MemberProcess | None:
        """Return the current holder of the endpoint list's lease according to the histories, or None."""
        now = time.monotonic()
        for each in reversed(hold_intervals(self.records())):
            if each.lease == ENDPOINT_LIST_LEASE and each.until_s > now:
                return self.members[each.member]
        return None

    def close(self) -> None:
        """Cancel the tasks of the faults in progress."""
        self.tasks.cancel()

    async def back_up_periodically(self) -> None:
        """Copy the members' data directories every `BACKUP_INTERVAL_S`, as a backup script would."""
        while True:
            await asyncio.sleep(BACKUP_INTERVAL_S)
            for member in self.members.values():
                member.back_up()

    def _inject(self, fault: ScheduledFault) -> None:
        if fault.member == HOLDER or fault.kind in (FaultKind.HAND_OVER, FaultKind.STOP_BEFORE_WRITE):
            holder = self.holder()
            if holder is None:
                self._requeue_or_drop(fault)
                return
            fault = replace(fault, member=holder.name)
        if (
            fault.kind is FaultKind.CHANGE_VOTERS
            and self._is_required(fault)
            and not self._voter_set_adopted()
        ):
            self._requeue_or_drop(fault)
            return
        member = self.members.get(fault.member)
        if fault.kind is FaultKind.KILL_ALL:
            self._kill_all(fault)
        elif fault.kind is FaultKind.CHANGE_VOTERS:
            self._change_voters(fault)
        elif member is None or not self._inject_on_member(fault, member):
            self._add_network_condition(fault)

    def _voter_set_adopted(self) -> bool:
        """Whether every voter of the latest voter set votes, and uses that set."""
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
        # Only voters of the previous set record an advance. A voter that is new to the set is admitted by
        # voters that already use the set.
        return voting >= set(voters) and advanced >= set(voters) & set(previous_voters)

    def _is_required(self, fault: ScheduledFault) -> bool:
        return fault.kind.value in self.schedule.required_activations

    def _requeue_or_drop(self, fault: ScheduledFault) -> None:
        """Queue a fault for the next poll, or drop it if it has waited too long."""
        if self._is_required(fault):
            can_wait = self.paused_s < MAX_PAUSE_S
        else:
            can_wait = self.elapsed_s() < fault.at_s + HOLDER_WAIT_LEASES * self.schedule.lease_duration_s
        if can_wait:
            self.waiting_faults.append(fault)

    def _inject_on_member(self, fault: ScheduledFault, member: MemberProcess) -> bool:
        """Inject a fault of a member's process, disk or clock. Return False for any other kind."""
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
            self.tasks.spawn(self._start_after_delay(member, self.rng.uniform(0, fault.duration_s)))

    async def _start_after_delay(self, member: MemberProcess, delay_s: float) -> None:
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
        await self._start_after_delay(member, fault.duration_s)

    def _change_voters(self, fault: ScheduledFault) -> None:
        self.voter_sets.append(fault.members)
        epoch = len(self.voter_sets)
        unchanged_names = set(fault.unchanged_members)
        if HOLDER in unchanged_names and (holder := self.holder()) is not None:
            unchanged_names.add(holder.name)
        for name, member in self.members.items():
            if name not in unchanged_names:
                self.tasks.spawn(self._restart_with_voters(member, epoch, fault))

    async def _restart_with_voters(self, member: MemberProcess, epoch: int, fault: ScheduledFault) -> None:
        """Write a new voter set to a member's file after a random delay, and restart the member."""
        await asyncio.sleep(self.rng.uniform(0, fault.duration_s))
        if epoch < self.member_epochs[member.name]:
            return  # a later change has already been written to the file
        self.member_epochs[member.name] = epoch
        self.write_config(member, epoch, fault.members)
        self.activations[fault.kind.value] += 1
        if member.process is not None:
            member.kill()
            await self._start_after_delay(
                member, self.rng.uniform(*RESTART_LEASES) * self.schedule.lease_duration_s
            )

    async def _fail_disk(self, fault: ScheduledFault, member: MemberProcess, disk: str | float) -> None:
        member.send_command(disk=disk)
        if fault.kind is FaultKind.DISK_SLOW:  # the other disk faults count when a write fails (`run_report`)
            self.activations[fault.kind.value] += 1
        await asyncio.sleep(fault.duration_s)
        member.send_command(disk="well")

    async def _hand_over(self, fault: ScheduledFault, member: MemberProcess) -> None:
        """Request through the holder's admin endpoint that it release the lease to the fault's peer.

        If the request fails, the fault waits for the next holder. A holder that is stopped or down sends no
        response, and a holder that has lost the lease rejects the request.
        """
        response = b""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*member.admin_endpoint)
            writer.write(f"hand-over {ENDPOINT_LIST_LEASE} {fault.peer}\n".encode())
            response = await asyncio.wait_for(reader.read(), ADMIN_TIMEOUT_S)
            writer.close()
        if response.startswith(b"ok"):
            self.activations[fault.kind.value] += 1
        else:
            self._requeue_or_drop(fault)

    async def _stop_before_write(self, fault: ScheduledFault, member: MemberProcess) -> None:
        """Command the holder to stop itself before its next write; resume it after the duration."""
        member.send_command(stop=True)
        deadline = time.monotonic() + STOP_WAIT_LEASES * self.schedule.lease_duration_s
        while time.monotonic() < deadline and not member.stopped_until:
            if member.is_stopped():
                self.activations[fault.kind.value] += 1
                member.stop(fault.duration_s)
            await asyncio.sleep(POLL_INTERVAL_S)
        member.send_command(stop=False)


def _end_s(fault: ScheduledFault) -> float:
    return fault.at_s + fault.duration_s
