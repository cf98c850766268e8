"""The data directory of one member: an SQLite file with its votes, storage versions and fencing tokens.

The database is in WAL mode with `synchronous=FULL`: each transaction is synced to disk before its completion
is reported (sqlite.org/pragma.html#pragma_synchronous), and an interrupted transaction leaves no trace. A
thread does the writes and commits all queued writes together. SQLite keeps no checksums of its pages, so each
row has a CRC-32, by which a flipped bit is detected at the next start. The file is locked while the process
runs.

An unreadable database file is renamed, never deleted, and the member continues with an empty database. It
then does not vote until the other voters admit it. The names of tables and columns are stored data and must
not change.
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
    """The content of a data directory at the time when it was opened."""

    voter_state: PersistedState
    fencing_tokens: dict[str, int]
    quarantined: str = ""  # the new name of an unreadable file and the error; "" if the file was readable


def _row_checksum(row: Row) -> int:
    """Return the CRC-32 of a row, computed from the values as SQLite returns them."""
    return zlib.crc32(repr(row).encode())


def _decode_vote(row: Row) -> Vote:
    """Return the vote in a row of `promises`, in which "" stands for no holder."""
    lease, fencing_token, holder, incarnation, duration_s = row
    return Vote(lease, fencing_token, holder or None, incarnation, duration_s)


def _encode_vote(vote: Vote) -> Row:
    """Return the row of `promises` for a vote, without the checksum."""
    return vote.lease, vote.fencing_token, vote.holder or "", vote.incarnation, vote.duration_s


def _decode_voter_set(own_values: dict[str, str]) -> VoterSet | None:
    """Return the stored voter set; None if a program that did not store voter sets wrote the directory."""
    if "roll" not in own_values:
        return None
    record = json.loads(own_values["roll"])
    return VoterSet(
        epoch=record["epoch"],
        voters=tuple(record["voters"]),
        previous_digest=record["before"],
        minimum_epoch=record["floor"],
        agreed_digest=record["agreed"],
    )


def _encode_voter_set(voter_set: VoterSet) -> str:
    """Return a voter set as JSON for the row `roll`. The keys are stored data and must not change."""
    return json.dumps(
        {
            "epoch": voter_set.epoch,
            "voters": voter_set.voters,
            "before": voter_set.previous_digest,
            "floor": voter_set.minimum_epoch,
            "agreed": voter_set.agreed_digest,
        }
    )


WriteCallback = Callable[[str], None]  # called on the event loop with the error text, or "" on success
CommitHook = Callable[[], None]


def no_fault() -> None:
    """Do nothing before a commit. Fault injection replaces this hook to simulate a failing disk."""


class VoterStore:
    """An open data directory and its writer thread."""

    before_commit: CommitHook = staticmethod(no_fault)

    def __init__(self, directory: Path, call_on_loop: Callable[[Callable[[], None]], object]) -> None:
        """Open the directory, read its content into `stored` and start the writer thread.

        `call_on_loop` schedules a callback on the event loop and may be called from any thread. Raise
        StoreError if the directory cannot be used.
        """
        self.path = directory / FILE_NAME
        self._call_on_loop = call_on_loop
        self._write_queue: queue.SimpleQueue[
            tuple[PersistVotes | PersistFencingToken, WriteCallback] | None
        ] = queue.SimpleQueue()
        self._connection: sqlite3.Connection
        try:
            directory.mkdir(parents=True, exist_ok=True)
            self.stored = self._open()
        except (OSError, sqlite3.Error) as error:
            reason = "another process has it open" if "locked" in str(error) else str(error)
            raise StoreError(f"{directory}: {reason}") from error
        self._thread = threading.Thread(target=self._run, name="fleet-store", daemon=True)
        self._thread.start()

    def _open(self) -> StoredState:
        try:
            return self._read()
        except sqlite3.DatabaseError as error:
            if isinstance(error, sqlite3.OperationalError):
                raise  # the file is locked or read-only, or the disk is full; the file may be intact
            quarantine_name = self._quarantine()
            stored = self._read()
            return StoredState(stored.voter_state, stored.fencing_tokens, f"{quarantine_name}: {error}")

    def _quarantine(self) -> str:
        """Rename the unreadable database file and return its new name."""
        name = f"{FILE_NAME}.unreadable-{secrets.token_hex(4)}"
        with contextlib.suppress(sqlite3.Error):
            self._connection.close()
        os.replace(self.path, self.path.with_name(name))
        for suffix in ("-wal", "-shm"):
            self.path.with_name(FILE_NAME + suffix).unlink(missing_ok=True)
        return name

    def _read(self) -> StoredState:
        connection = self._connection = sqlite3.connect(
            self.path, timeout=0.0, isolation_level=None, check_same_thread=False
        )
        connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute("BEGIN IMMEDIATE")
        problem = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if problem != "ok":
            raise sqlite3.DatabaseError(problem)
        schema_version = connection.execute("PRAGMA user_version").fetchone()[0]
        if schema_version > SCHEMA_VERSION:
            raise StoreError(
                f"{self.path}: a later version of the program wrote it (schema {schema_version})"
            )
        self._create_tables(schema_version)
        rows = {table: self._verified_rows(table) for table in TABLES}
        own_values: dict[str, str] = {str(key): str(value) for key, value in rows["own"]}
        storage_version = self._start_incarnation(own_values)
        voter_state = PersistedState(
            storage_version,
            bool(int(own_values.get("admitted", 0))),
            tuple(_decode_vote(row) for row in rows["promises"]),
            {row[0]: StorageVersion(*row[1:]) for row in rows["known"]},
            _decode_voter_set(own_values),
        )
        connection.execute("COMMIT")
        return StoredState(voter_state, dict(rows["fences"]))

    def _create_tables(self, schema_version: int) -> None:
        for statement in SCHEMA.split(";"):
            self._connection.execute(statement)
        if schema_version == 1:  # the existing tables have no checksums
            for table in TABLES:
                self._connection.execute(f"ALTER TABLE {table} ADD COLUMN sum INTEGER")
                rows = self._connection.execute(f"SELECT * FROM {table}").fetchall()
                self._put_rows(table, [row[:-1] for row in rows])
        self._connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")

    def _start_incarnation(self, own_values: dict[str, str]) -> StorageVersion:
        """Store the next incarnation, since each opening begins one; return the new storage version."""
        storage_id = own_values.get("folder") or secrets.token_hex(8)
        incarnation = int(own_values.get("life", 0)) + 1
        vote_count = int(own_values.get("promises", 0))
        self._put_own_values({"folder": storage_id, "life": incarnation, "promises": vote_count})
        return StorageVersion(storage_id, incarnation, vote_count)

    def _verified_rows(self, table: str) -> list[Row]:
        """Return all rows of a table, without their checksums.

        Raise sqlite3.DatabaseError if a row does not match its checksum.
        """
        rows = self._connection.execute(f"SELECT * FROM {table}").fetchall()
        for row in rows:
            if row[-1] != _row_checksum(row[:-1]):
                raise sqlite3.DatabaseError(f"a row of {table} does not match its checksum")
        return [row[:-1] for row in rows]

    def _put_rows(self, table: str, rows: list[Row]) -> None:
        if not rows:
            return
        placeholders = ", ".join("?" * (len(rows[0]) + 1))
        self._connection.executemany(
            f"INSERT OR REPLACE INTO {table} VALUES ({placeholders})",
            [(*row, _row_checksum(row)) for row in rows],
        )

    def _put_own_values(self, own_values: dict[str, object]) -> None:
        self._put_rows("own", [(key, str(value)) for key, value in own_values.items()])

    def persist(self, write: PersistVotes | PersistFencingToken, callback: WriteCallback) -> None:
        """Queue a write; `callback` is called on the event loop with the error text, or "" on success."""
        self._write_queue.put((write, callback))

    def close(self) -> None:
        """Commit the queued writes and unlock the file; wait for this at most `CLOSE_TIMEOUT_S` seconds."""
        self._write_queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            batch = [self._write_queue.get()]
            while not self._write_queue.empty():
                batch.append(self._write_queue.get())
            work = [each for each in batch if each is not None]
            if work:
                fault = self._commit([write for write, _ in work])
                for _, callback in work:
                    try:
                        self._call_on_loop(
                            lambda callback=callback, fault=fault: callback(fault)  # type: ignore[misc]
                        )
                    except RuntimeError:
                        return  # the event loop is closed
            if len(work) < len(batch):
                self._connection.close()
                return

    def _commit(self, work: list[PersistVotes | PersistFencingToken]) -> str:
        """Commit all writes in one transaction; return the error text, or "" on success."""
        connection = self._connection
        try:
            self.before_commit()
            connection.execute("BEGIN IMMEDIATE")
            for each in work:
                if isinstance(each, PersistFencingToken):
                    self._put_rows("fences", [(each.lease, each.fencing_token)])
                else:
                    self._put_votes(each)
            connection.execute("COMMIT")
        except (OSError, sqlite3.Error) as error:
            with contextlib.suppress(sqlite3.Error):
                if connection.in_transaction:
                    connection.execute("ROLLBACK")
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
        self._put_own_values({"promises": write.storage_version.vote_count})
        if write.admitted:
            self._put_own_values({"admitted": 1})
        if write.voter_set is not None:
            self._put_own_values({"roll": _encode_voter_set(write.voter_set)})
