"""Fault schedules drawn from a seed: single faults at random, and episodes that lead to a known hard case.

A seed always gives the same schedule, so the order of the random draws is part of what this module promises.
Disks and voter sets are drawn from generators of their own, so that the rest of a seed stays as it was.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from msgspec.structs import replace

from stairhatch.fault_injection.schedule import (
    DATA_DIRECTORY_FAULTS,
    DEFAULT_DRIFT_BOUND,
    DEFAULT_LEASE_DURATION_S,
    HOLDER,
    FaultKind,
    FaultSchedule,
    MemberNames,
    ScheduledFault,
)

FAULT_FREE_LEASES = 7  # lease durations without a fault at the end
BEYOND_BOUND = 3  # times the bound, in the runs that go beyond it
WALL_CLOCK_STEP_S = 3600.0

DRAWN_SEPARATELY = (FaultKind.KILL_ALL, FaultKind.CHANGE_VOTERS, FaultKind.DISK_READ_ONLY)
SINGLE_FAULTS = [kind for kind in FaultKind if kind not in (*DATA_DIRECTORY_FAULTS, *DRAWN_SEPARATELY)]
AMOUNT_IN_SECONDS = (FaultKind.DELAY, FaultKind.DISK_SLOW)  # kinds whose amount is a time


@dataclass(frozen=True, slots=True)
class _Draw:
    """What the episodes of one schedule are drawn from. `last_s` is the end of the time with faults."""

    rng: random.Random
    members: MemberNames
    voters: MemberNames
    last_s: float


def draw_schedule(
    seed: int, seconds: float = 60.0, members: int = 5, scale: float = 1.0, lists_only: bool = False
) -> FaultSchedule:
    """Draw the schedule of a seed.

    At most one data directory a run is lost, damaged or replaced by an older copy, since what two voters of
    three have forgotten nobody can know. `scale` shortens all times, the lease duration as well. `lists_only`
    leaves nothing but two changes of the voter set.
    """
    rng = random.Random(f"lab {seed}")
    names = tuple(f"s{index}" for index in range(members))
    voters = names[: 5 if members >= 5 and rng.random() < 0.2 else 3]
    clock_rates = _clock_rates(rng, names, voters)
    fault_free_s = FAULT_FREE_LEASES * DEFAULT_LEASE_DURATION_S
    last_s = seconds - fault_free_s
    faults = _faults_and_episodes(_Draw(rng, names, voters, last_s))
    faults = _with_disk_faults(random.Random(f"disks {seed}"), voters, last_s, faults)
    voter_rng = random.Random(f"voters {seed}")
    if voter_rng.random() < 0.35:
        episode = voter_rng.choice((_voter_changes, _diverging_voter_sets))
        faults += episode(_Draw(voter_rng, names, voters, last_s))
    if lists_only:
        voters = names[: voter_rng.choice((3, 5))]
        faults = _diverging_voter_sets(_Draw(voter_rng, names, voters, last_s))
    scaled = tuple(_scaled(each, scale, last_s) for each in sorted(faults, key=lambda each: each.at_s))
    return FaultSchedule(
        seconds * scale,
        names,
        voters,
        scaled,
        clock_rates,
        DEFAULT_DRIFT_BOUND,
        DEFAULT_LEASE_DURATION_S * scale,
        fault_free_s * scale,
    )


def _clock_rates(rng: random.Random, names: MemberNames, voters: MemberNames) -> dict[str, float]:
    """How fast each member's clock runs: within the bound, sometimes at it or beyond it."""
    factor = BEYOND_BOUND if rng.random() < 0.08 else 1
    rates = {name: 1 + DEFAULT_DRIFT_BOUND * rng.uniform(-1, 1) * factor for name in names}
    if rng.random() < 0.5:  # at the bound itself
        slow = rng.choice(names)
        rates.update({name: 1 + DEFAULT_DRIFT_BOUND for name in voters})
        rates[slow] = 1 - DEFAULT_DRIFT_BOUND
    return rates


def _faults_and_episodes(draw: _Draw) -> list[ScheduledFault]:
    rng, last_s = draw.rng, draw.last_s
    faults = [_single_fault(draw, rng.uniform(1.0, last_s - 1.0)) for _ in range(rng.randint(1, 6))]
    for _ in range(rng.randint(0, 2)):
        faults += rng.choice(EPISODES)(draw, rng.uniform(2.0, last_s - 10.0))
    if rng.random() < 0.25:
        at_s = rng.uniform(2.0, last_s - 1.0)
        faults.append(ScheduledFault(at_s, FaultKind.KILL_ALL, duration_s=rng.uniform(0.1, 2.0)))
    if rng.random() < 0.6:
        faults += _forgetful_voter(draw, rng.uniform(6.0, last_s - 13.0))
    return faults


def _with_disk_faults(
    rng: random.Random, voters: MemberNames, last_s: float, faults: list[ScheduledFault]
) -> list[ScheduledFault]:
    """Perhaps a disk that turns read-only, and perhaps a bit flipped in place of a data directory lost."""
    if rng.random() < 0.15:
        at_s = rng.uniform(2.0, last_s - 9.0)
        voter = rng.choice(voters)
        duration_s = rng.choice((0.3, 2.0, 8.0))
        faults.append(ScheduledFault(at_s, FaultKind.DISK_READ_ONLY, voter, duration_s=duration_s))
    if rng.random() < 0.25:
        faults = [
            replace(each, kind=FaultKind.FLIP_BIT) if each.kind is FaultKind.LOSE_DATA_DIRECTORY else each
            for each in faults
        ]
    return faults


def _scaled(fault: ScheduledFault, scale: float, last_s: float) -> ScheduledFault:
    """The fault with its times scaled, ending with the time that has faults."""
    return replace(
        fault,
        at_s=fault.at_s * scale,
        duration_s=min(fault.duration_s, last_s - fault.at_s) * scale,
        amount=fault.amount * (scale if fault.kind in AMOUNT_IN_SECONDS else 1),
    )


def _single_fault(draw: _Draw, at_s: float) -> ScheduledFault:
    """One single fault. Every amount is drawn, whatever the kind, so that the draws stay in step."""
    rng = draw.rng
    kind = rng.choice(SINGLE_FAULTS)
    member, peer = rng.sample(draw.members, 2)
    if rng.random() < 0.3:
        member = HOLDER
    amounts = {
        FaultKind.LOSS: rng.uniform(0.05, 0.6),
        FaultKind.DELAY: rng.choice((0.05, 0.5, 4.0)),
        FaultKind.DUPLICATION: 0.3,
        FaultKind.STEP_WALL_CLOCK: rng.choice((-WALL_CLOCK_STEP_S, WALL_CLOCK_STEP_S)),
        FaultKind.DISK_SLOW: rng.choice((0.1, 1.0, 4.0)),
    }
    side: MemberNames = ()
    if kind is FaultKind.PARTITION:
        side = tuple(rng.sample(draw.members, rng.randint(1, len(draw.members) - 1)))
    if kind in (FaultKind.DISK_FULL, FaultKind.DISK_SLOW):
        member = rng.choice(draw.voters)
    duration_s = rng.choice((0.05, 0.3, 1.0, 2.0, 4.5, 8.0, 20.0))
    if kind is FaultKind.KILL:
        duration_s = min(duration_s, 8.0)
    return ScheduledFault(at_s, kind, member, peer, duration_s, amounts.get(kind, 0.0), side)


def _failing_disks(draw: _Draw, at_s: float) -> list[ScheduledFault]:
    """The disks of two voters are slow or full as the lease changes hands, and both are killed."""
    rng = draw.rng
    both = rng.sample(draw.voters, 2)
    kind = rng.choice((FaultKind.DISK_SLOW, FaultKind.DISK_FULL))
    faults = [ScheduledFault(at_s, kind, each, duration_s=6.0, amount=2.0) for each in both]
    faults.append(ScheduledFault(at_s, FaultKind.DUPLICATION, duration_s=6.0, amount=0.9))
    faults.append(ScheduledFault(at_s + 0.3, FaultKind.HAND_OVER, duration_s=1.0))
    killed_at_s = at_s + rng.uniform(0.6, 2.0)
    return faults + [ScheduledFault(killed_at_s, FaultKind.KILL, each, duration_s=0.05) for each in both]


def _late_writer(draw: _Draw, at_s: float) -> list[ScheduledFault]:
    """A holder stops before its write until another has taken over, and receivers restart in between."""
    rng = draw.rng
    duration_s = rng.uniform(4.0, 7.0)
    faults = [ScheduledFault(at_s, FaultKind.STOP_BEFORE_WRITE, duration_s=duration_s)]
    for member in rng.sample(draw.members, 2):
        killed_at_s = at_s + duration_s - rng.uniform(0.05, 0.6)
        faults.append(ScheduledFault(killed_at_s, FaultKind.KILL, member, duration_s=0.02))
    return faults


def _late_answers(draw: _Draw, at_s: float) -> list[ScheduledFault]:
    """Answers to a holder come late, and nothing that it sends after that arrives."""
    return [
        ScheduledFault(at_s, FaultKind.DELAY, duration_s=1.2, amount=4.0),
        ScheduledFault(at_s + draw.rng.uniform(0.3, 1.2), FaultKind.CUT_OUTBOUND, HOLDER, duration_s=7.0),
    ]


EPISODES = (_failing_disks, _late_writer, _late_answers)


def _forgetful_voter(draw: _Draw, at_s: float) -> list[ScheduledFault]:
    """A voter forgets its vote for the new holder as another voter's vote expires.

    The lease changes hands, one voter no longer receives from the new holder, and as its vote ends another
    voter voter loses its data directory, or gets one back from before the change.
    """
    rng = draw.rng
    deaf, forgetful = rng.sample(draw.voters, 2)
    cut_at_s = at_s + 0.6
    faults = [
        ScheduledFault(at_s, FaultKind.HAND_OVER, duration_s=1.0),
        ScheduledFault(cut_at_s, FaultKind.CUT_LINK, HOLDER, deaf, 12.0),
    ]
    forgets_at_s = cut_at_s + rng.uniform(0.0, 3.6)
    kind = rng.choice((FaultKind.LOSE_DATA_DIRECTORY, FaultKind.RESTORE_OLD_DATA_DIRECTORY))
    faults.append(ScheduledFault(forgets_at_s, kind, forgetful, duration_s=0.1))
    if rng.random() < 0.3:
        faults.append(ScheduledFault(cut_at_s, FaultKind.STOP, HOLDER, duration_s=rng.uniform(1.0, 5.0)))
    if rng.random() < 0.3:
        faults.append(ScheduledFault(cut_at_s + 4.5, FaultKind.KILL, HOLDER, duration_s=0.5))
    return faults


def _voter_changes(draw: _Draw) -> list[ScheduledFault]:
    """The voter set changes by one member, once to three times, by one that voted before or not."""
    rng = draw.rng
    voters = set(draw.voters)
    at_s = rng.uniform(10.0, draw.last_s - 16.0)  # once the fleet is established
    faults: list[ScheduledFault] = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        others = [each for each in draw.members if each not in voters]
        grows = others and (len(voters) < 4 or rng.random() < 0.5)
        changed = rng.choice(others if grows else sorted(voters))
        voters ^= {changed}
        duration_s = rng.choice((1.0, 4.0, 8.0))
        faults.append(_voter_change(at_s, changed, duration_s, voters))
        at_s = min(draw.last_s - 3.0, at_s + duration_s + rng.choice((0.5, 4.0, 8.0)))
    return faults


def _diverging_voter_sets(draw: _Draw) -> list[ScheduledFault]:
    """The voter set changes twice so that majorities of the first and of the third need not meet.

    The next holder of the endpoint list's lease keeps its file, and is not heard by one or two that stay
    voters; perhaps the others keep theirs too.
    """
    rng = draw.rng
    kept = rng.choice(draw.voters)
    others = [each for each in draw.members if each not in draw.voters]
    grows = len(draw.voters) == 3 and len(others) >= 2 and rng.random() < 0.5
    changed = others[:2] if grows else [each for each in draw.voters if each != kept][:2]
    heir = rng.choice([each for each in draw.voters if each != kept] if grows else others or changed[:1])
    unchanged = (heir,) if grows or rng.random() < 0.5 else (heir, *changed, kept)
    at_s = rng.uniform(4.0, draw.last_s - 24.0)
    deaf = [each for each in draw.voters if each not in (*changed, kept)] if not grows else []
    faults = [ScheduledFault(at_s, FaultKind.HAND_OVER, peer=heir, duration_s=1.0)]
    faults += [ScheduledFault(at_s - 0.5, FaultKind.CUT_LINK, heir, each, 26.0) for each in deaf or [kept]]
    voters = set(draw.voters)
    at_s += 1.0
    for each in changed:
        voters ^= {each}
        faults.append(_voter_change(at_s, each, 1.0, voters, unchanged))
        at_s += rng.uniform(5.0, 8.0)
    return faults


def _voter_change(
    at_s: float, changed: str, duration_s: float, voters: set[str], unchanged_members: MemberNames = ()
) -> ScheduledFault:
    return ScheduledFault(
        at_s,
        FaultKind.CHANGE_VOTERS,
        changed,
        duration_s=duration_s,
        members=tuple(sorted(voters)),
        unchanged_members=unchanged_members,
    )
