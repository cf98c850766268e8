"""Tests that what callers send takes memory in proportion to its bytes."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

import pytest

from stairhatch.node import sip_parser
from stairhatch.node.memory_budgets import MemoryLimits
from stairhatch.node.platform_frontend import PlatformFrontend

from .support.accepted_connections import take_statuses
from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.sip_messages import platform_invite

CONNECTIONS = 40
MAX_BYTES_PER_CONNECTION = 3 * sip_parser.MAX_MESSAGE_BYTES  # the message, and the state of its connection
SHORT_FIELDS = b"a:b\r\n" * 2_500


def with_short_fields(message: bytes, fields: bytes = SHORT_FIELDS) -> bytes:
    """Return a message with additional header fields."""
    head, _, body = message.partition(b"\r\n\r\n")
    return head + b"\r\n" + fields + b"\r\n" + body


def allocated_bytes(action: Callable[[], object]) -> int:
    """Return the size of what an action allocates and its result keeps."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = action()
        after, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return after - before


@pytest.mark.parametrize(
    "part",
    [
        with_short_fields(platform_invite("0" * 16, body=b"x" * 2_000))[:-1],
        with_short_fields(platform_invite("0" * 16))[:12_000],
        platform_invite("0" * 16, body=b"x" * 12_000)[:-1],
        b"INVITE sip:1@net SIP/2.0\r\n" + SHORT_FIELDS * 4,
    ],
    ids=["short fields, half the body", "half a head", "half a body", "a head without end"],
)
def test_an_incomplete_message_takes_little_more_memory_than_its_bytes(part: bytes) -> None:
    """Guards against a process that is killed because clients stop half way through a message."""
    frontend = PlatformFrontend(InProcessNode().call_manager)

    def receive_on_all() -> object:
        connections = [frontend.connect() for _ in range(CONNECTIONS)]
        for connection in connections:
            for start in range(0, len(part), 4096):
                connection.receive_data(part[start : start + 4096])
        return connections

    assert allocated_bytes(receive_on_all) < CONNECTIONS * MAX_BYTES_PER_CONNECTION


@pytest.mark.parametrize("fields", [SHORT_FIELDS, b"v:b\r\n" * 2_500], ids=["unused", "copied to responses"])
def test_a_pending_setup_takes_little_more_memory_than_its_bytes(fields: bytes) -> None:
    """Guards against a process that is killed because sound set-ups with many short fields wait."""
    node = InProcessNode()
    connection = PlatformFrontend(node.call_manager).connect()
    setups = [with_short_fields(platform_invite(next_call_id()), fields) for _ in range(CONNECTIONS)]
    assert (
        allocated_bytes(lambda: list(map(connection.receive_data, setups)))
        < CONNECTIONS * MAX_BYTES_PER_CONNECTION
    )
    assert len(connection.pending) == CONNECTIONS


def test_a_message_in_two_parts_is_the_same_as_in_one() -> None:
    """Guards against a head that is read differently once its body has arrived."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager)
    for cut in (-1, -20, 100):
        connection, ident = frontend.connect(), next_call_id()
        data = with_short_fields(platform_invite(ident, body=b"x" * 19, via="SIP/2.0/TCP peer"), b"a:b\r\n")
        connection.receive_data(data[:cut])
        assert connection.has_partial_message()
        connection.receive_data(data[cut:])
        node.run(0.05)
        assert node.written[-1].call.request.description == "x" * 19
        node.establish()
        assert take_statuses(connection, ident) == [200]


def test_the_oldest_incomplete_messages_are_given_up_above_the_limit() -> None:
    """Guards against a process that is killed because many clients stop half way through a message."""
    limits = MemoryLimits(receive_bytes=100_000)
    frontend = PlatformFrontend(InProcessNode().call_manager, limits)
    part = platform_invite("0" * 16, body=b"x" * 12_000)[:-1]
    connections = [frontend.connect() for _ in range(CONNECTIONS)]
    for connection in connections:
        connection.receive_data(part)
        assert frontend.registry.receive_budget.total_bytes <= limits.receive_bytes
    open_ones = [connection for connection in connections if not connection.closing]
    assert open_ones == connections[-len(open_ones) :], "the newest are kept"
    assert len(open_ones) == limits.receive_bytes // len(part)
    assert take_statuses(connections[0], "0" * 16) == [503]
    for connection in connections:
        connection.connection_lost()
    assert frontend.registry.receive_budget.total_bytes == 0


def test_callers_who_write_at_once_are_spared_by_the_limit_on_incomplete_messages() -> None:
    """Guards against a caller that is cut off because of others who write slowly."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager, MemoryLimits(receive_bytes=100_000))
    for _ in range(CONNECTIONS):
        frontend.connect().receive_data(platform_invite("0" * 16, body=b"x" * 12_000)[:-1])
    caller, ident = frontend.connect(), next_call_id()
    caller.receive_data(platform_invite(ident, body=b"x" * 12_000))
    assert not caller.closing
    assert ident in caller.pending


def test_a_flood_of_setups_is_rejected_above_the_limit_and_leaves_room_for_others() -> None:
    """Guards against a process that is killed by set-ups that wait, and against rejecting everybody then."""
    limits = MemoryLimits(pending_bytes=400_000)
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager, limits)
    flooding, other = frontend.connect(), frontend.connect()
    idents = [next_call_id() for _ in range(400)]
    for ident in idents:
        flooding.receive_data(platform_invite(ident))
    assert frontend.registry.pending_budget.total_bytes <= limits.pending_bytes / 2
    assert 0 < len(flooding.pending) < len(idents)
    other.receive_data(platform_invite(ident := next_call_id()))
    assert ident in other.pending
    node.run(30.0)
    assert frontend.registry.pending_budget.total_bytes == 0
    answered = flooding.data_to_send().count(b"SIP/2.0 ")
    assert answered == len(idents), "each set-up has its answer"


def test_a_busy_connection_is_spared_by_the_limit_on_incomplete_messages() -> None:
    """Guards against a caller that is cut off because its stream is always cut within some message."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager, MemoryLimits(receive_bytes=100_000))
    busy = frontend.connect()
    stream = b"".join(platform_invite(next_call_id()) for _ in range(CONNECTIONS))
    piece_bytes = len(stream) // CONNECTIONS + 1
    for number in range(CONNECTIONS - 1):
        busy.receive_data(stream[number * piece_bytes : (number + 1) * piece_bytes])
        assert busy.has_partial_message()
        frontend.connect().receive_data(platform_invite("0" * 16, body=b"x" * 12_000)[:-1])
    assert not busy.closing
