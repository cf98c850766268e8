"""Fault schedules drawn from a seed: random single faults, and episodes that lead to known hard cases.

A seed always gives the same schedule, so the order of the random draws must not change. Disk faults and voter
set changes are drawn from separate random generators, so that they do not alter the other draws of a seed.
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

FAULT_FREE_LEASES = 7  # lease durations at the run's end in which no fault is active
BEYOND_BOUND_FACTOR = 3  # multiple of the drift bound, in runs whose clocks exceed it
WALL_CLOCK_STEP_S = 3600.0

KINDS_DRAWN_SEPARATELY = (FaultKind.KILL_ALL, FaultKind.CHANGE_VOTERS, FaultKind.DISK_READ_ONLY)
SINGLE_FAULT_KINDS = [
    kind for kind in FaultKind if kind not in (*DATA_DIRECTORY_FAULTS, *KINDS_DRAWN_SEPARATELY)
]
KINDS_WITH_AMOUNT_IN_SECONDS = (FaultKind.DELAY, FaultKind.DISK_SLOW)


@dataclass(frozen=True, slots=True)
class _DrawInputs:
    """Inputs for drawing the faults of one schedule. No fault lasts beyond `faults_end_s`."""

    rng: random.Random
    members: MemberNames
    voters: MemberNames
    faults_end_s: float


def draw_schedule(
    seed: int, seconds: float = 60.0, members: int = 5, scale: float = 1.0, voter_changes_only: bool = False
) -> FaultSchedule:
    """Return the schedule of a seed.

    At most one data directory per run is lost, damaged or replaced by an older copy, because votes that two
    of three voters have lost cannot be recovered. `seconds` is the run's duration before scaling. `scale`
    multiplies all times, including the lease duration. `voter_changes_only` replaces all faults by an episode
    with two changes of the voter set.
    """
    rng = random.Random(f"lab {seed}")
    names = tuple(f"s{index}" for index in range(members))
    voters = names[: 5 if members >= 5 and rng.random() < 0.2 else 3]
    clock_rates = _clock_rates(rng, names, voters)
    fault_free_s = FAULT_FREE_LEASES * DEFAULT_LEASE_DURATION_S
    faults_end_s = seconds - fault_free_s
    faults = _faults_and_episodes(_DrawInputs(rng, names, voters, faults_end_s))
    faults = _with_disk_faults(random.Random(f"disks {seed}"), voters, faults_end_s, faults)
    voter_rng = random.Random(f"voters {seed}")
    if voter_rng.random() < 0.35:
        episode = voter_rng.choice((_voter_changes, _diverging_voter_sets))
        faults += episode(_DrawInputs(voter_rng, names, voters, faults_end_s))
    if voter_changes_only:
        voters = names[: voter_rng.choice((3, 5))]
        faults = _diverging_voter_sets(_DrawInputs(voter_rng, names, voters, faults_end_s))
    scaled = tuple(_scaled(each, scale, faults_end_s) for each in sorted(faults, key=lambda each: each.at_s))
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
    """Draw each member's clock rate: within the drift bound, sometimes exactly at it or beyond it."""
    factor = BEYOND_BOUND_FACTOR if rng.random() < 0.08 else 1
    rates = {name: 1 + DEFAULT_DRIFT_BOUND * rng.uniform(-1, 1) * factor for name in names}
    if rng.random() < 0.5:  # exactly at the drift bound
        slow = rng.choice(names)
        rates.update({name: 1 + DEFAULT_DRIFT_BOUND for name in voters})
        rates[slow] = 1 - DEFAULT_DRIFT_BOUND
    return rates


def _faults_and_episodes(inputs: _DrawInputs) -> list[ScheduledFault]:
    rng, faults_end_s = inputs.rng, inputs.faults_end_s
    faults = [_single_fault(inputs, rng.uniform(1.0, faults_end_s - 1.0)) for _ in range(rng.randint(1, 6))]
    for _ in range(rng.randint(0, 2)):
        faults += rng.choice(EPISODES)(inputs, rng.uniform(2.0, faults_end_s - 10.0))
    if rng.random() < 0.25:
        at_s = rng.uniform(2.0, faults_end_s - 1.0)
        faults.append(ScheduledFault(at_s, FaultKind.KILL_ALL, duration_s=rng.uniform(0.1, 2.0)))
    if rng.random() < 0.6:
        faults += _voter_with_lost_vote(inputs, rng.uniform(6.0, faults_end_s - 13.0))
    return faults


def _with_disk_faults(
    rng: random.Random, voters: MemberNames, faults_end_s: float, faults: list[ScheduledFault]
) -> list[ScheduledFault]:
    """Add a read-only disk, and replace the loss of a data directory by a flipped bit, each at random."""
    if rng.random() < 0.15:
        at_s = rng.uniform(2.0, faults_end_s - 9.0)
        voter = rng.choice(voters)
        duration_s = rng.choice((0.3, 2.0, 8.0))
        faults.append(ScheduledFault(at_s, FaultKind.DISK_READ_ONLY, voter, duration_s=duration_s))
    if rng.random() < 0.25:
        faults = [
            replace(each, kind=FaultKind.FLIP_BIT) if each.kind is FaultKind.LOSE_DATA_DIRECTORY else each
            for each in faults
        ]
    return faults


def _scaled(fault: ScheduledFault, scale: float, faults_end_s: float) -> ScheduledFault:
    """Return the fault with its times scaled, cut off at the end of the time that has faults."""
    return replace(
        fault,
        at_s=fault.at_s * scale,
        duration_s=min(fault.duration_s, faults_end_s - fault.at_s) * scale,
        amount=fault.amount * (scale if fault.kind in KINDS_WITH_AMOUNT_IN_SECONDS else 1),
    )


def _single_fault(inputs: _DrawInputs, at_s: float) -> ScheduledFault:
    """Draw one fault. The amounts of all kinds are drawn, so that the kind does not shift later draws."""
    rng = inputs.rng
    kind = rng.choice(SINGLE_FAULT_KINDS)
    member, peer = rng.sample(inputs.members, 2)
    if rng.random() < 0.3:
        member = HOLDER
    amounts = {
        FaultKind.LOSS: rng.uniform(0.05, 0.6),
        FaultKind.DELAY: rng.choice((0.05, 0.5, 4.0)),
        FaultKind.DUPLICATION: 0.3,
        FaultKind.STEP_WALL_CLOCK: rng.choice((-WALL_CLOCK_STEP_S, WALL_CLOCK_STEP_S)),
        FaultKind.DISK_SLOW: rng.choice((0.1, 1.0, 4.0)),
    }
    partition: MemberNames = ()
    if kind is FaultKind.PARTITION:
        partition = tuple(rng.sample(inputs.members, rng.randint(1, len(inputs.members) - 1)))
    if kind in (FaultKind.DISK_FULL, FaultKind.DISK_SLOW):
        member = rng.choice(inputs.voters)
    duration_s = rng.choice((0.05, 0.3, 1.0, 2.0, 4.5, 8.0, 20.0))
    if kind is FaultKind.KILL:
        duration_s = min(duration_s, 8.0)
    return ScheduledFault(at_s, kind, member, peer, duration_s, amounts.get(kind, 0.0), partition)


def _failing_disks(inputs: _DrawInputs, at_s: float) -> list[ScheduledFault]:
    """The disks of two voters are slow or full during a handover of the lease, and both voters are killed."""
    rng = inputs.rng
    affected = rng.sample(inputs.voters, 2)
    kind = rng.choice((FaultKind.DISK_SLOW, FaultKind.DISK_FULL))
    faults = [ScheduledFault(at_s, kind, each, duration_s=6.0, amount=2.0) for each in affected]
    faults.append(ScheduledFault(at_s, FaultKind.DUPLICATION, duration_s=6.0, amount=0.9))
    faults.append(ScheduledFault(at_s + 0.3, FaultKind.HAND_OVER, duration_s=1.0))
    killed_at_s = at_s + rng.uniform(0.6, 2.0)
    return faults + [ScheduledFault(killed_at_s, FaultKind.KILL, each, duration_s=0.05) for each in affected]


def _stopped_writer(inputs: _DrawInputs, at_s: float) -> list[ScheduledFault]:
    """The holder is stopped before a write until another member holds the lease.

    Two members, possible receivers of the late write, restart shortly before the holder resumes.
    """
    rng = inputs.rng
    duration_s = rng.uniform(4.0, 7.0)
    faults = [ScheduledFault(at_s, FaultKind.STOP_BEFORE_WRITE, duration_s=duration_s)]
    for member in rng.sample(inputs.members, 2):
        killed_at_s = at_s + duration_s - rng.uniform(0.05, 0.6)
        faults.append(ScheduledFault(killed_at_s, FaultKind.KILL, member, duration_s=0.02))
    return faults


def _delayed_answers(inputs: _DrawInputs, at_s: float) -> list[ScheduledFault]:
    """All datagrams are delayed, also answers to the holder; then everything that it sends is blocked."""
    return [
        ScheduledFault(at_s, FaultKind.DELAY, duration_s=1.2, amount=4.0),
        ScheduledFault(at_s + inputs.rng.uniform(0.3, 1.2), FaultKind.CUT_OUTBOUND, HOLDER, duration_s=7.0),
    ]


EPISODES = (_failing_disks, _stopped_writer, _delayed_answers)


def _voter_with_lost_vote(inputs: _DrawInputs, at_s: float) -> list[ScheduledFault]:
    """A voter loses its vote for the new holder at about the time when another voter's vote expires.

    The lease is handed over, and one voter no longer receives from the new holder. At about the time when
    that voter's vote expires, another voter loses its data directory or gets a copy from before the handover.
    """
    rng = inputs.rng
    unreached, vote_loser = rng.sample(inputs.voters, 2)
    cut_at_s = at_s + 0.6
    faults = [
        ScheduledFault(at_s, FaultKind.HAND_OVER, duration_s=1.0),
        ScheduledFault(cut_at_s, FaultKind.CUT_LINK, HOLDER, unreached, 12.0),
    ]
    vote_lost_at_s = cut_at_s + rng.uniform(0.0, 3.6)
    kind = rng.choice((FaultKind.LOSE_DATA_DIRECTORY, FaultKind.RESTORE_OLD_DATA_DIRECTORY))
    faults.append(ScheduledFault(vote_lost_at_s, kind, vote_loser, duration_s=0.1))
    if rng.random() < 0.3:
        faults.append(ScheduledFault(cut_at_s, FaultKind.STOP, HOLDER, duration_s=rng.uniform(1.0, 5.0)))
    if rng.random() < 0.3:
        faults.append(ScheduledFault(cut_at_s + 4.5, FaultKind.KILL, HOLDER, duration_s=0.5))
    return faults


def _voter_changes(inputs: _DrawInputs) -> list[ScheduledFault]:
    """The voter set changes one to three times; each change adds or removes one member."""
    rng = inputs.rng
    voters = set(inputs.voters)
    at_s = rng.uniform(10.0, inputs.faults_end_s - 16.0)  # after the fleet has started
    faults: list[ScheduledFault] = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        others = [each for each in inputs.members if each not in voters]
        adds_voter = others and (len(voters) < 4 or rng.random() < 0.5)
        changed = rng.choice(others if adds_voter else sorted(voters))
        voters ^= {changed}
        duration_s = rng.choice((1.0, 4.0, 8.0))
        faults.append(_voter_change(at_s, changed, duration_s, voters))
        at_s = min(inputs.faults_end_s - 3.0, at_s + duration_s + rng.choice((0.5, 4.0, 8.0)))
    return faults


def _diverging_voter_sets(inputs: _DrawInputs) -> list[ScheduledFault]:
    """The voter set changes twice, so that majorities of the first and third sets need not overlap.

    The next holder of the endpoint list's lease keeps the old voter set in its file, and one or two members
    that remain voters do not receive from it. In some draws the changed members and one permanent voter keep
    the old voter set too.
    """
    rng = inputs.rng
    permanent_voter = rng.choice(inputs.voters)
    others = [each for each in inputs.members if each not in inputs.voters]
    adds_voter = len(inputs.voters) == 3 and len(others) >= 2 and rng.random() < 0.5
    changed = others[:2] if adds_voter else [each for each in inputs.voters if each != permanent_voter][:2]
    next_holder = rng.choice(
        [each for each in inputs.voters if each != permanent_voter] if adds_voter else others or changed[:1]
    )
    unchanged = (
        (next_holder,) if adds_voter or rng.random() < 0.5 else (next_holder, *changed, permanent_voter)
    )
    at_s = rng.uniform(4.0, inputs.faults_end_s - 24.0)
    unreached = (
        [each for each in inputs.voters if each not in (*changed, permanent_voter)] if not adds_voter else []
    )
    faults = [ScheduledFault(at_s, FaultKind.HAND_OVER, peer=next_holder, duration_s=1.0)]
    faults += [
        ScheduledFault(at_s - 0.5, FaultKind.CUT_LINK, next_holder, each, 26.0)
        for each in unreached or [permanent_voter]
    ]
    voters = set(inputs.voters)
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
