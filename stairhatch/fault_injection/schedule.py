"""Fault schedules: the kinds of faults, the start time of each fault, and the timeline files in TOML.

The same schedule can be run on the virtual clock (`virtual_cluster`) and on real processes (`process_run`). A
schedule is fixed before its run and does not depend on the run's events. It is read from a timeline in TOML
(`experiments/lab/`) or drawn from a seed (`schedule_generator`). The keys of a timeline file are the encoded
field names of the classes in this module.
"""

from __future__ import annotations

import tomllib
from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct, field

from stairhatch.fault_injection.errors import ScheduleError

MIN_MEMBERS, MAX_MEMBERS = 3, 9
DEFAULT_DRIFT_BOUND = 0.01
DEFAULT_LEASE_DURATION_S = 3.0
DRIFT_TOLERANCE = 1e-12  # rounding error allowed when a clock's rate is compared with the drift bound

MemberNames = tuple[str, ...]


class FaultKind(Enum):
    """The kinds of faults. Values are the names in timeline files.

    The order of the members determines which kinds a seed draws (`schedule_generator`).
    """

    STOP = "stop"  # SIGSTOP; SIGCONT after the duration
    KILL = "kill"  # SIGKILL; restarted after the duration
    KILL_ALL = "kill all"  # all members at once; each is restarted within the duration
    LOSE_DATA_DIRECTORY = "lose folder"  # killed, then restarted without its data directory
    RESTORE_OLD_DATA_DIRECTORY = "old folder"  # killed, then restarted with an older copy of it
    DISK_FULL = "disk full"  # writes fail
    DISK_SLOW = "disk slow"  # each write takes `amount` seconds longer
    DISK_READ_ONLY = "disk read-only"  # writes fail
    FLIP_BIT = "bit turned"  # killed, then restarted with one bit of its data flipped
    LOSS = "loss"  # the fraction `amount` of all datagrams is lost
    DELAY = "delay"  # datagrams are delayed by up to `amount` seconds, which also reorders them
    DUPLICATION = "copies"  # the fraction `amount` of datagrams is sent twice, the copy up to 1 s later
    CUT_LINK = "cut"  # no traffic from `member` to `peer`; the other direction works
    CUT_OUTBOUND = "mute"  # no traffic from `member` to any other member
    CUT_INBOUND = "deaf"  # no traffic from any other member to `member`
    CUT_ALL_BUT_ONE = "only"  # no traffic from `member` to any other member except `peer`
    PARTITION = "split"  # no traffic between `members` and the other members
    STEP_WALL_CLOCK = "step"  # the wall clock is stepped by `amount` seconds
    STOP_BEFORE_WRITE = "stopped at work"  # the holder is stopped once, between lease check and write
    CHANGE_VOTERS = "voters"  # the voter set becomes `members`; members are restarted with it
    HAND_OVER = "hand over"  # the holder releases the lease to successor `peer`, which may be down


DATA_DIRECTORY_FAULTS = (
    FaultKind.LOSE_DATA_DIRECTORY,
    FaultKind.RESTORE_OLD_DATA_DIRECTORY,
    FaultKind.FLIP_BIT,
)
ENDPOINT_LIST_LEASE = "list"
HOLDER = "@holder"  # placeholder for the member that holds the endpoint list's lease when the fault begins


class ScheduledFault(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One fault: its kind, its start time in seconds since the run's start, and the members affected."""

    at_s: float = field(name="at")
    kind: FaultKind = field(name="fault")
    member: str = field(name="who", default="")
    peer: str = field(name="other", default="")
    duration_s: float = field(name="lasts", default=0.0)
    amount: float = 0.0  # a fraction (0 to 1) or seconds, depending on the kind
    members: MemberNames = field(name="names", default=())
    unchanged_members: MemberNames = field(name="stays", default=())  # their files keep the old voters


class FaultSchedule(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Input of one run: its members, lease timings and faults, and the results that it must reach."""

    duration_s: float = field(name="seconds")
    members: MemberNames
    voters: MemberNames
    faults: tuple[ScheduledFault, ...] = field(name="events", default=())
    clock_rates: dict[str, float] = field(name="rates", default_factory=dict)  # by member; default 1.0
    drift_bound: float = field(name="drift", default=DEFAULT_DRIFT_BOUND)
    lease_duration_s: float = field(name="term_s", default=DEFAULT_LEASE_DURATION_S)
    fault_free_s: float = field(name="quiet_s", default=20.0)  # at the run's end
    required_activations: tuple[str, ...] = field(name="must_bite", default=())  # else the run is void
    min_holders: int = field(name="owners", default=0)  # distinct holders of the endpoint list's lease
    expects_no_holder: bool = field(name="rests", default=False)  # at the run's end, while calls continue

    @property
    def within_drift_bound(self) -> bool:
        """Whether all clock rates are within the drift bound; the leases are only safe if they are."""
        return all(abs(rate - 1) <= self.drift_bound + DRIFT_TOLERANCE for rate in self.clock_rates.values())

    @property
    def expects_recovery(self) -> bool:
        """Whether the endpoint list's lease must be held again at the run's end.

        False if a data directory is lost or changed, because other members may be down at that time. Also
        False if the voter set changes more than once, because a change may begin before the previous one has
        completed.
        """
        kinds = [fault.kind for fault in self.faults]
        return (
            not any(kind in DATA_DIRECTORY_FAULTS for kind in kinds)
            and kinds.count(FaultKind.CHANGE_VOTERS) <= 1
        )


def blocks_traffic(fault: ScheduledFault, sender: str, receiver: str) -> bool:
    """Whether a fault blocks all traffic from one member to another."""
    if sender == receiver:
        return False
    blocked = False
    match fault.kind:
        case FaultKind.CUT_LINK:
            blocked = (sender, receiver) == (fault.member, fault.peer)
        case FaultKind.CUT_OUTBOUND:
            blocked = sender == fault.member
        case FaultKind.CUT_INBOUND:
            blocked = receiver == fault.member
        case FaultKind.CUT_ALL_BUT_ONE:
            blocked = sender == fault.member and receiver != fault.peer
        case FaultKind.PARTITION:
            blocked = (sender in fault.members) is not (receiver in fault.members)
    return blocked


def read_schedule(path: Path) -> FaultSchedule:
    """Return the schedule that a timeline file in TOML contains.

    Raises ScheduleError, with the path and the invalid entry, if the file cannot be read or is invalid.
    """
    try:
        schedule = msgspec.convert(tomllib.loads(path.read_text()), FaultSchedule)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScheduleError(f"{path}: {error}") from error
    for index, fault in enumerate(schedule.faults):
        for name in (fault.member, fault.peer, *fault.members, *fault.unchanged_members):
            if name and name not in (*schedule.members, HOLDER):
                raise ScheduleError(f"{path}: events[{index}]: unknown member {name!r}")
    if not set(schedule.voters) <= set(schedule.members):
        raise ScheduleError(f"{path}: voters: every voter must be a member")
    if not MIN_MEMBERS <= len(schedule.members) <= MAX_MEMBERS:
        raise ScheduleError(f"{path}: members: expected {MIN_MEMBERS} to {MAX_MEMBERS} members")
    return schedule
