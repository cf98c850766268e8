"""An emulated coordinator of a trial, as one softswitch reaches it: it can be down, silent, slow, cut off."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, parse_poll_request
from stairhatch.emulators.ports import Address
from stairhatch.soak.record import Kind, Record

FOREVER_S = 3600.0
OLD_CLOSES_AFTER_S = 1.5  # connections to an address that was left
SLOW_ANSWER_S = (0.3, 2.5)


class TrialCoordinator(CoordinatorEmulator):
    """The endpoint list for one softswitch, which reaches the servers at ports of its own."""

    def __init__(self, softswitch: str, record: Record, rng: random.Random) -> None:
        """Begin with no event, and as it should be."""
        super().__init__()
        self.softswitch = softswitch
        self.failure = ""  # one of `DISCOVERY_KINDS`
        self._record, self._rng = record, rng
        self._generation = 0  # of failures: a poll that came in one is not answered after it
        self._writers: set[asyncio.StreamWriter] = set()
        self._retired: set[asyncio.StreamWriter] = set()  # at an address that was left

    async def listen_at_any_port(self) -> TrialCoordinator:
        """Begin to serve at a port of the system's choice."""
        await self.listen()
        return self

    def begin_anew(self, lines: list[dict[str, Any]]) -> None:
        """Number events from 1 again, for a softswitch that starts: the first holds the whole list."""
        self.events.clear()
        self._cached_answers.clear()
        CoordinatorEmulator.publish(self, lines, reset=True)

    # ---- its failures ----

    def fail(self, kind: str) -> None:
        """Fail from now on."""
        self.failure = kind
        self._generation += 1
        self._record.note(Kind.DISCOVERY_FAILED, softswitch=self.softswitch, detail=kind)
        if kind == "down" and self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()

    async def recover(self) -> None:
        """Answer again; a poll that came in a silence gets no answer."""
        was_down = self.failure == "down"
        self.failure = ""
        self._generation += 1
        if was_down:
            await self.listen(*self.address)
        self._record.note(Kind.DISCOVERY_RETURNED, softswitch=self.softswitch)

    async def move(self) -> Address:
        """Serve at another address from now on; the old one tells nothing more. Returns the new one."""
        old_server, old_writers = self._server, list(self._writers)
        await self.listen()
        if old_server is not None:
            old_server.close()
        self._retired.update(old_writers)
        asyncio.get_running_loop().call_later(OLD_CLOSES_AFTER_S, self._end_retired, old_writers)
        return self.address

    def _end_retired(self, writers: list[asyncio.StreamWriter]) -> None:
        for writer in writers:
            writer.transport.abort()

    # ---- its list ----

    def publish(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """Add a change of the list and answer all who wait for one."""
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
            await asyncio.sleep(self._rng.uniform(*SLOW_ANSWER_S))
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
        """Return the answer to a poll; none in a silence that has begun since the poll came."""
        return b"" if self.failure == "silent" else super().answer(after)

    def _note_notified(self, after: int) -> None:
        for event in self.events[after:]:
            for line in event["endpoints"]["instances"]:
                self._note(Kind.LIST_NOTIFIED, line)

    def _note(self, kind: Kind, line: dict[str, Any]) -> None:
        instance, lifecycle = line["instanceId"], line["lifecycle"]
        self._record.note(kind, softswitch=self.softswitch, server=instance, detail=lifecycle)
