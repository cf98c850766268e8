"""The operators' side: owns the line commands, the text they print, and the door, where one line a connection
is answered `ok` or `fail`. State machines that are fed bytes. They must never answer a call or change a
decision, and the end of their input ends nothing else.
"""

from __future__ import annotations

from collections.abc import Callable

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallState
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.overload.events import Availability

MOST_ORDER = 128  # bytes of a line at the door
MOST_LOGGED = 200  # characters of an answer
PROMPT = "stairhatch> "
MOST_LINE = 1024
MOST_SHOWN = 50
HELP = """\
help      this list
status    how long it has run, calls and servers in figures
servers   the roster servers of the directory: set-ups out, those that the decisions hold for unanswered,
          calls that stand, the wait last reported and how long ago, and whether it is held for pressed;
          link "-": out of scope, nothing is kept open there
calls     calls that are being set up or stand (the first 50)
classes   the classes of calls as the settings have them now, and the calls open in each
counters  what was taken in, sent and answered, by kind
trace     print a line for each step of each call: trace on, trace off
check     whether new callers are served now: ok, or fail and why
drain-on  send callers away: say no to tests, serve what was taken, end connections as they fall idle
drain-off take callers again
quit      drain, then end the program
"""


def obey(core: CallManager, line: str) -> str:
    """Carry out one of the operators' orders; returns the line that answers it."""
    match line:
        case "check":
            pass
        case "drain-on" | "drain-off":
            if core.readiness.shutting_down:
                return "fail the program is ending"
            core.readiness.drain(line == "drain-on")
            if line == "drain-on":
                return f"ok draining, {core.calls.unanswered} calls are still to be answered"
        case _ if line and line.split()[0] in core.admin_commands:
            try:
                return core.admin_commands[line.split()[0]](*line.split()[1:])
            except TypeError:
                return "fail the order has more words or fewer than it takes"
        case "":
            return "fail an empty line; known are check, drain-on and drain-off"
        case _:
            shown = "".join(c if c.isascii() and c.isprintable() else "?" for c in line[:40])
            more = "".join(f", {each}" for each in core.admin_commands)
            return f"fail unknown order {shown}; known are check, drain-on and drain-off{more}"
    health = core.readiness.health()
    if not health.is_ready:
        return f"fail {health.reason}"
    ready = [
        s
        for s in core.servers.by_id.values()
        if s.record.availability is Availability.READY and core.servers.is_in_scope(s)
    ]
    return f"ok serving, {sum(s.connected for s in ready)} of {len(ready)} roster servers connected"


class Door(ConnectionProtocol):
    """One operator's connection: one line, one answer, and the end."""

    def __init__(self, core: CallManager) -> None:
        super().__init__()
        self.core = core
        self.data = b""
        self.answer = b""

    def owes_response(self) -> bool:
        """Whether the answer waits to be written."""
        return bool(self.answer)

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the operator; what comes after the line is not read."""
        if self.closing:
            return
        self.data += bytes(data)
        line, end, _ = self.data.partition(b"\n")
        if len(line) > MOST_ORDER:
            self._say(f"fail a line longer than {MOST_ORDER} bytes")
        elif end:
            self._say(obey(self.core, line.decode("utf-8", "replace").strip()))

    def eof_received(self) -> None:
        """The operator will send no more."""
        if not self.closing:
            self._say("fail an unfinished line")

    def read_timed_out(self) -> None:
        """No whole line has come in time."""
        self._say("fail no whole line came in time")

    def eviction_response(self) -> bytes:
        return b"fail too many are connected here\n"

    def _say(self, text: str) -> None:
        self.core.counters.add("orders_done" if text.startswith("ok") else "orders_failed")
        order = self.data[:40].decode("ascii", "replace").strip()
        said = "ok" if text.startswith("ok") else text
        if order != "check" or said != self.core.last_health_answer:  # a front asks ten times a second
            self.core.log("order", line=order, answer=text[:MOST_LOGGED])
        if order == "check":
            self.core.last_health_answer = said
        self.answer, self.request_received, self.closing = text.encode() + b"\n", True, True
        self.notify_writable()

    def data_to_send(self) -> bytes:
        data, self.answer = self.answer, b""
        return data

    def connection_lost(self) -> None:
        """The connection has ended."""


class Console:
    """One terminal."""

    def __init__(
        self, core: CallManager, end: Callable[[], None], service: Callable[[], str] = lambda: ""
    ) -> None:
        self.core, self.end, self.service = core, end, service
        self.started = core.clock()
        self._data = b""

    def feed(self, data: bytes) -> str:
        """What was typed; returns what is to be printed."""
        *lines, self._data = (self._data + data).split(b"\n")
        self._data = self._data[:MOST_LINE]
        return "".join(self.command(line.decode("utf-8", "replace")) + PROMPT for line in lines)

    def command(self, line: str) -> str:
        """Carry out one line."""
        words = line.lower().split()
        if not words:
            return ""
        match words:
            case ["help" | "?"]:
                orders = self.core.admin_commands
                return HELP + "".join(f"{name:9} an order of the door's, with its words\n" for name in orders)
            case ["status"]:
                return self._status()
            case ["servers"]:
                return self._servers()
            case ["calls"]:
                return self._calls()
            case ["classes"]:
                return self._classes()
            case ["counters"]:
                counts = sorted(self.core.counters.counts.items())
                return "".join(f"{name:32} {count}\n" for name, count in counts) or "nothing counted yet\n"
            case ["trace", "on" | "off"]:
                self.core.context.tracing = words[1] == "on"
                return f"trace is {words[1]}\n"
            case ["check" | "drain-on" | "drain-off" as order]:
                return obey(self.core, order) + "\n"
            case ["quit" | "exit"]:
                self.end()
                return f"ending: {self.core.calls.unanswered} calls are still to be answered\n"
            case [first, *_] if first in self.core.admin_commands:
                return obey(self.core, " ".join(line.split())) + "\n"
        return f"unknown command {line.strip()[:40]!r}; try help\n"

    def _status(self) -> str:
        core = self.core
        stages = [call.state for call in core.calls.by_number.values()]
        setting_up, standing = stages.count(CallState.OFFERED), stages.count(CallState.ESTABLISHED)
        ready = sum(s.record.availability is Availability.READY for s in core.servers.by_id.values())
        connected = sum(server.connected for server in core.servers.by_id.values())
        counts = core.counters.counts
        named = ("calls_established", "calls_rejected", "calls_failed", "calls_abandoned")
        unusable = counts.get("requests_unusable", 0) + counts.get("malformed_from_callers", 0)
        stood, refused, failed, given_up = (counts.get(name, 0) for name in named)
        why = core.readiness.health().reason or "serving"
        if core.readiness.drain_since is not None:
            drained_s = core.clock() - core.readiness.drain_since
            why += f" for {drained_s:.1f} s, {core.calls.unanswered} calls to be answered"
            why += ", then the program ends" if core.readiness.shutting_down else ""
        return (
            f"up {int(core.clock() - self.started)} s\n"
            f"state      {why}\n"
            f"calls      {setting_up} being set up, {standing} standing\n"
            f"answered   {stood} stood, {refused} refused, {failed} failed, {given_up} given up by callers\n"
            f"servers    {ready} of {len(core.servers.by_id)} in service, {connected} connected\n"
            f"callers    {counts.get('connections_evicted', 0)} connections put out for others, "
            f"{counts.get('connections_expired', 0)} ended as silent, "
            f"{unusable} requests unusable\n"
            f"links      {counts.get('roster_connections', 0)} opened, "
            f"{counts.get('roster_connections_failed', 0)} not reached, "
            f"{counts.get('malformed_from_servers', 0)} ended as spoilt\n"
        ) + self.service()

    def _servers(self) -> str:
        core = self.core
        if not core.servers.by_id:
            return "the directory names no servers\n"
        now = core.clock()
        text = (
            f"{'name':20} {'address':22} {'number':>6} {'state':9} link  out held standing  "
            " wait   age marks\n"
        )
        for server in core.servers.by_id.values():
            line = server.record
            here = [
                call.state
                for call in core.calls.by_number.values()
                if call.attempt is not None and call.attempt.server is server
            ]
            address = f"{line.address[0]}:{line.address[1]}"
            link = "up" if server.connected else "down" if core.servers.is_in_scope(server) else "-"
            seen = core.controller.endpoints.get(server.id)  # what the decisions go by
            held, wait, age, marks = 0, "-", "-", []
            if seen is not None:
                held = len(seen.pending_setups)
                if seen.reported_at > 0:
                    wait, age = f"{seen.reported_delay_s * 1000:.0f}ms", f"{now - seen.reported_at:.1f}s"
                marks = [word for word, true in (("flagged", seen.flagged), ("down", seen.ejected)) if true]
                marks += ["cold"] if core.controller.is_warming_up(now, seen) else []
            text += (
                f"{line.instance:20} {address:22} {line.number:6} {line.availability.value:9} "
                f"{link:4} {here.count(CallState.OFFERED):4} "
                f"{held:4} {here.count(CallState.ESTABLISHED):8} {wait:>6} {age:>5} "
                f"{' '.join(marks) or '-'}\n"
            )
        return text

    def _classes(self) -> str:
        core = self.core
        text = f"{'class':16} {'worth':>6} {'aim':>7} {'limit':>7} {'again':5} {'attempts':>8} {'open':>5}"
        text += "\n" if core.servers.in_scope is None else "  scope\n"
        near = {s.record.number for s in core.servers.by_id.values() if core.servers.is_in_scope(s)}
        open_ones = [call.request.call_class for call in core.calls.by_number.values()]
        going = [kind for kind in dict.fromkeys(open_ones) if kind not in core.settings.classes]
        for kind in [*core.settings.classes, *going]:
            text += (
                f"{kind.name:16} {kind.priority_weight:6g} {kind.latency_objective_s:6g}s "
                f"{kind.deadline_s:6g}s {'yes' if kind.idempotent else 'no':5} "
                f"{core.settings.max_attempts:8} {open_ones.count(kind):5}"
                f"{' as it was before a reload' if kind in going else ''}"
            )
            if core.servers.in_scope is not None:
                known = near if kind.allowed_servers is None else near.intersection(kind.allowed_servers)
                text += "  in" if known else "  out"
            text += "\n"
        return text

    def _calls(self) -> str:
        core = self.core
        if not core.calls.by_number:
            return "no calls\n"
        text = f"{'call':17} {'number called':18} {'class':12} {'state':9} {'tries':>5} server\n"
        for index, call in enumerate(core.calls.by_number.values()):
            if index == MOST_SHOWN:
                return text + f"and {len(core.calls.by_number) - MOST_SHOWN} more\n"
            kind = call.request.call_class.name
            server = call.attempt.server.record.instance if call.attempt is not None else "-"
            text += (
                f"{call.request.ident:17} {call.request.called_uri:18} {kind:12} {call.state.value:9} "
                f"{call.attempts:5} {server}\n"
            )
        return text
