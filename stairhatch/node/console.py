"""The terminal console: owns the line commands and the text they print. A state machine that is fed bytes and
returns text. It must never answer a call or change a decision, and the end of its input ends nothing else.
"""

from __future__ import annotations

from collections.abc import Callable

from stairhatch.interface import Standing
from stairhatch.node.core import Core, Stage

PROMPT = "stairhatch> "
MOST_LINE = 1024
MOST_SHOWN = 50
HELP = """\
help      this list
status    how long it has run, calls and servers in figures
servers   the roster servers of the directory: set-ups out, those that the decisions hold for unanswered,
          calls that stand, the wait last reported and how long ago, and whether it is held for pressed
calls     calls that are being set up or stand (the first 50)
counters  what was taken in, sent and answered, by kind
trace     print a line for each step of each call: trace on, trace off
drain     take no new calls, finish what was taken, then end
quit      the same as drain
"""


class Console:
    """One terminal."""

    def __init__(
        self, core: Core, drain: Callable[[], None], service: Callable[[], str] = lambda: ""
    ) -> None:
        self.core, self.drain, self.service = core, drain, service
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
                return HELP
            case ["status"]:
                return self._status()
            case ["servers"]:
                return self._servers()
            case ["calls"]:
                return self._calls()
            case ["counters"]:
                counts = sorted(self.core.counters.counts.items())
                return "".join(f"{name:32} {count}\n" for name, count in counts) or "nothing counted yet\n"
            case ["trace", "on" | "off"]:
                self.core.tracing = words[1] == "on"
                return f"trace is {words[1]}\n"
            case ["drain" | "quit" | "exit"]:
                self.drain()
                return f"draining: {self.core.unanswered} calls are still to be answered\n"
        return f"unknown command {line.strip()[:40]!r}; try help\n"

    def _status(self) -> str:
        core = self.core
        stages = [call.stage for call in core.calls.values()]
        setting_up, standing = stages.count(Stage.OFFERED), stages.count(Stage.STANDING)
        ready = sum(s.listing.standing is Standing.READY for s in core.servers.values())
        connected = sum(server.connected for server in core.servers.values())
        counts = core.counters.counts
        named = ("answers_stood", "answers_refused", "answers_failed", "calls_given_up")
        unusable = counts.get("requests_unusable", 0) + counts.get("malformed_from_callers", 0)
        stood, refused, failed, given_up = (counts.get(name, 0) for name in named)
        return (
            f"up {int(core.clock() - self.started)} s\n"
            f"calls      {setting_up} being set up, {standing} standing\n"
            f"answered   {stood} stood, {refused} refused, {failed} failed, {given_up} given up by callers\n"
            f"servers    {ready} of {len(core.servers)} in service, {connected} connected\n"
            f"callers    {counts.get('connections_evicted', 0)} connections put out for others, "
            f"{counts.get('connections_expired', 0)} ended as silent, "
            f"{unusable} requests unusable\n"
            f"links      {counts.get('roster_connections', 0)} opened, "
            f"{counts.get('roster_connections_failed', 0)} not reached, "
            f"{counts.get('malformed_from_servers', 0)} ended as spoilt\n"
        ) + self.service()

    def _servers(self) -> str:
        core = self.core
        if not core.servers:
            return "the directory names no servers\n"
        now = core.clock()
        text = (
            f"{'name':20} {'address':22} {'number':>6} {'state':9} link  out held standing  "
            " wait   age marks\n"
        )
        for server in core.servers.values():
            line = server.listing
            here = [
                call.stage
                for call in core.calls.values()
                if call.attempt is not None and call.attempt.server is server
            ]
            address = f"{line.address[0]}:{line.address[1]}"
            seen = core.controller.servers.get(server.id)  # what the decisions go by
            held, wait, age, marks = 0, "-", "-", []
            if seen is not None:
                held = len(seen.unanswered)
                if seen.reported_at > 0:
                    wait, age = f"{seen.reported_s * 1000:.0f}ms", f"{now - seen.reported_at:.1f}s"
                marks = [name for name in ("flagged", "down") if getattr(seen, name)]
                marks += ["cold"] if core.controller.is_cold(now, seen) else []
            text += (
                f"{line.instance:20} {address:22} {line.number:6} {line.standing.value:9} "
                f"{'up' if server.connected else 'down':4} {here.count(Stage.OFFERED):4} "
                f"{held:4} {here.count(Stage.STANDING):8} {wait:>6} {age:>5} {' '.join(marks) or '-'}\n"
            )
        return text

    def _calls(self) -> str:
        core = self.core
        if not core.calls:
            return "no calls\n"
        text = f"{'call':17} {'number called':18} {'class':12} {'state':9} {'tries':>5} server\n"
        for index, call in enumerate(core.calls.values()):
            if index == MOST_SHOWN:
                return text + f"and {len(core.calls) - MOST_SHOWN} more\n"
            kind = core.settings.classes[call.offer.kind].name
            server = call.attempt.server.listing.instance if call.attempt is not None else "-"
            text += (
                f"{call.offer.ident:17} {call.offer.key:18} {kind:12} {call.stage.value:9} "
                f"{call.attempts:5} {server}\n"
            )
        return text
