"""Exhaustive exploration of the states of a small cluster, over every order of actions up to a depth.

The actions are:
- a message in flight is delivered; a message that is never delivered counts as lost;
- a message is delivered and a duplicate of it stays in flight;
- a message is delivered to a voter whose disk is slow, so that the write ends in a later action;
- a pending write ends;
- a voter crashes and restarts; its pending writes are either all on its disk or all lost;
- the clock moves to the next timer of a client;
- the clock moves past the expiry of all votes.
A state is expanded again if it is reached with more depth left than before.

Not explored are clock drift, since all members share one clock, and reordered status requests, since a voter
that restarts receives the replies of the others immediately. The seeds of `trial` cover both.
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
    """Bounds of an exploration: the size of the cluster, and the number of actions on one path by kind."""

    depth: int = 10  # actions on one path
    crashes: int = 1
    duplicates: int = 1
    slow_writes: int = 1  # deliveries to a voter with a slow disk
    clock_steps: int = 2  # to the next timer of a client
    clock_leaps: int = 1  # past the expiry of all votes
    seconds: float = 60.0  # real time after which the exploration ends incomplete
    voters: int = 3
    clients: int = 2  # members without a vote that request the lease
    begins_held: bool = False  # the first client holds the lease; the others' requests are in flight

    def to_remaining(self) -> RemainingActions:
        """Return the actions that may happen on a path from the first state."""
        return RemainingActions(
            crashes=self.crashes,
            duplicates=self.duplicates,
            slow_writes=self.slow_writes,
            clock_steps=self.clock_steps,
            clock_leaps=self.clock_leaps,
        )


class ActionKind(Enum):
    """The kinds of actions. Values are the words for them in a printed path."""

    DELIVER = "deliver"
    DELIVER_AND_DUPLICATE = "deliver and again"
    DELIVER_TO_SLOW_DISK = "deliver slowly"
    FINISH_WRITE = "sync"
    CRASH = "crash"
    STEP_CLOCK = "wait"
    LEAP_CLOCK = "leap"


class Action(NamedTuple):
    """One action that leads from a state to the next."""

    kind: ActionKind
    position: int = 0  # of the message in flight or the pending write
    name: str = ""  # of the member that receives the message, writes or crashes
    written: bool = False  # for a crash: whether pending writes are on the disk

    def __str__(self) -> str:
        """Return the action as a printed path shows it."""
        return f"{self.kind.value} {self.name}"


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration: counts of states, and the path to a violation if there is one."""

    states: int = 0  # visited; a state that is visited again with more depth left counts again
    violation: str = ""  # the broken rule in words; empty: none
    path: tuple[str, ...] = ()  # the actions that lead to the violation
    complete: bool = False  # all states within the bounds were visited
    states_with_holder: int = 0
    takeovers: int = 0  # actions after which the holder is another than before
    states_after_crash: int = 0


def possible_actions(state: ClusterState) -> Iterator[Action]:
    """Yield the actions that may follow in a state."""
    yield from _possible_deliveries(state)
    for index, (name, _) in enumerate(state.pending_writes):
        yield Action(ActionKind.FINISH_WRITE, index, name)
    if state.remaining.crashes:
        yield from _possible_crashes(state)
    if state.remaining.clock_steps:
        yield Action(ActionKind.STEP_CLOCK)
    if state.remaining.clock_leaps:
        yield Action(ActionKind.LEAP_CLOCK)


def _possible_deliveries(state: ClusterState) -> Iterator[Action]:
    """Yield the deliveries of each distinct message in flight, except in redundant orders.

    `ClusterState.lowest_receiver` documents which orders are redundant.
    """
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


def _possible_crashes(state: ClusterState) -> Iterator[Action]:
    """Yield the crashes of voters that have a vote on the disk or a pending write."""
    writing = {name for name, _ in state.pending_writes}
    for name, disk in state.disks:
        _, votes = pickle.loads(disk)
        if name not in writing and not votes:
            continue  # the voter has no votes to lose
        yield Action(ActionKind.CRASH, name=name)
        if name in writing:
            yield Action(ActionKind.CRASH, name=name, written=True)


def apply_action(state: ClusterState, action: Action) -> ClusterState:
    """Return the state after an action."""
    transition, remaining = Transition(state), state.remaining
    match action.kind:
        case ActionKind.DELIVER:
            transition.deliver(action.position)
            earlier = frozenset(state.messages_in_flight).intersection(transition.messages_in_flight)
            successor = transition.next_state(remaining)
            return replace(successor, lowest_receiver=action.name, earlier_messages=earlier)
        case ActionKind.DELIVER_AND_DUPLICATE:
            remaining = replace(remaining, duplicates=remaining.duplicates - 1)
            transition.deliver(action.position, duplicate=True)
        case ActionKind.DELIVER_TO_SLOW_DISK:
            remaining = replace(remaining, slow_writes=remaining.slow_writes - 1)
            transition.deliver(action.position, slow_disk=True)
        case ActionKind.FINISH_WRITE:
            transition.finish_write(action.position)
        case ActionKind.CRASH:
            remaining = replace(remaining, crashes=remaining.crashes - 1)
            transition.crash(action.name, written=action.written)
        case ActionKind.STEP_CLOCK:
            remaining = replace(remaining, clock_steps=remaining.clock_steps - 1)
            transition.step_clock()
        case ActionKind.LEAP_CLOCK:
            remaining = replace(remaining, clock_leaps=remaining.clock_leaps - 1)
            transition.leap_clock()
    return transition.next_state(remaining)


def explore(bounds: ExplorationBounds) -> ExplorationResult:
    """Visit the states within the bounds, depth first, and return the result.

    The exploration ends early if a state breaks a rule or the time in `bounds.seconds` has passed.
    """
    started_at = time.monotonic()
    result = ExplorationResult()
    stack: list[tuple[ClusterState, tuple[str, ...]]] = [(_start_state(bounds), ())]
    depth_left_by_state: dict[ClusterState, int] = {}
    while stack:
        state, path = stack.pop()
        for action in possible_actions(state):
            successor = apply_action(state, action)
            successor_path = (*path, str(action))
            holder = current_holder(successor)
            if violation := find_violation(successor, holder):
                result.violation = violation
                result.path = successor_path
                return result
            successor = replace(successor, last_holder=holder)
            had_holder = bool(state.last_holder.name)
            result.takeovers += had_holder and holder.name != state.last_holder.name
            depth_left = bounds.depth - len(successor_path)
            if depth_left_by_state.get(successor, -1) >= depth_left:
                continue
            depth_left_by_state[successor] = depth_left
            result.states += 1
            result.states_with_holder += bool(successor.held_until)
            result.states_after_crash += successor.remaining.crashes < bounds.crashes
            if depth_left > 0:
                stack.append((successor, successor_path))
        if time.monotonic() - started_at > bounds.seconds:
            return result
    result.complete = True
    return result


def _start_state(bounds: ExplorationBounds) -> ClusterState:
    """Return the state from which the exploration begins."""
    state = initial_state(bounds.voters, bounds.clients, bounds.to_remaining())
    if bounds.begins_held:
        state = with_first_client_holding(state)
    return replace(state, last_holder=current_holder(state))
