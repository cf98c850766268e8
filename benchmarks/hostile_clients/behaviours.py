"""What hostile and faulty clients send: slow, unfinished and oversized messages, and floods of small ones.

A behaviour is a function that sends on connected blocking sockets until its time is over.
"""

from __future__ import annotations

import itertools
import random
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from functools import partial

from benchmarks.scaling.workload import service_name
from stairhatch.emulators.ports import Address

SHORT_FIELD = b"a:b\r\n"
PIECE_BYTES = 64 * 1024
SLOW_PIECE_INTERVAL_S = 0.05
Behaviour = Callable[[Sequence[socket.socket], float], None]  # parameters: connections, end (monotonic time)


def request(method: str, call_id: str, headers: bytes = b"", body: bytes = b"", length: int = -1) -> bytes:
    """Return a request; `length` overrides the Content-Length."""
    declared = len(body) if length < 0 else length
    head = (
        f"{method} sip:{call_id}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 1 {method}\r\nContent-Length: {declared}\r\n"
    )
    return head.encode() + headers + b"\r\n" + body


def setup(call_id: str, fields: int = 0, length: int = -1) -> bytes:
    """Return an INVITE with so many additional short header fields."""
    headers = f"Call-Kind: {service_name(0)}\r\nAnswer-Within: 3000\r\n".encode() + SHORT_FIELD * fields
    return request("INVITE", call_id, headers, b"v=0", length)


def call_ids(seed: int = 0) -> Iterator[str]:
    """Yield ever new call ids."""
    generator = random.Random(seed or time.monotonic_ns())
    first = generator.getrandbits(32)
    for number in itertools.count():
        yield f"{first:08x}{number:08x}"


def send_and_wait(data: bytes, connections: Sequence[socket.socket], until: float) -> None:
    """Send the same bytes on all connections at once, then keep the connections open."""
    senders = [threading.Thread(target=_send_all, args=(each, data), daemon=True) for each in connections]
    for sender in senders:
        sender.start()
    time.sleep(max(0.0, until - time.monotonic()))


def _send_all(connection: socket.socket, data: bytes) -> None:
    with suppress(OSError):
        connection.sendall(data)


def send_slowly(piece_bytes: int, data: bytes, connections: Sequence[socket.socket], until: float) -> None:
    """Send bytes in small pieces on each connection in turn."""
    for start in range(0, len(data), piece_bytes):
        for connection in connections:
            with suppress(OSError):
                connection.sendall(data[start : start + piece_bytes])
        time.sleep(SLOW_PIECE_INTERVAL_S)
        if time.monotonic() > until:
            return


def flood(
    messages: Callable[[], Iterator[bytes]], connections: Sequence[socket.socket], until: float
) -> None:
    """Send messages as fast as the connections take them, and read and drop what comes back."""
    sources = {connection: messages() for connection in connections}
    unsent = dict.fromkeys(connections, b"")
    for connection in connections:
        connection.setblocking(False)
    while sources and time.monotonic() < until:
        open_ones = list(sources)
        readable, writable, _ = select.select(open_ones, open_ones, [], 0.1)
        for connection in {*readable, *writable}:
            if not _exchange(connection, sources[connection], unsent):
                del sources[connection]


def flood_unread(
    messages: Callable[[], Iterator[bytes]], connections: Sequence[socket.socket], until: float
) -> None:
    """Send messages as fast as the connections take them, and read nothing."""
    sources = {connection: messages() for connection in connections}
    for connection in connections:
        connection.setblocking(False)
    while sources and time.monotonic() < until:
        _, writable, _ = select.select([], list(sources), [], 0.1)
        for connection in writable:
            data = b"".join(itertools.islice(sources[connection], 100))
            try:
                connection.send(data)  # a message may be cut: the next ones are then unsound
            except BlockingIOError:
                continue
            except OSError:
                del sources[connection]


def _exchange(connection: socket.socket, source: Iterator[bytes], unsent: dict[socket.socket, bytes]) -> bool:
    """Read and write once; return False if the connection has ended."""
    try:
        with suppress(BlockingIOError):
            if not connection.recv(PIECE_BYTES):
                return False
        data = unsent[connection]
        while len(data) < PIECE_BYTES:
            data += next(source)
        with suppress(BlockingIOError):
            data = data[connection.send(data) :]
        unsent[connection] = data
    except OSError:
        return False
    return True


def _each_new(render: Callable[[str], bytes]) -> Callable[[], Iterator[bytes]]:
    return lambda: map(render, call_ids())


def _unsound(call_id: str) -> bytes:
    return request("INVITE", call_id, b"Answer-Within: never\r\n")


def _new_names(call_id: str) -> bytes:
    return request("INVITE", call_id, f"Call-Kind: k{call_id}\r\nX-{call_id}: {call_id}\r\n".encode())


BEHAVIOURS: dict[str, Behaviour] = {
    "endless-head": partial(send_and_wait, b"INVITE sip:1@net SIP/2.0\r\n" + SHORT_FIELD * 12_000),
    "short-fields": partial(send_and_wait, b"INVITE sip:1@net SIP/2.0\r\n" + SHORT_FIELD * 3_200),
    "half-body": partial(send_and_wait, setup("1" * 16, length=16_000)[:-3] + b"x" * 8_000),
    "half-large-body": partial(send_and_wait, setup("1" * 16, length=4_000_000)[:-3] + b"x" * 2_000_000),
    "fields-half-body": partial(send_and_wait, setup("1" * 16, 2_500, 2_000) + b"x" * 1_000),
    "byte-by-byte": partial(send_slowly, 1, setup("1" * 16, 1_000)),
    "piece-by-piece": partial(send_slowly, 500, b"INVITE sip:1@net SIP/2.0\r\n" + SHORT_FIELD * 3_200),
    "many-fields": partial(flood, _each_new(partial(setup, fields=2_500))),
    "bye": partial(flood, _each_new(partial(request, "BYE"))),
    "cancel": partial(flood, _each_new(partial(request, "CANCEL"))),
    "options": partial(flood, _each_new(partial(request, "OPTIONS"))),
    "options-unread": partial(flood_unread, _each_new(partial(request, "OPTIONS"))),
    "unknown-method": partial(flood, _each_new(partial(request, "PLOUGH"))),
    "unsound": partial(flood, _each_new(_unsound)),
    "new-names": partial(flood, _each_new(_new_names)),
    "setup": partial(flood, _each_new(setup)),
}


def run_clients(name: str, address: Address, clients: int, seconds: float) -> None:
    """Connect clients and let them behave as named; connections that are refused or reset are left out."""
    connections = []
    for _ in range(clients):
        with suppress(OSError):
            connections.append(socket.create_connection(address, timeout=2.0))
    BEHAVIOURS[name](connections, time.monotonic() + seconds)
