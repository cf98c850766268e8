"""The only file that does network I/O: owns sockets, the buffers they are read into (one size, from a pool)
and the tasks that carry bytes to and from the state machines. It must never look into the bytes, and never
let one slow peer hold up another: each connection has its own reader and writer.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from stairhatch.node.core import Core, Machine, idle
from stairhatch.node.directory import Directory
from stairhatch.node.roster import RosterLink
from stairhatch.node.sip_front import SipConnection, SipDatagrams

BUFFER_BYTES = 16 * 1024
CONNECT_S = 0.5
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 0.05, 1.0
SILENT_S = 8.0  # a long poll without a byte for so long is begun again
FLUSH_S = 1.0


Accept = Callable[[tuple[str, int]], Machine]


class Pool:
    """Buffers of one size, used again."""

    def __init__(self, most: int = 64) -> None:
        self.free: list[bytearray] = []
        self.most = most

    def take(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        if len(self.free) < self.most:
            self.free.append(buffer)


class Network:
    """The sockets of one softswitch."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.loop = asyncio.get_running_loop()
        self.pool = Pool()
        self.tasks: set[asyncio.Task[None]] = set()
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

    def listen(self, address: tuple[str, int], accept: Accept, most: int) -> socket.socket:
        """Take connections at an address; at most `most` are open at a time."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(512)
        sock.setblocking(False)
        self.spawn(self._accept(sock, accept, most))
        return sock

    async def _accept(self, listener: socket.socket, accept: Accept, most: int) -> None:
        count = 0

        async def serve(sock: socket.socket, peer: tuple[str, int]) -> None:
            nonlocal count
            count += 1
            try:
                await self._run(sock, accept(peer))
            finally:
                count -= 1

        while True:
            if count >= most:
                await asyncio.sleep(0.02)
                continue
            try:
                sock, peer = await self.loop.sock_accept(listener)
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                self.core.log("accept", why=str(error))
                await asyncio.sleep(0.05)
                continue
            self.core.counters.add("connections_taken")
            self.spawn(serve(sock, peer))

    async def _run(self, sock: socket.socket, machine: Machine) -> None:
        """Carry bytes both ways until either side ends."""
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wake = asyncio.Event()

        def abort() -> None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

        machine.wake, machine.abort = wake.set, abort
        wake.set()
        writer = self.loop.create_task(self._write(sock, machine, wake, abort))
        buffer = self.pool.take()
        try:
            while True:
                size = await self.loop.sock_recv_into(sock, buffer)
                if not size:
                    break
                machine.receive(memoryview(buffer)[:size])
                if machine.done():
                    await asyncio.wait([writer], timeout=FLUSH_S)
                    break
        except OSError:
            pass
        finally:
            machine.wake, machine.abort = idle, idle
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer
            self.pool.give(buffer)
            sock.close()
            machine.lost()

    async def _write(
        self, sock: socket.socket, machine: Machine, wake: asyncio.Event, abort: Callable[[], None]
    ) -> None:
        """Write what the machine has, as fast as its peer takes it."""
        try:
            while True:
                await wake.wait()
                wake.clear()
                while data := machine.pull():
                    await self.loop.sock_sendall(sock, data)
                if machine.done():
                    break
        except OSError:
            pass
        abort()

    async def _connect(self, address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            await asyncio.wait_for(self.loop.sock_connect(sock, address), CONNECT_S)
        except BaseException:
            sock.close()
            raise
        return sock

    def dial_caller(self, connection: SipConnection) -> None:
        """Open a connection to a caller, for what it has to be told."""
        self.spawn(self._dial_caller(connection))

    async def _dial_caller(self, connection: SipConnection) -> None:
        try:
            sock = await self._connect(connection.peer)
        except (OSError, TimeoutError):
            self.core.counters.add("callers_unreached")
            connection.lost()
            return
        await self._run(sock, connection)

    # ---- datagrams ----

    def datagrams(self, address: tuple[str, int], port: SipDatagrams) -> socket.socket:
        """Take and send datagrams. uvloop 0.23 has no sock_recvfrom_into or sock_sendto (both raise
        NotImplementedError), so the socket is watched and read here, into one buffer of the pool.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(address)
        buffer = self.pool.take()
        self.loop.add_reader(sock, self._read_datagrams, sock, buffer, port)

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

    def _read_datagrams(self, sock: socket.socket, buffer: bytearray, port: SipDatagrams) -> None:
        for _ in range(64):  # then others have their turn
            try:
                size, peer = sock.recvfrom_into(buffer)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram came back as unreachable
            port.receive(bytes(memoryview(buffer)[:size]), peer)

    # ---- what the softswitch keeps connections to ----

    def dial(self, link: RosterLink) -> None:
        """Keep a connection to a roster server until its link is retired."""
        self.spawn(self._keep(link))

    async def _keep(self, link: RosterLink) -> None:
        backoff = FIRST_BACKOFF_S
        while not link.done():
            if link.retired and not link.urgent:
                break
            wanted = asyncio.Event()
            link.wake = wanted.set
            try:
                sock = await self._connect(link.server.listing.address)
            except (OSError, TimeoutError) as error:
                link.failed(refused=isinstance(error, ConnectionRefusedError))
                if link.retired:
                    break
                if not link.urgent:
                    wanted.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(wanted.wait(), backoff)
                backoff = min(LONGEST_BACKOFF_S, 2 * backoff)
                continue
            backoff = FIRST_BACKOFF_S
            link.connected()
            await self._run(sock, link)
        link.side.drop(link)

    async def follow(self, directory: Directory, address: tuple[str, int]) -> None:
        """Keep the long poll going."""
        backoff = FIRST_BACKOFF_S
        while True:
            try:
                sock = await self._connect(address)
            except (OSError, TimeoutError):
                self.core.counters.add("directory_unreached")
            else:
                answers = self.core.counters.counts.get("directory_answers", 0)
                directory.connected()
                running = self.loop.create_task(self._run(sock, directory))
                seen = -1
                while not running.done():
                    await asyncio.wait([running], timeout=SILENT_S)
                    now = self.core.counters.counts.get("directory_answers", 0)
                    if now == seen and not running.done():
                        directory.abort()
                    seen = now
                if self.core.counters.counts.get("directory_answers", 0) > answers:
                    backoff = FIRST_BACKOFF_S
            await asyncio.sleep(backoff)
            backoff = min(LONGEST_BACKOFF_S, 2 * backoff)
