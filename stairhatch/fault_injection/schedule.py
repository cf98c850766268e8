"""The faults of a run: owns their names and ranges, and draws a schedule from a seed. The same schedule is
carried out on the virtual clock and on real processes. It must never depend on what the run does.
"""

from __future__ import annotations

import random
import tomllib
from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct


class Fault(Enum):
    """What may happen."""

    STOP = "stop"  # SIGSTOP, and on after `lasts`
    KILL = "kill"  # SIGKILL, and started again after `lasts`
    KILL_ALL = "kill all"
    LOSE = "lose folder"  # killed, and started again without its folder
    OLD = "old folder"  # the same, with an older copy of its folder
    DISK_FULL = "disk full"
    DISK_SLOW = "disk slow"
    READ_ONLY = "disk read-only"
    FLIP = "bit turned"  # killed, and started again with one bit of its folder's file turned
    LOSS = "loss"  # of a share of all datagrams
    DELAY = "delay"  # late by up to `amount` seconds, so out of order too
    COPIES = "copies"  # of a share, a moment later or up to a second
    CUT = "cut"  # one way between two
    MUTE = "mute"  # heard by none
    DEAF = "deaf"  # hears none
    ONLY = "only"  # heard by `other` alone
    SPLIT = "split"  # `names` on one side, the rest on the other
    STEP = "step"  # the wall clock of one steps by `amount` seconds
    AT_WORK = "stopped at work"  # the holder stops between its check and its write, once
    VOTERS = "voters"  # the files get another list, `names`, and each is started again
    HAND = "hand over"  # the holder gives a claim back with a successor named, who may be dead


FOLDERS = (Fault.LOSE, Fault.OLD, Fault.FLIP)
OTHERS = (Fault.KILL_ALL, Fault.VOTERS, Fault.READ_ONLY)  # drawn by themselves
HOLDER = "@holder"  # in place of a name: whoever holds the list at that moment


Names = tuple[str, ...]


class Event(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One fault."""

    at: float
    fault: Fault
    who: str = ""
    other: str = ""
    lasts: float = 0.0
    amount: float = 0.0
    names: Names = ()
    stays: Names = ()  # whose files keep the list of voters that they have


def cuts(event: Event, sender: str, to: str) -> bool:
    """Whether a fault takes all from one to another."""
    if sender == to:
        return False
    match event.fault:
        case Fault.CUT:
            return (sender, to) == (event.who, event.other)
        case Fault.MUTE:
            return sender == event.who
        case Fault.DEAF:
            return to == event.who
        case Fault.ONLY:
            return sender == event.who and to != event.other
        case Fault.SPLIT:
            return (sender in event.names) is not (to in event.names)
    return False


class Schedule(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One run."""

    seconds: float
    members: tuple[str, ...]
    voters: tuple[str, ...]
    events: tuple[Event, ...] = ()
    rates: dict[str, float] = {}  # how fast each one's clock runs
    drift: float = 0.01
    term_s: float = 3.0
    quiet_s: float = 20.0  # at the end, without a fault
    must_bite: tuple[str, ...] = ()  # else the run proves nothing
    owners: int = 0  # so many different ones the list must have had, at least
    rests: bool = False  # in the quiet time nobody may hold anything, and calls go on

    @property
    def within_drift(self) -> bool:
        """Whether the clocks keep to the bound."""
        return all(abs(rate - 1) <= self.drift + 1e-12 for rate in self.rates.values())

    @property
    def heals(self) -> bool:
        """Whether shared work must go on at the end: not where folders are lost with others away, nor where
        the voters change anew before the change before has come through.
        """
        faults = [event.fault for event in self.events]
        return not any(each in FOLDERS for each in faults) and faults.count(Fault.VOTERS) <= 1


class ScheduleError(ValueError):
    """A schedule that can't be used, with the place in it."""


def read_schedule(path: Path) -> Schedule:
    """A timeline in TOML; ScheduleError names what is wrong with it."""
    try:
        found = msgspec.convert(tomllib.loads(path.read_text()), Schedule)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScheduleError(f"{path}: {error}") from None
    for index, event in enumerate(found.events):
        for name in (event.who, event.other, *event.names, *event.stays):
            if name and name not in (*found.members, HOLDER):
                raise ScheduleError(f"{path}: events[{index}]: no member is called {name!r}")
    if not set(found.voters) <= set(found.members):
        raise ScheduleError(f"{path}: voters: not all of them are members")
    if not 3 <= len(found.members) <= 9:
        raise ScheduleError(f"{path}: members: from 3 to 9 can be started")
    return found


def _single(chance: random.Random, names: Names, voters: Names, at: float) -> list[Event]:
    """One fault by itself."""
    fault = chance.choice([each for each in Fault if each not in (*FOLDERS, *OTHERS)])
    who, other = chance.sample(names, 2)
    if chance.random() < 0.3:
        who = HOLDER
    amount = {Fault.LOSS: chance.uniform(0.05, 0.6), Fault.DELAY: chance.choice((0.05, 0.5, 4.0)),
              Fault.COPIES: 0.3, Fault.STEP: chance.choice((-3600.0, 3600.0)),
              Fault.DISK_SLOW: chance.choice((0.1, 1.0, 4.0))}.get(fault, 0.0)  # fmt: skip
    side = tuple(chance.sample(names, chance.randint(1, len(names) - 1))) if fault is Fault.SPLIT else ()
    if fault in (Fault.DISK_FULL, Fault.DISK_SLOW):
        who = chance.choice(voters)
    lasts = chance.choice((0.05, 0.3, 1.0, 2.0, 4.5, 8.0, 20.0))
    return [Event(at, fault, who, other, min(lasts, 8.0) if fault is Fault.KILL else lasts, amount, side)]


def _disks(chance: random.Random, names: Names, voters: Names, at: float) -> list[Event]:
    """The disks of two voters are slow or full as the claim changes hands, and both are killed."""
    both = chance.sample(voters, 2)
    fault = chance.choice((Fault.DISK_SLOW, Fault.DISK_FULL))
    events = [Event(at, fault, each, lasts=6.0, amount=2.0) for each in both]
    events.append(Event(at, Fault.COPIES, lasts=6.0, amount=0.9))
    events.append(Event(at + 0.3, Fault.HAND, lasts=1.0))
    late = chance.uniform(0.6, 2.0)
    return events + [Event(at + late, Fault.KILL, each, lasts=0.05) for each in both]


def _late_writer(chance: random.Random, names: Names, voters: Names, at: float) -> list[Event]:
    """An owner is stopped at work until another has taken over, and a receiver starts again in between."""
    lasts = chance.uniform(4.0, 7.0)
    events = [Event(at, Fault.AT_WORK, lasts=lasts)]
    killed = chance.sample(names, 2)
    return events + [Event(at + lasts - chance.uniform(0.05, 0.6), Fault.KILL, each, lasts=0.02)
                     for each in killed]  # fmt: skip


def _late_answers(chance: random.Random, names: Names, voters: Names, at: float) -> list[Event]:
    """Answers to a holder come late, and nothing that it says after that arrives."""
    return [
        Event(at, Fault.DELAY, lasts=1.2, amount=4.0),
        Event(at + chance.uniform(0.3, 1.2), Fault.MUTE, HOLDER, lasts=7.0),
    ]


def _folder(chance: random.Random, names: Names, voters: Names, at: float) -> list[Event]:
    """The claim changes hands, one voter hears the new holder no more, and as its promise ends another voter
    loses its folder, or has one put back from before the change.
    """
    deaf, lost = chance.sample(voters, 2)
    begun = at + 0.6
    events = [Event(at, Fault.HAND, lasts=1.0), Event(begun, Fault.CUT, HOLDER, deaf, 12.0)]
    folder = chance.uniform(0.0, 3.6), chance.choice((Fault.LOSE, Fault.OLD))
    events.append(Event(begun + folder[0], folder[1], lost, lasts=0.1))
    if chance.random() < 0.3:
        events.append(Event(begun, Fault.STOP, HOLDER, lasts=chance.uniform(1.0, 5.0)))
    if chance.random() < 0.3:
        events.append(Event(begun + 4.5, Fault.KILL, HOLDER, lasts=0.5))
    return events


def _voters(chance: random.Random, names: Names, voters: Names, last: float) -> list[Event]:
    """The voters change by one, and perhaps once more, by one who was one before or not."""
    events: list[Event] = []
    listed, at = set(voters), chance.uniform(10.0, last - 16.0)  # once the fleet stands
    for _ in range(chance.choice((1, 1, 2, 3))):
        out = [each for each in names if each not in listed]
        one = chance.choice(out if out and (len(listed) < 4 or chance.random() < 0.5) else sorted(listed))
        listed ^= {one}
        lasts = chance.choice((1.0, 4.0, 8.0))
        events.append(Event(at, Fault.VOTERS, one, lasts=lasts, names=tuple(sorted(listed))))
        at = min(last - 3.0, at + lasts + chance.choice((0.5, 4.0, 8.0)))
    return events


def _lists(chance: random.Random, names: Names, voters: Names, last: float) -> list[Event]:
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
    events = [Event(begun, Fault.HAND, other=heir, lasts=1.0)]
    events += [Event(begun - 0.5, Fault.CUT, heir, each, 26.0) for each in deaf or [kept]]
    listed, at = set(voters), begun + 1.0
    for one in turned:
        listed ^= {one}
        events.append(Event(at, Fault.VOTERS, one, lasts=1.0, names=tuple(sorted(listed)), stays=stays))
        at += chance.uniform(5.0, 8.0)
    return events


EPISODES = (_disks, _late_writer, _late_answers)


def draw(
    seed: int, seconds: float = 60.0, members: int = 5, scale: float = 1.0, lists_only: bool = False
) -> Schedule:
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
    events: list[Event] = []
    for _ in range(chance.randint(1, 6)):
        events += _single(chance, names, voters, chance.uniform(1.0, last - 1.0))
    for _ in range(chance.randint(0, 2)):
        events += chance.choice(EPISODES)(chance, names, voters, chance.uniform(2.0, last - 10.0))
    if chance.random() < 0.25:
        events.append(Event(chance.uniform(2.0, last - 1.0), Fault.KILL_ALL, lasts=chance.uniform(0.1, 2.0)))
    if chance.random() < 0.6:
        events += _folder(chance, names, voters, chance.uniform(6.0, last - 13.0))
    disks = random.Random(f"disks {seed}")
    if disks.random() < 0.15:
        at = disks.uniform(2.0, last - 9.0)
        events.append(Event(at, Fault.READ_ONLY, disks.choice(voters), lasts=disks.choice((0.3, 2.0, 8.0))))
    if disks.random() < 0.25:  # a bit turned in place of a folder lost
        events = [msgspec.structs.replace(each, fault=Fault.FLIP) if each.fault is Fault.LOSE else each
                  for each in events]  # fmt: skip
    changes = random.Random(f"voters {seed}")  # dice of its own: the rest of a seed stays as it was
    if changes.random() < 0.35:
        events += changes.choice((_voters, _lists))(changes, names, voters, last)
    if lists_only:
        voters = names[: changes.choice((3, 5))]
        events = _lists(changes, names, voters, last)
    cut_off = [
        msgspec.structs.replace(each, at=each.at * scale, lasts=min(each.lasts, last - each.at) * scale,
                                amount=each.amount * (scale if each.fault in SECONDS else 1))
        for each in sorted(events, key=lambda each: each.at)
    ]  # fmt: skip
    return Schedule(seconds * scale, names, voters, tuple(cut_off), rates, drift, term * scale, quiet * scale)


SECONDS = (Fault.DELAY, Fault.DISK_SLOW)  # faults whose amount is a time
