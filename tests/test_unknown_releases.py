"""Tests of releases of unknown calls, which a caller may send as fast as its connection takes them."""

from __future__ import annotations

import gc
import weakref

from stairhatch.node import sip_message as sip
from stairhatch.node.platform_connection import PlatformConnection
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.send_queue import MAX_QUEUED_SETUPS
from stairhatch.node.unknown_releases import FORWARDED_PER_INTERVAL, MAX_WAITING

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.server_on_clock import ServerOnClock
from .support.sip_messages import platform_invite

FLOOD = 1_000


def send_bye(connection: PlatformConnection, ident: str) -> None:
    """Receive a caller's release of a call."""
    connection.receive_data(sip.request("BYE", "sip:x@net", [("call-id", ident), ("cseq", "2 BYE")]))


def test_a_flood_of_releases_of_unknown_calls_does_not_delay_those_of_another_caller() -> None:
    """Guards against a release that waits behind, or is dropped for, those that one caller invents."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager)
    flooding, other = frontend.connect(), frontend.connect()
    for _ in range(FLOOD):
        send_bye(flooding, next_call_id())
    assert len(node.releases) < FLOOD / 10, "the rate to the servers is limited"
    send_bye(other, ident := next_call_id())
    node.run(0.1)
    assert (ident, 16) in node.releases
    node.run(10.0)
    assert len(node.releases) == FLOOD + 1, "none is lost"
    assert node.call_manager.unknown_releases.is_empty()


def test_releases_that_wait_for_a_server_leave_room_for_setups() -> None:
    """Guards against calls that are failed at once, as releases of unknown calls fill the queue."""
    server = ServerOnClock()
    for _ in range(MAX_QUEUED_SETUPS):
        server.pool.send_release(server.connection.server, next_call_id(), 16)
    server.caller.receive_data(platform_invite(next_call_id()))
    server.node.run(0.05)
    assert b"START" in server.connection.data_to_send()


def test_released_unknown_calls_do_not_displace_the_ids_of_calls_that_ended_here() -> None:
    """Guards against a late answer that is not released, as its call's id was forgotten."""
    node = InProcessNode()
    connection = PlatformFrontend(node.call_manager).connect()
    connection.receive_data(platform_invite(ident := next_call_id()))
    node.run(0.05)
    connection.receive_data(sip.request("CANCEL", "sip:x@net", [("call-id", ident), ("cseq", "1 CANCEL")]))
    for _ in range(21_000):
        node.call_manager.calls.remember_unknown(next_call_id())
    node.releases.clear()
    node.establish()
    assert node.releases == [(ident, 16)]


def test_releases_of_unknown_calls_from_ever_new_connections_are_forwarded_to_the_limit() -> None:
    """Guards against a forwarder that stops, as too many connections have one release each."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager)
    for _ in range(MAX_WAITING + 100):
        connection = frontend.connect()
        send_bye(connection, next_call_id())
        connection.connection_lost()
    node.run(20.0)
    assert len(node.releases) == MAX_WAITING + FORWARDED_PER_INTERVAL
    assert node.call_manager.unknown_releases.is_empty()


def test_releases_that_wait_do_not_keep_their_connection() -> None:
    """Guards against memory for connections that have closed, as their releases wait."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager)
    connection = frontend.connect()
    for _ in range(FLOOD):
        send_bye(connection, next_call_id())
    connection.connection_lost()
    closed = weakref.ref(connection)
    del connection
    node.run(0.2)  # the timers that identify silent callers end
    gc.collect()
    assert not node.call_manager.unknown_releases.is_empty()
    assert closed() is None
