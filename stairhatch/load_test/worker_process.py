"""The parent's side of a worker process of a load."""

from __future__ import annotations

import contextlib
import subprocess
import sys
from types import TracebackType
from typing import TypeVar

import msgspec

from stairhatch.load_test.errors import LoadRunError
from stairhatch.load_test.revisions import ROOT
from stairhatch.load_test.worker_messages import WorkerJob, decode_line, encode_line

WORKER_MODULE = "stairhatch.load_test.worker"
END_TIMEOUT_S = 5.0

Message = TypeVar("Message")


class WorkerProcess:
    """Worker process that exchanges JSON lines (`worker_messages`); a context manager, which ends it."""

    def __init__(self, job: WorkerJob) -> None:
        """Start the process and send its job."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", WORKER_MODULE], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self._input = self.process.stdin
        self._output = self.process.stdout
        self.send(job)

    def __enter__(self) -> WorkerProcess:
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self.end()

    def send(self, message: object) -> None:
        """Send a message as a line of JSON."""
        self._input.write(encode_line(message))
        self._input.flush()

    def receive(self, message_type: type[Message]) -> Message:
        """Wait for the next line and return its message.

        Raises LoadRunError if the process has ended or the line is not of `message_type`.
        """
        line = self._output.readline()
        if not line:
            raise LoadRunError(f"a worker process ended early with exit code {self.process.wait()}")
        try:
            return decode_line(line, message_type)
        except msgspec.DecodeError as error:
            raise LoadRunError(f"a worker process sent an unexpected message: {error}") from error

    def end(self) -> None:
        """Close the input, which ends the process, and kill it if it runs on after END_TIMEOUT_S."""
        with contextlib.suppress(OSError):
            self._input.close()
        try:
            self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self._output.close()
