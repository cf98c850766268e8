"""The data directory of one member: the file of its votes, storage versions and fencing tokens.

SQLite by the standard library, in WAL with `synchronous=FULL`: each transaction is synced before it is
answered (sqlite.org/pragma.html#pragma_synchronous), and one that was cut off is not there. A thread writes,
and writes that wait are committed together. SQLite has no sums over what lies in its pages, so each row has
one (CRC-32): a bit that has turned is found at the next start. The file is locked for as long as the process
lives. One that is no readable database is put aside under another name, never deleted, and the member goes on
with an empty directory, which does not vote until it is admitted. The tables' and columns' names are stored
data and stay as they are.
"""

from __future__ import annotations

import contextlib
import json
import os
import queue
import secrets
import sqlite3
import threading
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stairhatch.fleet.effects import PersistedState, PersistFencingToken, PersistVotes, Vote
from stairhatch.fleet.errors import StoreError as StoreError
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.voter_set import VoterSet

FILE_NAME = "claims.db"
SCHEMA_VERSION = 2
SCHEMA = """
CREATE TABLE IF NOT EXISTS own (key TEXT PRIMARY KEY, value TEXT NOT NULL, sum INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS promises (claim TEXT PRIMARY KEY, ticket INTEGER NOT NULL, holder TEXT NOT NULL,
    incarnation INTEGER NOT NULL, term_s REAL NOT NULL, sum INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS known (voter TEXT PRIMARY KEY, folder TEXT NOT NULL, life INTEGER NOT NULL,
    promises INTEGER NOT NULL, sum INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS fences (claim TEXT PRIMARY KEY, ticket INTEGER NOT NULL, sum INTEGER)
    WITHOUT ROWID;
"""
CLOSE_TIMEOUT_S = 5.0
TABLES = ("own", "promises", "known", "fences")
Row = tuple[Any, ...]


@dataclass(frozen=True)
class StoredState:
    """The content of a data directory when it was opened."""

    voter_state: PersistedState
    fencing_tokens: dict[str, int]
    quarantined: str = ""  # under which name, and why


def _sum(row: Row) -> int:
    """A row's CRC-32: of what SQLite gives back for it."""
    return zlib.crc32(repr(row).encode())


def _decode_vote(row: Row) -> Vote:
    """A vote from its row, which has "" for no holder."""
    lease, fencing_token, holder, incarnation, duration_s = row
    return Vote(lease, fencing_token, holder or None, incarnation, duration_s)


def _encode_vote(vote: Vote) -> Row:
    """A vote as it lies in its row."""
    return vote.lease, vote.fencing_token, vote.holder or "", vote.incarnation, vote.duration_s


def _decode_voter_set(own: dict[str, str]) -> VoterSet | None:
    """The voter set in a data directory; None in one from before voter sets were kept."""
    if "roll" not in own:
        return None
    record = json.loads(own["roll"])
    return VoterSet(
        epoch=record["epoch"],
        voters=tuple(record["voters"]),
        previous_digest=record["before"],
        minimum_epoch=record["floor"],
        agreed_digest=record["agreed"],
    )


def _encode_voter_set(voter_set: VoterSet) -> str:
    """A voter set as it lies in the row `roll`. The keys are stored data and stay as they are."""
    return json.dumps(
        {
            "epoch": voter_set.epoch,
            "voters": voter_set.voters,
            "before": voter_set.previous_digest,
            "floor": voter_set.minimum_epoch,
            "agreed": voter_set.agreed_digest,
        }
    )


WriteCallback = Callable[[str], None]  # hears "" or what went wrong, on the loop
CommitHook = Callable[[], None]


def no_fault() -> None:
    """Do nothing before a commit. A fault-injection run puts a disk that fails in its place."""


class VoterStore:
    """One data directory, open, and the thread that writes it."""

    before_commit: CommitHook = staticmethod(no_fault)

    def __init__(self, directory: Path, call: Callable[[Callable[[], None]], object]) -> None:
        """`call` has something done on the loop, from any thread. StoreError: the directory can't be used."""
        self.path = directory / FILE_NAME
        self._call = call
        self._work: queue.SimpleQueue[tuple[PersistVotes | PersistFencingToken, WriteCallback] | None] = (
            queue.SimpleQueue()
        )
        self._base: sqlite3.Connection
        try:
            directory.mkdir(parents=True, exist_ok=True)
            self.stored = self._open()
        except (OSError, sqlite3.Error) as error:
            text = "another process has it open" if "locked" in str(error) else str(error)
            raise StoreError(f"{directory}: {text}") from error
        self._thread = threading.Thread(target=self._run, name="fleet-store", daemon=True)
        self._thread.start()

    def _open(self) -> StoredState:
        try:
            return self._read()
        except sqlite3.DatabaseError as error:
            if isinstance(error, sqlite3.OperationalError):
                raise  # locked, read-only or full: the file itself may be well
            quarantine = self._quarantine()
            stored = self._read()
            return StoredState(stored.voter_state, stored.fencing_tokens, f"{quarantine}: {error}")

    def _quarantine(self) -> str:
        """Put a file that can't be read aside; under which name."""
        name = f"{FILE_NAME}.unreadable-{secrets.token_hex(4)}"
        with contextlib.suppress(sqlite3.Error):
            self._base.close()
        os.replace(self.path, self.path.with_name(name))
        for end in ("-wal", "-shm"):
            self.path.with_name(FILE_NAME + end).unlink(missing_ok=True)
        return name

    def _read(self) -> StoredState:
        base = self._base = sqlite3.connect(
            self.path, timeout=0.0, isolation_level=None, check_same_thread=False
        )
        base.execute("PRAGMA locking_mode=EXCLUSIVE")
        base.execute("PRAGMA journal_mode=WAL")
        base.execute("PRAGMA synchronous=FULL")
        base.execute("BEGIN IMMEDIATE")
        problem = base.execute("PRAGMA quick_check(1)").fetchone()[0]
        if problem != "ok":
            raise sqlite3.DatabaseError(problem)
        version = base.execute("PRAGMA user_version").fetchone()[0]
        if version > SCHEMA_VERSION:
            raise StoreError(f"{self.path}: written by a later version of the program ({version})")
        self._create_tables(version)
        rows = {table: self._checked_rows(table) for table in TABLES}
        own: dict[str, str] = {str(key): str(value) for key, value in rows["own"]}
        version_now = self._count_start(own)
        voter_state = PersistedState(
            version_now,
            bool(int(own.get("admitted", 0))),
            tuple(_decode_vote(row) for row in rows["promises"]),
            {row[0]: StorageVersion(*row[1:]) for row in rows["known"]},
            _decode_voter_set(own),
        )
        base.execute("COMMIT")
        return StoredState(voter_state, dict(rows["fences"]))

    def _create_tables(self, version: int) -> None:
        for statement in SCHEMA.split(";"):
            self._base.execute(statement)
        if version == 1:  # the tables are there, without sums
            for table in TABLES:
                self._base.execute(f"ALTER TABLE {table} ADD COLUMN sum INTEGER")
                rows = self._base.execute(f"SELECT * FROM {table}").fetchall()
                self._put_rows(table, [row[:-1] for row in rows])
        self._base.execute(f"PRAGMA user_version={SCHEMA_VERSION}")

    def _count_start(self, own: dict[str, str]) -> StorageVersion:
        """This opening is a start of its own."""
        storage_id = own.get("folder") or secrets.token_hex(8)
        incarnation = int(own.get("life", 0)) + 1
        vote_count = int(own.get("promises", 0))
        self._put_own({"folder": storage_id, "life": incarnation, "promises": vote_count})
        return StorageVersion(storage_id, incarnation, vote_count)

    def _checked_rows(self, table: str) -> list[Row]:
        """All rows, without their sums."""
        rows = self._base.execute(f"SELECT * FROM {table}").fetchall()
        for row in rows:
            if row[-1] != _sum(row[:-1]):
                raise sqlite3.DatabaseError(f"a row of {table} is not as it was written")
        return [row[:-1] for row in rows]

    def _put_rows(self, table: str, rows: list[Row]) -> None:
        if not rows:
            return
        marks = ", ".join("?" * (len(rows[0]) + 1))
        self._base.executemany(
            f"INSERT OR REPLACE INTO {table} VALUES ({marks})", [(*row, _sum(row)) for row in rows]
        )

    def _put_own(self, own: dict[str, object]) -> None:
        self._put_rows("own", [(key, str(value)) for key, value in own.items()])

    def persist(self, what: PersistVotes | PersistFencingToken, done: WriteCallback) -> None:
        """Write it to disk; `done` is called on the loop, with what went wrong or ""."""
        self._work.put((what, done))

    def close(self) -> None:
        """Write what waits, and unlock the directory."""
        self._work.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            batch = [self._work.get()]
            while not self._work.empty():
                batch.append(self._work.get())
            work = [each for each in batch if each is not None]
            if work:
                fault = self._commit([what for what, _ in work])
                for _, done in work:
                    try:
                        self._call(lambda done=done, fault=fault: done(fault))  # type: ignore[misc]
                    except RuntimeError:
                        return  # the loop has ended
            if len(work) < len(batch):
                self._base.close()
                return

    def _commit(self, work: list[PersistVotes | PersistFencingToken]) -> str:
        """All of them in one transaction; what went wrong, or ""."""
        base = self._base
        try:
            self.before_commit()
            base.execute("BEGIN IMMEDIATE")
            for each in work:
                if isinstance(each, PersistFencingToken):
                    self._put_rows("fences", [(each.lease, each.fencing_token)])
                else:
                    self._put_votes(each)
            base.execute("COMMIT")
        except (OSError, sqlite3.Error) as error:
            with contextlib.suppress(sqlite3.Error):
                if base.in_transaction:
                    base.execute("ROLLBACK")
            return str(error) or type(error).__name__
        return ""

    def _put_votes(self, write: PersistVotes) -> None:
        self._put_rows(
            "promises",
            [_encode_vote(each) for each in write.votes],
        )
        self._put_rows(
            "known",
            [
                (voter, version.storage_id, version.incarnation, version.vote_count)
                for voter, version in write.known_versions.items()
            ],
        )
        self._put_own({"promises": write.storage_version.vote_count})
        if write.admitted:
            self._put_own({"admitted": 1})
        if write.voter_set is not None:
            self._put_own({"roll": _encode_voter_set(write.voter_set)})
