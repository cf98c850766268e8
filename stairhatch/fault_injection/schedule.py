"""The faults of a run: owns their names and ranges, and draws a schedule from a seed. The same schedule is
carried out on the virtual clock and on real processes. It must never depend on what the run does.
"""

from __future__ import annotations

import random
import tomllib
from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct, field


class FaultKind(Enum):
    """What may happen."""

    STOP = "stop"  # SIGSTOP, and on after `lasts`
    KILL = "kill"  # SIGKILL, and started again after `lasts`
    KILL_ALL = "kill all"
    LOSE_DATA_DIRECTORY = "lose folder"  # killed, and started again without its folder
    RESTORE_OLD_DATA_DIRECTORY = "old folder"  # the same, with an older copy of its folder
    DISK_FULL = "disk full"
    DISK_SLOW = "disk slow"
    DISK_READ_ONLY = "disk read-only"
    FLIP_BIT = "bit turned"  # killed, and started again with one bit of its folder's file turned
    LOSS = "loss"  # of a share of all datagrams
    DELAY = "delay"  # late by up to `amount` seconds, so out of order too
    DUPLICATION = "copies"  # of a share, a moment later or up to a second
    CUT_LINK = "cut"  # one way between two
    CUT_OUTBOUND = "mute"  # heard by none
    CUT_INBOUND = "deaf"  # hears none
    CUT_ALL_BUT_ONE = "only"  # heard by `other` alone
    PARTITION = "split"  # `names` on one side, the rest on the other
    STEP_WALL_CLOCK = "step"  # the wall clock of one steps by `amount` seconds
    STOP_BEFORE_WRITE = "stopped at work"  # the holder stops between its check and its write, once
    CHANGE_VOTERS = "voters"  # the files get another list, `names`, and each is started again
    HAND_OVER = "hand over"  # the holder gives a claim back with a successor named, who may be dead


DATA_DIRECTORY_FAULTS = (
    FaultKind.LOSE_DATA_DIRECTORY,
    FaultKind.RESTORE_OLD_DATA_DIRECTORY,
    FaultKind.FLIP_BIT,
)
SEPARATELY_DRAWN = (
    FaultKind.KILL_ALL,
    FaultKind.CHANGE_VOTERS,
    FaultKind.DISK_READ_ONLY,
)  # drawn by themselves
HOLDER = "@holder"  # in place of a name: whoever holds the list at that moment


MemberNames = tuple[str, ...]


class ScheduledFault(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One fault."""

    at_s: float = field(name="at")
    kind: FaultKind = field(name="fault")
    member: str = field(name="who", default="")
    peer: str = field(name="other", default="")
    duration_s: float = field(name="lasts", default=0.0)
    amount: float = 0.0
    members: MemberNames = field(name="names", default=())
    unchanged_members: MemberNames = field(name="stays", default=())  # whose files keep the old voter set


def blocks_traffic(event: ScheduledFault, sender: str, to: str) -> bool:
    """Whether a fault takes all from one to another."""
    if sender == to:
        return False
    match event.kind:
        case FaultKind.CUT_LINK:
            return (sender, to) == (event.member, event.peer)
        case FaultKind.CUT_OUTBOUND:
            return sender == event.member
        case FaultKind.CUT_INBOUND:
            return to == event.member
        case FaultKind.CUT_ALL_BUT_ONE:
            return sender == event.member and to != event.peer
        case FaultKind.PARTITION:
            return (sender in event.members) is not (to in event.members)
    return False


class FaultSchedule(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One run."""

    duration_s: float = field(name="seconds")
    members: MemberNames
    voters: MemberNames
    faults: tuple[ScheduledFault, ...] = field(name="events", default=())
    clock_rates: dict[str, float] = field(name="rates", default_factory=dict)
    drift_bound: float = field(name="drift", default=0.01)
    lease_duration_s: float = field(name="term_s", default=3.0)
    fault_free_s: float = field(name="quiet_s", default=20.0)  # at the end
    required_activations: tuple[str, ...] = field(name="must_bite", default=())  # else the run proves nothing
    min_holders: int = field(name="owners", default=0)  # so many different ones of the endpoint list's lease
    expects_no_holder: bool = field(
        name="rests", default=False
    )  # in the fault-free time, with calls going on

    @property
    def within_drift_bound(self) -> bool:
        """Whether the clocks keep to the bound."""
        return all(abs(rate - 1) <= self.drift_bound + 1e-12 for rate in self.clock_rates.values())

    @property
    def expects_recovery(self) -> bool:
        """Whether shared work must go on at the end: not where folders are lost with others away, nor where
        the voters change anew before the change before has come through.
        """
        faults = [event.kind for event in self.faults]
        return (
            not any(each in DATA_DIRECTORY_FAULTS for each in faults)
            and faults.count(FaultKind.CHANGE_VOTERS) <= 1
        )


class ScheduleError(ValueError):
    """A schedule that can't be used, with the place in it."""


def read_schedule(path: Path) -> FaultSchedule:
    """A timeline in TOML; ScheduleError names what is wrong with it."""
    try:
        found = msgspec.convert(tomllib.loads(path.read_text()), FaultSchedule)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScheduleError(f"{path}: {error}") from None
    for index, event in enumerate(found.faults):
        for name in (event.member, event.peer, *event.members, *event.unchanged_members):
            if name and name not in (*found.members, HOLDER):
                raise ScheduleError(f"{path}: events[{index}]: no member is called {name!r}")
    if not set(found.voters) <= set(found.members):
        raise ScheduleError(f"{path}: voters: not all of them are members")
    if not 3 <= len(found.members) <= 9:
        raise ScheduleError(f"{path}: members: from 3 to 9 can be started")
    return found


def _single(
    chance: random.Random, names: MemberNames, voters: MemberNames, at: float
) -> list[ScheduledFault]:
    """One fault by itself."""
    fault = chance.choice(
        [each for each in FaultKind if each not in (*DATA_DIRECTORY_FAULTS, *SEPARATELY_DRAWN)]
    )
    who, other = chance.sample(names, 2)
    if chance.random() < 0.3:
        who = HOLDER
    amount = {
        FaultKind.LOSS: chance.uniform(0.05, 0.6),
        FaultKind.DELAY: chance.choice((0.05, 0.5, 4.0)),
        FaultKind.DUPLICATION: 0.3,
        FaultKind.STEP_WALL_CLOCK: chance.choice((-3600.0, 3600.0)),
        FaultKind.DISK_SLOW: chance.choice((0.1, 1.0, 4.0)),
    }.get(fault, 0.0)
    side = (
        tuple(chance.sample(names, chance.randint(1, len(names) - 1))) if fault is FaultKind.PARTITION else ()
    )
    if fault in (FaultKind.DISK_FULL, FaultKind.DISK_SLOW):
        who = chance.choice(voters)
    lasts = chance.choice((0.05, 0.3, 1.0, 2.0, 4.5, 8.0, 20.0))
    return [
        ScheduledFault(
            at, fault, who, other, min(lasts, 8.0) if fault is FaultKind.KILL else lasts, amount, side
        )
    ]


def _disks(chance: random.Random, names: MemberNames, voters: MemberNames, at: float) -> list[ScheduledFault]:
    """The disks of two voters are slow or full as the claim changes hands, and both are killed."""
    both = chance.sample(voters, 2)
    fault = chance.choice((FaultKind.DISK_SLOW, FaultKind.DISK_FULL))
    events = [ScheduledFault(at, fault, each, duration_s=6.0, amount=2.0) for each in both]
    events.append(ScheduledFault(at, FaultKind.DUPLICATION, duration_s=6.0, amount=0.9))
    events.append(ScheduledFault(at + 0.3, FaultKind.HAND_OVER, duration_s=1.0))
    late = chance.uniform(0.6, 2.0)
    return events + [ScheduledFault(at + late, FaultKind.KILL, each, duration_s=0.05) for each in both]


def _late_writer(
    chance: random.Random, names: MemberNames, voters: MemberNames, at: float
) -> list[ScheduledFault]:
    """An owner is stopped at work until another has taken over, and a receiver starts again in between."""
    lasts = chance.uniform(4.0, 7.0)
    events = [ScheduledFault(at, FaultKind.STOP_BEFORE_WRITE, duration_s=lasts)]
    killed = chance.sample(names, 2)
    return events + [
        ScheduledFault(at + lasts - chance.uniform(0.05, 0.6), FaultKind.KILL, each, duration_s=0.02)
        for each in killed
    ]


def _late_answers(
    chance: random.Random, names: MemberNames, voters: MemberNames, at: float
) -> list[ScheduledFault]:
    """Answers to a holder come late, and nothing that it says after that arrives."""
    return [
        ScheduledFault(at, FaultKind.DELAY, duration_s=1.2, amount=4.0),
        ScheduledFault(at + chance.uniform(0.3, 1.2), FaultKind.CUT_OUTBOUND, HOLDER, duration_s=7.0),
    ]


def _folder(
    chance: random.Random, names: MemberNames, voters: MemberNames, at: float
) -> list[ScheduledFault]:
    """The claim changes hands, one voter hears the new holder no more, and as its promise ends another voter
    loses its folder, or has one put back from before the change.
    """
    deaf, lost = chance.sample(voters, 2)
    begun = at + 0.6
    events = [
        ScheduledFault(at, FaultKind.HAND_OVER, duration_s=1.0),
        ScheduledFault(begun, FaultKind.CUT_LINK, HOLDER, deaf, 12.0),
    ]
    folder = (
        chance.uniform(0.0, 3.6),
        chance.choice((FaultKind.LOSE_DATA_DIRECTORY, FaultKind.RESTORE_OLD_DATA_DIRECTORY)),
    )
    events.append(ScheduledFault(begun + folder[0], folder[1], lost, duration_s=0.1))
    if chance.random() < 0.3:
        events.append(ScheduledFault(begun, FaultKind.STOP, HOLDER, duration_s=chance.uniform(1.0, 5.0)))
    if chance.random() < 0.3:
        events.append(ScheduledFault(begun + 4.5, FaultKind.KILL, HOLDER, duration_s=0.5))
    return events


def _voters(
    chance: random.Random, names: MemberNames, voters: MemberNames, last: float
) -> list[ScheduledFault]:
    """The voters change by one, and perhaps once more, by one who was one before or not."""
    events: list[ScheduledFault] = []
    listed, at = set(voters), chance.uniform(10.0, last - 16.0)  # once the fleet stands
    for _ in range(chance.choice((1, 1, 2, 3))):
        out = [each for each in names if each not in listed]
        one = chance.choice(out if out and (len(listed) < 4 or chance.random() < 0.5) else sorted(listed))
        listed ^= {one}
        lasts = chance.choice((1.0, 4.0, 8.0))
        events.append(
            ScheduledFault(at, FaultKind.CHANGE_VOTERS, one, duration_s=lasts, members=tuple(sorted(listed)))
        )
        at = min(last - 3.0, at + lasts + chance.choice((0.5, 4.0, 8.0)))
    return events


def _lists(
    chance: random.Random, names: MemberNames, voters: MemberNames, last: float
) -> list[ScheduledFault]:
    """The voters change twice so that a majority of the first list and one of the third can be two. Who is
    to hold the list of servers keeps its file, and is not heard by one or two that stay voters; perhaps the
    others keep theirs too.
    """
    kept = chance.choice(voters)
    out = [each for each in names if each not in voters]
    grow = len(voters) == 3 and len(out) >= 2 and chance.random() < 0.5
    turned = out[:2] if grow else [each for each in voters if each != kept][:2]
    heir = chance.choice([each for each in voters if each != kept] if grow else out or turned[:1])
    stays = (heir,) if grow or chance.random() < 0.5 else (heir, *turned, kept)
    begun = chance.uniform(4.0, last - 24.0)
    deaf = [each for each in voters if each not in (*turned, kept)] if not grow else []
    events = [ScheduledFault(begun, FaultKind.HAND_OVER, peer=heir, duration_s=1.0)]
    events += [ScheduledFault(begun - 0.5, FaultKind.CUT_LINK, heir, each, 26.0) for each in deaf or [kept]]
    listed, at = set(voters), begun + 1.0
    for one in turned:
        listed ^= {one}
        events.append(
            ScheduledFault(
                at,
                FaultKind.CHANGE_VOTERS,
                one,
                duration_s=1.0,
                members=tuple(sorted(listed)),
                unchanged_members=stays,
            )
        )
        at += chance.uniform(5.0, 8.0)
    return events


EPISODES = (_disks, _late_writer, _late_answers)


def draw_schedule(
    seed: int, seconds: float = 60.0, members: int = 5, scale: float = 1.0, lists_only: bool = False
) -> FaultSchedule:
    """A schedule from a seed. Folders: at most one is lost or put back old a run, since what two voters of
    three have forgotten nobody can know. `scale` shortens all times, the term as well. `lists_only`: nothing
    but two changes of the voters.
    """
    chance = random.Random(f"lab {seed}")
    names = tuple(f"s{index}" for index in range(members))
    voters = names[: 5 if members >= 5 and chance.random() < 0.2 else 3]
    term = 3.0
    quiet = 7 * term
    drift = 0.01
    beyond = chance.random() < 0.08
    rates = {name: 1 + drift * chance.uniform(-1, 1) * (3 if beyond else 1) for name in names}
    if chance.random() < 0.5:  # at the bound itself
        slow = chance.choice(names)
        rates.update({name: 1 + drift for name in voters})
        rates[slow] = 1 - drift
    last = seconds - quiet
    events: list[ScheduledFault] = []
    for _ in range(chance.randint(1, 6)):
        events += _single(chance, names, voters, chance.uniform(1.0, last - 1.0))
    for _ in range(chance.randint(0, 2)):
        events += chance.choice(EPISODES)(chance, names, voters, chance.uniform(2.0, last - 10.0))
    if chance.random() < 0.25:
        events.append(
            ScheduledFault(
                chance.uniform(2.0, last - 1.0), FaultKind.KILL_ALL, duration_s=chance.uniform(0.1, 2.0)
            )
        )
    if chance.random() < 0.6:
        events += _folder(chance, names, voters, chance.uniform(6.0, last - 13.0))
    disks = random.Random(f"disks {seed}")
    if disks.random() < 0.15:
        at = disks.uniform(2.0, last - 9.0)
        events.append(
            ScheduledFault(
                at, FaultKind.DISK_READ_ONLY, disks.choice(voters), duration_s=disks.choice((0.3, 2.0, 8.0))
            )
        )
    if disks.random() < 0.25:  # a bit turned in place of a folder lost
        events = [
            msgspec.structs.replace(each, kind=FaultKind.FLIP_BIT)
            if each.kind is FaultKind.LOSE_DATA_DIRECTORY
            else each
            for each in events
        ]
    changes = random.Random(f"voters {seed}")  # dice of its own: the rest of a seed stays as it was
    if changes.random() < 0.35:
        events += changes.choice((_voters, _lists))(changes, names, voters, last)
    if lists_only:
        voters = names[: changes.choice((3, 5))]
        events = _lists(changes, names, voters, last)
    cut_off = [
        msgspec.structs.replace(
            each,
            at_s=each.at_s * scale,
            duration_s=min(each.duration_s, last - each.at_s) * scale,
            amount=each.amount * (scale if each.kind in SECONDS else 1),
        )
        for each in sorted(events, key=lambda each: each.at_s)
    ]
    return FaultSchedule(
        seconds * scale, names, voters, tuple(cut_off), rates, drift, term * scale, quiet * scale
    )


SECONDS = (FaultKind.DELAY, FaultKind.DISK_SLOW)  # faults whose amount is a time
