"""Compatibility of datagrams, data directories and shown values with recordings of earlier versions.

The datagrams and the data directory `folder` were written by commit e23b41d. The data directory
`folder-before-lists`, which has no voter set, was written by 67ce4d2, the first commit with a store.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
from pathlib import Path

import msgspec
import pytest

from stairhatch.fleet.effects import LeaseEventKind, PersistedState, PersistFencingToken, PersistVotes, Vote
from stairhatch.fleet.lease import LeaseConfig, LeaseState, LeaseTimings
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
    VoteReport,
)
from stairhatch.fleet.store import FILE_NAME, VoterStore
from stairhatch.fleet.voter import Voter
from stairhatch.fleet.voter_set import VoterSet, digest_of
from stairhatch.fleet.voter_state import VoterState

DATA = Path(__file__).parent / "data" / "fleet"
DATAGRAMS = {
    name: bytes.fromhex(text) for name, text in json.loads((DATA / "messages.json").read_text()).items()
}

VERSION = StorageVersion(storage_id="0123456789abcdef", incarnation=3, vote_count=41)
OTHER_VERSION = StorageVersion(storage_id="fedcba9876543210", incarnation=1, vote_count=0)
MESSAGES = {
    "ask": LeaseRequest(
        lease="list",
        holder="a",
        incarnation=2**62,
        fencing_token=9,
        duration_ms=3000,
        request_id=17,
        storage_versions={"a": VERSION, "b": OTHER_VERSION},
        epoch=2,
        voter_set_digest=123456789012345,
    ),
    "ask, no more than it must": LeaseRequest(
        lease="list",
        holder="a",
        incarnation=0,
        fencing_token=0,
        duration_ms=0,
        request_id=0,
        storage_versions={},
        epoch=1,
        voter_set_digest=0,
    ),
    "yes": LeaseGranted(lease="list", voter="b", fencing_token=9, request_id=17, storage_version=VERSION),
    "no": LeaseRejected(
        lease="list", voter="b", request_id=17, reason="held", highest_token=8, holder="c", remaining_ms=2999
    ),
    "no, no more than it must": LeaseRejected(
        lease="list", voter="b", request_id=17, reason="term", highest_token=0, holder="", remaining_ms=0
    ),
    "back": LeaseRelease(lease="list", holder="a", incarnation=5, fencing_token=9, successor="c"),
    "back, no more than it must": LeaseRelease(
        lease="list", holder="a", incarnation=5, fencing_token=9, successor=""
    ),
    "look": LeaseQuery(lease="list", query_id=18),
    "shown": LeaseStatus(
        lease="list", voter="b", query_id=18, fencing_token=9, holder="a", remaining_ms=1500
    ),
    "shown, no more than it must": LeaseStatus(
        lease="list", voter="b", query_id=18, fencing_token=0, holder="", remaining_ms=0
    ),
    "roll": StatusRequest(
        voter="a",
        storage_version=VERSION,
        is_new_storage=True,
        is_voting=True,
        after_lease="list",
        request_id=99,
        epoch=2,
        proposed_digest=123456789012345,
    ),
    "roll, no more than it must": StatusRequest(
        voter="a",
        storage_version=VERSION,
        is_new_storage=False,
        is_voting=False,
        after_lease="",
        request_id=0,
        epoch=1,
        proposed_digest=0,
    ),
    "here": StatusReply(
        voter="b",
        storage_version=OTHER_VERSION,
        is_new_storage=True,
        is_voting=True,
        may_have_forgotten=True,
        known_version=VERSION,
        after_lease="list",
        votes=(
            VoteReport(lease="number/1", fencing_token=7, holder="d", incarnation=77, duration_ms=3000),
            VoteReport(lease="number/2", fencing_token=8, holder="", incarnation=0, duration_ms=0),
        ),
        has_more=True,
        request_id=99,
        epoch=2,
        voter_set_digest=123,
        minimum_epoch=1,
        agreed_digest=456,
    ),
    "here, no more than it must": StatusReply(
        voter="b",
        storage_version=OTHER_VERSION,
        is_new_storage=False,
        is_voting=False,
        may_have_forgotten=False,
        known_version=None,
        after_lease="",
        votes=(),
        has_more=False,
        request_id=0,
        epoch=1,
        voter_set_digest=0,
        minimum_epoch=0,
        agreed_digest=0,
    ),
    "tune": Subscribe(after_index=1234),
    "news": EndpointUpdate(
        holder="a", fencing_token=9, index=1234, part_index=1, part_count=3, data=bytes(range(256))
    ),
    "stale": Superseded(lease="list", highest_token=10),
}


def test_there_is_a_recorded_datagram_of_each_kind():
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
def test_a_recorded_datagram_decodes_to_its_message(name):
    codec = FleetCodec("kommune", b"a secret of sixteen")
    assert codec.decode(DATAGRAMS[name]) == MESSAGES[name]


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_encodes_to_the_recorded_bytes(name):
    codec = FleetCodec("kommune", b"a secret of sixteen")
    body = DATAGRAMS[name][TAG_BYTES:]
    assert msgspec.msgpack.decode(codec.encode(MESSAGES[name])[TAG_BYTES:]) == msgspec.msgpack.decode(body)
    assert codec.encode(MESSAGES[name]) == DATAGRAMS[name]


def test_the_digest_of_a_voter_set_is_unchanged():
    assert digest_of(("b", "a")) == 27371430624639971
    assert digest_of(("d", "c", "b", "a")) == 62858293580261454


PERSISTED = PersistedState(
    storage_version=StorageVersion(
        storage_id="0123456789abcdef", incarnation=2, vote_count=5
    ),  # opening the directory increments the incarnation
    admitted=True,
    votes=(
        Vote(lease="list", fencing_token=9, holder="a", incarnation=2**62 - 1, duration_s=3.0),
        Vote(lease="number/3", fencing_token=12, holder="d", incarnation=77, duration_s=0.6),
        Vote(lease="restart/0", fencing_token=2, holder=None, incarnation=0, duration_s=0.0),
    ),
    known_versions={
        "b": StorageVersion(storage_id="bbbbbbbbbbbbbbbb", incarnation=3, vote_count=41),
        "c": StorageVersion(storage_id="cccccccccccccccc", incarnation=1, vote_count=7),
    },
    voter_set=VoterSet(
        epoch=2,
        voters=("a", "b", "c"),
        previous_digest=27371430624639971,
        minimum_epoch=1,
        agreed_digest=62858293580261454,
    ),
)
WITHOUT_VOTER_SET = PersistedState(
    storage_version=PERSISTED.storage_version,
    admitted=True,
    votes=PERSISTED.votes,
    known_versions=PERSISTED.known_versions,
    voter_set=None,
)
FENCING_TOKENS = {"list": 9, "number/3": 11}


def rows(directory: Path) -> dict[str, list[tuple[object, ...]]]:
    """Return all rows of a data directory's database, by table."""
    database = sqlite3.connect(directory / FILE_NAME)
    names = [name for (name,) in database.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
    found = {name: database.execute(f"SELECT * FROM {name}").fetchall() for name in sorted(names)}
    database.close()
    return found


@pytest.mark.parametrize(
    ("name", "persisted"), [("folder", PERSISTED), ("folder-before-lists", WITHOUT_VOTER_SET)]
)
def test_a_recorded_data_directory_opens_with_what_it_held(tmp_path, name, persisted):
    shutil.copytree(DATA / name, tmp_path / name)
    store = VoterStore(tmp_path / name, lambda act: act())
    store.close()
    assert store.stored.voter_state == persisted
    assert store.stored.fencing_tokens == FENCING_TOKENS
    assert not store.stored.quarantined


def test_votes_are_written_as_the_recorded_rows(tmp_path):
    """Writing the recorded contents to an emptied data directory yields the recorded rows and checksums."""
    shutil.copytree(DATA / "folder", tmp_path / "old")
    (tmp_path / "new").mkdir()
    shutil.copy(DATA / "folder" / FILE_NAME, tmp_path / "new" / FILE_NAME)
    database = sqlite3.connect(tmp_path / "new" / FILE_NAME)
    for table in ("promises", "known", "fences"):
        database.execute(f"DELETE FROM {table}")
    database.execute("DELETE FROM own WHERE key IN ('admitted', 'roll')")
    database.commit()
    database.close()
    store = VoterStore(tmp_path / "new", lambda act: act())
    done: list[str] = []
    version = StorageVersion(PERSISTED.storage_version.storage_id, PERSISTED.storage_version.incarnation, 5)
    store.persist(
        PersistVotes(
            1,
            version,
            PERSISTED.votes,
            PERSISTED.known_versions,
            admitted=True,
            voter_set=PERSISTED.voter_set,
        ),
        done.append,
    )
    for lease, token in FENCING_TOKENS.items():
        store.persist(PersistFencingToken(lease, token), done.append)
    store.close()
    VoterStore(tmp_path / "old", lambda act: act()).close()
    assert done == ["", "", ""]
    assert rows(tmp_path / "new") == rows(tmp_path / "old")


VOTERS = {name: (name, 0) for name in ("v0", "v1", "v2")}
CONFIG = LeaseConfig(VOTERS, LeaseTimings())


@pytest.mark.parametrize(
    ("state", "word"),
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
def test_a_voter_that_does_not_vote_rejects_with_the_same_word(state, word):
    voter = Voter("v0", CONFIG, PersistedState(StorageVersion("f", 1, 0), True), 0.0)
    voter.eligibility.state, voter.eligibility.waiting_until = state, 1.0
    (answer,) = voter.handle_request(
        0.1, ("a", 0), LeaseRequest("work", "a", 1, 1, 3000, 1, voter_set_digest=digest_of(VOTERS))
    )
    assert answer.message.reason == word


def test_a_voter_that_votes_rejects_with_the_same_words():
    voter = Voter("v0", CONFIG, PersistedState(StorageVersion("f", 1, 0), True), 0.0)
    voter.eligibility.state = VoterState.VOTING
    held = LeaseRequest("work", "a", 1, 5, 3000, 1, voter_set_digest=digest_of(VOTERS))
    voter.handle_request(0.1, ("a", 0), held)

    def rejection(now, request):
        (answer,) = voter.handle_request(now, ("b", 0), request)
        message = answer.message
        return message.reason, message.highest_token, message.holder, message.remaining_ms

    other = LeaseRequest("work", "b", 1, 6, 3000, 1, voter_set_digest=digest_of(VOTERS))
    assert rejection(0.1, other) == ("held", 5, "a", 3031)  # 3.03 s, rounded up as a float
    assert rejection(0.1, LeaseRequest("work", "b", 1, 6, 3000, 1, voter_set_digest=7)) == (
        "another list of voters, 1",
        0,
        "",
        3000,
    )
    assert rejection(0.1, LeaseRequest("work", "b", 1, 6, 3001, 1, voter_set_digest=digest_of(VOTERS))) == (
        "term",
        0,
        "",
        3000,
    )
    assert rejection(9.0, LeaseRequest("work", "b", 1, 5, 3000, 1, voter_set_digest=digest_of(VOTERS))) == (
        "low",
        5,
        "",
        0,
    )
    voter.handle_release(9.0, LeaseRelease("work", "a", 1, 5, "c"))
    assert rejection(9.5, other) == ("handed", 5, "c", 500)


def test_the_values_of_states_and_events_are_unchanged():
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
