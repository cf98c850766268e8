"""Emulated coordinator for one softswitch of a trial; it can be made to fail in several ways."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, parse_poll_request
from stairhatch.emulators.ports import Address
from stairhatch.soak.record import Kind, Record

FOREVER_S = 3600.0  # longer than any trial
RETIRED_CLOSE_DELAY_S = 1.5  # after a move, until connections to the former address are closed
SLOW_ANSWER_RANGE_S = (0.3, 2.5)  # the range of the additional delay of an answer under the failure "slow"


class TrialCoordinator(CoordinatorEmulator):
    """Coordinator with the endpoint list of one softswitch.

    Each softswitch has its own list because it reaches the roster servers at its own set of ports.
    """

    def __init__(self, softswitch: str, record: Record, rng: random.Random) -> None:
        """Create a coordinator that works, with no events and no socket; `softswitch` is a name as `n0`."""
        super().__init__()
        self.softswitch = softswitch
        self.failure = ""  # one of `DISCOVERY_KINDS` in schedule.py; empty while it works
        self._record, self._rng = record, rng
        # Incremented when a failure begins and when it ends. A poll during which it changed counts
        # as unanswered if the coordinator is silent or down at the end of the poll.
        self._generation = 0
        self._writers: set[asyncio.StreamWriter] = set()  # of all open connections
        self._retired: set[asyncio.StreamWriter] = set()  # of connections to a former address

    async def listen_at_any_port(self) -> TrialCoordinator:
        """Start to listen at a port that the system chooses; return this coordinator."""
        await self.listen()
        return self

    def restart_numbering(self, lines: list[dict[str, Any]]) -> None:
        """Restart the event numbers at 1 for a softswitch that starts; event 1 holds the whole list."""
        self.events.clear()
        self._cached_answers.clear()
        CoordinatorEmulator.publish(self, lines, reset=True)

    # ---- failures of the coordinator ----

    def fail(self, kind: str) -> None:
        """Start a failure of a kind in `DISCOVERY_KINDS`; "down" also closes all connections."""
        self.failure = kind
        self._generation += 1
        self._record.note(Kind.DISCOVERY_FAILED, softswitch=self.softswitch, detail=kind)
        if kind == "down" and self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()

    async def recover(self) -> None:
        """End the failure. A poll that arrived during the failure "silent" stays unanswered."""
        was_down = self.failure == "down"
        self.failure = ""
        self._generation += 1
        if was_down:
            await self.listen(*self.address)
        self._record.note(Kind.DISCOVERY_RETURNED, softswitch=self.softswitch)

    async def move(self) -> Address:
        """Listen at another address and return it; connections to the old address get no further answers."""
        old_server, old_writers = self._server, list(self._writers)
        await self.listen()
        if old_server is not None:
            old_server.close()
        self._retired.update(old_writers)
        asyncio.get_running_loop().call_later(RETIRED_CLOSE_DELAY_S, self._abort_connections, old_writers)
        return self.address

    def _abort_connections(self, writers: list[asyncio.StreamWriter]) -> None:
        for writer in writers:
            writer.transport.abort()

    # ---- the endpoint list ----

    def publish(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """Add a change of the list, answer all pending polls, and return the number of the event.

        With `reset`, `lines` is the whole list instead of a change.
        """
        for line in lines:
            self._note(Kind.LIST_CHANGED, line)
        return super().publish(lines, reset)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await super()._serve_connection(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer_poll(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        generation = self._generation
        if self.failure == "silent" or writer in self._retired:
            await asyncio.sleep(FOREVER_S)
        if self.failure == "slow":
            await asyncio.sleep(self._rng.uniform(*SLOW_ANSWER_RANGE_S))
        after = parse_poll_request(line).after
        if self.failure == "cut" and len(self.events) > after:
            answer = self.answer(after)
            writer.write(answer[: len(answer) // 2])
            await writer.drain()
            writer.close()
            return
        await super()._answer_poll(line, writer)
        if writer in self._retired:
            return
        if self._generation != generation and self.failure in ("silent", "down"):
            return
        self._note_notified(after)

    def answer(self, after: int) -> bytes:
        """Return the answer to a poll; empty if the failure "silent" has begun since the poll arrived."""
        return b"" if self.failure == "silent" else super().answer(after)

    def _note_notified(self, after: int) -> None:
        for event in self.events[after:]:
            for line in event["endpoints"]["instances"]:
                self._note(Kind.LIST_NOTIFIED, line)

    def _note(self, kind: Kind, line: dict[str, Any]) -> None:
        instance, lifecycle = line["instanceId"], line["lifecycle"]
        self._record.note(kind, softswitch=self.softswitch, server=instance, detail=lifecycle)
