"""The side of the roster servers: owns the links to them (one to each is in use, a second is dialled while
the first keeps silent for no reason that shows) and the JSON lines spoken there. A state machine that is fed
bytes and hands bytes out; a set-up becomes bytes only when it is about to be written. It must never know a
socket, never choose a server, and never give up a connection that has set-ups open, unless something came on
it that can't be read, or another link shows that it is dead: no answer is to be had on it from there on.
"""

from __future__ import annotations

import json
import math
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.overload.events import Availability, LoadReport
from stairhatch.settings.load_reports import load_report_from_values

MOST_LINE = 16 * 1024
MOST_WAITING = 512  # set-ups that one link holds back; what comes beyond is not sent
MOST_RELEASES = 8192
RETIRED_S = 10.0  # a link to a server that is gone is not kept longer, whatever is still open on it
SURELY_S = 1.0  # a connection so much older than a server's start is to the process before
PULLED = 64 * 1024  # bytes handed out at a time
LOOK_S = 0.1  # how often the links are looked at for silence
SILENT_S = 0.35  # a set-up that is open so long on a link that says nothing makes it suspect
QUIET_S, QUIET_GAPS = 1.5, 3.0  # where calls stand: silence of so long, and so many gaps between states told
LEFT_S = 10.0  # a link passed over is read so long at least, and while calls stand that were set up on it
LOOK_AT_LEFT_S = 1.0  # then it is looked at so often
AGAIN_S = 0.1  # after a dead link has been ended
APART_S = 0.2  # what comes on two links for the same cause may lie so far apart
DOUBT_S, LONGEST_DOUBT_S = 1.0, 16.0  # between two looks for another way to the same server
MOST_TIMES = 3  # a release is written so often at most, should each connection break under it
MOST_LEFT = 3  # links passed over beside the one in use: a server tells its state on four
STALE_S = 0.05  # a look at the callers counts no longer for what is about to be sent
MOST_LOOKS = 3
KEPT_S = 10.0  # releases written on a link that turns out to be dead are written again on the next
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


def parse_load(text: str) -> LoadReport:
    """A report such as `x0:12;x1:40`."""
    values = []
    for piece in text.split(";"):
        name, _, figure = piece.partition(":")
        try:
            values.append((name.strip(), float(figure)))
        except ValueError:
            continue
    return load_report_from_values(values)


class RosterSide:
    """The links to all roster servers that the directory has named."""

    def __init__(self, core: CallManager, dial: Callable[[RosterLink], None]) -> None:
        self.core, self.dial = core, dial
        self.links: dict[int, RosterLink] = {}  # the one in use, by the server's id
        self.spares: dict[int, RosterLink] = {}  # dialled because that one keeps silent
        self.over = False  # another process goes on
        self.left: list[RosterLink] = []  # passed over for a spare; what is open there may still be answered
        self.leaving: set[int] = set()  # servers out of scope whose links are looked at until they may end
        core.servers.pool = self
        core.timers.schedule(core.clock() + LOOK_S, self._look)

    def record_changed(self, server: RosterServer) -> None:
        """News of a server: keep a connection while it is of use."""
        link = self.links.get(server.id)
        if server.record.availability is Availability.GONE:
            for each in self.all_to(server):
                each.retire()
            if link is None:  # it never was in scope; not now, since the list is being gone through
                self.core.timers.schedule(self.core.clock(), partial(self.core.servers.forget, server))
            return
        if self.over:
            return
        if not self.core.servers.is_in_scope(server):
            self._let_go(server)
            return
        if link is None:
            link = self.links[server.id] = RosterLink(self, server)
            self.dial(link)
        link.retired = False
        for each in self.all_to(server):
            if each.up_at < server.record.started_at - SURELY_S:
                each.abort()  # the process that it was opened to is no more
        link.notify_writable()

    def _let_go(self, server: RosterServer) -> None:
        """A server is out of scope: its links end once no call is being set up there or stands there.

        Guards against calls whose end comes on a link that went with its scope, and releases that were to go.
        """
        if server.id in self.leaving or not self.all_to(server):
            return
        attempts = (call.attempt for call in self.core.calls.by_number.values())
        if any(attempt is not None and attempt.server is server for attempt in attempts):
            self.leaving.add(server.id)
            self.core.timers.schedule(
                self.core.clock() + LOOK_AT_LEFT_S, partial(self._look_at_leaving, server)
            )
            return
        for each in self.all_to(server):
            each.retire()

    def _look_at_leaving(self, server: RosterServer) -> None:
        self.leaving.discard(server.id)
        if server.record.availability is not Availability.GONE:
            self.record_changed(server)

    def send_setup(self, attempt: Attempt) -> None:
        """Queue a set-up; it is rendered when it can be written."""
        link = self.links.get(attempt.server.id)
        if link is None or len(link.queue) >= MOST_WAITING:
            self.core.attempts.transmission_failed(attempt, reached=True)
            return
        link.queue.append(attempt)
        link.notify_writable()

    def send_release(self, server: RosterServer, ident: str, cause: int) -> None:
        """Give a set-up up, or release a call that stands."""
        link = self.links.get(server.id)
        if link is None or len(link.queue) >= MOST_RELEASES:
            return
        for each in self.all_to(server):
            each.open.pop(ident, None)
            each.stood.discard(ident)
            if each.retired:
                each.notify_writable()  # it may be done now
        link.queue.append(Release(_line({"verb": "FINISH", "tag": ident, "opts": {}, "rc": cause})))
        link.notify_writable()

    def shut_down(self) -> None:
        """Another process goes on: what the servers have to tell from now on comes on its links.

        Guards against ends of calls that come here after the last caller has gone, and are told to nobody.
        """
        self.over = True
        for link in [*self.links.values(), *self.spares.values(), *self.left]:
            link.retire()
            link.queue.clear()
            link.written.clear()
            link.abort()

    def is_flushed(self) -> bool:
        """Whether all that can be written has been written."""
        every = (*self.links.values(), *self.spares.values(), *self.left)
        return not any((link.queue or link.writing) and link.up_at < math.inf for link in every)

    def all_to(self, server: RosterServer) -> list[RosterLink]:
        """Every link to a server."""
        here = [links[server.id] for links in (self.links, self.spares) if server.id in links]
        return here + [link for link in self.left if link.server is server]

    def _look(self) -> None:
        """Dial a second time where a link keeps silent though something is due on it.

        Guards against a connection that was cut off without a word and stays open: a node's set-ups all went
        there and none came back, for the rest of the day (rate+silent+leave, snapshot 39c36c99). Nothing is
        given up for the suspicion alone: a server may merely be slow.
        """
        now = self.core.clock()
        self.core.timers.schedule(now + LOOK_S, self._look)
        spare: list[RosterLink] = []
        for ident, link in self.links.items():
            if ident in self.spares or link.retired or not link.suspect(now):
                continue
            # Each new link is told a state first: where nothing came at all, the server is not merely slow.
            beside = sum(each.server is link.server and each.left_at > now - LEFT_S for each in self.left)
            unheard = link.heard_at < link.up_at and beside < MOST_LEFT
            if now < link.doubt_from and not unheard:
                continue
            link.doubt_s = min(LONGEST_DOUBT_S, 2 * link.doubt_s)
            link.doubt_from = now + link.doubt_s
            self.core.counters.add("links_doubted")
            silent_s = round(now - max(link.heard_at, link.up_at), 2)
            self.core.log("doubted", server=link.server.record.instance, silent_s=silent_s)
            spare.append(link)
        for link in spare:
            self._second(link)

    def _second(self, link: RosterLink) -> None:
        """Dial once more to the server of the link in use."""
        ident = link.server.id
        if self.links.get(ident) is link and ident not in self.spares and not link.retired:
            self._make_room(link.server)
            spare = self.spares[ident] = RosterLink(self, link.server)
            spare.doubt_s, spare.doubt_from = link.doubt_s, link.doubt_from
            self.dial(spare)

    def is_spare(self, link: RosterLink) -> bool:
        """Whether it has not come up yet beside the one in use."""
        return self.spares.get(link.server.id) is link

    def promote(self, link: RosterLink) -> None:
        """A spare has come up: it is used from now on. The other is kept for what may still come on it."""
        ident = link.server.id
        del self.spares[ident]
        old = self.links.get(ident)
        self.links[ident] = link
        if old is None:
            return
        self.left.append(old)
        old.retired, old.left_at = True, self.core.clock()
        self.core.timers.schedule(old.left_at + LEFT_S + 0.01, partial(self._look_at_left, old))
        link.queue.extend(old.queue)
        link.queue.extend(old.unsure())
        old.queue.clear()
        old.notify_writable()

    def _look_at_left(self, old: RosterLink) -> None:
        """A link passed over ends once nothing is due on it; it is looked at until then."""
        if old in self.left:
            old.notify_writable()
            self.core.timers.schedule(self.core.clock() + LOOK_AT_LEFT_S, partial(self._look_at_left, old))

    def _make_room(self, server: RosterServer) -> None:
        """Before one more is dialled: of those passed over the oldest ends that has nothing open, since a
        server tells its state on four connections. What it may have sent there comes on the one that is
        opened next.
        """
        kept = [each for each in self.left if each.server is server]
        if len(kept) >= MOST_LEFT and (old := next((each for each in kept if not each.open), None)):
            old.left_at = -math.inf
            old.notify_writable()

    def heard(self, link: RosterLink, state: bool) -> None:
        """Something came. Where another link to the server should have heard of it too, that one is dead."""
        now = self.core.clock()
        link.heard_at = now
        if state:
            link.states += 1
        if not self.left or link in self.left or (state and link.states < 2):
            return  # the first state comes on each new connection by itself
        for old in self.left:
            silent = max(old.heard_at, link.up_at, old.up_at) < now - APART_S
            if old.server is link.server and silent and not old.ending:
                old.ending = True
                self.core.timers.schedule(now + APART_S, partial(self._end_dead, old, now))

    def _end_dead(self, old: RosterLink, since: float) -> None:
        """End a link that was passed over and has kept silent: it had been doubted and was right to be. Its
        successor is doubted without waiting, and another is dialled for what was released on the dead one.
        """
        old.ending = False
        if old in self.left and old.heard_at < since - APART_S:
            self.core.counters.add("links_dead")
            self.core.log("link_dead", server=old.server.record.instance, open=len(old.open))
            old.stood.clear()  # their ends come again on the one that is opened below
            old.abort()
            in_use = self.links.get(old.server.id)
            if in_use is not None:  # the doubt was right: the next one need not wait
                in_use.doubt_s, in_use.doubt_from = DOUBT_S, -math.inf
            self.core.timers.schedule(self.core.clock() + AGAIN_S, partial(self._again, old.server))

    def _again(self, server: RosterServer) -> None:
        """A dead link has ended. What the server released on it before it knew comes on the next one opened.

        Guards against calls whose end is told to nobody: they ended after the second link had come up and
        before the first was closed (rate+silent+leave, snapshot 807910f0).
        """
        link = self.links.get(server.id)
        if server.id in self.spares:  # dialled before: it may have been opened before the end was sent
            self.core.timers.schedule(self.core.clock() + AGAIN_S, partial(self._again, server))
        elif link is not None and link.up_at < math.inf:
            self._second(link)

    def drop(self, link: RosterLink) -> None:
        """A link has ended for good."""
        if link in self.left:
            self.left.remove(link)
        if self.is_spare(link):
            del self.spares[link.server.id]
        if self.links.get(link.server.id) is link:
            del self.links[link.server.id]
            if link.server.record.availability is not Availability.GONE:
                self.record_changed(link.server)  # it was listed again in the meantime
            else:
                self.core.servers.forget(link.server)


@dataclass(slots=True)
class Release:
    """A release, or the giving up of a set-up, as it is written."""

    line: bytes
    times: int = 0  # written


class RosterLink(ConnectionProtocol):
    """One roster server and a connection to it, if there is one."""

    def __init__(self, side: RosterSide, server: RosterServer) -> None:
        super().__init__()
        self.reads_until_eof = True
        self.side, self.server = side, server
        self.retired = False
        self.told_unreached = False
        self.spoilt = False
        self.up_at = math.inf  # when the connection came up; none: never
        self.heard_at = -math.inf  # when something last came
        self.asked_at = -math.inf  # when the first set-up was written after that, be it given up by now
        self.left_at = -math.inf  # when it was passed over for another
        self.ending = False  # it is about to be found dead, unless something comes
        self.states = 0  # reports that came unasked, on this connection
        self.stood: set[str] = set()  # calls that were set up on it: their ends are sent here
        self.doubt_s, self.doubt_from = DOUBT_S, -math.inf
        self.queue: deque[Attempt | Release | bytes] = deque()
        self.written: deque[tuple[float, Release]] = deque(maxlen=512)  # releases, the last ones
        self.open: dict[str, Attempt] = {}  # written here, not yet answered
        self.looked_at = math.inf  # when callers were last heard for what is pulled; none: for no set-up
        self.pulled: list[tuple[Attempt | Release | bytes, int]] = []  # handed out last, with their lengths
        self.data = bytearray()

    def can_close(self) -> bool:
        """Whether the connection may be closed. Never while a set-up is open on it, nor, once it was passed
        over, while a call stands that was set up on it.

        Guards against ends of calls that are told to nobody: a server sends them on the connection of the
        set-up, and again on the next that is opened. A call ended 0.1 s after its link, passed over and read
        for 10 s more, had been closed; the link in use was not the next that was opened, so it never came
        (calm+mass, seed 1, snapshot 9dfed0e6).
        """
        if not self.retired or self.open or self.queue or self.side.core.clock() - self.left_at <= LEFT_S:
            return False
        if self.left_at > -math.inf:
            self.stood = {ident for ident in self.stood if self.side.core.calls.is_established(ident)}
        return not self.stood or self.left_at == -math.inf

    @property
    def urgent(self) -> bool:
        """Whether something waits for a connection."""
        return bool(self.queue)

    def suspect(self, now: float) -> bool:
        """Whether it keeps silent though an answer is due, or states are told and calls stand there."""
        if self.up_at > now:
            return False
        last = max(self.heard_at, self.up_at)
        if self.asked_at > last and now - self.asked_at > SILENT_S:
            return True
        for attempt in self.open.values():  # the first is the one written first
            return now - max(last, attempt.written_at) > SILENT_S
        gap = (last - self.up_at) / self.states if self.states > 2 else math.inf
        return now - last > max(QUIET_S, QUIET_GAPS * gap) and self.side.core.calls.has_established_at(
            self.server
        )

    def unsure(self) -> list[Release]:
        """Releases that were written, perhaps to nobody."""
        now = self.side.core.clock()
        since = max(self.heard_at - APART_S, now - KEPT_S)
        found = [release for at, release in self.written if at >= since and release.times < MOST_TIMES]
        self.written.clear()
        return found

    def retire(self) -> None:
        """The server is gone; what has not been written to it is not sent."""
        self.retired, self.left_at = True, -math.inf
        waiting = [item for item in self.queue if isinstance(item, Attempt)]
        self.queue = deque(item for item in self.queue if not isinstance(item, Attempt))
        for attempt in waiting:
            self.side.core.attempts.transmission_failed(attempt, reached=True)
        self.side.core.timers.schedule(self.side.core.clock() + RETIRED_S, self._overdue)
        self.notify_writable()

    def _overdue(self) -> None:
        """Guards against a machine that vanished: what is to be written to it never leaves."""
        if self.retired and self.server.record.availability is Availability.GONE:
            self.queue.clear()
            self.abort()
            self.notify_writable()

    def connected(self) -> None:
        """A connection has come up."""
        self.data.clear()
        self.spoilt, self.up_at = False, self.side.core.clock()
        self.heard_at, self.states = -math.inf, 0
        self.stood.clear()
        self.server.connected, self.server.dial_attempted, self.told_unreached = True, True, False
        if self.side.is_spare(self):
            self.side.promote(self)
        self.side.core.counters.add("roster_connections")
        self.side.core.log("reached", server=self.server.record.instance)

    def failed(self, refused: bool) -> None:
        """A connection did not come up. A refused one proves that the process is gone, with its calls."""
        core = self.side.core
        core.counters.add("roster_connections_failed")
        self.server.dial_attempted = True
        if self.side.is_spare(self) or self in self.side.left:
            self.retired = True  # the link in use goes on; that it is refused one more proves nothing
            return
        if not self.told_unreached:  # once: it is tried again every second
            core.log("unreached", server=self.server.record.instance, refused=refused)
            self.told_unreached = True
        waiting = [item for item in self.queue if isinstance(item, Attempt)]
        kept = () if refused or self.retired else (i for i in self.queue if not isinstance(i, Attempt))
        self.queue = deque(kept)
        for attempt in waiting:
            core.attempts.transmission_failed(attempt, reached=False)
        others = (link for link in self.side.left if link.server is self.server)
        if refused and not any(link.up_at < math.inf for link in others):
            core.responses.terminate_established_at(self.server, before=core.clock() + 1)

    def connection_lost(self) -> None:
        """The connection broke: the set-ups open on it are reset.

        Another is opened where it was passed over and calls stand that were set up on it. Guards against an
        end that was under way when it broke: it comes again on the next connection that is opened, and the
        one in use is open already.
        """
        self.up_at = math.inf
        in_use = self.side.links.get(self.server.id)
        self.server.connected = in_use is not None and in_use.up_at < math.inf
        unsure = self.unsure()
        if in_use is not None and self.server.record.availability is not Availability.GONE:
            in_use.queue.extendleft(reversed(unsure))
            in_use.notify_writable()
        if (
            self in self.side.left
            and not self.can_close()
            and any(map(self.side.core.calls.is_established, self.stood))
        ):
            self.side.core.timers.schedule(
                self.side.core.clock() + AGAIN_S, partial(self.side._again, self.server)
            )
        broken, self.open = list(self.open.values()), {}
        self.side.core.log("link_lost", server=self.server.record.instance, open=len(broken))
        for attempt in broken:
            self.side.core.attempts.connection_lost(attempt)

    def data_to_send(self) -> bytes:
        """What is to be written now. Where this process stood still meanwhile, it looks again who left."""
        clock, data = self.side.core.clock, self._pull()
        for _ in range(MOST_LOOKS):
            if clock() - self.looked_at < STALE_S:
                break
            self.reclaim_unsent(data)
            data = self._pull()
        return data

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """A link is slow: set-ups and releases wait here again, but for the line that was begun.

        Guards against a set-up that is sent when its link has room, though its caller left, or its time was
        up, while it lay between the queue and the socket.
        """
        size = len(rest)
        while self.pulled and self.pulled[-1][1] <= size:
            item, length = self.pulled.pop()
            size -= length
            if isinstance(item, Attempt):
                self.open.pop(item.call.request.ident, None)
                self.side.core.attempts.retract_transmission(item)
            elif isinstance(item, Release):
                item.times -= 1
                self.written.pop()
            self.queue.appendleft(item)
        return rest[:size]

    def _pull(self) -> bytes:
        """What callers have sent until now is read before the first set-up: some of them may have left while
        this process stood still, or while the set-up waited here.
        """
        core, out, size = self.side.core, [], 0
        self.pulled.clear()
        self.looked_at = math.inf
        while self.queue and size < PULLED and not self.spoilt:
            item = self.queue.popleft()
            if isinstance(item, Attempt):
                if self.looked_at == math.inf:
                    core.read_callers()
                    self.looked_at = core.clock()
                if not core.attempts.claim_transmission(item):
                    continue
                offer = item.call.request
                if self.asked_at <= max(self.heard_at, self.up_at):
                    self.asked_at = core.clock()
                self.open[offer.ident] = item
                line = start_line(
                    offer.ident, offer.call_class.name, offer.called_uri, offer.description, item.remaining_ms
                )
            elif isinstance(item, Release):
                item.times += 1
                self.written.append((core.clock(), item))
                line = item.line
            else:
                line = item
            out.append(line)
            self.pulled.append((item, len(line)))
            size += len(line)
        return b"".join(out)

    def receive_data(self, data: bytes | memoryview) -> None:
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
        instance = self.server.record.instance
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
        self.side.heard(self, state=verb == "LOAD")
        if verb == "STARTED":
            core.responses.load_reported(self.server, report)
            self.open.pop(ident, None)
            core.responses.call_established(self.server, ident, blob)
            if core.calls.is_established(ident):
                self.stood.add(ident)
        elif verb == "PENDING":
            if isinstance(ident, str):
                core.responses.setup_progressing(self.server, ident)
        elif verb == "FINISH":
            self.open.pop(ident, None)
            core.responses.call_released(self.server, ident, cause, note, report)
            for each in self.side.all_to(self.server):
                each.stood.discard(ident)
        elif verb == "LOAD":
            core.responses.load_reported(self.server, report)
        elif verb == "ECHO":
            self.queue.append(_line({"verb": "ECHOED", "tag": ident, "opts": {}, "rc": 1}))
            self.notify_writable()
