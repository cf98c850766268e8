"""A stand-in roster server on a socket: speaks the JSON lines of its side and does with each call what
`behaviour` says. It must never outlive `close`, and records what it was told for whoever checks.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

from stairhatch.standin.behaviour import Say, script_for

STATE_S = 0.4  # how often its state is told
SIZE = 64  # of its lines


class Link(asyncio.Protocol):
    """One connection of a softswitch."""

    def __init__(self, server: StandIn) -> None:
        self.server, self.data, self.closed = server, b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It tells its state at once."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.links.add(self)
        self.state()

    def connection_lost(self, exc: Exception | None) -> None:
        """The softswitch has gone."""
        self.closed = True
        self.server.links.discard(self)

    def state(self) -> None:
        """Tell the server's state, now and then again."""
        if not self.closed:
            lines, open_now = self.server.lines, len(self.server.open)
            load = f"free:{max(0, lines - open_now)};size:{lines};mean_ms:1;can_take:500"
            self.say({"verb": "LOAD", "tag": "", "opts": {"load": load}})
            asyncio.get_running_loop().call_later(STATE_S, self.state)

    def say(self, line: dict[str, Any]) -> None:
        """Write a line."""
        if not self.closed:
            self.transport.write(json.dumps(line).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        """Lines of the softswitch."""
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            self.server.told(self, json.loads(line))


class StandIn:
    """One roster server. `script` gives what is said to a set-up for a number."""

    def __init__(self, script: Callable[[str], tuple[Say, ...]] = script_for, lines: int = SIZE) -> None:
        self.script, self.lines = script, lines
        self.place: tuple[str, int] = ("127.0.0.1", 0)
        self.open: dict[str, Link] = {}
        self.links: set[Link] = set()
        self.stood = self.set_ups = self.released = 0
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> StandIn:
        """Begin to serve, at a port of the system's choice unless one is named."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Link(self), host, port)
        self.place = self._server.sockets[0].getsockname()[:2]
        return self

    async def close(self) -> None:
        """End at once."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.closed = True
            link.transport.close()

    def told(self, link: Link, message: dict[str, Any]) -> None:
        """A line has come."""
        tag = message["tag"]
        match message["verb"]:
            case "START":
                self.set_ups += 1
                self.open[tag] = link
                for each in self.script(message["opts"].get("key", "")):
                    if each.after_s:
                        asyncio.get_running_loop().call_later(each.after_s, self._say, tag, each)
                    else:
                        self._say(tag, each)
            case "FINISH":
                self.released += self.open.pop(tag, None) is not None

    def _say(self, tag: str, what: Say) -> None:
        link = self.open.get(tag)
        if link is None:
            return  # it was given up
        if what.verb == "FINISH":
            del self.open[tag]
        self.stood += what.verb == "STARTED"
        line: dict[str, Any] = {"verb": what.verb, "tag": tag, "opts": dict(what.opts)}
        if what.verb == "FINISH":
            line["rc"] = what.cause
        if what.verb == "STARTED":
            line["blob"] = what.blob
        link.say(line)
