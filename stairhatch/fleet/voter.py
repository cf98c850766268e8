"""The voter's side of claims: owns what is promised to whom, and whether this voter may promise at all. It
must never say yes to what is not on disk, nor vote from a folder that has lost something.

What is written: the claim, its ticket and holder at each new promise. A renewal is not: after a start every
promise on disk counts as given just then, for a whole term. So a fleet at rest writes nothing.

Standing. A voter that starts asks the others what they have seen of it (its mark: folder, start, promises).
  intact   its mark is no less than any that others have seen, and a majority with itself says so: it votes.
  new      its folder was empty. Where all voters say that of theirs, or know this very folder (they were
           quicker, and may have started again since), the fleet is founded, a term later; by a first list of
           voters only. Else it is let in as
  out      one whose folder is older than what others have seen: it waits a whole term, and then a majority of
           others that vote tell all their promises; these are written, and only then it votes. Any majority
           that it took part in shares a voter with those that told: no ticket that it has forgotten can be
           given again. They tell after the wait, not before it: until then a promise of theirs may still come
           that makes a majority with one that it has forgotten.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import Enum

from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    PeerAddress,
    PersistedState,
    PersistVotes,
    SendMessage,
    Vote,
)
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.fleet.messages import (
    VOTES_PER_PAGE,
    FleetMessage,
    LeaseGranted,
    LeaseQuery,
    LeaseRejected,
    LeaseRelease,
    LeaseRequest,
    LeaseStatus,
    StatusReply,
    StatusRequest,
    StorageVersion,
)
from stairhatch.fleet.messages import VoteReport as Told
from stairhatch.fleet.voter_set import (
    VoterSet,
    VoterSetRelation,
    VoterSetStatus,
    compare,
    digest_of,
    may_advance,
)

STATUS_INTERVAL_S = 0.2  # between two roll calls
SETTLED_STATUS_INTERVAL_S = (
    3.0  # between two of a voter that votes, so that others hear of a folder that came back old
)
DISK_RETRY_S = 1.0  # a disk that took no write is tried again
MAX_LEASES = 4096
WITHHELD = "-"  # holds what nobody is to get for a term
SUCCESSOR_PRIORITY_S = 1.0  # a successor that is named goes first for so long


class VoterState(Enum):
    """Whether a voter votes."""

    STARTING = "has just started"
    VOTING = "votes"
    NEW_STORAGE = "its folder was empty"
    EXCLUDED = "its folder is older than what others have seen"
    WAITING = "waits a term before it is let in"
    CATCHING_UP = "hears what others have promised"
    MISCONFIGURED = "its file and its folder have different voters"
    DISK_FAILED = "its disk takes no promise"


REFUSAL_WORDS = {  # what it says on the wire while it does not vote
    VoterState.STARTING: "starting",
    VoterState.NEW_STORAGE: "new",
    VoterState.EXCLUDED: "out",
    VoterState.WAITING: "waiting",
    VoterState.CATCHING_UP: "hearing",
    VoterState.MISCONFIGURED: "wrong",
    VoterState.DISK_FAILED: "broken",
}
RESTS = (VoterState.DISK_FAILED, VoterState.WAITING, VoterState.MISCONFIGURED)  # and takes in no answer
LEFT = (VoterState.EXCLUDED, VoterState.WAITING, VoterState.CATCHING_UP, VoterState.MISCONFIGURED)


@dataclass(slots=True)
class PeerStatus:
    """What another voter has said at this start."""

    answer: StatusReply
    promises: dict[str, Told] = field(default_factory=dict)
    whole: bool = False


class Voter:
    """One voter."""

    def __init__(
        self,
        name: str,
        voters: dict[str, PeerAddress],
        terms: LeaseTimings,
        kept: PersistedState,
        now: float,
        first_write: int = 1,
        epoch: int = 1,
    ) -> None:
        self.name, self.voters, self.terms = name, voters, terms
        self.others = {each: place for each, place in voters.items() if each != name}
        self.mark = kept.mark  # on disk, so that others may be told of it
        self.fresh = not kept.admitted
        self.known = dict(kept.known)
        self.promises = {each.claim: each for each in kept.promises}
        self.until = {each.claim: now + self._keeps(each) for each in kept.promises if each.holder}
        self.first: dict[str, tuple[str, float]] = {}  # claim -> a successor that goes first, until when
        self.started = now
        self.standing = VoterState.NEW_STORAGE if not kept.admitted else VoterState.STARTING
        self.heard: dict[str, PeerStatus] = {}
        self.due = now
        self.waits_until = math.inf
        self.why = ""
        self._number = first_write
        self._promised = kept.mark.promises  # with those that are not on disk yet
        self._marks: dict[int, StorageVersion] = {}  # by the write that puts it there
        self._rolls: dict[int, VoterSet] = {}
        self._known_new = self._said = False
        self._answers: dict[
            int, tuple[PeerAddress, FleetMessage, str]
        ] = {}  # by the write that has to come first
        self._writing: dict[str, int] = {}  # claim -> the write under way
        self._unwritten: dict[str, Vote] = {}
        self._broken_at = -math.inf
        # Of the roll calls whose answers count: not those to an earlier start either.
        self._serial = digest_of((kept.mark.folder, str(kept.mark.life)))
        self._founds = False  # nobody has promised anything yet
        self.listed = tuple(sorted(voters))  # in the file
        mine = VoterSet(epoch, self.listed, 0, epoch)
        self.roll = kept.roll or mine
        self.on_disk = kept.roll
        self._roll_new = kept.roll is None  # not on disk yet
        kind, why = compare(self.roll, epoch, self.listed)
        self.wish = digest_of(self.listed) if kind is VoterSetRelation.NEXT else 0
        if kind is VoterSetRelation.WRONG:
            self.standing, self.why = VoterState.MISCONFIGURED, why
        elif kind is VoterSetRelation.BEHIND:
            self.roll, self._roll_new = mine, True
            if self.standing is VoterState.STARTING:
                self.standing, self.why = VoterState.EXCLUDED, why

    def _keeps(self, promise: Vote) -> float:
        return max(promise.term_s, self.terms.term_s) * (1 + self.terms.drift)

    @property
    def majority(self) -> int:
        """Of the voters of the list that it goes by."""
        return self.roll.majority

    @property
    def votes(self) -> bool:
        """Whether it may promise."""
        return self.standing is VoterState.VOTING

    # ---- promises ----

    def asked(self, now: float, sender: PeerAddress, ask: LeaseRequest) -> list[Effect]:
        """Promise, or say what stands in the way."""
        out = self._compare(now, ask.marks)
        why, highest, holder, left = self._against(now, ask)
        if why:
            left_ms = max(0, math.ceil(left * 1000))
            no = LeaseRejected(
                ask.claim, self.name, ask.serial, why, highest, holder, min(left_ms, 3_600_000)
            )
            return [*out, SendMessage(sender, no)]
        if ask.claim in self._writing:
            return out  # what is under way has not been promised yet, whoever asks a second time
        old = self.promises.get(ask.claim)
        term = ask.term_ms / 1000
        new = Vote(ask.claim, ask.ticket, ask.holder, ask.incarnation, term)
        self.until[ask.claim] = now + self._keeps(new)
        self.first.pop(ask.claim, None)
        if new == old:
            return [
                *out,
                SendMessage(sender, LeaseGranted(ask.claim, self.name, ask.ticket, ask.serial, self.mark)),
            ]
        return [*out, *self._promise(new, sender, ask.serial)]

    def _against(self, now: float, ask: LeaseRequest) -> tuple[str, int, str, float]:
        """(why not, highest ticket, its holder, how long); "" where nothing is."""
        if not self.votes:
            left = self.waits_until - now if self.standing is VoterState.WAITING else 0.0
            return REFUSAL_WORDS[self.standing], 0, "", max(left, self.terms.round_s)
        if not self.roll.serves(ask.epoch, ask.roll):
            return f"another list of voters, {self.roll.epoch}", 0, "", self.terms.term_s
        if ask.term_ms > math.ceil(self.terms.term_s * 1000):
            return "term", 0, "", self.terms.term_s  # a voter let in again waits for no longer than its own
        old = self.promises.get(ask.claim)
        if old is None:
            if len(self.promises) >= MAX_LEASES:
                return "full", 0, "", self.terms.term_s
            return "", 0, "", 0.0
        left = self.until.get(ask.claim, -math.inf) - now
        if (ask.ticket, ask.holder, ask.incarnation) == (old.ticket, old.holder, old.incarnation):
            return "", 0, "", 0.0
        mine = (ask.holder, ask.incarnation) == (old.holder, old.incarnation)
        if old.holder and left > 0 and not mine:
            return "held", old.ticket, old.holder, left
        first, until = self.first.get(ask.claim, ("", 0.0))
        if first and first != ask.holder and now < until:
            return "handed", old.ticket, first, until - now
        if ask.ticket <= old.ticket:
            return "low", old.ticket, old.holder if left > 0 else "", 0.0
        return "", 0, "", 0.0

    def given_back(self, now: float, back: LeaseRelease) -> list[Effect]:
        """The holder wants it no longer; its ticket stays promised."""
        old = self.promises.get(back.claim)
        if old is None or (old.holder, old.incarnation, old.ticket) != (
            back.holder,
            back.incarnation,
            back.ticket,
        ):
            return []
        if back.claim in self._writing:  # that write must not be answered any more
            self._answers.pop(self._writing[back.claim], None)
        self.until.pop(back.claim, None)
        if back.successor:
            self.first[back.claim] = (back.successor, now + min(SUCCESSOR_PRIORITY_S, self.terms.term_s))
        self.promises[back.claim] = Vote(old.claim, old.ticket)
        return []  # a loss of this only costs a term, so it waits for the next write

    def look(self, now: float, look: LeaseQuery, sender: PeerAddress) -> list[Effect]:
        """Say who holds it."""
        old = self.promises.get(look.claim)
        left = max(0.0, self.until.get(look.claim, -math.inf) - now)
        if not self.votes or old is None or not left:
            return [
                SendMessage(sender, LeaseStatus(look.claim, self.name, look.serial, old.ticket if old else 0))
            ]
        return [
            SendMessage(
                sender,
                LeaseStatus(look.claim, self.name, look.serial, old.ticket, old.holder, int(left * 1000)),
            )
        ]

    # ---- the disk ----

    def _promise(self, promise: Vote, sender: PeerAddress, serial: int) -> list[Effect]:
        self._promised += 1
        mark = StorageVersion(self.mark.folder, self.mark.life, self._promised)
        self.promises[promise.claim] = promise
        self._unwritten[promise.claim] = promise
        write = self._write((promise,), mark)
        self._writing[promise.claim] = write.number
        yes = LeaseGranted(promise.claim, self.name, promise.ticket, serial, mark)
        self._answers[write.number] = (sender, yes, promise.claim)
        return [write]

    def _write(self, promises: tuple[Vote, ...], mark: StorageVersion) -> PersistVotes:
        self._number += 1
        self._marks[self._number] = mark
        self._known_new = self._roll_new = False
        self._rolls[self._number] = self.roll
        return PersistVotes(self._number, mark, promises, dict(self.known), True, self.roll)

    def written(self, now: float, number: int, fault: str) -> list[Effect]:
        """A write has ended. Only then is what it holds said; a fault ends the voting until one succeeds."""
        answer, mark = self._answers.pop(number, None), self._marks.pop(number, self.mark)
        roll = self._rolls.pop(number, None)
        done = [claim for claim, under in self._writing.items() if under == number]
        if fault and not self.votes and self.standing is not VoterState.DISK_FAILED:
            for claim in done:  # it does not vote as it is, and writes all of it when it does
                del self._writing[claim]
            return []
        if fault:
            self._broken_at, self.due = now, min(self.due, now + DISK_RETRY_S)
            if self.standing is VoterState.DISK_FAILED:
                return []
            self.standing, self.why = VoterState.DISK_FAILED, fault
            return [LeaseEvent(LeaseEventKind.SILENT, why=f"{VoterState.DISK_FAILED.value}: {fault}")]
        if mark.promises >= self.mark.promises:
            self.mark = mark
        if roll is not None and (self.on_disk is None or roll.epoch >= self.on_disk.epoch):
            self.on_disk = roll
        for claim in done:
            del self._writing[claim]
            self._unwritten.pop(claim, None)
        if self.standing is VoterState.DISK_FAILED:
            if self._unwritten:
                return []
            self.standing, self.why, self.due = VoterState.VOTING, "", now
            return [LeaseEvent(LeaseEventKind.VOTES, why="the disk takes promises again")]
        if answer is None or not self.votes:
            return []
        sender, message, claim = answer
        promise = self.promises[claim]
        note = LeaseEvent(
            LeaseEventKind.PROMISED, claim, promise.ticket, self.until.get(claim, now), promise.holder
        )
        # so that others know of a folder that comes back old
        mine = StatusRequest(self.name, self.mark, self.fresh, True, epoch=self.roll.epoch)
        return [
            note,
            SendMessage(sender, message),
            *(SendMessage(place, mine) for place in self.others.values()),
        ]

    # ---- whether it votes ----

    def _compare(self, now: float, marks: dict[str, StorageVersion]) -> list[Effect]:
        """What an asker has heard of the voters: one that has more of this folder than is in it ends the
        vote.
        """
        for name, mark in marks.items():
            if name == self.name:
                if self._behind(mark):
                    return self._leave(now, VoterState.EXCLUDED)
            elif name in self.others:
                self._hear(name, mark, False)
        return []

    def _hear(self, name: str, mark: StorageVersion, good: bool) -> None:
        """Remember how far another voter has come; its new folder only once it votes from it."""
        old = self.known.get(name)
        if old is not None and old.folder == mark.folder:
            # Each by itself: a folder that is put back old has started once more, with fewer promises.
            mark = StorageVersion(mark.folder, max(old.life, mark.life), max(old.promises, mark.promises))
        elif old is not None and not good:
            return
        if mark != old:
            self.known[name], self._known_new = mark, True

    def _behind(self, seen: StorageVersion) -> bool:
        if seen.folder != self.mark.folder:
            return self.standing is VoterState.STARTING  # one that votes was let in after that
        return seen.life > self.mark.life or seen.promises > self._promised

    def _leave(self, now: float, standing: VoterState) -> list[Effect]:
        if self.standing in LEFT or self.standing is VoterState.NEW_STORAGE:
            return []
        self.standing, self.due = standing, now
        self.started = now  # what it promised so far counts for a term from here
        self._founds, self.roll = False, replace(self.roll, floor=self.roll.epoch)
        self._hear_anew()
        self._answers.clear()
        return [LeaseEvent(LeaseEventKind.SILENT, why=standing.value)]

    def _hear_anew(self) -> None:
        """What was heard so far counts no longer, nor what is on its way."""
        self.heard.clear()
        self._serial += 1

    def tick(self, now: float) -> list[Effect]:
        """Roll calls, the end of a wait, and a disk that is tried again."""
        if now < self.due:
            return []
        out: list[Effect] = []
        if self.standing is VoterState.NEW_STORAGE and not self._said:
            self._said = True
            out.append(LeaseEvent(LeaseEventKind.SILENT, why=self.standing.value))
        if self.standing is VoterState.DISK_FAILED:
            self.due = now + DISK_RETRY_S
            mark = StorageVersion(self.mark.folder, self.mark.life, self._promised)
            write = self._write(tuple(self._unwritten.values()), mark)
            self._writing = dict.fromkeys(self._unwritten, write.number)
            return [write]
        if self.standing is VoterState.WAITING and now >= self.waits_until:
            if self._founds:
                return self._vote(now, "a term has passed since the fleet was founded")
            self.standing = VoterState.CATCHING_UP
            self._hear_anew()
        if self.standing is VoterState.STARTING and self.majority == 1 and self.roll.voters == (self.name,):
            return [*out, *self._vote(now, "the only voter")]
        if self.standing is VoterState.MISCONFIGURED:
            self.due = math.inf
            return [LeaseEvent(LeaseEventKind.SILENT, why=self.why)]
        out += self._wishes(now)
        self.due = now + (SETTLED_STATUS_INTERVAL_S if self.votes and not self.wish else STATUS_INTERVAL_S)
        if not self.others and self.standing is VoterState.NEW_STORAGE:
            out += self._judge(now)
        if self.votes and (self._known_new or self._roll_new):
            out.append(self._write((), StorageVersion(self.mark.folder, self.mark.life, self._promised)))
        for name, place in self.others.items():
            heard = self.heard.get(name)
            after = max(heard.promises, default="") if heard is not None and not heard.whole else ""
            wish = self.wish if self.votes else 0
            call = StatusRequest(
                self.name, self.mark, self.fresh, self.votes, after, self._serial, self.roll.epoch, wish
            )
            out.append(SendMessage(place, call))
        if self.standing is VoterState.WAITING:
            self.due = min(self.due, self.waits_until)
        return out

    def _vote(self, now: float, why: str) -> list[Effect]:
        self.standing, self.fresh = VoterState.VOTING, False
        self.due, self.why = now, ""
        mark = StorageVersion(self.mark.folder, self.mark.life, self._promised)
        return [self._write(tuple(self.promises.values()), mark), LeaseEvent(LeaseEventKind.VOTES, why=why)]

    def called(self, now: float, call: StatusRequest) -> list[Effect]:
        """Another voter asks what is known of it."""
        if call.voter not in self.others:
            return []
        known = self.known.get(call.voter)
        self._hear(call.voter, call.mark, call.good)
        names = sorted(name for name in self.promises if name > call.after)
        kept = tuple(
            Told(p.claim, p.ticket, p.holder, p.incarnation, math.ceil(p.term_s * 1000))
            if self.until.get(p.claim, -math.inf) > now
            else Told(p.claim, p.ticket, "", 0, 0)
            for p in (self.promises[name] for name in names[:VOTES_PER_PAGE])
        )
        if self.votes and call.wish and call.epoch == self.roll.epoch:
            self._agree(now, call.wish)
        roll = self.on_disk
        answer = StatusReply(
            self.name,
            self.mark,
            self.fresh,
            self.votes,
            self.standing in LEFT,
            known,
            call.after,
            kept,
            len(names) > VOTES_PER_PAGE,
            call.serial,
            roll.epoch if roll else 0,
            roll.digest if roll else 0,
            roll.floor if roll else 0,
            roll.agreed if roll else 0,
        )
        return [SendMessage(self.others[call.voter], answer)]

    # ---- the next list ----

    def _agree(self, now: float, told: int) -> None:
        """To the first next list that is heard of; from here on no ask by the list before is served."""
        roll = self.roll.agree(told)
        if roll != self.roll:
            self.roll, self._roll_new, self.due = roll, True, now

    def _wishes(self, now: float) -> list[Effect]:
        """Go on to the file's list, where enough have said that they agree."""
        if not self.votes or not self.wish:
            return []
        self._agree(now, self.wish)
        if self.on_disk is None or self.on_disk != self.roll:
            return []
        ready = {name: each for name, each in self.heard.items() if each.answer.good and each.whole}
        said = {name: said_of(each.answer) for name, each in ready.items()}
        if not may_advance(self.roll, self.wish, said, self.name):
            return []
        self._take_over(now, list(ready.values()))
        self.roll, self.wish = self.roll.next(self.listed), 0
        mark = StorageVersion(self.mark.folder, self.mark.life, self._promised)
        write = self._write(tuple(self.promises.values()), mark)
        return [write, LeaseEvent(LeaseEventKind.WENT_ON, ticket=self.roll.epoch, why=" ".join(self.listed))]

    def answered(self, now: float, answer: StatusReply) -> list[Effect]:
        """Another voter has said what it knows."""
        if answer.voter not in self.others:
            return []
        self._hear(answer.voter, answer.mark, answer.good)
        if answer.known is not None and self._behind(answer.known):
            return self._leave(now, VoterState.EXCLUDED)
        if (self.votes and not self.wish) or self.standing in RESTS:
            return []
        if answer.serial != self._serial:
            return []
        heard = self.heard.get(answer.voter)
        if heard is None or changed(heard.answer, answer):
            heard = self.heard[answer.voter] = PeerStatus(answer)
        heard.answer = answer
        if answer.after == max(heard.promises, default=""):  # the next page, none left out
            heard.promises.update((each.claim, each) for each in answer.kept)
            heard.whole = heard.whole or not answer.more
            if answer.more:
                self.due = now
        return self._judge(now)

    def _judge(self, now: float) -> list[Effect]:
        """Whether what was heard is enough to vote."""
        if self.votes:
            return self._wishes(now)
        if self.standing is VoterState.STARTING:
            sure = [
                h
                for name, h in self.heard.items()
                if name in self.roll.voters and not h.answer.fresh and not h.answer.out
            ]
            if len(sure) + 1 >= self.majority:
                return self._vote(now, "a majority has seen nothing newer")
            return []
        here = self.roll.epoch, self.roll.digest
        good = [
            h
            for h in self.heard.values()
            if h.answer.good and h.whole and (h.answer.epoch, h.answer.roll) == here
        ]
        if len(good) >= self.majority:
            return self._let_in(now, good)
        if (
            self.standing is VoterState.NEW_STORAGE
            and self.roll.epoch == 1
            and len(self.heard) == len(self.others)
        ):
            vouched = [
                heard.answer.fresh
                or (
                    not heard.answer.out
                    and (known := heard.answer.known) is not None
                    and known.folder == self.mark.folder
                    and not self._behind(known)
                )
                for heard in self.heard.values()
            ]
            if all(vouched):
                self._founds = True  # and has promised nothing, so it has nothing to hear
                return self._wait(now)
        return []

    def _let_in(self, now: float, good: list[PeerStatus]) -> list[Effect]:
        """Enough are there that vote: wait a term, and then go by what they tell."""
        for heard in good:
            known = heard.answer.known
            if known is not None and known.folder == self.mark.folder:  # or it would be found behind again
                self._promised = max(self._promised, known.promises + 1)
        self._founds = False
        self._take_over(now, good)
        if self.standing is VoterState.CATCHING_UP:
            return self._vote(now, "a majority has told it what was promised")
        return self._wait(now)

    def _take_over(self, now: float, good: list[PeerStatus]) -> None:
        """The tickets of others; who has one may hold it for as long as from now. Where two are told of one
        claim, a majority may stand behind either: the higher ticket counts, and for a term nobody gets it.
        """
        for told in [each for heard in good for each in heard.promises.values()]:
            old = self.promises.get(told.claim, Vote(told.claim, 0))
            new = Vote(told.claim, told.ticket, told.holder, told.incarnation, told.term_ms / 1000)
            same = (old.holder, old.incarnation) == (new.holder, new.incarnation)
            if told.ticket <= old.ticket and (same or not told.holder):
                continue
            if (old.holder and not same) or told.ticket <= old.ticket:
                term = max(old.term_s, new.term_s)
                new = Vote(told.claim, max(old.ticket, told.ticket), WITHHELD, 0, term)
            self.promises[told.claim] = new
            if told.claim in self._writing:  # that write must not be answered any more
                self._answers.pop(self._writing[told.claim], None)
            self.first.pop(told.claim, None)
            self.until.pop(told.claim, None)
            if new.holder:
                self.until[told.claim] = now + self._keeps(new)

    def _longest(self) -> float:
        return max([self.terms.term_s, *(each.term_s for each in self.promises.values())])

    def _wait(self, now: float) -> list[Effect]:
        """What it may have promised before it forgot must be over, and what others promised counts as new."""
        self.waits_until = self.started + self._longest() * (1 + self.terms.drift)
        self.until = {each.claim: now + self._keeps(each) for each in self.promises.values() if each.holder}
        self.standing, self.due = VoterState.WAITING, now
        return []


def said_of(answer: StatusReply) -> VoterSetStatus:
    """The part of an answer that is about lists of voters."""
    return VoterSetStatus(answer.epoch, answer.roll, answer.floor, answer.agreed)


def changed(old: StatusReply, new: StatusReply) -> bool:
    """Whether pages that were told before this answer count no longer."""
    return (old.mark.life, old.good, said_of(old)) != (new.mark.life, new.good, said_of(new))
