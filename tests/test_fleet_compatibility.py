"""What commit e23b41d wrote is read as it was meant, and written as it was: datagrams, their words, folders.

The folder from before lists of voters were kept was written by 67ce4d2, the first with a store.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
from pathlib import Path

import msgspec
import pytest

from stairhatch.fleet.effects import LeaseEventKind, PersistedState, PersistFencingToken, PersistVotes, Vote
from stairhatch.fleet.lease import LeaseState, LeaseTimings
from stairhatch.fleet.messages import (
    TAG_BYTES,
    EndpointUpdate,
    FleetCodec,
    LeaseGranted,
    LeaseQuery,
    LeaseRejected,
    LeaseRelease,
    LeaseRequest,
    LeaseStatus,
    StatusReply,
    StatusRequest,
    StorageVersion,
    Subscribe,
    Superseded,
)
from stairhatch.fleet.messages import VoteReport as Told
from stairhatch.fleet.store import FILE_NAME, VoterStore
from stairhatch.fleet.voter import Voter, VoterState
from stairhatch.fleet.voter_set import VoterSet, digest_of

DATA = Path(__file__).parent / "data" / "fleet"
DATAGRAMS = {
    name: bytes.fromhex(text) for name, text in json.loads((DATA / "messages.json").read_text()).items()
}

HERE = StorageVersion(folder="0123456789abcdef", life=3, promises=41)
THERE = StorageVersion(folder="fedcba9876543210", life=1, promises=0)
MESSAGES = {
    "ask": LeaseRequest(
        claim="list",
        holder="a",
        incarnation=2**62,
        ticket=9,
        term_ms=3000,
        serial=17,
        marks={"a": HERE, "b": THERE},
        epoch=2,
        roll=123456789012345,
    ),
    "ask, no more than it must": LeaseRequest(
        claim="list", holder="a", incarnation=0, ticket=0, term_ms=0, serial=0, marks={}, epoch=1, roll=0
    ),
    "yes": LeaseGranted(claim="list", voter="b", ticket=9, serial=17, mark=HERE),
    "no": LeaseRejected(claim="list", voter="b", serial=17, why="held", highest=8, holder="c", left_ms=2999),
    "no, no more than it must": LeaseRejected(
        claim="list", voter="b", serial=17, why="term", highest=0, holder="", left_ms=0
    ),
    "back": LeaseRelease(claim="list", holder="a", incarnation=5, ticket=9, successor="c"),
    "back, no more than it must": LeaseRelease(
        claim="list", holder="a", incarnation=5, ticket=9, successor=""
    ),
    "look": LeaseQuery(claim="list", serial=18),
    "shown": LeaseStatus(claim="list", voter="b", serial=18, ticket=9, holder="a", left_ms=1500),
    "shown, no more than it must": LeaseStatus(
        claim="list", voter="b", serial=18, ticket=0, holder="", left_ms=0
    ),
    "roll": StatusRequest(
        voter="a", mark=HERE, fresh=True, good=True, after="list", serial=99, epoch=2, wish=123456789012345
    ),
    "roll, no more than it must": StatusRequest(
        voter="a", mark=HERE, fresh=False, good=False, after="", serial=0, epoch=1, wish=0
    ),
    "here": StatusReply(
        voter="b",
        mark=THERE,
        fresh=True,
        good=True,
        out=True,
        known=HERE,
        after="list",
        kept=(
            Told(claim="number/1", ticket=7, holder="d", incarnation=77, term_ms=3000),
            Told(claim="number/2", ticket=8, holder="", incarnation=0, term_ms=0),
        ),
        more=True,
        serial=99,
        epoch=2,
        roll=123,
        floor=1,
        agreed=456,
    ),
    "here, no more than it must": StatusReply(
        voter="b",
        mark=THERE,
        fresh=False,
        good=False,
        out=False,
        known=None,
        after="",
        kept=(),
        more=False,
        serial=0,
        epoch=1,
        roll=0,
        floor=0,
        agreed=0,
    ),
    "tune": Subscribe(after=1234),
    "news": EndpointUpdate(holder="a", ticket=9, after=1234, part=1, parts=3, data=bytes(range(256))),
    "stale": Superseded(claim="list", highest=10),
}


def test_there_is_a_datagram_of_each_kind():
    assert set(DATAGRAMS) == set(MESSAGES)
    assert {type(each) for each in MESSAGES.values()} == {
        LeaseRequest,
        LeaseGranted,
        LeaseRejected,
        LeaseRelease,
        LeaseQuery,
        LeaseStatus,
        StatusRequest,
        StatusReply,
        Subscribe,
        EndpointUpdate,
        Superseded,
    }


@pytest.mark.parametrize("name", MESSAGES)
def test_a_datagram_is_read_as_it_was_meant(name):
    codec = FleetCodec("kommune", b"a secret of sixteen")
    assert codec.decode(DATAGRAMS[name]) == MESSAGES[name]


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_written_as_the_same_bytes(name):
    codec = FleetCodec("kommune", b"a secret of sixteen")
    body = DATAGRAMS[name][TAG_BYTES:]
    assert msgspec.msgpack.decode(codec.encode(MESSAGES[name])[TAG_BYTES:]) == msgspec.msgpack.decode(body)
    assert codec.encode(MESSAGES[name]) == DATAGRAMS[name]


def test_the_digest_of_a_list_of_voters_is_the_same_number():
    assert digest_of(("b", "a")) == 27371430624639971
    assert digest_of(("d", "c", "b", "a")) == 62858293580261454


KEPT = PersistedState(
    mark=StorageVersion(folder="0123456789abcdef", life=2, promises=5),  # the opening counts as a start
    admitted=True,
    promises=(
        Vote(claim="list", ticket=9, holder="a", incarnation=2**62 - 1, term_s=3.0),
        Vote(claim="number/3", ticket=12, holder="d", incarnation=77, term_s=0.6),
        Vote(claim="restart/0", ticket=2, holder="", incarnation=0, term_s=0.0),
    ),
    known={
        "b": StorageVersion(folder="bbbbbbbbbbbbbbbb", life=3, promises=41),
        "c": StorageVersion(folder="cccccccccccccccc", life=1, promises=7),
    },
    roll=VoterSet(
        epoch=2, voters=("a", "b", "c"), before=27371430624639971, floor=1, agreed=62858293580261454
    ),
)
WITHOUT_LISTS = PersistedState(
    mark=KEPT.mark, admitted=True, promises=KEPT.promises, known=KEPT.known, roll=None
)
FENCES = {"list": 9, "number/3": 11}


def rows(folder: Path) -> dict[str, list[tuple[object, ...]]]:
    """All rows of a folder's file, by table."""
    base = sqlite3.connect(folder / FILE_NAME)
    names = [name for (name,) in base.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
    found = {name: base.execute(f"SELECT * FROM {name}").fetchall() for name in sorted(names)}
    base.close()
    return found


@pytest.mark.parametrize(("name", "kept"), [("folder", KEPT), ("folder-before-lists", WITHOUT_LISTS)])
def test_a_folder_opens_with_what_it_held(tmp_path, name, kept):
    shutil.copytree(DATA / name, tmp_path / name)
    store = VoterStore(tmp_path / name, lambda act: act())
    store.close()
    assert store.found.kept == kept
    assert store.found.fences == FENCES
    assert not store.found.put_aside


def test_what_is_written_lies_in_the_file_as_it_did(tmp_path):
    """The same contents, put into an empty folder, are the same rows, names and sums as in the old one."""
    shutil.copytree(DATA / "folder", tmp_path / "old")
    (tmp_path / "new").mkdir()
    shutil.copy(DATA / "folder" / FILE_NAME, tmp_path / "new" / FILE_NAME)
    base = sqlite3.connect(tmp_path / "new" / FILE_NAME)
    for table in ("promises", "known", "fences"):
        base.execute(f"DELETE FROM {table}")
    base.execute("DELETE FROM own WHERE key IN ('admitted', 'roll')")
    base.commit()
    base.close()
    store = VoterStore(tmp_path / "new", lambda act: act())
    done: list[str] = []
    mark = StorageVersion(KEPT.mark.folder, KEPT.mark.life, 5)
    store.keep(PersistVotes(1, mark, KEPT.promises, KEPT.known, admitted=True, roll=KEPT.roll), done.append)
    for claim, ticket in FENCES.items():
        store.keep(PersistFencingToken(claim, ticket), done.append)
    store.close()
    VoterStore(tmp_path / "old", lambda act: act()).close()
    assert done == ["", "", ""]
    assert rows(tmp_path / "new") == rows(tmp_path / "old")


VOTERS = {name: (name, 0) for name in ("v0", "v1", "v2")}


@pytest.mark.parametrize(
    ("standing", "word"),
    [
        (VoterState.STARTING, "starting"),
        (VoterState.NEW_STORAGE, "new"),
        (VoterState.EXCLUDED, "out"),
        (VoterState.WAITING, "waiting"),
        (VoterState.CATCHING_UP, "hearing"),
        (VoterState.MISCONFIGURED, "wrong"),
        (VoterState.DISK_FAILED, "broken"),
    ],
)
def test_a_voter_that_does_not_vote_refuses_with_the_same_word(standing, word):
    voter = Voter("v0", VOTERS, LeaseTimings(), PersistedState(StorageVersion("f", 1, 0), True), 0.0)
    voter.standing, voter.waits_until = standing, 1.0
    (answer,) = voter.asked(0.1, ("a", 0), LeaseRequest("work", "a", 1, 1, 3000, 1, roll=digest_of(VOTERS)))
    assert answer.message.why == word


def test_a_voter_that_votes_refuses_with_the_same_words():
    voter = Voter("v0", VOTERS, LeaseTimings(), PersistedState(StorageVersion("f", 1, 0), True), 0.0)
    voter.standing = VoterState.VOTING
    held = LeaseRequest("work", "a", 1, 5, 3000, 1, roll=digest_of(VOTERS))
    voter.asked(0.1, ("a", 0), held)

    def refusal(now, ask):
        (answer,) = voter.asked(now, ("b", 0), ask)
        message = answer.message
        return message.why, message.highest, message.holder, message.left_ms

    other = LeaseRequest("work", "b", 1, 6, 3000, 1, roll=digest_of(VOTERS))
    assert refusal(0.1, other) == ("held", 5, "a", 3031)  # 3.03 s, rounded up as a float
    assert refusal(0.1, LeaseRequest("work", "b", 1, 6, 3000, 1, roll=7)) == (
        "another list of voters, 1",
        0,
        "",
        3000,
    )
    assert refusal(0.1, LeaseRequest("work", "b", 1, 6, 3001, 1, roll=digest_of(VOTERS))) == (
        "term",
        0,
        "",
        3000,
    )
    assert refusal(9.0, LeaseRequest("work", "b", 1, 5, 3000, 1, roll=digest_of(VOTERS))) == ("low", 5, "", 0)
    voter.given_back(9.0, LeaseRelease("work", "a", 1, 5, "c"))
    assert refusal(9.5, other) == ("handed", 5, "c", 500)


def test_the_words_of_the_answers_and_histories_are_the_same():
    assert [each.value for each in LeaseState] == ["resting", "asking", "held"]
    assert [each.value for each in LeaseEventKind] == [
        "held",
        "renewed",
        "lost",
        "given back",
        "stood down",
        "votes",
        "does not vote",
        "promised",
        "refused",
        "took",
        "goes by the next list of voters",
    ]
    assert [each.value for each in VoterState] == [
        "has just started",
        "votes",
        "its folder was empty",
        "its folder is older than what others have seen",
        "waits a term before it is let in",
        "hears what others have promised",
        "its file and its folder have different voters",
        "its disk takes no promise",
    ]
