"""A stand-in coordinator: a directory of roster servers that answers long polls, by the platform's protocol.
It must never judge who asks.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

Place = tuple[str, int]
LONGEST_S = 30.0
MOST_KEPT = 64  # answers


def endpoint_line(
    name: str, place: Place, number: int, state: str = "in_service", started_ms: int = 0
) -> dict[str, Any]:
    """One server of the list."""
    return {
        "instanceId": name, "hostPort": f"{place[0]}:{place[1]}", "cell": number, "lifecycle": state,
        "startedAtMs": started_ms, "zone": "a", "machineType": "std", "weight": 1,
    }  # fmt: skip


class EndpointEventLog:
    """The list as a coordinator keeps it: each change has the next number. Free of I/O."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.asked = 0  # questions so far
        self.asked_bytes = self.told_bytes = 0  # of questions, and of answers with their heads
        self._answers: dict[int, tuple[int, bytes]] = {}  # by `after`: up to which number, and the bytes

    def tell(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """A change, with the next number."""
        index = len(self.events) + 1
        told = {"generation": index, "reset": reset or index == 1, "instances": lines}
        self.events.append({"index": index, "endpoints": told})
        return index

    def answer(self, after: int) -> bytes:
        """The answer to who knows all up to a number. Many ask after the same one: it is made once."""
        last, data = self._answers.get(after, (-1, b""))
        if last != len(self.events):
            later = self.events[after:]
            body = json.dumps({"index": after + len(later), "updates": later}).encode()
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            if len(self._answers) >= MOST_KEPT:
                self._answers.clear()
            self._answers[after] = len(self.events), data
        self.told_bytes += len(data)
        return data


def parse_poll_request(line: bytes) -> tuple[int, float]:
    """The number that a question names, and how long it wants to wait, in seconds. ValueError or IndexError
    where it is none.
    """
    after = int(line.split(b"follow=")[1].split(b"&")[0])
    return after, min(LONGEST_S, int(line.split(b"wait_ms=")[1].split(b" ")[0]) / 1000)


class CoordinatorEmulator(EndpointEventLog):
    """Such a list on a socket."""

    def __init__(self) -> None:
        super().__init__()
        self.changed = asyncio.Event()  # a new one at each change
        self.place: Place = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> CoordinatorEmulator:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._took, host, port)
        self.place = self._server.sockets[0].getsockname()[:2]
        return self

    def close(self) -> None:
        """End at once."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def tell(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """A change, with the next number."""
        index = super().tell(lines, reset)
        self.changed.set()
        self.changed = asyncio.Event()
        return index

    async def _took(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            while text := await reader.readline():
                self.asked_bytes += len(text)
                if text.startswith(b"GET "):
                    await self._answer(text, writer)
        self._tasks.discard(task)
        with contextlib.suppress(OSError):
            writer.close()

    async def _answer(self, text: bytes, writer: asyncio.StreamWriter) -> None:
        after, wait_s = parse_poll_request(text)
        self.asked += 1
        if len(self.events) <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        writer.write(self.answer(after))
        await writer.drain()
