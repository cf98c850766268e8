"""A worker process of a load, as its parent sees it."""

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
    """A process that speaks in lines of JSON (`worker_messages`). As a context it ends when that is left."""

    def __init__(self, job: WorkerJob) -> None:
        """Start the process and send it its job."""
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
        """Send a line."""
        self._input.write(encode_line(message))
        self._input.flush()

    def receive(self, message_type: type[Message]) -> Message:
        """Wait for the next line. Raises LoadRunError where the process has ended, or the line is another."""
        line = self._output.readline()
        if not line:
            raise LoadRunError(f"a process of the load ended early, with {self.process.wait()}")
        try:
            return decode_line(line, message_type)
        except msgspec.DecodeError as error:
            raise LoadRunError(f"a process of the load said what was not expected: {error}") from error

    def end(self) -> None:
        """Let the process end with its input; kill it where it does not."""
        with contextlib.suppress(OSError):
            self._input.close()
        try:
            self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self._output.close()
