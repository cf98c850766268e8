"""Every order of events in a small cluster, gone through to a depth.

What may happen: a message in flight arrives (or never does: what is not delivered is lost), arrives and will
arrive again, or arrives at a disk that takes its time; a write ends; a voter is killed and starts again, with
the write under way on its disk or not; the clock moves to the next moment at which something is due, or leaps
past the end of the votes. A state is gone on from again where it is reached with more depth left than before.

Not explored: clock drift (one clock serves all) and status requests out of order (a voter that starts hears
the others at once). Both belong to the seeds of `trial`.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

from stairhatch.fault_injection.exploration_state import (
    ClusterState,
    RemainingActions,
    Transition,
    current_holder,
    find_violation,
    initial_state,
    with_first_client_holding,
)


@dataclass(frozen=True, slots=True)
class ExplorationBounds:
    """How much of each may happen on one path, and how large the cluster is."""

    depth: int = 10
    crashes: int = 1
    duplicates: int = 1
    slow_writes: int = 1  # deliveries to a disk that takes its time
    clock_steps: int = 2  # to what is due next
    clock_leaps: int = 1  # past the end of the votes
    seconds: float = 60.0  # of real time, after which the exploration ends
    voters: int = 3
    askers: int = 2  # clients that request the lease
    begins_held: bool = False  # the first client holds it already, the others' requests are in flight

    def to_remaining(self) -> RemainingActions:
        """What may happen on a path that begins."""
        return RemainingActions(
            crashes=self.crashes,
            duplicates=self.duplicates,
            slow_writes=self.slow_writes,
            clock_steps=self.clock_steps,
            clock_leaps=self.clock_leaps,
        )


class ActionKind(Enum):
    """What may happen; values are the words in which a path is shown."""

    DELIVER = "deliver"
    DELIVER_AND_DUPLICATE = "deliver and again"
    DELIVER_TO_SLOW_DISK = "deliver slowly"
    FINISH_WRITE = "sync"
    CRASH = "crash"
    STEP_CLOCK = "wait"
    LEAP_CLOCK = "leap"


class Action(NamedTuple):
    """One thing that may happen, to the message or write at a position, or to a member."""

    kind: ActionKind
    position: int = 0
    name: str = ""
    written: bool = False  # of a crash: whether the write under way is on the disk

    def __str__(self) -> str:
        """The action as a path shows it."""
        return f"{self.kind.value} {self.name}"


@dataclass(slots=True)
class ExplorationResult:
    """What an exploration found."""

    states: int = 0
    violation: str = ""  # empty where no rule was broken
    path: tuple[str, ...] = ()  # that leads to the violation
    complete: bool = False  # all states within the bounds were seen
    states_with_holder: int = 0
    takeovers: int = 0  # steps at which another holder followed
    states_after_crash: int = 0


def possible_actions(state: ClusterState) -> Iterator[Action]:
    """What may happen next."""
    yield from _deliveries(state)
    for index, (name, _) in enumerate(state.pending_writes):
        yield Action(ActionKind.FINISH_WRITE, index, name)
    if state.remaining.crashes:
        yield from _crashes(state)
    if state.remaining.clock_steps:
        yield Action(ActionKind.STEP_CLOCK)
    if state.remaining.clock_leaps:
        yield Action(ActionKind.LEAP_CLOCK)


def _deliveries(state: ClusterState) -> Iterator[Action]:
    seen = set()
    for index, message in enumerate(state.messages_in_flight):
        receiver = message[1]
        if message in seen or (receiver < state.lowest_receiver and message in state.earlier_messages):
            continue
        seen.add(message)
        yield Action(ActionKind.DELIVER, index, receiver)
        if state.remaining.duplicates:
            yield Action(ActionKind.DELIVER_AND_DUPLICATE, index, receiver)
        if state.remaining.slow_writes and receiver in dict(state.disks):
            yield Action(ActionKind.DELIVER_TO_SLOW_DISK, index, receiver)


def _crashes(state: ClusterState) -> Iterator[Action]:
    writing = {name for name, _ in state.pending_writes}
    for name, disk in state.disks:
        _, votes = pickle.loads(disk)
        if name not in writing and not votes:
            continue  # it has nothing to forget
        yield Action(ActionKind.CRASH, name=name)
        if name in writing:
            yield Action(ActionKind.CRASH, name=name, written=True)


def apply_action(state: ClusterState, action: Action) -> ClusterState:
    """The state after an action."""
    step, remaining = Transition(state), state.remaining
    match action.kind:
        case ActionKind.DELIVER:
            step.deliver(action.position)
            earlier = frozenset(state.messages_in_flight).intersection(step.messages_in_flight)
            following = step.next_state(remaining)
            return replace(following, lowest_receiver=action.name, earlier_messages=earlier)
        case ActionKind.DELIVER_AND_DUPLICATE:
            remaining = replace(remaining, duplicates=remaining.duplicates - 1)
            step.deliver(action.position, again=True)
        case ActionKind.DELIVER_TO_SLOW_DISK:
            remaining = replace(remaining, slow_writes=remaining.slow_writes - 1)
            step.deliver(action.position, slow=True)
        case ActionKind.FINISH_WRITE:
            step.finish_write(action.position)
        case ActionKind.CRASH:
            remaining = replace(remaining, crashes=remaining.crashes - 1)
            step.crash(action.name, written=action.written)
        case ActionKind.STEP_CLOCK:
            remaining = replace(remaining, clock_steps=remaining.clock_steps - 1)
            step.step_clock()
        case ActionKind.LEAP_CLOCK:
            remaining = replace(remaining, clock_leaps=remaining.clock_leaps - 1)
            step.leap_clock()
    return step.next_state(remaining)


def explore(bounds: ExplorationBounds) -> ExplorationResult:
    """Go through all states within the bounds, until a rule is broken or the time is over."""
    started_at = time.monotonic()
    result = ExplorationResult()
    stack: list[tuple[ClusterState, tuple[str, ...]]] = [(_first_state(bounds), ())]
    depth_left_at: dict[ClusterState, int] = {}
    while stack:
        state, path = stack.pop()
        for action in possible_actions(state):
            following = apply_action(state, action)
            path_to_it = (*path, str(action))
            holder = current_holder(following)
            if violation := find_violation(following, holder):
                result.violation = violation
                result.path = path_to_it
                return result
            following = replace(following, last_holder=holder)
            had_holder = bool(state.last_holder.name)
            result.takeovers += had_holder and holder.name != state.last_holder.name
            depth_left = bounds.depth - len(path_to_it)
            if depth_left_at.get(following, -1) >= depth_left:
                continue
            depth_left_at[following] = depth_left
            result.states += 1
            result.states_with_holder += bool(following.held_until)
            result.states_after_crash += following.remaining.crashes < bounds.crashes
            if depth_left > 0:
                stack.append((following, path_to_it))
        if time.monotonic() - started_at > bounds.seconds:
            return result
    result.complete = True
    return result


def _first_state(bounds: ExplorationBounds) -> ClusterState:
    state = initial_state(bounds.voters, bounds.askers, bounds.to_remaining())
    if bounds.begins_held:
        state = with_first_client_holding(state)
    return replace(state, last_holder=current_holder(state))
