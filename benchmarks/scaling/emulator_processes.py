"""Emulators in processes of their own, so that their work does not disturb what is measured.

A service is started in the child process; its parent sends it one question at a time over a pipe.
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
class StatusQuestion:
    """Asks what has been counted so far."""


@dataclass(frozen=True, slots=True)
class ChangeEndpoint:
    """Asks to publish a changed record; the answer is when that was, in seconds of Unix time."""

    record: dict[str, Any]


Question = StatusQuestion | ChangeEndpoint


class EmulatorService(Protocol):
    """What a process of emulators runs; an instance is sent to the process before it starts."""

    async def start(self) -> Any:
        """Begin to serve. Returns the first answer to the parent."""

    def answer(self, question: Question) -> Any:
        """Answer a question of the parent."""


class EmulatorProcess:
    """A process that runs a service until it is ended."""

    def __init__(self, service: EmulatorService) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=_run_service, args=(child_pipe, service), daemon=True)
        self._process.start()
        child_pipe.close()
        try:
            self.first_answer = self._receive()
        except BaseException:
            self.end()
            raise

    def ask(self, question: Question) -> Any:
        """Return the answer to a question. Raises UnavailableFigureError if none comes."""
        self._pipe.send(question)
        return self._receive()

    def status(self) -> Any:
        """Return what has been counted so far."""
        return self.ask(StatusQuestion())

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.join()

    def _receive(self) -> Any:
        if not self._pipe.poll(TIMEOUT_S):
            raise UnavailableFigureError("an emulator does not answer")
        return self._pipe.recv()


@contextmanager
def emulator_processes(services: Sequence[EmulatorService]) -> Iterator[list[EmulatorProcess]]:
    """Run services for as long as they are needed."""
    with ExitStack() as stack:
        processes = []
        for service in services:
            process = EmulatorProcess(service)
            stack.callback(process.end)
            processes.append(process)
        yield processes


def _run_service(pipe: Connection, service: EmulatorService) -> None:
    """Run a service in this process until its parent is gone."""

    async def serve() -> None:
        pipe.send(await service.start())
        loop, parent_gone = asyncio.get_running_loop(), asyncio.Event()

        def answer_question() -> None:
            try:
                pipe.send(service.answer(pipe.recv()))
            except EOFError:
                parent_gone.set()

        loop.add_reader(pipe.fileno(), answer_question)
        await parent_gone.wait()

    uvloop.run(serve())
