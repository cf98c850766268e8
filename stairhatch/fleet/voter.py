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


REJECTION_WORDS = {  # what it says on the wire while it does not vote
    VoterState.STARTING: "starting",
    VoterState.NEW_STORAGE: "new",
    VoterState.EXCLUDED: "out",
    VoterState.WAITING: "waiting",
    VoterState.CATCHING_UP: "hearing",
    VoterState.MISCONFIGURED: "wrong",
    VoterState.DISK_FAILED: "broken",
}
IGNORES_REPLIES = (
    VoterState.DISK_FAILED,
    VoterState.WAITING,
    VoterState.MISCONFIGURED,
)  # and takes in no answer
MAY_HAVE_FORGOTTEN = (
    VoterState.EXCLUDED,
    VoterState.WAITING,
    VoterState.CATCHING_UP,
    VoterState.MISCONFIGURED,
)


@dataclass(slots=True)
class PeerStatus:
    """What another voter has said at this start."""

    reply: StatusReply
    votes: dict[str, Told] = field(default_factory=dict)
    is_complete: bool = False


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
        self.name, self.voters, self.timings = name, voters, terms
        self.others = {each: place for each, place in voters.items() if each != name}
        self.storage_version = kept.storage_version  # on disk, so that others may be told of it
        self.is_new_storage = not kept.admitted
        self.known_versions = dict(kept.known_versions)
        self.votes = {each.lease: each for each in kept.votes}
        self.expires_at = {
            each.lease: now + self._vote_duration_s(each) for each in kept.votes if each.holder
        }
        self.successors: dict[str, tuple[str, float]] = {}  # claim -> a successor that goes first, until when
        self.started_at = now
        self.state = VoterState.NEW_STORAGE if not kept.admitted else VoterState.STARTING
        self.peers: dict[str, PeerStatus] = {}
        self.due_at = now
        self.waiting_until = math.inf
        self.reason = ""
        self._write_id = first_write
        self._vote_count = kept.storage_version.vote_count  # with those that are not on disk yet
        self._written_versions: dict[int, StorageVersion] = {}  # by the write that puts it there
        self._written_voter_sets: dict[int, VoterSet] = {}
        self._known_changed = self._new_storage_reported = False
        self._pending_grants: dict[
            int, tuple[PeerAddress, FleetMessage, str]
        ] = {}  # by the write that has to come first
        self._writing: dict[str, int] = {}  # claim -> the write under way
        self._unwritten: dict[str, Vote] = {}
        self._disk_failed_at = -math.inf
        # Of the roll calls whose answers count: not those to an earlier start either.
        self._request_id = digest_of((kept.storage_version.storage_id, str(kept.storage_version.incarnation)))
        self._is_founding = False  # nobody has promised anything yet
        self.configured_voters = tuple(sorted(voters))  # in the file
        mine = VoterSet(epoch, self.configured_voters, 0, epoch)
        self.voter_set = kept.voter_set or mine
        self.persisted_voter_set = kept.voter_set
        self._voter_set_changed = kept.voter_set is None  # not on disk yet
        kind, why = compare(self.voter_set, epoch, self.configured_voters)
        self.proposed_digest = digest_of(self.configured_voters) if kind is VoterSetRelation.SUCCESSOR else 0
        if kind is VoterSetRelation.INCONSISTENT:
            self.state, self.reason = VoterState.MISCONFIGURED, why
        elif kind is VoterSetRelation.BEHIND:
            self.voter_set, self._voter_set_changed = mine, True
            if self.state is VoterState.STARTING:
                self.state, self.reason = VoterState.EXCLUDED, why

    def _vote_duration_s(self, promise: Vote) -> float:
        return max(promise.duration_s, self.timings.duration_s) * (1 + self.timings.clock_drift)

    @property
    def majority(self) -> int:
        """Of the voters of the list that it goes by."""
        return self.voter_set.majority

    @property
    def is_voting(self) -> bool:
        """Whether it may promise."""
        return self.state is VoterState.VOTING

    # ---- promises ----

    def handle_request(self, now: float, sender: PeerAddress, ask: LeaseRequest) -> list[Effect]:
        """Promise, or say what stands in the way."""
        out = self._compare_versions(now, ask.storage_versions)
        why, highest, holder, left = self._rejection(now, ask)
        if why:
            left_ms = max(0, math.ceil(left * 1000))
            no = LeaseRejected(
                ask.lease, self.name, ask.request_id, why, highest, holder, min(left_ms, 3_600_000)
            )
            return [*out, SendMessage(sender, no)]
        if ask.lease in self._writing:
            return out  # what is under way has not been promised yet, whoever asks a second time
        old = self.votes.get(ask.lease)
        term = ask.duration_ms / 1000
        new = Vote(ask.lease, ask.fencing_token, ask.holder, ask.incarnation, term)
        self.expires_at[ask.lease] = now + self._vote_duration_s(new)
        self.successors.pop(ask.lease, None)
        if new == old:
            return [
                *out,
                SendMessage(
                    sender,
                    LeaseGranted(
                        ask.lease, self.name, ask.fencing_token, ask.request_id, self.storage_version
                    ),
                ),
            ]
        return [*out, *self._cast_vote(new, sender, ask.request_id)]

    def _rejection(self, now: float, ask: LeaseRequest) -> tuple[str, int, str, float]:
        """(why not, highest ticket, its holder, how long); "" where nothing is."""
        if not self.is_voting:
            left = self.waiting_until - now if self.state is VoterState.WAITING else 0.0
            return REJECTION_WORDS[self.state], 0, "", max(left, self.timings.round_timeout_s)
        if not self.voter_set.accepts(ask.epoch, ask.voter_set_digest):
            return f"another list of voters, {self.voter_set.epoch}", 0, "", self.timings.duration_s
        if ask.duration_ms > math.ceil(self.timings.duration_s * 1000):
            return (
                "term",
                0,
                "",
                self.timings.duration_s,
            )  # a voter let in again waits for no longer than its own
        old = self.votes.get(ask.lease)
        if old is None:
            if len(self.votes) >= MAX_LEASES:
                return "full", 0, "", self.timings.duration_s
            return "", 0, "", 0.0
        left = self.expires_at.get(ask.lease, -math.inf) - now
        if (ask.fencing_token, ask.holder, ask.incarnation) == (
            old.fencing_token,
            old.holder,
            old.incarnation,
        ):
            return "", 0, "", 0.0
        mine = (ask.holder, ask.incarnation) == (old.holder, old.incarnation)
        if old.holder and left > 0 and not mine:
            return "held", old.fencing_token, old.holder, left
        first, until = self.successors.get(ask.lease, ("", 0.0))
        if first and first != ask.holder and now < until:
            return "handed", old.fencing_token, first, until - now
        if ask.fencing_token <= old.fencing_token:
            return "low", old.fencing_token, old.holder if left > 0 else "", 0.0
        return "", 0, "", 0.0

    def handle_release(self, now: float, back: LeaseRelease) -> list[Effect]:
        """The holder wants it no longer; its ticket stays promised."""
        old = self.votes.get(back.lease)
        if old is None or (old.holder, old.incarnation, old.fencing_token) != (
            back.holder,
            back.incarnation,
            back.fencing_token,
        ):
            return []
        if back.lease in self._writing:  # that write must not be answered any more
            self._pending_grants.pop(self._writing[back.lease], None)
        self.expires_at.pop(back.lease, None)
        if back.successor:
            self.successors[back.lease] = (
                back.successor,
                now + min(SUCCESSOR_PRIORITY_S, self.timings.duration_s),
            )
        self.votes[back.lease] = Vote(old.lease, old.fencing_token)
        return []  # a loss of this only costs a term, so it waits for the next write

    def handle_query(self, now: float, look: LeaseQuery, sender: PeerAddress) -> list[Effect]:
        """Say who holds it."""
        old = self.votes.get(look.lease)
        left = max(0.0, self.expires_at.get(look.lease, -math.inf) - now)
        if not self.is_voting or old is None or not left:
            return [
                SendMessage(
                    sender, LeaseStatus(look.lease, self.name, look.query_id, old.fencing_token if old else 0)
                )
            ]
        return [
            SendMessage(
                sender,
                LeaseStatus(
                    look.lease, self.name, look.query_id, old.fencing_token, old.holder, int(left * 1000)
                ),
            )
        ]

    # ---- the disk ----

    def _cast_vote(self, promise: Vote, sender: PeerAddress, serial: int) -> list[Effect]:
        self._vote_count += 1
        mark = StorageVersion(
            self.storage_version.storage_id, self.storage_version.incarnation, self._vote_count
        )
        self.votes[promise.lease] = promise
        self._unwritten[promise.lease] = promise
        write = self._write((promise,), mark)
        self._writing[promise.lease] = write.write_id
        yes = LeaseGranted(promise.lease, self.name, promise.fencing_token, serial, mark)
        self._pending_grants[write.write_id] = (sender, yes, promise.lease)
        return [write]

    def _write(self, promises: tuple[Vote, ...], mark: StorageVersion) -> PersistVotes:
        self._write_id += 1
        self._written_versions[self._write_id] = mark
        self._known_changed = self._voter_set_changed = False
        self._written_voter_sets[self._write_id] = self.voter_set
        return PersistVotes(self._write_id, mark, promises, dict(self.known_versions), True, self.voter_set)

    def write_completed(self, now: float, number: int, fault: str) -> list[Effect]:
        """A write has ended. Only then is what it holds said; a fault ends the voting until one succeeds."""
        answer, mark = (
            self._pending_grants.pop(number, None),
            self._written_versions.pop(number, self.storage_version),
        )
        roll = self._written_voter_sets.pop(number, None)
        done = [claim for claim, under in self._writing.items() if under == number]
        if fault and not self.is_voting and self.state is not VoterState.DISK_FAILED:
            for claim in done:  # it does not vote as it is, and writes all of it when it does
                del self._writing[claim]
            return []
        if fault:
            self._disk_failed_at, self.due_at = now, min(self.due_at, now + DISK_RETRY_S)
            if self.state is VoterState.DISK_FAILED:
                return []
            self.state, self.reason = VoterState.DISK_FAILED, fault
            return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=f"{VoterState.DISK_FAILED.value}: {fault}")]
        if mark.vote_count >= self.storage_version.vote_count:
            self.storage_version = mark
        if roll is not None and (
            self.persisted_voter_set is None or roll.epoch >= self.persisted_voter_set.epoch
        ):
            self.persisted_voter_set = roll
        for claim in done:
            del self._writing[claim]
            self._unwritten.pop(claim, None)
        if self.state is VoterState.DISK_FAILED:
            if self._unwritten:
                return []
            self.state, self.reason, self.due_at = VoterState.VOTING, "", now
            return [LeaseEvent(LeaseEventKind.VOTING, reason="the disk takes promises again")]
        if answer is None or not self.is_voting:
            return []
        sender, message, claim = answer
        promise = self.votes[claim]
        note = LeaseEvent(
            LeaseEventKind.VOTED,
            claim,
            promise.fencing_token,
            self.expires_at.get(claim, now),
            promise.holder,
        )
        # so that others know of a folder that comes back old
        mine = StatusRequest(
            self.name, self.storage_version, self.is_new_storage, True, epoch=self.voter_set.epoch
        )
        return [
            note,
            SendMessage(sender, message),
            *(SendMessage(place, mine) for place in self.others.values()),
        ]

    # ---- whether it votes ----

    def _compare_versions(self, now: float, marks: dict[str, StorageVersion]) -> list[Effect]:
        """What an asker has heard of the voters: one that has more of this folder than is in it ends the
        vote.
        """
        for name, mark in marks.items():
            if name == self.name:
                if self._is_behind(mark):
                    return self._stop_voting(now, VoterState.EXCLUDED)
            elif name in self.others:
                self._record_version(name, mark, False)
        return []

    def _record_version(self, name: str, mark: StorageVersion, good: bool) -> None:
        """Remember how far another voter has come; its new folder only once it votes from it."""
        old = self.known_versions.get(name)
        if old is not None and old.storage_id == mark.storage_id:
            # Each by itself: a folder that is put back old has started once more, with fewer promises.
            mark = StorageVersion(
                mark.storage_id, max(old.incarnation, mark.incarnation), max(old.vote_count, mark.vote_count)
            )
        elif old is not None and not good:
            return
        if mark != old:
            self.known_versions[name], self._known_changed = mark, True

    def _is_behind(self, seen: StorageVersion) -> bool:
        if seen.storage_id != self.storage_version.storage_id:
            return self.state is VoterState.STARTING  # one that votes was let in after that
        return seen.incarnation > self.storage_version.incarnation or seen.vote_count > self._vote_count

    def _stop_voting(self, now: float, standing: VoterState) -> list[Effect]:
        if self.state in MAY_HAVE_FORGOTTEN or self.state is VoterState.NEW_STORAGE:
            return []
        self.state, self.due_at = standing, now
        self.started_at = now  # what it promised so far counts for a term from here
        self._is_founding, self.voter_set = False, replace(self.voter_set, minimum_epoch=self.voter_set.epoch)
        self._forget_replies()
        self._pending_grants.clear()
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=standing.value)]

    def _forget_replies(self) -> None:
        """What was heard so far counts no longer, nor what is on its way."""
        self.peers.clear()
        self._request_id += 1

    def tick(self, now: float) -> list[Effect]:
        """Roll calls, the end of a wait, and a disk that is tried again."""
        if now < self.due_at:
            return []
        out: list[Effect] = []
        if self.state is VoterState.NEW_STORAGE and not self._new_storage_reported:
            self._new_storage_reported = True
            out.append(LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self.state.value))
        if self.state is VoterState.DISK_FAILED:
            self.due_at = now + DISK_RETRY_S
            mark = StorageVersion(
                self.storage_version.storage_id, self.storage_version.incarnation, self._vote_count
            )
            write = self._write(tuple(self._unwritten.values()), mark)
            self._writing = dict.fromkeys(self._unwritten, write.write_id)
            return [write]
        if self.state is VoterState.WAITING and now >= self.waiting_until:
            if self._is_founding:
                return self._start_voting(now, "a term has passed since the fleet was founded")
            self.state = VoterState.CATCHING_UP
            self._forget_replies()
        if self.state is VoterState.STARTING and self.majority == 1 and self.voter_set.voters == (self.name,):
            return [*out, *self._start_voting(now, "the only voter")]
        if self.state is VoterState.MISCONFIGURED:
            self.due_at = math.inf
            return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self.reason)]
        out += self._try_to_advance(now)
        self.due_at = now + (
            SETTLED_STATUS_INTERVAL_S if self.is_voting and not self.proposed_digest else STATUS_INTERVAL_S
        )
        if not self.others and self.state is VoterState.NEW_STORAGE:
            out += self._evaluate_replies(now)
        if self.is_voting and (self._known_changed or self._voter_set_changed):
            out.append(
                self._write(
                    (),
                    StorageVersion(
                        self.storage_version.storage_id, self.storage_version.incarnation, self._vote_count
                    ),
                )
            )
        for name, place in self.others.items():
            heard = self.peers.get(name)
            after = max(heard.votes, default="") if heard is not None and not heard.is_complete else ""
            wish = self.proposed_digest if self.is_voting else 0
            call = StatusRequest(
                self.name,
                self.storage_version,
                self.is_new_storage,
                self.is_voting,
                after,
                self._request_id,
                self.voter_set.epoch,
                wish,
            )
            out.append(SendMessage(place, call))
        if self.state is VoterState.WAITING:
            self.due_at = min(self.due_at, self.waiting_until)
        return out

    def _start_voting(self, now: float, why: str) -> list[Effect]:
        self.state, self.is_new_storage = VoterState.VOTING, False
        self.due_at, self.reason = now, ""
        mark = StorageVersion(
            self.storage_version.storage_id, self.storage_version.incarnation, self._vote_count
        )
        return [self._write(tuple(self.votes.values()), mark), LeaseEvent(LeaseEventKind.VOTING, reason=why)]

    def handle_status_request(self, now: float, call: StatusRequest) -> list[Effect]:
        """Another voter asks what is known of it."""
        if call.voter not in self.others:
            return []
        known = self.known_versions.get(call.voter)
        self._record_version(call.voter, call.storage_version, call.is_voting)
        names = sorted(name for name in self.votes if name > call.after_lease)
        kept = tuple(
            Told(p.lease, p.fencing_token, p.holder, p.incarnation, math.ceil(p.duration_s * 1000))
            if self.expires_at.get(p.lease, -math.inf) > now
            else Told(p.lease, p.fencing_token, "", 0, 0)
            for p in (self.votes[name] for name in names[:VOTES_PER_PAGE])
        )
        if self.is_voting and call.proposed_digest and call.epoch == self.voter_set.epoch:
            self._agree_to(now, call.proposed_digest)
        roll = self.persisted_voter_set
        answer = StatusReply(
            self.name,
            self.storage_version,
            self.is_new_storage,
            self.is_voting,
            self.state in MAY_HAVE_FORGOTTEN,
            known,
            call.after_lease,
            kept,
            len(names) > VOTES_PER_PAGE,
            call.request_id,
            roll.epoch if roll else 0,
            roll.digest if roll else 0,
            roll.minimum_epoch if roll else 0,
            roll.agreed_digest if roll else 0,
        )
        return [SendMessage(self.others[call.voter], answer)]

    # ---- the next list ----

    def _agree_to(self, now: float, told: int) -> None:
        """To the first next list that is heard of; from here on no ask by the list before is served."""
        roll = self.voter_set.agree_to(told)
        if roll != self.voter_set:
            self.voter_set, self._voter_set_changed, self.due_at = roll, True, now

    def _try_to_advance(self, now: float) -> list[Effect]:
        """Go on to the file's list, where enough have said that they agree."""
        if not self.is_voting or not self.proposed_digest:
            return []
        self._agree_to(now, self.proposed_digest)
        if self.persisted_voter_set is None or self.persisted_voter_set != self.voter_set:
            return []
        ready = {name: each for name, each in self.peers.items() if each.reply.is_voting and each.is_complete}
        said = {name: voter_set_status(each.reply) for name, each in ready.items()}
        if not may_advance(self.voter_set, self.proposed_digest, said, self.name):
            return []
        self._take_over_votes(now, list(ready.values()))
        self.voter_set, self.proposed_digest = self.voter_set.successor(self.configured_voters), 0
        mark = StorageVersion(
            self.storage_version.storage_id, self.storage_version.incarnation, self._vote_count
        )
        write = self._write(tuple(self.votes.values()), mark)
        return [
            write,
            LeaseEvent(
                LeaseEventKind.VOTER_SET_ADVANCED,
                fencing_token=self.voter_set.epoch,
                reason=" ".join(self.configured_voters),
            ),
        ]

    def handle_status_reply(self, now: float, answer: StatusReply) -> list[Effect]:
        """Another voter has said what it knows."""
        if answer.voter not in self.others:
            return []
        self._record_version(answer.voter, answer.storage_version, answer.is_voting)
        if answer.known_version is not None and self._is_behind(answer.known_version):
            return self._stop_voting(now, VoterState.EXCLUDED)
        if (self.is_voting and not self.proposed_digest) or self.state in IGNORES_REPLIES:
            return []
        if answer.request_id != self._request_id:
            return []
        heard = self.peers.get(answer.voter)
        if heard is None or is_superseded(heard.reply, answer):
            heard = self.peers[answer.voter] = PeerStatus(answer)
        heard.reply = answer
        if answer.after_lease == max(heard.votes, default=""):  # the next page, none left out
            heard.votes.update((each.lease, each) for each in answer.votes)
            heard.is_complete = heard.is_complete or not answer.has_more
            if answer.has_more:
                self.due_at = now
        return self._evaluate_replies(now)

    def _evaluate_replies(self, now: float) -> list[Effect]:
        """Whether what was heard is enough to vote."""
        if self.is_voting:
            return self._try_to_advance(now)
        if self.state is VoterState.STARTING:
            sure = [
                h
                for name, h in self.peers.items()
                if name in self.voter_set.voters
                and not h.reply.is_new_storage
                and not h.reply.may_have_forgotten
            ]
            if len(sure) + 1 >= self.majority:
                return self._start_voting(now, "a majority has seen nothing newer")
            return []
        here = self.voter_set.epoch, self.voter_set.digest
        good = [
            h
            for h in self.peers.values()
            if h.reply.is_voting and h.is_complete and (h.reply.epoch, h.reply.voter_set_digest) == here
        ]
        if len(good) >= self.majority:
            return self._admit(now, good)
        if (
            self.state is VoterState.NEW_STORAGE
            and self.voter_set.epoch == 1
            and len(self.peers) == len(self.others)
        ):
            vouched = [
                heard.reply.is_new_storage
                or (
                    not heard.reply.may_have_forgotten
                    and (known := heard.reply.known_version) is not None
                    and known.storage_id == self.storage_version.storage_id
                    and not self._is_behind(known)
                )
                for heard in self.peers.values()
            ]
            if all(vouched):
                self._is_founding = True  # and has promised nothing, so it has nothing to hear
                return self._start_waiting(now)
        return []

    def _admit(self, now: float, good: list[PeerStatus]) -> list[Effect]:
        """Enough are there that vote: wait a term, and then go by what they tell."""
        for heard in good:
            known = heard.reply.known_version
            if (
                known is not None and known.storage_id == self.storage_version.storage_id
            ):  # or it would be found behind again
                self._vote_count = max(self._vote_count, known.vote_count + 1)
        self._is_founding = False
        self._take_over_votes(now, good)
        if self.state is VoterState.CATCHING_UP:
            return self._start_voting(now, "a majority has told it what was promised")
        return self._start_waiting(now)

    def _take_over_votes(self, now: float, good: list[PeerStatus]) -> None:
        """The tickets of others; who has one may hold it for as long as from now. Where two are told of one
        claim, a majority may stand behind either: the higher ticket counts, and for a term nobody gets it.
        """
        for told in [each for heard in good for each in heard.votes.values()]:
            old = self.votes.get(told.lease, Vote(told.lease, 0))
            new = Vote(told.lease, told.fencing_token, told.holder, told.incarnation, told.duration_ms / 1000)
            same = (old.holder, old.incarnation) == (new.holder, new.incarnation)
            if told.fencing_token <= old.fencing_token and (same or not told.holder):
                continue
            if (old.holder and not same) or told.fencing_token <= old.fencing_token:
                term = max(old.duration_s, new.duration_s)
                new = Vote(told.lease, max(old.fencing_token, told.fencing_token), WITHHELD, 0, term)
            self.votes[told.lease] = new
            if told.lease in self._writing:  # that write must not be answered any more
                self._pending_grants.pop(self._writing[told.lease], None)
            self.successors.pop(told.lease, None)
            self.expires_at.pop(told.lease, None)
            if new.holder:
                self.expires_at[told.lease] = now + self._vote_duration_s(new)

    def _longest_duration_s(self) -> float:
        return max([self.timings.duration_s, *(each.duration_s for each in self.votes.values())])

    def _start_waiting(self, now: float) -> list[Effect]:
        """What it may have promised before it forgot must be over, and what others promised counts as new."""
        self.waiting_until = self.started_at + self._longest_duration_s() * (1 + self.timings.clock_drift)
        self.expires_at = {
            each.lease: now + self._vote_duration_s(each) for each in self.votes.values() if each.holder
        }
        self.state, self.due_at = VoterState.WAITING, now
        return []


def voter_set_status(answer: StatusReply) -> VoterSetStatus:
    """The part of an answer that is about lists of voters."""
    return VoterSetStatus(answer.epoch, answer.voter_set_digest, answer.minimum_epoch, answer.agreed_digest)


def is_superseded(old: StatusReply, new: StatusReply) -> bool:
    """Whether pages that were told before this answer count no longer."""
    return (old.storage_version.incarnation, old.is_voting, voter_set_status(old)) != (
        new.storage_version.incarnation,
        new.is_voting,
        voter_set_status(new),
    )
