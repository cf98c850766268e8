"""The admin endpoint: each connection carries one command line and its answer, `ok` or `fail` with a reason.

This module implements `check` (whether new callers are served), `drain-on` and `drain-off`; other modules add
their commands to the call manager's `admin_commands`. Results are typed, and `CommandResult.line` converts
them to text when they are written.
"""

from __future__ import annotations

from typing import NamedTuple

from stairhatch.node.call_manager import CallManager
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.overload.events import Availability

MAX_COMMAND_BYTES = 128
MAX_LOGGED_CHARACTERS = 200  # of an answer line
MAX_SHOWN_CHARACTERS = 40  # of a command, in the log and in the answer to an unknown one
SUCCEEDED, FAILED = "ok", "fail"  # the first word of an answer line


class CommandResult(NamedTuple):
    """The result of a command."""

    succeeded: bool
    text: str  # the effect, or the reason for the failure

    @property
    def line(self) -> str:
        """The answer line, without its line end."""
        return f"{SUCCEEDED if self.succeeded else FAILED} {self.text}"

    @classmethod
    def from_line(cls, line: str) -> CommandResult:
        """Parse an answer line, as the functions in `admin_commands` return it."""
        verdict, _, text = line.partition(" ")
        return cls(verdict == SUCCEEDED, text)


def execute(call_manager: CallManager, line: str) -> CommandResult:
    """Execute an operator's command line; an unknown or malformed one gives a failed result."""
    match line.split():
        case ["check"]:
            return _check(call_manager)
        case ["drain-on" | "drain-off" as name]:
            return _drain(call_manager, name == "drain-on")
        case [name, *arguments] if name in call_manager.admin_commands:
            try:
                return CommandResult.from_line(call_manager.admin_commands[name](*arguments))
            except TypeError:
                return CommandResult(False, "the order has more words or fewer than it takes")
        case []:
            return CommandResult(False, "an empty line; known are check, drain-on and drain-off")
    shown = "".join(c if c.isascii() and c.isprintable() else "?" for c in line[:MAX_SHOWN_CHARACTERS])
    more = "".join(f", {name}" for name in call_manager.admin_commands)
    return CommandResult(False, f"unknown order {shown}; known are check, drain-on and drain-off{more}")


def _drain(call_manager: CallManager, on: bool) -> CommandResult:
    """Start or end draining; ending it returns the result of `check`. Fails while the program shuts down."""
    if call_manager.readiness.shutting_down:
        return CommandResult(False, "the program is ending")
    call_manager.readiness.drain(on)
    if on:
        return CommandResult(
            True, f"draining, {call_manager.calls.unanswered} calls are still to be answered"
        )
    return _check(call_manager)


def _check(call_manager: CallManager) -> CommandResult:
    """Return whether new callers are served, with the reason or the number of connected servers."""
    health = call_manager.readiness.health()
    if not health.is_ready:
        return CommandResult(False, health.reason)
    ready = [
        server
        for server in call_manager.servers.by_id.values()
        if server.record.availability is Availability.READY and call_manager.servers.is_in_scope(server)
    ]
    connected = sum(server.connected for server in ready)
    return CommandResult(True, f"serving, {connected} of {len(ready)} roster servers connected")


class AdminConnection(ConnectionProtocol):
    """The sans-I/O protocol of an operator's connection, which is closed after one command and its answer."""

    def __init__(self, call_manager: CallManager) -> None:
        """Create the protocol of a new connection."""
        super().__init__()
        self._call_manager = call_manager
        self._received = b""
        self._answer = b""

    def has_pending_response(self) -> bool:
        """Return whether the answer has not been written yet."""
        return bool(self._answer)

    def receive_data(self, data: bytes | memoryview) -> None:
        """Execute the command once its line is complete; ignore any bytes after the line."""
        if self.closing:
            return
        self._received += bytes(data)
        line, end, _ = self._received.partition(b"\n")
        if len(line) > MAX_COMMAND_BYTES:
            self._respond(CommandResult(False, f"a line longer than {MAX_COMMAND_BYTES} bytes"))
        elif end:
            self._respond(execute(self._call_manager, line.decode("utf-8", "replace").strip()))

    def eof_received(self) -> None:
        """Answer `fail` if the operator ends the input before the line is complete."""
        if not self.closing:
            self._respond(CommandResult(False, "an unfinished line"))

    def read_timed_out(self) -> None:
        """Answer `fail` if no complete line arrived within the time limit."""
        self._respond(CommandResult(False, "no whole line came in time"))

    def eviction_response(self) -> bytes:
        """Return the answer to an operator whose connection is evicted in favour of a new one."""
        return CommandResult(False, "too many are connected here").line.encode() + b"\n"

    def data_to_send(self) -> bytes:
        """Return the answer if it has not been written yet, else nothing."""
        data, self._answer = self._answer, b""
        return data

    def connection_lost(self) -> None:
        """Do nothing when the connection ends: it keeps no state."""

    def _respond(self, result: CommandResult) -> None:
        self._call_manager.counters.add(
            "admin_commands_succeeded" if result.succeeded else "admin_commands_failed"
        )
        self._log(self._received[:MAX_SHOWN_CHARACTERS].decode("ascii", "replace").strip(), result)
        self._answer = result.line.encode() + b"\n"
        self.request_received = True
        self.closing = True
        self.notify_writable()

    def _log(self, command: str, result: CommandResult) -> None:
        """Log a command; log `check`, which may come ten times a second, only if its outcome has changed."""
        outcome = SUCCEEDED if result.succeeded else result.line
        if command != "check" or outcome != self._call_manager.last_health_answer:
            self._call_manager.log("admin_command", line=command, answer=result.line[:MAX_LOGGED_CHARACTERS])
        if command == "check":
            self._call_manager.last_health_answer = outcome
