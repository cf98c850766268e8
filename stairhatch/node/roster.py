"""The side of the roster servers: owns one link to each of them and the JSON lines spoken there. A state
machine that is fed bytes and hands bytes out; a set-up becomes bytes only when it is about to be written.
It must never know a socket, never choose a server, and never give up a connection that has set-ups open,
unless something came on it that can't be read: no answer on it can be trusted from there on.
"""

from __future__ import annotations

import json
import re
from collections import deque
from collections.abc import Callable
from typing import Any

from stairhatch.interface import Report, Standing
from stairhatch.node.core import Attempt, Core, Machine, Server
from stairhatch.settings import report_from

MOST_LINE = 16 * 1024
MOST_WAITING = 512  # set-ups that one link holds back; what comes beyond is not sent
MOST_RELEASES = 8192
PULLED = 64 * 1024  # bytes handed out at a time
IDENT = re.compile(r"[0-9a-fA-F]{16}\Z")
VERBS = ("PENDING", "STARTED", "FINISH", "FINISHED", "ECHO", "ECHOED", "LOAD")


def start_line(ident: str, kind: str, key: str, description: str, left_ms: int) -> bytes:
    """A set-up as it goes to a roster server."""
    opts = {"class": kind, "key": key, "left": str(left_ms)}
    return _line({"verb": "START", "tag": ident, "opts": opts, "blob": description})


def too_long(ident: str, kind: str, key: str, description: str) -> bool:
    """Whether a set-up would not fit into a line. Escaping makes a character six times as long at most."""
    if 6 * (len(ident) + len(key) + len(description)) + 512 < MOST_LINE:
        return False
    return len(start_line(ident, kind, key, description, 10**8)) > MOST_LINE


def _line(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def parse_load(text: str) -> Report:
    """A report such as `x0:12;x1:40`."""
    values = []
    for piece in text.split(";"):
        name, _, figure = piece.partition(":")
        try:
            values.append((name.strip(), float(figure)))
        except ValueError:
            continue
    return report_from(values)


class RosterSide:
    """The links to all roster servers that the directory has named."""

    def __init__(self, core: Core, dial: Callable[[RosterLink], None]) -> None:
        self.core, self.dial = core, dial
        self.links: dict[int, RosterLink] = {}
        core.side = self

    def listed(self, server: Server) -> None:
        """News of a server: keep a connection while it is of use."""
        link = self.links.get(server.id)
        if server.listing.standing is Standing.GONE:
            if link is not None:
                link.retire()
            return
        if link is None:
            link = self.links[server.id] = RosterLink(self, server)
            self.dial(link)
        link.retired = False
        link.wake()

    def set_up(self, attempt: Attempt) -> None:
        """Queue a set-up; it is rendered when it can be written."""
        link = self.links.get(attempt.server.id)
        if link is None or len(link.queue) >= MOST_WAITING:
            self.core.not_written(attempt, reached=True)
            return
        link.queue.append(attempt)
        link.wake()

    def finish(self, server: Server, ident: str, cause: int) -> None:
        """Give a set-up up, or release a call that stands."""
        link = self.links.get(server.id)
        if link is None or len(link.queue) >= MOST_RELEASES:
            return
        link.open.pop(ident, None)
        link.queue.append(_line({"verb": "FINISH", "tag": ident, "opts": {}, "rc": cause}))
        link.wake()

    def drop(self, link: RosterLink) -> None:
        """A retired link has ended."""
        if self.links.get(link.server.id) is link:
            del self.links[link.server.id]
            if link.server.listing.standing is not Standing.GONE:
                self.listed(link.server)  # it was listed again in the meantime
            else:
                self.core.forget_server(link.server)


class RosterLink(Machine):
    """One roster server and the connection to it, if there is one."""

    def __init__(self, side: RosterSide, server: Server) -> None:
        super().__init__()
        self.side, self.server = side, server
        self.retired = False
        self.told_unreached = False
        self.spoilt = False
        self.queue: deque[Attempt | bytes] = deque()
        self.open: dict[str, Attempt] = {}  # written here, not yet answered
        self.data = bytearray()

    def done(self) -> bool:
        """Whether the connection may be closed. Never while a set-up is open on it."""
        return self.retired and not self.open and not self.queue

    @property
    def urgent(self) -> bool:
        """Whether something waits for a connection."""
        return bool(self.queue)

    def retire(self) -> None:
        """The server is gone; what has not been written to it is not sent."""
        self.retired = True
        waiting = [item for item in self.queue if isinstance(item, Attempt)]
        self.queue = deque(item for item in self.queue if isinstance(item, bytes))
        for attempt in waiting:
            self.side.core.not_written(attempt, reached=True)
        self.wake()

    def connected(self) -> None:
        """A connection has come up."""
        self.data.clear()
        self.spoilt = False
        self.server.connected, self.told_unreached = True, False
        self.side.core.counters.add("roster_connections")
        self.side.core.log("reached", server=self.server.listing.instance)

    def failed(self, refused: bool) -> None:
        """A connection did not come up. A refused one proves that the process is gone, with its calls."""
        core = self.side.core
        core.counters.add("roster_connections_failed")
        if not self.told_unreached:  # once: it is tried again every second
            core.log("unreached", server=self.server.listing.instance, refused=refused)
            self.told_unreached = True
        waiting = [item for item in self.queue if isinstance(item, Attempt)]
        kept = () if refused or self.retired else (i for i in self.queue if isinstance(i, bytes))
        self.queue = deque(kept)
        for attempt in waiting:
            core.not_written(attempt, reached=False)
        if refused:
            core.cut_standing(self.server, before=core.clock() + 1)

    def lost(self) -> None:
        """The connection broke: the set-ups open on it are reset."""
        self.server.connected = False
        broken, self.open = list(self.open.values()), {}
        self.side.core.log("link_lost", server=self.server.listing.instance, open=len(broken))
        for attempt in broken:
            self.side.core.connection_lost(attempt)

    def pull(self) -> bytes:
        """What is to be written now."""
        core, out, size = self.side.core, [], 0
        while self.queue and size < PULLED and not self.spoilt:
            item = self.queue.popleft()
            if isinstance(item, Attempt):
                left_ms = core.may_write(item)
                if left_ms is None:
                    continue
                offer = item.call.offer
                kind = core.settings.classes[offer.kind].name
                self.open[offer.ident] = item
                item = start_line(offer.ident, kind, offer.key, offer.description, left_ms)
            out.append(item)
            size += len(item)
        return b"".join(out)

    def receive(self, data: bytes | memoryview) -> None:
        """Bytes from the roster server."""
        if self.spoilt:
            return
        self.data += data
        start = 0
        while not self.spoilt and (end := self.data.find(b"\n", start)) >= 0:
            line = bytes(self.data[start:end])
            start = end + 1
            if line.strip():
                self._line(line)
        del self.data[:start]
        if len(self.data) > MOST_LINE:
            self._spoil("a line without end")

    def _spoil(self, why: str) -> None:
        """What came can't be read: end the connection, so that all set-ups open on it get their outcome now.

        Guards against answers that never come: behind one that is spoilt, those to other set-ups are not
        to be had either, and their callers waited until their time was over.
        """
        core = self.side.core
        self.spoilt = True
        self.data.clear()
        core.counters.add("malformed_from_servers")
        instance = self.server.listing.instance
        core.log("malformed", side="server", server=instance, why=why, open=len(self.open))
        self.abort()

    def _line(self, line: bytes) -> None:
        core = self.side.core
        try:
            if len(line) > MOST_LINE:
                raise ValueError("longer than 16 KiB")
            message = json.loads(line.decode())
            verb, ident = message.get("verb"), message.get("tag", "")
            opts = message.get("opts") or {}
            report = parse_load(str(opts.get("load", "")))
            note = str(opts.get("note", ""))
            cause = int(message.get("rc") or 0)
            blob = message.get("blob") if verb == "STARTED" else ""
            if not isinstance(verb, str) or not isinstance(blob, str):
                raise ValueError("verb or blob")
            blob.encode()  # half a pair of surrogates can't be passed on
            if verb in ("STARTED", "FINISH") and not (isinstance(ident, str) and IDENT.match(ident)):
                raise ValueError("tag")
        except (ValueError, AttributeError, TypeError, OverflowError, RecursionError) as error:
            self._spoil(f"{type(error).__name__}: {str(error)[:80]}")
            return
        core.counters.add(f"got_{verb if verb in VERBS else 'other_verb'}")
        if verb == "STARTED":
            core.load_told(self.server, report)
            self.open.pop(ident, None)
            core.answered(self.server, ident, blob)
        elif verb == "FINISH":
            self.open.pop(ident, None)
            core.finished(self.server, ident, cause, note, report)
        elif verb == "LOAD":
            core.load_told(self.server, report)
        elif verb == "ECHO":
            self.queue.append(_line({"verb": "ECHOED", "tag": ident, "opts": {}, "rc": 1}))
            self.wake()
