"""The faults of a run: their kinds, when each begins, and the timeline files that hold them.

One schedule is carried out on the virtual clock (`virtual_cluster`) and on real processes (`process_run`); it
never depends on what the run does. Schedules come from a timeline in TOML (`experiments/lab/`) or from a seed
(`schedule_generator`). The field names of those files are the encoded names given here.
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
DRIFT_TOLERANCE = 1e-12  # of the comparison of a clock's rate with the bound

MemberNames = tuple[str, ...]


class FaultKind(Enum):
    """The kinds of faults; values are the names in timeline files. The order is that of the random draws."""

    STOP = "stop"  # SIGSTOP, and SIGCONT after the duration
    KILL = "kill"  # SIGKILL, and started again after the duration
    KILL_ALL = "kill all"
    LOSE_DATA_DIRECTORY = "lose folder"  # killed, and started again without its data directory
    RESTORE_OLD_DATA_DIRECTORY = "old folder"  # killed, and started again with an older copy of it
    DISK_FULL = "disk full"
    DISK_SLOW = "disk slow"  # each write takes `amount` seconds longer
    DISK_READ_ONLY = "disk read-only"
    FLIP_BIT = "bit turned"  # killed, and started again with one bit of its data flipped
    LOSS = "loss"  # of the fraction `amount` of all datagrams
    DELAY = "delay"  # by up to `amount` seconds, so datagrams are reordered too
    DUPLICATION = "copies"  # of the fraction `amount`, the copy up to a second later
    CUT_LINK = "cut"  # from one member to another, in this direction
    CUT_OUTBOUND = "mute"  # from one member to all others
    CUT_INBOUND = "deaf"  # from all others to one member
    CUT_ALL_BUT_ONE = "only"  # from one member to all others but `peer`
    PARTITION = "split"  # between `members` and the rest
    STEP_WALL_CLOCK = "step"  # by `amount` seconds
    STOP_BEFORE_WRITE = "stopped at work"  # the holder stops once, between its check and its write
    CHANGE_VOTERS = "voters"  # the voter set becomes `members`, and each member is restarted with it
    HAND_OVER = "hand over"  # the holder releases the lease to a named successor, who may be dead


DATA_DIRECTORY_FAULTS = (
    FaultKind.LOSE_DATA_DIRECTORY,
    FaultKind.RESTORE_OLD_DATA_DIRECTORY,
    FaultKind.FLIP_BIT,
)
ENDPOINT_LIST_LEASE = "list"
HOLDER = "@holder"  # in place of a member: whoever holds the endpoint list's lease as the fault begins


class ScheduledFault(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One fault: its kind, when it begins, and whom it concerns. Times in seconds of the run."""

    at_s: float = field(name="at")
    kind: FaultKind = field(name="fault")
    member: str = field(name="who", default="")
    peer: str = field(name="other", default="")
    duration_s: float = field(name="lasts", default=0.0)
    amount: float = 0.0  # a fraction or seconds, by the kind
    members: MemberNames = field(name="names", default=())
    unchanged_members: MemberNames = field(name="stays", default=())  # whose files keep the old voter set


class FaultSchedule(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One run: its members, its lease timings, its faults, and what has to come of it."""

    duration_s: float = field(name="seconds")
    members: MemberNames
    voters: MemberNames
    faults: tuple[ScheduledFault, ...] = field(name="events", default=())
    clock_rates: dict[str, float] = field(name="rates", default_factory=dict)  # 1.0 where not given
    drift_bound: float = field(name="drift", default=DEFAULT_DRIFT_BOUND)
    lease_duration_s: float = field(name="term_s", default=DEFAULT_LEASE_DURATION_S)
    fault_free_s: float = field(name="quiet_s", default=20.0)  # at the end
    required_activations: tuple[str, ...] = field(name="must_bite", default=())  # else the run proves nothing
    min_holders: int = field(name="owners", default=0)  # different holders of the endpoint list's lease
    expects_no_holder: bool = field(name="rests", default=False)  # at the end, while calls go on

    @property
    def within_drift_bound(self) -> bool:
        """Whether all clocks keep to the drift bound, on which the safety of the leases rests."""
        return all(abs(rate - 1) <= self.drift_bound + DRIFT_TOLERANCE for rate in self.clock_rates.values())

    @property
    def expects_recovery(self) -> bool:
        """Whether the endpoint list's lease must be held again at the end.

        Not where a data directory is lost while other members are down, nor where the voter set changes anew
        before the last change has come through.
        """
        kinds = [fault.kind for fault in self.faults]
        return (
            not any(kind in DATA_DIRECTORY_FAULTS for kind in kinds)
            and kinds.count(FaultKind.CHANGE_VOTERS) <= 1
        )


def blocks_traffic(fault: ScheduledFault, sender: str, receiver: str) -> bool:
    """Whether a fault holds back everything that one member sends to another."""
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
    """Read a timeline in TOML.

    Raises ScheduleError, which names what is wrong with the file.
    """
    try:
        schedule = msgspec.convert(tomllib.loads(path.read_text()), FaultSchedule)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScheduleError(f"{path}: {error}") from error
    for index, fault in enumerate(schedule.faults):
        for name in (fault.member, fault.peer, *fault.members, *fault.unchanged_members):
            if name and name not in (*schedule.members, HOLDER):
                raise ScheduleError(f"{path}: events[{index}]: no member is called {name!r}")
    if not set(schedule.voters) <= set(schedule.members):
        raise ScheduleError(f"{path}: voters: not all of them are members")
    if not MIN_MEMBERS <= len(schedule.members) <= MAX_MEMBERS:
        raise ScheduleError(f"{path}: members: from {MIN_MEMBERS} to {MAX_MEMBERS} can be started")
    return schedule
