"""The only file that does network I/O: owns sockets, the buffers they are read into (one size, from a pool)
and the tasks that carry bytes to and from the state machines. It must never look into the bytes, and never
let one slow peer hold up another: each connection has its own reader and writer, and what was taken from
callers is bounded in number and in the time that a message may take to come whole.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import select
import socket
import struct
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Any, Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.directory import Directory
from stairhatch.node.io.accepted_connection import Bounds, Taken
from stairhatch.node.io.buffer_pool import BUFFER_BYTES, Pool
from stairhatch.node.io.descriptor_budget import Descriptors
from stairhatch.node.io.readiness_poller import Ears
from stairhatch.node.protocol import ConnectionProtocol, do_nothing
from stairhatch.node.roster import RosterLink

CONNECT_S = 0.5  # to a coordinator or a caller; to a roster server as the settings say
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 0.05, 1.0
LONGEST_POLL_BACKOFF_S = 0.5  # what the coordinator would have told counts as told 2 s after a break
REST_S = 1.0  # how often it is looked whether to ask the coordinator, where another does that for all
FLUSH_S = 1.0
WHOLE_S = 5.0  # every further message, from its first byte; some callers' bytes come in pieces
SWEEP_S = 0.25  # how often these two are looked at
DRAIN_SWEEP_S = 0.02  # how often a drain looks for idle connections
QUIET_S = 0.02  # so long after its last bytes one is idle: the ACK to its answer has come
FRESH_S = 0.5  # a new connection is given so long to ask, in a drain too
LOOK_S = 0.05  # how often the loop's delay is looked at
SO_TIMESTAMPNS, NOTES_BYTES, STAMP = 35, 64, struct.Struct("@qq")  # Linux; elsewhere nothing is noted
MOST_WAIT_S = 5.0  # a clock that was set makes no wait longer
OUT_AT_ONCE = 8  # connections put out whose descriptors are not free yet
OUT_OF_THEM = (errno.EMFILE, errno.ENFILE)
ROOM_S = 0.01  # so long after one was put out its descriptor is free
SAY_S = 1.0  # how often it is said at most that descriptors have run out
LINGER_S, LINGER_BYTES = 0.2, 256 * 1024  # what still comes is read after the last answer, so that it arrives
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # epoll has the same; the peer closed, or reset


Place = tuple[str, int]
Accept = Callable[[Place], ConnectionProtocol]


class Datagrams(Protocol):
    """A port of datagrams, as a state machine."""

    output: deque[tuple[bytes, Place]]
    wake: Callable[[], None]

    def receive(self, data: bytes, peer: Place) -> None: ...


def family(host: str) -> int:
    """Of an address's socket."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def connected(sock: socket.socket) -> bool:
    """Whether a connection that was dialled has come up."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Listening:
    """A listening socket and the connections taken on it.

    It is watched rather than awaited: an accept that is cancelled may have taken a connection, which would be
    closed under its caller's request.
    """

    def __init__(self, network: Network, sock: socket.socket, accept: Accept, bounds: Bounds) -> None:
        self.network, self.sock, self.accept, self.bounds = network, sock, accept, bounds
        self.taken: OrderedDict[Taken, None] = OrderedDict()  # the longest idle comes first
        self.leaving: set[Taken] = set()  # put out, their descriptors not free yet
        self.watched = self.closed = False
        self.paused_until = 0.0

    def open(self) -> None:
        """Begin to take connections."""
        if not self.closed and not self.watched:
            self.watched = True
            self.network.loop.add_reader(self.sock, self._ready)
            self.network.ears.add(self.sock, self._heard)
            self.network.spawn(self._sweep())

    def close(self) -> None:
        """Take no more. Only this process's hold on the socket ends; what was taken goes on."""
        if self.watched:
            self.network.loop.remove_reader(self.sock)
            self.network.ears.drop(self.sock)
        self.closed = True
        self.sock.close()

    def _heard(self, events: int) -> int:
        """Before set-ups are written: who waits to be taken may bring a CANCEL. None is put out for that."""
        if len(self.taken) < self.bounds.most and self.network.loop.time() >= self.paused_until:
            self._ready()
        return 0

    def _pause(self, seconds: float) -> None:
        loop = self.network.loop
        self.paused_until = loop.time() + seconds
        loop.remove_reader(self.sock)
        loop.call_later(seconds, lambda: None if self.closed else loop.add_reader(self.sock, self._ready))

    def _ready(self) -> None:
        network = self.network
        for _ in range(64):  # then others have their turn
            if len(self.taken) >= self.bounds.most or network.callers_fill(self):
                if len(self.leaving) >= OUT_AT_ONCE:
                    self._pause(ROOM_S)
                    return
                if not self._put_out():
                    self._pause(0.02)
                    return
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                network.ran_out("accept", error)
                network.put_out_one(self)
                self._pause(0.05)
                return
            network.core.counters.add("connections_taken")
            one = Taken(self.accept(peer), sock, network.loop.time())
            self.taken[one] = None
            network.spawn(self._serve(one))

    def unseen(self) -> bool:
        """Whether a connection waits to be taken, or bytes lie unread on one that was."""
        waits = self.watched and not self.closed and bool(select.select([self.sock], [], [], 0)[0])
        return waits or any(one.unseen() for one in self.taken if not one.machine.closing)

    def _serve(self, one: Taken) -> Coroutine[Any, Any, None]:
        """It is read from here on, not only once its task has begun."""
        self.network.attend(one, self.taken)
        return self._carry(one)

    async def _carry(self, one: Taken) -> None:
        try:
            await self.network._run(one.sock, one.machine, one)
        finally:
            self.taken.pop(one, None)
            self.leaving.discard(one)

    def _put_out(self, many: int = 1) -> int:
        """Make room: the longest idle go that are owed no answer, silent ones first. Returns how many went.

        Guards against callers that connect and say nothing, or ask once and hold on, until no other can
        connect. What was heard keeps its connection while a silent one can go, and a message that comes in
        pieces is cut off only where nobody is idle. One whose bytes lie unread is not idle but has not been
        looked at: where the loop comes to a newcomer later than `young_s`, it would be taken for silent
        and put out with its set-up.
        """
        now = self.network.loop.time()
        old = now - self.bounds.young_s
        for one in self.taken:
            one.look(now)
        idle_ones = [one for one in self.taken if one.idles(old, now) and not one.machine.owes_response()]
        idle_ones.sort(
            key=lambda one: (one.begun > 0, one.machine.request_received)
        )  # stable: the first of equals
        out = 0
        for one in idle_ones:
            if out == many:
                break
            if one.unseen():
                continue
            del self.taken[one]
            self.leaving.add(one)
            self.network.core.counters.add("connections_evicted")
            if word := one.machine.eviction_response():
                with contextlib.suppress(OSError):
                    one.sock.send(word)
            one.machine.closing = True
            one.machine.abort()
            out += 1
        return out

    async def _sweep(self) -> None:
        """End the connections whose first request, or the rest of a message, has not come in time."""
        while not self.closed or self.taken:
            await asyncio.sleep(SWEEP_S)
            self.end_late()

    def end_late(self) -> None:
        now = self.network.loop.time()
        for one in list(self.taken):
            machine = one.machine
            one.look(now)
            late_first = not machine.request_received and now - one.since > self.bounds.first_s
            if one.unseen():
                continue  # it has come in time; the loop is late
            if now - one.last > self.bounds.idle_s and not machine.closing and machine.is_idle():
                self.network.core.counters.add("connections_idle_ended")
                machine.close_when_idle()
                continue
            if machine.closing or not (late_first or (one.begun and now - one.begun > WHOLE_S)):
                continue
            self.network.core.counters.add("connections_expired")
            machine.read_timed_out()

    def end_idle(self) -> None:
        """A drain: end what is idle, unless something has come on it that has not been read."""
        now = self.network.loop.time()
        for one in reversed(list(self.taken)):  # the busiest first: what stays for releases is used least
            machine = one.machine
            quiet = now - one.last >= QUIET_S if machine.request_received else now - one.since >= FRESH_S
            if machine.closing or not quiet or not machine.is_idle() or one.unseen():
                continue
            self.network.core.counters.add("connections_drained")
            with contextlib.suppress(OSError):
                one.sock.shutdown(socket.SHUT_WR)  # at once, so that nothing can come in between
            machine.close_when_idle()


class Network:
    """The sockets of one softswitch."""

    def __init__(self, core: CallManager) -> None:
        self.core = core
        self.loop = asyncio.get_running_loop()
        self.pool = Pool()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners: list[Listening] = []  # of callers
        self.descriptors = Descriptors()
        self._ran_out: dict[str, float] = {}  # when it was last said, by where
        self._to_shrink = False
        self._dialled: set[RosterLink] = set()  # with a descriptor
        self.emptying: asyncio.Task[None] | None = None
        core.on_drain = self.empty
        self.looked: Callable[[float], None] | None = None  # who watches the load
        self.ears = Ears(self._fault)
        self.inbox = memoryview(bytearray(BUFFER_BYTES))  # of callers: what is read is used at once
        core.hear_callers = self.ears.hear
        self._timer: asyncio.TimerHandle | None = None
        core.wake = self._arm
        self._arm()

    # ---- the core's timers ----

    def _arm(self) -> None:
        due = self.core.next_due()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self.loop.call_later(max(0.0, due - self.core.clock()), self._tick)

    def _tick(self) -> None:
        self._timer = None
        try:
            self.core.tick()
        finally:
            self._arm()

    # ---- connections ----

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task and keep hold of it; a fault in it is logged, not lost."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.core.counters.add("task_faults")
            self.core.log("fault", why=f"{type(error).__name__}: {error}")

    def listen(
        self, at: tuple[str, int] | socket.socket, accept: Accept, bounds: Bounds, now: bool = True
    ) -> Listening:
        """Take connections at an address, or on a socket that somebody else has bound; later if not `now`."""
        if isinstance(at, socket.socket):
            sock = at
        else:
            sock = socket.socket(family(at[0]), socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if sock.family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind(at)
            sock.listen(512)
        sock.setblocking(False)
        listening = Listening(self, sock, accept, bounds)
        if now:
            listening.open()
        return listening

    def callers_fill(self, listening: Listening) -> bool:
        """Whether callers hold all that is left to them, so that for a newcomer here another has to go."""
        if listening not in self.listeners:
            return False
        return sum(len(each.taken) for each in self.listeners) >= self.descriptors.for_callers()

    def put_out_one(self, first: Listening | None = None) -> bool:
        """Free a descriptor: a caller that is idle goes, at a listener or at any."""
        every = [*([first] if first is not None else []), *self.listeners]
        return any(each._put_out() for each in every)

    def ran_out(self, where: str, error: OSError) -> None:
        """A socket could not be had: said once a second, since what wants one comes again and again."""
        now = self.loop.time()
        if now - self._ran_out.get(where, -math.inf) < SAY_S:
            return
        self._ran_out[where] = now
        callers = sum(len(each.taken) for each in self.listeners)
        most, kept = self.descriptors.most, self.descriptors.dialled
        self.core.log(where, why=str(error), callers=callers, dialled=kept, limit=most)

    @contextlib.contextmanager
    def _kept(self) -> Iterator[None]:
        """While a connection is kept up its descriptor is not left to callers."""
        self.descriptors.dialled += 1
        if not self._to_shrink:  # once for all that are dialled in one turn
            self._to_shrink = True
            self.loop.call_soon(self._shrink)
        try:
            yield
        finally:
            self.descriptors.dialled -= 1

    def _shrink(self) -> None:
        """More is dialled than before: callers who hold what is wanted for it go, the longest idle first."""
        self._to_shrink = False
        for each in self.listeners:
            over = sum(len(other.taken) for other in self.listeners) - self.descriptors.for_callers()
            if over > 0:
                each._put_out(over)

    def unseen(self) -> bool:
        """Whether a caller has connected, or has sent something, that nobody has looked at yet."""
        return any(each.unseen() for each in self.listeners)

    def emptied(self) -> bool:
        """Whether no caller is connected any more."""
        return not any(listening.taken for listening in self.listeners)

    def empty(self) -> None:
        """A drain has begun: end what is idle until it is undone."""
        if self.emptying is None or self.emptying.done():
            self.emptying = self.spawn(self._empty())

    async def _empty(self) -> None:
        while self.core.drain_since is not None:
            for listening in self.listeners:
                listening.end_idle()
            await asyncio.sleep(DRAIN_SWEEP_S)

    def attend(self, one: Taken, among: OrderedDict[Taken, None] | None = None) -> None:
        """Read a caller's connection from now on: in the loop's turns, and before set-ups are written."""
        one.sock.setblocking(False)
        one.over = self.loop.create_future()
        self.loop.add_reader(one.sock, self._hear, one, among)
        self.ears.add(one.sock, partial(self._hear, one, among))

    def _hear(self, one: Taken, among: OrderedDict[Taken, None] | None, events: int = 0) -> int:
        """Give a machine what has come from its caller, once; returns how many bytes that were. `events` tell
        the end of a stream also where it lies behind more bytes than are read now.

        It is read and used in one step. Guards against bytes that the loop has read and that come to their
        machine a turn later, behind a timer, a set-up written, or a caller put out as idle.
        """
        machine = one.machine
        try:
            if events & GONE and not one.gone:
                one.gone = True
                machine.peer_closing()
            size = one.sock.recv_into(self.inbox)
            if size:
                machine.receive_data(self.inbox[:size])
                one.last = self.loop.time()
                one.begun = (one.begun or one.last) if machine.has_partial_message() else 0.0
                if among is not None and one in among:
                    among.move_to_end(one)
                if machine.can_close():
                    self._heard_out(one, True)
            else:
                machine.eof_received()
                self._heard_out(one, False)
            return size
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - bytes that upset a machine must end their connection only
            self._fault(error, machine)
        machine.closing = True
        self._heard_out(one, False)
        self._lost(one)
        return 0

    def _heard_out(self, one: Taken, open_still: bool) -> None:
        """No more is read from a caller, at least not for its machine."""
        if one.over is not None and not one.over.done():
            one.over.set_result(open_still)
            self.loop.remove_reader(one.sock)
            self.ears.drop(one.sock)

    def _fault(self, error: Exception, owner: object) -> None:
        self.core.counters.add("connection_faults")
        self.core.log("fault", why=f"{type(error).__name__}: {error}", machine=type(owner).__name__)

    @staticmethod
    def _lost(one: Taken) -> None:
        """Once: what is open on it is given up where the reset is read, and not when its task comes to it."""
        if not one.lost:
            one.lost = True
            one.machine.connection_lost()

    async def _read(self, sock: socket.socket, machine: ConnectionProtocol) -> bool:
        """Give a machine what comes until its peer ends (False) or it has had its last word (True)."""
        buffer = self.pool.take()
        try:
            while size := await self.loop.sock_recv_into(sock, buffer):
                machine.receive_data(memoryview(buffer)[:size])
                if machine.can_close():
                    return True
        finally:
            self.pool.give(buffer)
        machine.eof_received()
        return False

    async def _run(self, sock: socket.socket, machine: ConnectionProtocol, one: Taken | None = None) -> None:
        """Carry bytes both ways until either side ends; from a caller that `attend` reads, only to it."""
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wake = asyncio.Event()

        def abort() -> None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

        machine.notify_writable, machine.abort = wake.set, abort
        wake.set()
        writer = self.loop.create_task(self._write(sock, machine, wake, abort))
        try:
            if one is None or one.over is None:
                open_still = await self._read(sock, machine)
            else:
                open_still = await one.over
            if (machine.closing or machine.can_close()) and not (one and one.lost):  # its last words
                await asyncio.wait([writer], timeout=FLUSH_S)
            if open_still:
                await self._linger(sock, machine)
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - bytes that upset a machine must end their connection only
            self._fault(error, machine)
        finally:
            machine.notify_writable, machine.abort = do_nothing, do_nothing
            writer.cancel()
            try:
                await asyncio.wait([writer])  # awaited itself, it hid that this task was cancelled meanwhile:
            finally:  # a link then dialled on for ever, and the program never ended
                if one is not None:
                    self._heard_out(one, False)
                sock.close()
                if one is None:
                    machine.connection_lost()
                else:
                    self._lost(one)

    async def _linger(self, sock: socket.socket, machine: ConnectionProtocol) -> None:
        """Read on for a moment: closed with bytes unread, the connection would be reset under our answer.
        Only a machine that wants its peer's last words is given them.
        """

        async def discard() -> None:
            left = LINGER_BYTES
            while left > 0 and (size := await self.loop.sock_recv_into(sock, buffer)):
                left -= size
                if machine.reads_until_eof:
                    machine.receive_data(memoryview(buffer)[:size])

        buffer = self.pool.take()
        try:
            await asyncio.wait_for(discard(), LINGER_S)
        except TimeoutError:
            pass
        finally:
            self.pool.give(buffer)

    async def _write(
        self, sock: socket.socket, machine: ConnectionProtocol, wake: asyncio.Event, abort: Callable[[], None]
    ) -> None:
        """Write what the machine has, as fast as its peer takes it."""
        machine.writing = False  # a link's last connection may have broken in the middle
        try:
            while True:
                await wake.wait()
                wake.clear()
                while data := machine.data_to_send():
                    machine.writing = True
                    await self._send(sock, machine, data)
                    machine.writing = False
                if machine.can_close():
                    sock.shutdown(socket.SHUT_WR)
                    self.loop.call_later(LINGER_S, abort)
                    return
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - a machine's fault ends its connection only
            self._fault(error, machine)
        abort()

    async def _socket(self, address: Place) -> socket.socket:
        """A socket to dial with. Where descriptors have run out, a caller who holds on to more than the
        callers' third goes for it.
        """
        try:
            return socket.socket(family(address[0]), socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in OUT_OF_THEM:
                raise
            callers = sum(len(each.taken) for each in self.listeners)
            if callers <= self.descriptors.least_for_callers() or not self.put_out_one():
                raise
        await asyncio.sleep(ROOM_S)
        return socket.socket(family(address[0]), socket.SOCK_STREAM)

    async def _send(self, sock: socket.socket, machine: ConnectionProtocol, data: bytes) -> None:
        """Send what was pulled in the same step; of what the peer does not take only what has to follow."""
        try:
            size = sock.send(data)
        except (BlockingIOError, InterruptedError):
            size = 0
        if size == len(data):
            return
        if rest := machine.reclaim_unsent(data[size:]):
            await self.loop.sock_sendall(sock, rest)
            return
        room = self.loop.create_future()
        self.loop.add_writer(sock, lambda: None if room.done() else room.set_result(None))
        try:
            await room
        finally:
            self.loop.remove_writer(sock)

    async def _connect(self, address: Place, within_s: float = CONNECT_S) -> socket.socket:
        """A connection, or OSError or TimeoutError.

        Guards against a server that is held for unreached, and so for cold, since this process stood still
        while its connection came up: the loop carries out timers that are due before it looks at a socket.
        """
        sock = await self._socket(address)
        sock.setblocking(False)
        try:
            await asyncio.wait_for(self.loop.sock_connect(sock, address), within_s)
        except TimeoutError:
            if not connected(sock):
                sock.close()
                raise
        except BaseException:
            sock.close()
            raise
        return sock

    def dial_caller(self, connection: ConnectionProtocol, peer: Place) -> None:
        """Open a connection to a caller, for what it has to be told."""
        self.spawn(self._dial_caller(connection, peer))

    async def _dial_caller(self, connection: ConnectionProtocol, peer: Place) -> None:
        try:
            sock = await self._connect(peer)
        except (OSError, TimeoutError):
            self.core.counters.add("callers_unreached")
            connection.connection_lost()
            return
        one = Taken(connection, sock, self.loop.time())
        self.attend(one)
        await self._run(sock, connection, one)

    # ---- datagrams ----

    def datagrams(self, address: Place, port: Datagrams, callers: bool = False) -> socket.socket:
        """Take and send datagrams. uvloop 0.23 has no sock_recvfrom_into or sock_sendto (both raise
        NotImplementedError), so the socket is watched and read here, into one buffer of the pool.
        """
        sock = socket.socket(family(address[0]), socket.SOCK_DGRAM)
        sock.setblocking(False)
        if sock.family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(address)
        buffer = self.pool.take()
        with contextlib.suppress(OSError):  # the kernel notes when each came: how long it has waited is known
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.loop.add_reader(sock, self._read_datagrams, sock, buffer, port)
        if callers:
            self.ears.add(sock, partial(self._read_datagrams, sock, buffer, port))

        def send() -> None:
            while port.output:
                data, peer = port.output[0]
                try:
                    sock.sendto(data, peer)
                except BlockingIOError:
                    self.loop.add_writer(sock, flush)
                    return
                except OSError:
                    self.core.counters.add("datagrams_unsent")
                port.output.popleft()

        def flush() -> None:
            self.loop.remove_writer(sock)
            send()

        port.wake = send
        return sock

    def _read_datagrams(
        self, sock: socket.socket, buffer: bytearray, port: Datagrams, events: int = 0
    ) -> int:
        total = 0
        for turn in range(64):  # then others have their turn
            try:
                if turn or self.looked is None:
                    size, peer = sock.recvfrom_into(buffer)
                else:  # the first has waited longest
                    size, notes, _, peer = sock.recvmsg_into([buffer], NOTES_BYTES)
                    self._waited(notes)
            except BlockingIOError:
                break
            except OSError:
                continue  # an earlier datagram came back as unreachable
            total += size
            port.receive(bytes(memoryview(buffer)[:size]), (peer[0], peer[1]))
        return total

    def _waited(self, notes: list[tuple[int, int, bytes]]) -> None:
        """How long a datagram lay in the socket, told to whoever watches the load."""
        for level, kind, data in notes:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= 16 and self.looked:
                seconds, nanos = STAMP.unpack_from(data)
                self.looked(min(MOST_WAIT_S, max(0.0, time.time() - seconds - nanos * 1e-9)))

    def watch(self, looked: Callable[[float], None]) -> None:
        """Tell every 50 ms how much later than asked the loop came to it, and how long datagrams waited."""
        self.looked = looked
        self.spawn(self._watch(looked))

    async def _watch(self, looked: Callable[[float], None]) -> None:
        while True:
            due = self.loop.time() + LOOK_S
            await asyncio.sleep(LOOK_S)
            looked(max(0.0, self.loop.time() - due))

    # ---- what the softswitch keeps connections to ----

    def dial(self, link: RosterLink) -> None:
        """Keep a connection to a roster server until its link is retired."""
        self.spawn(self._keep(link))

    async def _keep(self, link: RosterLink) -> None:
        with self._kept():
            await self._keep_up(link)
        link.side.drop(link)

    async def _keep_up(self, link: RosterLink) -> None:
        backoff = FIRST_BACKOFF_S
        while not link.can_close():
            if link.retired and not link.urgent:
                break
            wanted = asyncio.Event()
            link.notify_writable = wanted.set
            try:
                if len(self._dialled) >= self.descriptors.for_links():
                    raise OSError(errno.EMFILE, "no descriptor is left to a link")
                self._dialled.add(link)
                within_s = self.core.settings.connect_timeout_s
                sock = await self._connect(link.server.record.address, within_s)
            except (OSError, TimeoutError) as error:
                self._dialled.discard(link)
                if isinstance(error, OSError) and error.errno in OUT_OF_THEM:
                    self.ran_out("descriptors", error)
                link.failed(refused=isinstance(error, ConnectionRefusedError))
                if link.retired:
                    break
                if not link.urgent:
                    wanted.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(wanted.wait(), backoff)
                backoff = min(LONGEST_BACKOFF_S, 2 * backoff)
                continue
            up_at = self.loop.time()
            link.connected()
            try:
                await self._run(sock, link)
            finally:
                self._dialled.discard(link)
            if self.loop.time() - up_at > LONGEST_BACKOFF_S:
                backoff = FIRST_BACKOFF_S
            elif not link.retired:  # it broke as soon as it had come up
                await asyncio.sleep(backoff)
                backoff = min(LONGEST_BACKOFF_S, 2 * backoff)

    async def follow(self, directory: Directory) -> None:
        """Keep the long poll going, wherever the coordinator is by now."""
        with self._kept():
            await self._follow(directory)

    async def _follow(self, directory: Directory) -> None:
        backoff = FIRST_BACKOFF_S
        hurry = asyncio.Event()
        directory.hurry = hurry.set
        while True:
            hurry.clear()
            if directory.rests():  # another asks for all
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(hurry.wait(), REST_S)
                continue
            answers, address = directory.answers, directory.address
            try:
                sock = await self._connect(address)
            except (OSError, TimeoutError):
                self.core.counters.add("directory_unreached")
            else:
                if directory.address != address:  # it has moved in the meantime
                    sock.close()
                    continue
                directory.connected()
                await self._run(sock, directory)
            if hurry.is_set() or directory.answers > answers:
                backoff = FIRST_BACKOFF_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(hurry.wait(), backoff)
            backoff = min(LONGEST_POLL_BACKOFF_S, 2 * backoff)
