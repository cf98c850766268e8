"""The operator's terminal console: its commands and the text that they print.

The console receives typed bytes and returns the text to print. It also accepts the commands of the admin
endpoint, which `admin_endpoint.execute` carries out. Its own commands neither answer calls nor change
decisions, except `quit`, which ends the program.
"""

from __future__ import annotations

from collections.abc import Callable

from stairhatch.node.admin_endpoint import execute
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallState
from stairhatch.overload.events import Availability

PROMPT = "stairhatch> "
MAX_LINE_BYTES = 1024
MAX_CALLS_SHOWN = 50
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


class AdminConsole:
    """The console of one terminal: it takes the typed bytes and returns the text to print."""

    def __init__(
        self, call_manager: CallManager, end: Callable[[], None], service: Callable[[], str] = lambda: ""
    ) -> None:
        """Create a console; `end` ends the program, and `service` returns text to append to `status`."""
        self._call_manager, self._end, self._service = call_manager, end, service
        self._started_at = call_manager.clock()
        self._typed = b""  # the incomplete last line
        self._commands: dict[str, Callable[[], str]] = {
            "help": self._help,
            "?": self._help,
            "status": self._status,
            "servers": self._servers,
            "calls": self._calls,
            "classes": self._classes,
            "counters": self._counters,
            "quit": self._quit,
            "exit": self._quit,
        }

    def feed(self, data: bytes) -> str:
        """Execute the complete lines in typed bytes; return the text to print."""
        *lines, self._typed = (self._typed + data).split(b"\n")
        self._typed = self._typed[:MAX_LINE_BYTES]
        return "".join(self.command(line.decode("utf-8", "replace")) + PROMPT for line in lines)

    def command(self, line: str) -> str:
        """Execute one line; return its output, empty for an empty line."""
        words = line.lower().split()
        if not words:
            return ""
        match words:
            case [name] if name in self._commands:
                return self._commands[name]()
            case ["trace", "on" | "off"]:
                return self._trace(words[1])
            case ["check" | "drain-on" | "drain-off" as name]:
                return execute(self._call_manager, name).line + "\n"
            case [first, *_] if first in self._call_manager.admin_commands:
                return execute(self._call_manager, " ".join(line.split())).line + "\n"
        return f"unknown command {line.strip()[:40]!r}; try help\n"

    def _help(self) -> str:
        added = self._call_manager.admin_commands
        return HELP + "".join(f"{name:9} an order of the door's, with its words\n" for name in added)

    def _quit(self) -> str:
        self._end()
        return f"ending: {self._call_manager.calls.unanswered} calls are still to be answered\n"

    def _counters(self) -> str:
        counts = sorted(self._call_manager.counters.counts.items())
        return "".join(f"{name:32} {count}\n" for name, count in counts) or "nothing counted yet\n"

    def _trace(self, state: str) -> str:
        self._call_manager.context.tracing = state == "on"
        return f"trace is {state}\n"

    def _status(self) -> str:
        call_manager = self._call_manager
        states = [call.state for call in call_manager.calls.by_number.values()]
        setting_up, established = states.count(CallState.OFFERED), states.count(CallState.ESTABLISHED)
        ready = sum(s.record.availability is Availability.READY for s in call_manager.servers.by_id.values())
        connected = sum(server.connected for server in call_manager.servers.by_id.values())
        counts = call_manager.counters.counts
        counter_names = ("calls_established", "calls_rejected", "calls_failed", "calls_abandoned")
        unusable = counts.get("requests_unusable", 0) + counts.get("malformed_from_callers", 0)
        stood, refused, failed, given_up = (counts.get(name, 0) for name in counter_names)
        state = call_manager.readiness.health().reason or "serving"
        if call_manager.readiness.drain_since is not None:
            drained_s = call_manager.clock() - call_manager.readiness.drain_since
            state += f" for {drained_s:.1f} s, {call_manager.calls.unanswered} calls to be answered"
            state += ", then the program ends" if call_manager.readiness.shutting_down else ""
        return (
            f"up {int(call_manager.clock() - self._started_at)} s\n"
            f"state      {state}\n"
            f"calls      {setting_up} being set up, {established} standing\n"
            f"answered   {stood} stood, {refused} refused, {failed} failed, {given_up} given up by callers\n"
            f"servers    {ready} of {len(call_manager.servers.by_id)} in service, {connected} connected\n"
            f"callers    {counts.get('connections_evicted', 0)} connections put out for others, "
            f"{counts.get('connections_expired', 0)} ended as silent, "
            f"{unusable} requests unusable\n"
            f"links      {counts.get('server_connections', 0)} opened, "
            f"{counts.get('server_connections_failed', 0)} not reached, "
            f"{counts.get('malformed_from_servers', 0)} ended as spoilt\n"
        ) + self._service()

    def _servers(self) -> str:
        call_manager = self._call_manager
        if not call_manager.servers.by_id:
            return "the directory names no servers\n"
        now = call_manager.clock()
        text = (
            f"{'name':20} {'address':22} {'number':>6} {'state':9} link  out held standing  "
            " wait   age marks\n"
        )
        for server in call_manager.servers.by_id.values():
            record = server.record
            states = [
                call.state
                for call in call_manager.calls.by_number.values()
                if call.attempt is not None and call.attempt.server is server
            ]
            address = f"{record.address[0]}:{record.address[1]}"
            link = "up" if server.connected else "down" if call_manager.servers.is_in_scope(server) else "-"
            endpoint = call_manager.controller.endpoints.get(server.id)  # the state that decisions use
            held, wait, age, marks = 0, "-", "-", []
            if endpoint is not None:
                held = len(endpoint.pending_setups)
                if endpoint.reported_at > 0:
                    wait, age = (
                        f"{endpoint.reported_delay_s * 1000:.0f}ms",
                        f"{now - endpoint.reported_at:.1f}s",
                    )
                marks = [
                    word
                    for word, is_set in (("flagged", endpoint.flagged), ("down", endpoint.ejected))
                    if is_set
                ]
                marks += ["cold"] if call_manager.controller.is_warming_up(now, endpoint) else []
            text += (
                f"{record.instance:20} {address:22} {record.number:6} {record.availability.value:9} "
                f"{link:4} {states.count(CallState.OFFERED):4} "
                f"{held:4} {states.count(CallState.ESTABLISHED):8} {wait:>6} {age:>5} "
                f"{' '.join(marks) or '-'}\n"
            )
        return text

    def _classes(self) -> str:
        call_manager = self._call_manager
        text = f"{'class':16} {'worth':>6} {'aim':>7} {'limit':>7} {'again':5} {'attempts':>8} {'open':>5}"
        text += "\n" if call_manager.servers.in_scope is None else "  scope\n"
        in_scope_numbers = {
            s.record.number
            for s in call_manager.servers.by_id.values()
            if call_manager.servers.is_in_scope(s)
        }
        open_classes = [call.request.call_class for call in call_manager.calls.by_number.values()]
        replaced = [kind for kind in dict.fromkeys(open_classes) if kind not in call_manager.settings.classes]
        for kind in [*call_manager.settings.classes, *replaced]:
            text += (
                f"{kind.name:16} {kind.priority_weight:6g} {kind.latency_objective_s:6g}s "
                f"{kind.deadline_s:6g}s {'yes' if kind.idempotent else 'no':5} "
                f"{call_manager.settings.max_attempts:8} {open_classes.count(kind):5}"
                f"{' as it was before a reload' if kind in replaced else ''}"
            )
            if call_manager.servers.in_scope is not None:
                reachable = (
                    in_scope_numbers
                    if kind.allowed_servers is None
                    else in_scope_numbers.intersection(kind.allowed_servers)
                )
                text += "  in" if reachable else "  out"
            text += "\n"
        return text

    def _calls(self) -> str:
        call_manager = self._call_manager
        if not call_manager.calls.by_number:
            return "no calls\n"
        text = f"{'call':17} {'number called':18} {'class':12} {'state':9} {'tries':>5} server\n"
        for index, call in enumerate(call_manager.calls.by_number.values()):
            if index == MAX_CALLS_SHOWN:
                return text + f"and {len(call_manager.calls.by_number) - MAX_CALLS_SHOWN} more\n"
            kind = call.request.call_class.name
            server = call.attempt.server.record.instance if call.attempt is not None else "-"
            text += (
                f"{call.request.ident:17} {call.request.called_uri:18} {kind:12} {call.state.value:9} "
                f"{call.attempts:5} {server}\n"
            )
        return text
