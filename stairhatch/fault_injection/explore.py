"""Every order of events in a small world: voters, askers of one claim, and what may happen next, gone through
to a depth. What may happen: a message in flight arrives (or never does: what is not delivered is lost),
arrives and will come again, arrives at a disk that takes its time; a write ends; a voter is killed and starts
again, with the write under way on its disk or not; the clock moves to the next moment at which something is
due, or leaps past the end of a promise. No dice: the askers' pauses are none. It must never skip a state that
it has not seen with as much depth left.

Not looked at here: drift (one clock serves all) and roll calls out of order (a voter that starts hears the
others at once); both belong to the seeds of `trial`.
"""

from __future__ import annotations

import pickle
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

from stairhatch.fleet.claims import Terms
from stairhatch.fleet.effects import Effect, Kept, Place, Promise, Send, Write
from stairhatch.fleet.mate import Mate, Who
from stairhatch.fleet.messages import Look, Mark, Message, RollAnswer, RollCall, Shown
from stairhatch.fleet.voting import Standing

CLAIM = "work"
FAR = 1e9


class NoDice(random.Random):
    """Always nothing."""

    def random(self) -> float:
        return 0.0

    def __reduce__(self) -> str:
        return "NO_DICE"


NO_DICE = NoDice()


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of each may happen on one path."""

    depth: int = 10
    crashes: int = 1
    copies: int = 1
    slow: int = 1  # deliveries to a disk that takes its time
    steps: int = 2  # of the clock, to what is due next
    leaps: int = 1  # past the end of a promise
    seconds: float = 60.0
    voters: int = 3
    askers: int = 2
    held: bool = False  # the first asker already holds it as this begins, the others' asks are in flight


@dataclass(frozen=True, slots=True)
class Left:
    """What may still happen on a path."""

    crashes: int
    copies: int
    slow: int
    steps: int
    leaps: int


@dataclass(frozen=True, slots=True)
class State:
    """One state of the small world; the softswitches are pickled, and unpacked where a step needs them."""

    now: float
    mates: tuple[tuple[str, bytes], ...]
    disks: tuple[tuple[str, bytes], ...]
    flying: tuple[tuple[str, str, bytes], ...]
    writes: tuple[tuple[str, bytes], ...]
    held: tuple[tuple[str, float], ...]  # by each asker, until when
    last: tuple[int, str]  # the highest ticket held so far, and by whom
    left: Left
    # Deliveries to two that know nothing of each other's come to the same in either order: of the messages
    # that were in flight before the last delivery, only those to names not below its own are taken next.
    floor: str = ""
    older: frozenset[tuple[str, str, bytes]] = frozenset()


@dataclass(frozen=True, slots=True)
class Looked:
    """What an exploration found."""

    states: int
    broken: str  # "" for nothing
    path: tuple[str, ...]
    whole: bool  # all states within the bounds were seen
    held: int  # states in which somebody held the claim
    taken_over: int  # steps at which a second one did, after the first
    crashed: int  # states behind a crash


class Step:
    """One step from a state: unpacks what it touches and packs the state that follows."""

    def __init__(self, state: State) -> None:
        self.state, self.now = state, state.now
        self.packed = dict(state.mates)
        self.open: dict[str, Mate] = {}
        self.disks = dict(state.disks)
        self.flying = list(state.flying)
        self.writes = list(state.writes)

    def mate(self, name: str) -> Mate:
        """One softswitch, to be changed."""
        if name not in self.open:
            self.open[name] = pickle.loads(self.packed[name])
        return self.open[name]

    def carry(self, name: str, effects: list[Effect]) -> None:
        """What one has asked for. Roll calls and answers to them arrive at once."""
        for effect in effects:
            if isinstance(effect, Write):
                self.writes.append((name, pickle.dumps(effect)))
            elif isinstance(effect, Send):
                to, message = effect.to[0], effect.message
                if isinstance(message, RollCall | RollAnswer):
                    self.carry(to, self.mate(to).handle(self.now, (name, 0), message))
                elif not isinstance(message, Look | Shown):
                    self.flying.append((name, to, pickle.dumps(message)))

    def deliver(self, index: int, again: bool, slow: bool) -> None:
        """A message arrives."""
        sender, to, packed = self.flying[index] if again else self.flying.pop(index)
        message: Message = pickle.loads(packed)
        before = len(self.writes)
        self.carry(to, self.mate(to).handle(self.now, (sender, 0), message))
        while not slow and len(self.writes) > before:
            self.sync(before)

    def sync(self, index: int) -> None:
        """A write ends."""
        name, packed = self.writes.pop(index)
        write: Write = pickle.loads(packed)
        self.put(name, write)
        self.carry(name, self.mate(name).written(self.now, write.number))

    def put(self, name: str, write: Write) -> None:
        """It is on the disk."""
        _, promises = pickle.loads(self.disks[name])
        promises.update((each.claim, each) for each in write.promises)
        self.disks[name] = pickle.dumps((write.mark, promises))

    def crash(self, name: str, synced: bool) -> None:
        """A voter is killed and starts again, with what was under way on its disk or not."""
        mine = [pickle.loads(write) for owner, write in self.writes if owner == name]
        self.writes = [each for each in self.writes if each[0] != name]
        for write in mine if synced else ():
            self.put(name, write)
        mark, promises = pickle.loads(self.disks[name])
        kept = Kept(Mark(mark.folder, mark.life + 1, mark.promises), True, tuple(promises.values()))
        old = self.mate(name)
        fresh = Mate(old.who, old.voters, old.terms, NO_DICE, self.now, kept)
        self.open[name] = fresh
        self.carry(name, fresh.tick(self.now))
        for each in [each for each in self.writes if each[0] == name]:  # the note that it votes
            self.sync(self.writes.index(each))
        assert fresh.voter is not None
        fresh.voter.due = FAR

    def advance(self, leap: bool) -> None:
        """To the next moment at which an asker has something to do, or past the end of all promises."""
        names = [name for name, _ in self.state.mates]
        if leap:
            ends = [until for name in names if (voter := self.mate(name).voter) is not None
                    for until in voter.until.values()]  # fmt: skip
            self.now = max([self.now, *ends]) + 1e-3
        else:
            dues = [self.mate(name).due() for name in names if self.mate(name).voter is None]
            self.now = max(self.now, min(dues))
        for name in names:
            if self.mate(name).voter is None:
                self.carry(name, self.mate(name).tick(self.now))

    def after(self, left: Left) -> State:
        """The state that follows."""
        mates, held = [], []
        was = dict(self.state.held)
        for name, packed in self.state.mates:
            mate = self.open.get(name)
            mates.append((name, packed if mate is None else pickle.dumps(mate)))
            if mate is None:
                if name in was:
                    held.append((name, was[name]))
            elif mate.voter is None and mate.may_act(self.now, CLAIM):
                held.append((name, mate.claims[CLAIM].until))
        return State(
            self.now, tuple(mates), tuple(self.disks.items()), tuple(sorted(self.flying)),
            tuple(sorted(self.writes)), tuple(each for each in held if each[1] > self.now),
            self.state.last, left,
        )  # fmt: skip


def first(bounds: Bounds) -> State:
    """Voters that vote, and askers that have asked."""
    voters: dict[str, Place] = {f"v{n}": (f"v{n}", 0) for n in range(bounds.voters)}
    terms = Terms(3.0, 0.01, 0.25)
    mates: dict[str, bytes] = {}
    for name in voters:
        mate = Mate(Who(name, 0), voters, terms, NO_DICE, 0.0, Kept(Mark(name, 1, 0), True))
        assert mate.voter is not None
        mate.voter.standing, mate.voter.due = Standing.VOTES, FAR
        mates[name] = pickle.dumps(mate)
    for n in range(bounds.askers):
        asker = Mate(Who(f"a{n}", n + 1), voters, terms, NO_DICE, 0.0)
        asker.claim(CLAIM).want(0.0)
        mates[asker.who.name] = pickle.dumps(asker)
    empty: dict[str, Promise] = {}
    disks = tuple((name, pickle.dumps((Mark(name, 1, 0), empty))) for name in voters)
    left = Left(bounds.crashes, bounds.copies, bounds.slow, bounds.steps, bounds.leaps)
    step = Step(State(0.0, tuple(mates.items()), disks, (), (), (), (0, ""), left))
    step.advance(leap=False)
    while bounds.held and (mine := [n for n, each in enumerate(step.flying) if "a0" in each[:2]]):
        step.deliver(mine[0], again=False, slow=False)
    found = step.after(left)
    return replace(found, last=judge(found)[1])


def steps(state: State) -> Iterator[tuple[str, int, str]]:
    """What may happen next."""
    left, seen = state.left, set()
    for index, each in enumerate(state.flying):
        if each in seen or (each[1] < state.floor and each in state.older):
            continue
        seen.add(each)
        yield "deliver", index, each[1]
        if left.copies:
            yield "deliver and again", index, each[1]
        if left.slow and each[1] in dict(state.disks):
            yield "deliver slowly", index, each[1]
    for index, (name, _) in enumerate(state.writes):
        yield "sync", index, name
    if left.crashes:
        writing = {name for name, _ in state.writes}
        for name, disk in state.disks:
            if name not in writing and not pickle.loads(disk)[1]:
                continue  # it has nothing to forget
            yield "crash", 0, name
            if name in writing:
                yield "crash", 1, name
    if left.steps:
        yield "wait", 0, ""
    if left.leaps:
        yield "leap", 0, ""


def take(state: State, what: str, index: int, name: str) -> State:
    """One of them happens."""
    step, left = Step(state), state.left
    match what:
        case "deliver":
            step.deliver(index, again=False, slow=False)
            older = frozenset(state.flying)
            return replace(step.after(left), floor=name, older=older.intersection(step.flying))
        case "deliver and again":
            left = replace(left, copies=left.copies - 1)
            step.deliver(index, again=True, slow=False)
        case "deliver slowly":
            left = replace(left, slow=left.slow - 1)
            step.deliver(index, again=False, slow=True)
        case "sync":
            step.sync(index)
        case "crash":
            left = replace(left, crashes=left.crashes - 1)
            step.crash(name, bool(index))
        case "wait":
            left = replace(left, steps=left.steps - 1)
            step.advance(leap=False)
        case "leap":
            left = replace(left, leaps=left.leaps - 1)
            step.advance(leap=True)
    return step.after(left)


def judge(state: State) -> tuple[str, tuple[int, str]]:
    """What is broken, and the highest ticket held so far with its holder."""
    if len(state.held) > 1:
        return f"{' and '.join(name for name, _ in state.held)} hold it at once", state.last
    highest, by = state.last
    for name, _ in state.held:
        ticket = pickle.loads(dict(state.mates)[name]).claims[CLAIM].ticket
        if ticket < highest or (ticket == highest and by != name):
            return f"{name} holds {ticket} after {by} held {highest}", state.last
        return "", (ticket, name)
    return "", state.last


def explore(bounds: Bounds) -> Looked:
    """Go through all of it; a state counts as seen with the depth that was left there."""
    begun = time.monotonic()
    stack: list[tuple[State, tuple[str, ...]]] = [(first(bounds), ())]
    seen: dict[State, int] = {}
    states = held = taken_over = crashed = 0
    while stack:
        state, path = stack.pop()
        for what, index, name in steps(state):
            after = take(state, what, index, name)
            broken, last = judge(after)
            told = (*path, f"{what} {name}")
            if broken:
                return Looked(states, broken, told, False, held, taken_over, crashed)
            taken_over += bool(state.last[1]) and last[1] != state.last[1]
            after = replace(after, last=last)
            depth = bounds.depth - len(told)
            if seen.get(after, -1) >= depth:
                continue
            seen[after] = depth
            states += 1
            held += bool(after.held)
            crashed += after.left.crashes < bounds.crashes
            if depth > 0:
                stack.append((after, told))
        if time.monotonic() - begun > bounds.seconds:
            return Looked(states, "", (), False, held, taken_over, crashed)
    return Looked(states, "", (), True, held, taken_over, crashed)
