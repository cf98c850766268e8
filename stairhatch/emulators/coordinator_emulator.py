"""An emulated coordinator: it answers long polls for the list of roster servers, by the platform's protocol.

Whoever asks is answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any, NamedTuple

from stairhatch.emulators.ports import Address

LONGEST_WAIT_S = 30.0
MAX_CACHED_ANSWERS = 64


class PollRequest(NamedTuple):
    """A question for all that came after an event."""

    after: int  # the number of the last event that is known
    wait_s: float  # how long to wait for a later one


def endpoint_line(
    name: str, address: Address, number: int, state: str = "in_service", started_ms: int = 0
) -> dict[str, Any]:
    """Return one server's line of the list; `started_ms` is in Unix time."""
    return {
        "instanceId": name, "hostPort": f"{address[0]}:{address[1]}", "cell": number, "lifecycle": state,
        "startedAtMs": started_ms, "zone": "a", "machineType": "std", "weight": 1,
    }  # fmt: skip


def parse_poll_request(line: bytes) -> PollRequest:
    """Return what a request line asks for. Raises ValueError or IndexError where it is no question."""
    after = int(line.split(b"follow=")[1].split(b"&")[0])
    wait_ms = int(line.split(b"wait_ms=")[1].split(b" ")[0])
    return PollRequest(after, min(LONGEST_WAIT_S, wait_ms / 1000))


class EndpointEventLog:
    """The list as a coordinator keeps it: each change is an event with the next number. Free of I/O."""

    def __init__(self) -> None:
        """Begin with no event."""
        self.events: list[dict[str, Any]] = []
        self.poll_count = 0
        self.poll_bytes = 0
        self.answer_bytes = 0  # with their headers
        self._cached_answers: dict[
            int, tuple[int, bytes]
        ] = {}  # by `after`: up to which number, and the bytes

    def publish(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """Add a change of the list and return its number."""
        index = len(self.events) + 1
        endpoints = {"generation": index, "reset": reset or index == 1, "instances": lines}
        self.events.append({"index": index, "endpoints": endpoints})
        return index

    def answer(self, after: int) -> bytes:
        """Return the answer to who knows all up to a number. Many ask after the same one: it is made once."""
        last, data = self._cached_answers.get(after, (-1, b""))
        if last != len(self.events):
            later = self.events[after:]
            body = json.dumps({"index": after + len(later), "updates": later}).encode()
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            if len(self._cached_answers) >= MAX_CACHED_ANSWERS:
                self._cached_answers.clear()
            self._cached_answers[after] = len(self.events), data
        self.answer_bytes += len(data)
        return data


class CoordinatorEmulator(EndpointEventLog):
    """Such a list on a socket."""

    def __init__(self) -> None:
        """Begin with no event and no socket."""
        super().__init__()
        self.address: Address = ("127.0.0.1", 0)
        self._changed = asyncio.Event()  # a new one at each change
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()  # one a connection

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> CoordinatorEmulator:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def close(self) -> None:
        """End at once."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def publish(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """Add a change of the list, answer all who wait for one, and return its number."""
        index = super().publish(lines, reset)
        self._changed.set()
        self._changed = asyncio.Event()
        return index

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            while line := await reader.readline():
                self.poll_bytes += len(line)
                if line.startswith(b"GET "):
                    await self._answer_poll(line, writer)
        self._tasks.discard(task)
        with contextlib.suppress(OSError):
            writer.close()

    async def _answer_poll(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        request = parse_poll_request(line)
        self.poll_count += 1
        if len(self.events) <= request.after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), request.wait_s)
        if writer.is_closing():
            return
        writer.write(self.answer(request.after))
        await writer.drain()
