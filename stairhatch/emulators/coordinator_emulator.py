"""An emulated coordinator, which answers long polls for the endpoint list in the platform's protocol.

It answers every client, without authentication.
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
    """A long poll for all events after a given one."""

    after: int  # index of the last event that the client has; 0: none
    wait_s: float  # longest time to wait for a later event


def endpoint_line(
    name: str, address: Address, number: int, state: str = "in_service", started_ms: int = 0
) -> dict[str, Any]:
    """Return one roster server's entry of the endpoint list; `started_ms` is Unix time in milliseconds."""
    return {
        "instanceId": name, "hostPort": f"{address[0]}:{address[1]}", "cell": number, "lifecycle": state,
        "startedAtMs": started_ms, "zone": "a", "machineType": "std", "weight": 1,
    }  # fmt: skip


def parse_poll_request(line: bytes) -> PollRequest:
    """Return the poll of an HTTP request line, its wait limited to LONGEST_WAIT_S.

    Raises ValueError or IndexError if the line has no valid `follow` or `wait_ms` parameter.
    """
    after = int(line.split(b"follow=")[1].split(b"&")[0])
    wait_ms = int(line.split(b"wait_ms=")[1].split(b" ")[0])
    return PollRequest(after, min(LONGEST_WAIT_S, wait_ms / 1000))


class EndpointEventLog:
    """The endpoint list as a log of events, each change with the next index (from 1). Does no I/O."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.events: list[dict[str, Any]] = []
        self.poll_count = 0
        self.poll_bytes = 0
        self.answer_bytes = 0  # including HTTP headers
        self._cached_answers: dict[int, tuple[int, bytes]] = {}  # by `after`: last index and answer

    def publish(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """Append a change of the endpoint list and return its index.

        With `reset`, and always at index 1, `lines` is the whole list instead of a change.
        """
        index = len(self.events) + 1
        endpoints = {"generation": index, "reset": reset or index == 1, "instances": lines}
        self.events.append({"index": index, "endpoints": endpoints})
        return index

    def answer(self, after: int) -> bytes:
        """Return the encoded HTTP answer with all events after index `after`.

        The answer is cached, because many softswitches poll after the same event.
        """
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
    """Coordinator emulator: an endpoint event log that is served on a TCP socket."""

    def __init__(self) -> None:
        """Create a coordinator with an empty log that does not listen yet."""
        super().__init__()
        self.address: Address = ("127.0.0.1", 0)
        self._changed = asyncio.Event()  # replaced by a new event at each change
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()  # one per connection

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> CoordinatorEmulator:
        """Listen at an address (port 0: one that the system chooses), and return itself."""
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def close(self) -> None:
        """Stop listening and cancel the tasks of all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def publish(self, lines: list[dict[str, Any]], reset: bool = False) -> int:
        """Append a change of the endpoint list, answer all waiting polls, and return its index."""
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
