"""A stand-in roster server on a socket: speaks the JSON lines of its side and does with each call what
`behaviour` says, or what its processor can bear where it has one. Its timers may be a virtual clock's, and a
link's transport anything that writes: then it serves without a socket. It must never outlive `close`, and
records what it was told for whoever checks.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Protocol, cast

from stairhatch.emulators.processor import Processor, SetupAdmission
from stairhatch.emulators.scripted_replies import FULL, ScriptedReply, ends, script_for, stands

STATE_S = 0.4  # how often its state is told
SIZE = 64  # of its lines


def told(wait_s: float, rate: float) -> str:
    """A processor's part of a report."""
    return f"mean_ms:{1000 * wait_s:.1f};can_take:{rate:.2f}"


class Timers(Protocol):
    """What a server needs of a loop."""

    def time(self) -> float: ...
    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Any: ...
    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any: ...


class ServerEmulatorConnection(asyncio.Protocol):
    """One connection of a softswitch."""

    def __init__(self, server: ServerEmulator) -> None:
        self.server, self.data, self.closed = server, b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It tells its state at once."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.links[self] = None
        self.state()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, whoever closed it."""
        self.closed = True
        self.server.links.pop(self, None)
        self.server.connection_lost(self)

    def state(self) -> None:
        """Tell the server's state, now and then again."""
        if not self.closed:
            lines, open_now = self.server.lines, len(self.server.open)
            wait_s, rate = (0.001, 500.0) if self.server.processor is None else self.server.told_load()
            load = f"free:{max(0, lines - open_now)};size:{lines};{told(wait_s, rate)}"
            self.say({"verb": "LOAD", "tag": "", "opts": {"load": load}})
            self.server.timers.call_later(self.server.state_s, self.state)

    def say(self, line: dict[str, Any]) -> None:
        """Write a line."""
        if not self.closed:
            self.transport.write(json.dumps(line).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        """Lines of the softswitch."""
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            self.server.told(self, json.loads(line))


class ServerEmulator:
    """One roster server. `script` gives what is said to a set-up for a number."""

    def __init__(
        self,
        script: Callable[[str], tuple[ScriptedReply, ...]] = script_for,
        lines: int = SIZE,
        processor: Processor | None = None,
        timers: Timers | None = None,
        state_s: float = STATE_S,
    ) -> None:
        self.script, self.lines, self.processor, self.state_s = script, lines, processor, state_s
        self._timers = timers
        # For whoever checks: what a call's number was sent, answered or ended with.
        self.seen: Callable[[str, str], None] = lambda what, number: None
        self.numbers: dict[str, str] = {}  # of the calls that are open
        self._due: Any = None
        self.place: tuple[str, int] = ("127.0.0.1", 0)
        self.open: dict[str, ServerEmulatorConnection] = {}
        # Of those open, the set-ups that are neither established nor ended, with the connection of each.
        self.pending: dict[str, ServerEmulatorConnection] = {}
        self.links: dict[ServerEmulatorConnection, None] = {}  # in the order of their coming
        self.stood = self.set_ups = self.released = 0
        self._server: asyncio.Server | None = None

    @property
    def timers(self) -> Timers:
        """The clock it serves by: the running loop's, unless another was given."""
        return self._timers if self._timers is not None else asyncio.get_running_loop()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> ServerEmulator:
        """Begin to serve, at a port of the system's choice unless one is named."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerEmulatorConnection(self), host, port)
        self.place = self._server.sockets[0].getsockname()[:2]
        return self

    async def close(self) -> None:
        """End at once."""
        self.stop_listening()
        if self._due is not None:
            self._due.cancel()
        self.cut()

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Every connection ends, as where its process dies; what was open on them is lost."""
        for link in list(self.links):
            link.closed = True
            link.transport.abort()
        for number in self.numbers.values():
            self.seen("broke", number)
        self.open.clear()
        self.pending.clear()
        self.numbers.clear()

    def connection_lost(self, link: ServerEmulatorConnection) -> None:
        """Record what was not yet answered on a connection that has ended: its sender will never hear of it.

        What is established stays so: its release may come on another connection. Nothing else changes; a
        set-up that is being worked on may still come to be established here.
        """
        for tag in [tag for tag, its_link in self.pending.items() if its_link is link]:
            del self.pending[tag]
            self.seen("broke", self.numbers[tag])

    def told_load(self) -> tuple[float, float]:
        """Wait in seconds and rate, as the processor reports them."""
        assert self.processor is not None
        return self.processor.told(self.timers.time())

    def told(self, link: ServerEmulatorConnection, message: dict[str, Any]) -> None:
        """A line has come."""
        tag = message["tag"]
        match message["verb"]:
            case "START":
                self.set_ups += 1
                self.open[tag] = link
                self.pending[tag] = link
                number = self.numbers[tag] = message["opts"].get("key", "")
                self.seen("set-up", number)
                if self.processor is not None:
                    self._bear(tag, self.processor)
                    return
                for each in self.script(number):
                    if each.after_s:
                        self.timers.call_later(each.after_s, self._say, tag, each)
                    else:
                        self._say(tag, each)
            case "FINISH":
                known = self.open.pop(tag, None) is not None
                self.pending.pop(tag, None)
                self.released += known
                if known:
                    self.seen("given up", self.numbers.pop(tag, ""))
                if self.processor is not None:
                    self.processor.release(self.timers.time(), tag)
                    self._look()

    def _bear(self, tag: str, processor: Processor) -> None:
        """A set-up meets the processor."""
        match processor.offer(self.timers.time(), tag):
            case SetupAdmission.TURNED_AWAY:
                self._say(tag, ends(0.0, FULL))
            case SetupAdmission.DOWN:
                self.cut()
        self._look()

    def _look(self) -> None:
        """Answer what is done, and look again when the next is."""
        processor, loop = self.processor, self.timers
        if processor is None:
            return
        for tag in processor.done(loop.time()):
            self._say(tag, stands())
        if self._due is not None:
            self._due.cancel()
            self._due = None
        if (due := processor.next_due()) is not None:
            self._due = loop.call_at(due, self._look)

    def _say(self, tag: str, what: ScriptedReply) -> None:
        link = self.open.get(tag)
        if link is None:
            return  # it was given up
        if what.verb in ("STARTED", "FINISH"):
            self.pending.pop(tag, None)
        if what.verb == "FINISH":
            del self.open[tag]
            self.seen("refused" if what.cause != 16 else "ended", self.numbers.pop(tag, ""))
        if what.verb == "STARTED":
            self.seen("stood", self.numbers.get(tag, ""))
        self.stood += what.verb == "STARTED"
        line: dict[str, Any] = {"verb": what.verb, "tag": tag, "opts": dict(what.opts)}
        if what.verb == "FINISH":
            line["rc"] = what.cause
            if self.processor is not None:
                wait_s, rate = self.told_load()
                line["opts"] = {"note": "overload", "load": told(wait_s, rate)}
        if what.verb == "STARTED":
            line["blob"] = what.blob
        link.say(line)
