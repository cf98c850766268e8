"""Runs emulators in separate processes, so that their processor time does not count in a measurement.

The child process starts an emulator service; the parent sends it one request at a time over a pipe.
"""

from __future__ import annotations

import asyncio
import multiprocessing
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any, Protocol

import uvloop

from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.measurement import TIMEOUT_S


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A request for the counts so far."""


@dataclass(frozen=True, slots=True)
class ChangeEndpointRequest:
    """A request to publish a changed record; the reply is the Unix time of publication in seconds."""

    record: dict[str, Any]


Request = StatusRequest | ChangeEndpointRequest


class EmulatorService(Protocol):
    """The service that an emulator process runs; it is pickled to the process before it starts."""

    async def start(self) -> Any:
        """Start the service. Returns the start message for the parent, such as an address."""

    def reply(self, request: Request) -> Any:
        """Return the reply to a request of the parent."""


class EmulatorProcess:
    """A child process that runs one emulator service until `end` is called."""

    def __init__(self, service: EmulatorService) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=_run_service, args=(child_pipe, service), daemon=True)
        self._process.start()
        child_pipe.close()
        try:
            self.start_message = self._receive()
        except BaseException:
            self.end()
            raise

    def request(self, request: Request) -> Any:
        """Return the reply to a request. Raises UnavailableFigureError if none arrives within TIMEOUT_S."""
        self._pipe.send(request)
        return self._receive()

    def status(self) -> Any:
        """Return the service's counts so far."""
        return self.request(StatusRequest())

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.join()

    def _receive(self) -> Any:
        if not self._pipe.poll(TIMEOUT_S):
            raise UnavailableFigureError("an emulator process did not reply")
        return self._pipe.recv()


@contextmanager
def emulator_processes(services: Sequence[EmulatorService]) -> Iterator[list[EmulatorProcess]]:
    """Run each service in a process of its own until the context is left."""
    with ExitStack() as stack:
        processes = []
        for service in services:
            process = EmulatorProcess(service)
            stack.callback(process.end)
            processes.append(process)
        yield processes


def _run_service(pipe: Connection, service: EmulatorService) -> None:
    """Run a service in this process until the parent closes its end of the pipe."""

    async def serve() -> None:
        pipe.send(await service.start())
        loop, parent_closed = asyncio.get_running_loop(), asyncio.Event()

        def reply_to_request() -> None:
            try:
                pipe.send(service.reply(pipe.recv()))
            except EOFError:
                parent_closed.set()

        loop.add_reader(pipe.fileno(), reply_to_request)
        await parent_closed.wait()

    uvloop.run(serve())
