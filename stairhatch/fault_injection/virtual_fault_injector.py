"""Inject the faults of a schedule into the simulated softswitches and network."""

from __future__ import annotations

from functools import partial

from msgspec.structs import replace

from stairhatch.fault_injection.history import ProcessEvent
from stairhatch.fault_injection.schedule import (
    DATA_DIRECTORY_FAULTS,
    DEFAULT_LEASE_DURATION_S,
    ENDPOINT_LIST_LEASE,
    HOLDER,
    FaultKind,
    ScheduledFault,
)
from stairhatch.fault_injection.virtual_disk import VirtualDisk
from stairhatch.fault_injection.virtual_member import VirtualMember, VirtualRun

BACKUP_INTERVAL_S = 1.0
MIN_BACKUP_AGE_S = 5.0  # of a restored old data directory, at the default lease duration
RESTART_DELAY_RANGE_S = (0.05, 0.5)  # of a member with a new voter set, at the default lease duration


class VirtualFaultInjector:
    """Injector that applies each fault of one run at its scheduled time.

    A fault of the holder has no effect if no member holds the endpoint list's lease at that time.
    """

    def __init__(self, run: VirtualRun, members: dict[str, VirtualMember]) -> None:
        """`members` are all members of the run, by name. No fault is scheduled before `schedule_all`."""
        self.run = run
        self.members = members

    def schedule_all(self) -> None:
        """Schedule all faults and the first backup on the virtual clock."""
        for fault in self.run.schedule.faults:
            self.run.queue.schedule_at(fault.at_s, partial(self._inject, fault))
        self.run.queue.schedule_at(BACKUP_INTERVAL_S, self._back_up)

    def holder(self) -> VirtualMember | None:
        """Return the first member that may act under the endpoint list's lease now; None if there is none."""
        for member in self.members.values():
            protocol = member.protocol
            if protocol is not None and protocol.may_act(member.clock(), ENDPOINT_LIST_LEASE):
                return member
        return None

    def _back_up(self) -> None:
        """Copy all data directories, as a backup script would, and schedule the next copy."""
        for member in self.members.values():
            member.backups.append((self.run.queue.now, member.disk.copy()))
        self.run.queue.schedule_at(self.run.queue.now + BACKUP_INTERVAL_S, self._back_up)

    @property
    def _time_scale(self) -> float:
        return self.run.schedule.lease_duration_s / DEFAULT_LEASE_DURATION_S

    def _inject(self, fault: ScheduledFault) -> None:
        if fault.member == HOLDER:
            holder = self.holder()
            if holder is None:
                return
            fault = replace(fault, member=holder.name)
        member = self.members.get(fault.member)
        if (member is None or not self._inject_on_member(fault, member)) and not self._inject_on_cluster(
            fault
        ):
            self.run.network.add_condition(fault)

    def _inject_on_member(self, fault: ScheduledFault, member: VirtualMember) -> bool:
        """Inject a fault of one process or its disk; return False if the fault is of another kind."""
        ends_at = self.run.queue.now + fault.duration_s
        match fault.kind:
            case FaultKind.STOP:
                self.run.activations[fault.kind.value] += member.protocol is not None
                member.stop(fault.duration_s)
            case FaultKind.KILL:
                self._kill_and_restart(fault, member)
            case kind if kind in DATA_DIRECTORY_FAULTS:
                self._kill_and_restart(fault, member)
            case FaultKind.DISK_FULL | FaultKind.DISK_READ_ONLY:
                member.disk_faults.fail(fault.kind, ends_at)
            case FaultKind.DISK_SLOW:
                member.disk_faults.slow_down(fault.amount, ends_at)
            case _:
                return False
        return True

    def _inject_on_cluster(self, fault: ScheduledFault) -> bool:
        """Inject a fault of the cluster, its holder or a wall clock; return False for other kinds."""
        match fault.kind:
            case FaultKind.KILL_ALL:
                self._kill_all(fault)
            case FaultKind.HAND_OVER:
                self._hand_over(fault)
            case FaultKind.CHANGE_VOTERS:
                self._change_voters(fault)
            case FaultKind.STOP_BEFORE_WRITE:
                self.run.stop_before_write_s = fault.duration_s
            case FaultKind.STEP_WALL_CLOCK:  # counted only: the simulated members read no wall clock
                self.run.activations[fault.kind.value] += 1
            case _:
                return False
        return True

    def _kill_and_restart(self, fault: ScheduledFault, member: VirtualMember) -> None:
        """Kill a member, change its data directory if the fault is of this kind, and schedule its start.

        A flipped bit, or a restore without an old enough backup, is simulated as an empty data directory.
        """
        self.run.activations[fault.kind.value] += member.protocol is not None
        member.kill()
        if fault.kind in DATA_DIRECTORY_FAULTS:
            member.record(ProcessEvent.DATA_DIRECTORY_CHANGED)
            latest_backup_at = self.run.queue.now - MIN_BACKUP_AGE_S * self._time_scale
            backups = [disk for taken_at, disk in member.backups if taken_at <= latest_backup_at]
            if fault.kind is FaultKind.RESTORE_OLD_DATA_DIRECTORY and backups:
                member.disk = self.run.rng.choice(backups).copy()
            else:
                member.disk = VirtualDisk()
        self.run.queue.schedule_at(self.run.queue.now + fault.duration_s, member.start)

    def _kill_all(self, fault: ScheduledFault) -> None:
        self.run.activations[fault.kind.value] += 1
        for member in self.members.values():
            member.kill()
            starts_at = self.run.queue.now + self.run.rng.uniform(0, fault.duration_s)
            self.run.queue.schedule_at(starts_at, member.start)

    def _hand_over(self, fault: ScheduledFault) -> None:
        """Make the holder release its lease, with `peer` as successor.

        The holder requests the lease again one lease duration later. Do nothing if no member holds the lease
        or the holder's process is stopped.
        """
        holder = self.holder()
        if holder is None or holder.protocol is None or self.run.queue.now < holder.stopped_until:
            return
        self.run.activations[fault.kind.value] += 1
        lease = holder.protocol.lease(ENDPOINT_LIST_LEASE)
        holder.execute(lease.release(fault.peer or None))
        lease.request(holder.clock(), self.run.schedule.lease_duration_s)

    def _change_voters(self, fault: ScheduledFault) -> None:
        """Begin the next voter set: restart all members but the unchanged ones with it, at random times."""
        self.run.voter_sets.append(fault.members)
        epoch = len(self.run.voter_sets)
        unchanged = set(fault.unchanged_members)
        if HOLDER in unchanged and (holder := self.holder()) is not None:
            unchanged.add(holder.name)
        for name, member in self.members.items():
            if name not in unchanged:
                changes_at = self.run.queue.now + self.run.rng.uniform(0, fault.duration_s)
                self.run.queue.schedule_at(changes_at, partial(self._restart_with_voters, member, epoch))

    def _restart_with_voters(self, member: VirtualMember, epoch: int) -> None:
        """Change the voter set in one member's configuration to that of `epoch`, and restart its process.

        The configuration never returns to an earlier epoch.
        """
        self.run.activations[FaultKind.CHANGE_VOTERS.value] += 1
        member.configured_epoch = max(member.configured_epoch, epoch)
        if member.protocol is not None:
            member.kill()
            delay_s = self.run.rng.uniform(*RESTART_DELAY_RANGE_S) * self._time_scale
            self.run.queue.schedule_at(self.run.queue.now + delay_s, member.start)
