"""Many softswitches on one virtual clock: owns the ways between them, their disks and clocks, and the faults
of a schedule; the decisions are the program's own. The same schedule and seed give the same history to the
letter. It must never reach into a decision: what it knows of one is what that one sends, writes and notes.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count

from msgspec.structs import replace as replace_fault

from stairhatch.fault_injection.history import Line
from stairhatch.fault_injection.schedule import FOLDERS, HOLDER, Event, Fault, Schedule, cuts
from stairhatch.fleet.claims import Stage, Terms
from stairhatch.fleet.effects import Effect, Fence, Kept, Note, Place, Promise, Send, What, Write
from stairhatch.fleet.epochs import Roll
from stairhatch.fleet.mate import Mate, Who
from stairhatch.fleet.messages import Mark, Message, News
from stairhatch.fleet.pick import Pick

LIST = "list"
WORK_S = 0.15  # the mean time between two pieces of work of who holds the list
WAY_S = (0.0005, 0.004)  # of a datagram
SYNC_S = (0.0005, 0.006)
CHECK_S = 0.02  # between the check and the write of a piece of work that is not stopped there
TAKEN_S = 5.0  # an older copy of a folder is one taken so long ago or more


@dataclass
class Disk:
    """A folder: what is synced."""

    folder: str = ""
    life: int = 0
    promises: dict[str, Promise] = field(default_factory=dict)
    made: int = 0
    known: dict[str, Mark] = field(default_factory=dict)
    admitted: bool = False
    fences: dict[str, int] = field(default_factory=dict)
    roll: Roll | None = None

    def copy(self) -> Disk:
        """As it is now."""
        return replace(self, promises=dict(self.promises), known=dict(self.known), fences=dict(self.fences))

    def take(self, write: Write) -> None:
        """Put a write on it, whole."""
        self.promises.update((each.claim, each) for each in write.promises)
        self.made = max(self.made, write.mark.promises)
        self.known.update(write.known)
        self.admitted = self.admitted or write.admitted
        self.roll = write.roll or self.roll


class Box:
    """One softswitch with its clock and its disk."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.rate = world.schedule.rates.get(name, 1.0)
        self.offset = world.chance.uniform(0, 1e5)
        self.disk = Disk()
        self.copies: list[tuple[float, Disk]] = []
        self.mate: Mate | None = None
        self.numbers: Pick
        self.starts = 0
        self.epoch = 1  # of the list of voters in its file
        self.stopped_until = 0.0
        self.waiting: list[Callable[[], None]] = []  # what comes while it is stopped
        self.writes: list[Write] = []
        self.full_until = self.slow_until = 0.0
        self.slow_s = 0.0
        self.full_by = Fault.DISK_FULL
        self.held: dict[str, int] = {}

    def clock(self) -> float:
        """Its own time."""
        return self.offset + self.world.now * self.rate

    def true(self, local: float) -> float:
        """When its clock shows this."""
        return (local - self.offset) / self.rate

    def start(self) -> None:
        """Begin with what the disk holds."""
        world, disk = self.world, self.disk
        if self.mate is not None:
            return
        self.starts += 1
        schedule = world.schedule
        kept = None
        listed = world.lists[self.epoch - 1]
        if self.name in listed:
            if not disk.folder:
                disk.folder = f"{world.chance.getrandbits(64):016x}"
            disk.life += 1
            mark = Mark(disk.folder, disk.life, disk.made)
            kept = Kept(mark, disk.admitted, tuple(disk.promises.values()), dict(disk.known), disk.roll)
        who = Who(self.name, world.chance.getrandbits(60))
        voters = {name: (name, 0) for name in listed}
        terms = Terms(schedule.term_s, schedule.drift, world.round_s)
        chance = random.Random(world.chance.getrandbits(64))
        self.mate = Mate(who, voters, terms, chance, self.clock(), kept, dict(disk.fences), self.epoch)
        names = [f"number/{index}" for index in range(len(schedule.members) - 1)]
        self.numbers = Pick(names, self.mate.claim, chance.randrange(len(names)))
        self.numbers.want(self.clock())
        self.mate.claim(LIST).want(self.clock())
        self.note("started")
        self.look()
        self.work()

    def kill(self) -> None:
        """SIGKILL: what was under way to the disk is there or is not."""
        if self.mate is None:
            return
        self.note("killed")
        for write in self.writes:
            if self.world.chance.random() < 0.5 and self.world.now >= self.full_until:
                self.disk.take(write)
        self.mate, self.writes, self.waiting, self.stopped_until = None, [], [], 0.0

    def later(self, after: float, act: Callable[[], None]) -> None:
        """In this start of it, and not while it is stopped."""
        start = self.starts
        self.world.at(self.world.now + after, lambda: self.run(start, act))

    def run(self, start: int, act: Callable[[], None]) -> None:
        """Do something as this process, once it is not stopped."""
        if self.mate is None or self.starts != start:
            return
        if self.world.now < self.stopped_until:
            self.waiting.append(act)
            return
        act()

    def stop(self, lasts: float) -> None:
        """SIGSTOP."""
        if self.mate is not None:
            self.note("stopped")
            self.stopped_until = max(self.stopped_until, self.world.now + lasts)
            start = self.starts
            self.world.at(self.stopped_until, lambda: self.go_on(start))

    def go_on(self, start: int) -> None:
        """SIGCONT: what has come is taken in, in any order of messages and timers."""
        if self.mate is not None and self.starts == start and self.world.now >= self.stopped_until:
            acts, self.waiting = self.waiting, []
            if self.world.chance.random() < 0.5:
                self.world.chance.shuffle(acts)
            for act in acts:
                self.run(start, act)

    def look(self) -> None:
        """Tick, and come again when something is due."""
        mate = self.mate
        if mate is None:
            return
        now = self.clock()
        self.carry(mate.tick(now) + self.numbers.tick(now))
        due = min(mate.due(), self.numbers.due if self.numbers.due > now else float("inf"))
        self.later(min(max(0.001, (due - now) / self.rate), 0.5), self.look)

    def take(self, sender: Place, message: Message) -> None:
        """A datagram has come."""
        mate = self.mate
        if mate is None:
            return
        if isinstance(message, News):
            good, out = mate.fences.take(LIST, message.ticket, sender)
            self.carry(out)
            if good:
                self.note(What.TOOK.value, LIST, message.ticket)
            return
        self.carry(mate.handle(self.clock(), sender, message))
        now = self.clock()  # what is due by now is done at once, as in the program
        self.carry(mate.tick(now) + self.numbers.tick(now) + mate.tick(now))

    def carry(self, effects: list[Effect]) -> None:
        """Do what the decisions ask."""
        world = self.world
        for effect in effects:
            match effect:
                case Send():
                    world.counts["messages"] += 1
                    world.send(self.name, effect.to[0], effect.message)
                case Write():
                    world.counts["writes"] += 1
                    self.writes.append(effect)
                    took = world.chance.uniform(*SYNC_S)
                    took += self.slow_s if world.now < self.slow_until else 0.0
                    world.at(world.now + took, partial(self.synced, self.starts, effect))
                case Fence():
                    self.disk.fences[effect.claim] = effect.ticket
                case Note():
                    until = self.true(effect.until) if effect.until else 0.0
                    self.note(effect.what.value, effect.claim, effect.ticket, until, effect.why)

    def synced(self, start: int, write: Write) -> None:
        """The disk has done it, or has not."""
        if self.mate is None or self.starts != start:
            return
        self.writes.remove(write)
        fault = self.full_by.value if self.world.now < self.full_until else ""
        if fault:
            self.world.bites[fault] += 1
        else:
            self.disk.take(write)
        mate = self.mate
        self.run(start, lambda: self.carry(mate.written(self.clock(), write.number, fault)))

    def work(self) -> None:
        """A piece of work under the list's claim: check, and write a moment later, wherever it is stopped."""
        mate = self.mate
        if mate is None:
            return
        if mate.may_act(self.clock(), LIST):
            ticket = mate.claims[LIST].ticket
            self.note("acted", LIST, ticket)
            if self.world.at_work:  # stopped right here
                lasts, self.world.at_work = self.world.at_work, 0.0
                self.world.bites["stopped at work"] += 1
                self.stop(lasts)
                self.later(0.0, partial(self.write_out, ticket))
            else:
                self.later(self.world.chance.uniform(0, CHECK_S), partial(self.write_out, ticket))
        self.later(self.world.chance.uniform(0, 2 * WORK_S), self.work)

    def write_out(self, ticket: int) -> None:
        """What the holder hands on goes to all."""
        for name in self.world.boxes:
            if name != self.name:
                self.world.send(self.name, name, News(self.name, ticket, 0, 0, 1, b""))

    def note(self, what: str, claim: str = "", ticket: int = 0, until: float = 0.0, why: str = "") -> None:
        """A line of the history."""
        self.world.lines.append(
            Line(self.world.now, self.name, what, self.starts, claim, ticket, until, why=why)
        )


class World:
    """One run."""

    def __init__(self, schedule: Schedule, seed: int) -> None:
        self.schedule, self.chance = schedule, random.Random(f"world {seed}")
        self.round_s = 0.25 * schedule.term_s / 3
        self.now = 0.0
        self.lines: list[Line] = []
        self.bites: Counter[str] = Counter()  # how often each fault did something
        self.counts: Counter[str] = Counter()
        self._order = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.weather: list[Event] = []
        self.lists = [schedule.voters]  # of voters, by their epochs
        self.at_work = 0.0  # so long the holder stops at its next piece of work
        self.boxes = {name: Box(self, name) for name in schedule.members}

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Have something done."""
        heapq.heappush(self._queue, (when, next(self._order), act))

    def run(self) -> list[Line]:
        """All of it; returns the history."""
        for box in self.boxes.values():
            self.at(self.chance.uniform(0, 0.5), box.start)
        for event in self.schedule.events:
            self.at(event.at, partial(self.strike, event))
        self.at(1.0, self.copy_folders)
        while self._queue and self._queue[0][0] <= self.schedule.seconds:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        return self.lines

    def copy_folders(self) -> None:
        """Somebody's backup."""
        for box in self.boxes.values():
            box.copies.append((self.now, box.disk.copy()))
        self.at(self.now + 1.0, self.copy_folders)

    def strike(self, event: Event) -> None:
        """Begin a fault."""
        held = self.holder()
        if event.who == HOLDER:
            if held is None:
                return
            event = replace_fault(event, who=held.name)
        box = self.boxes.get(event.who)
        match event.fault:
            case Fault.STOP if box is not None:
                self.bites["stop"] += box.mate is not None
                box.stop(event.lasts)
            case Fault.KILL | Fault.LOSE | Fault.OLD | Fault.FLIP if box is not None:
                self.bites[event.fault.value] += box.mate is not None
                box.kill()
                if event.fault in FOLDERS:
                    box.note("folder")
                    old = [disk for at, disk in box.copies if at <= self.now - TAKEN_S * self.scale]
                    if event.fault is not Fault.OLD or not old:
                        box.disk = Disk()
                    else:
                        box.disk = self.chance.choice(old).copy()
                self.at(self.now + event.lasts, box.start)
            case Fault.KILL_ALL:
                self.bites["kill all"] += 1
                for each in self.boxes.values():
                    each.kill()
                    self.at(self.now + self.chance.uniform(0, event.lasts), each.start)
            case Fault.DISK_FULL | Fault.READ_ONLY if box is not None:
                box.full_until, box.full_by = self.now + event.lasts, event.fault
            case Fault.DISK_SLOW if box is not None:
                box.slow_until, box.slow_s = self.now + event.lasts, event.amount
            case Fault.HAND:
                self.hand(event)
            case Fault.VOTERS:
                self.lists.append(event.names)
                stays = {held.name if each == HOLDER and held is not None else each for each in event.stays}
                for each in [each for name, each in self.boxes.items() if name not in stays]:
                    at = self.now + self.chance.uniform(0, event.lasts)
                    self.at(at, partial(self.changed, each, len(self.lists)))
            case Fault.AT_WORK:
                self.at_work = event.lasts
            case Fault.STEP:
                self.bites["step"] += 1  # no wall clock is read: there is nothing to step
            case _:
                self.weather.append(event)
                self.at(event.at + event.lasts, lambda: self.weather.remove(event))

    def changed(self, box: Box, epoch: int) -> None:
        """One file after the other has the new list of voters, and its softswitch is started again."""
        self.bites["voters"] += 1
        box.epoch = max(box.epoch, epoch)
        if box.mate is not None:
            box.kill()
            self.at(self.now + self.chance.uniform(0.05, 0.5) * self.scale, box.start)

    def hand(self, event: Event) -> None:
        """Whoever holds the list gives it back, for another to have."""
        box = self.holder()
        if box is not None and box.mate is not None and self.now >= box.stopped_until:
            self.bites["hand over"] += 1
            claim = box.mate.claim(LIST)
            box.carry(claim.give_back(box.clock(), event.other))
            claim.want(box.clock(), self.schedule.term_s)

    def holder(self) -> Box | None:
        """Who may act under the list's claim now."""
        for box in self.boxes.values():
            if box.mate is not None and box.mate.may_act(box.clock(), LIST):
                return box
        return None

    @property
    def scale(self) -> float:
        """Against the term as it is drawn."""
        return self.schedule.term_s / 3.0

    def send(self, sender: str, to: str, message: Message) -> None:
        """A datagram on its way."""
        low, high = WAY_S
        times = [self.chance.uniform(low, high)]
        for event in self.weather:
            if cuts(event, sender, to):
                self.bites[event.fault.value] += 1
                return
            draw = self.chance.random()
            if event.fault is Fault.LOSS and draw < event.amount:
                self.bites["loss"] += 1
                return
            if event.fault is Fault.DELAY:
                self.bites["delay"] += 1
                times = [each + event.amount * self.chance.random() for each in times]
            if event.fault is Fault.COPIES and draw < event.amount:
                self.bites["copies"] += 1
                times.append(self.chance.uniform(low, self.chance.choice((0.1, 1.0))))
        box = self.boxes[to]
        for each in times:
            self.at(self.now + each, partial(self.deliver, box, sender, message))

    def deliver(self, box: Box, sender: str, message: Message) -> None:
        """It arrives, wherever the process is by now."""
        box.run(box.starts, lambda: box.take((sender, 0), message))

    def holds(self) -> dict[str, list[str]]:
        """Who holds what by its own belief: for looking, not for the rules."""
        found: dict[str, list[str]] = {}
        for box in self.boxes.values():
            for name, claim in box.mate.claims.items() if box.mate is not None else ():
                if claim.stage is Stage.HELD:
                    found.setdefault(name, []).append(box.name)
        return found
