"""The admin endpoint: one command line a connection, answered by one line, `ok` or `fail` and why.

The commands here are `check` (whether new callers are served), `drain-on` and `drain-off`; others are added
to the call manager's `admin_commands` by what they belong to. Results are typed; they become text where they
are written (`CommandResult.line`).
"""

from __future__ import annotations

from typing import NamedTuple

from stairhatch.node.call_manager import CallManager
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.overload.events import Availability

MAX_COMMAND_BYTES = 128
MAX_LOGGED_CHARACTERS = 200  # of an answer
MAX_SHOWN_CHARACTERS = 40  # of a command that is not known
SUCCEEDED, FAILED = "ok", "fail"  # the first word of an answer


class CommandResult(NamedTuple):
    """What became of a command."""

    succeeded: bool
    text: str  # what was done, or why not

    @property
    def line(self) -> str:
        """The line that answers the command, without its end."""
        return f"{SUCCEEDED if self.succeeded else FAILED} {self.text}"

    @classmethod
    def from_line(cls, line: str) -> CommandResult:
        """Parse an answer line; the functions in `admin_commands` return such lines."""
        verdict, _, text = line.partition(" ")
        return cls(verdict == SUCCEEDED, text)


def execute(core: CallManager, line: str) -> CommandResult:
    """Execute one of the operators' commands."""
    match line.split():
        case ["check"]:
            return _check(core)
        case ["drain-on" | "drain-off" as name]:
            return _drain(core, name == "drain-on")
        case [name, *arguments] if name in core.admin_commands:
            try:
                return CommandResult.from_line(core.admin_commands[name](*arguments))
            except TypeError:
                return CommandResult(False, "the order has more words or fewer than it takes")
        case []:
            return CommandResult(False, "an empty line; known are check, drain-on and drain-off")
    shown = "".join(c if c.isascii() and c.isprintable() else "?" for c in line[:MAX_SHOWN_CHARACTERS])
    more = "".join(f", {name}" for name in core.admin_commands)
    return CommandResult(False, f"unknown order {shown}; known are check, drain-on and drain-off{more}")


def _drain(core: CallManager, on: bool) -> CommandResult:
    """Begin to send callers away, or take them again."""
    if core.readiness.shutting_down:
        return CommandResult(False, "the program is ending")
    core.readiness.drain(on)
    if on:
        return CommandResult(True, f"draining, {core.calls.unanswered} calls are still to be answered")
    return _check(core)


def _check(core: CallManager) -> CommandResult:
    """Whether new callers are served now."""
    health = core.readiness.health()
    if not health.is_ready:
        return CommandResult(False, health.reason)
    ready = [
        server
        for server in core.servers.by_id.values()
        if server.record.availability is Availability.READY and core.servers.is_in_scope(server)
    ]
    connected = sum(server.connected for server in ready)
    return CommandResult(True, f"serving, {connected} of {len(ready)} roster servers connected")


class AdminConnection(ConnectionProtocol):
    """One operator's connection, as a sans-I/O protocol: one line, one answer, and the end."""

    def __init__(self, core: CallManager) -> None:
        """Begin with nothing received."""
        super().__init__()
        self._core = core
        self._received = b""
        self._answer = b""

    def has_pending_response(self) -> bool:
        """Whether the answer waits to be written."""
        return bool(self._answer)

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the operator; what comes after the line is not read."""
        if self.closing:
            return
        self._received += bytes(data)
        line, end, _ = self._received.partition(b"\n")
        if len(line) > MAX_COMMAND_BYTES:
            self._respond(CommandResult(False, f"a line longer than {MAX_COMMAND_BYTES} bytes"))
        elif end:
            self._respond(execute(self._core, line.decode("utf-8", "replace").strip()))

    def eof_received(self) -> None:
        """The operator will send no more."""
        if not self.closing:
            self._respond(CommandResult(False, "an unfinished line"))

    def read_timed_out(self) -> None:
        """No whole line has come in time."""
        self._respond(CommandResult(False, "no whole line came in time"))

    def eviction_response(self) -> bytes:
        """The answer to one who has to go for a newcomer."""
        return CommandResult(False, "too many are connected here").line.encode() + b"\n"

    def data_to_send(self) -> bytes:
        """What is to be written."""
        data, self._answer = self._answer, b""
        return data

    def connection_lost(self) -> None:
        """The connection has ended."""

    def _respond(self, result: CommandResult) -> None:
        self._core.counters.add("admin_commands_succeeded" if result.succeeded else "admin_commands_failed")
        self._log(self._received[:MAX_SHOWN_CHARACTERS].decode("ascii", "replace").strip(), result)
        self._answer = result.line.encode() + b"\n"
        self.request_received = True
        self.closing = True
        self.notify_writable()

    def _log(self, command: str, result: CommandResult) -> None:
        """Log a command; `check` only where its result has changed, since it may come ten times a second."""
        outcome = SUCCEEDED if result.succeeded else result.line
        if command != "check" or outcome != self._core.last_health_answer:
            self._core.log("admin_command", line=command, answer=result.line[:MAX_LOGGED_CHARACTERS])
        if command == "check":
            self._core.last_health_answer = outcome
