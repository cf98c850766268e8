"""The last check of callers before a set-up is written to its server's connection."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

import pytest
import uvloop

from stairhatch.node import sip_message as sip
from stairhatch.node.calls import ServerRecord
from stairhatch.node.io.listener import ListenerLimits
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.scripted_server import ScriptedServer
from .support.sip_messages import platform_invite
from .support.waiting import wait_in_loop


@pytest.mark.parametrize("when", ["the link comes up", "the pause is over"])
def test_who_leaves_in_the_turn_in_which_its_set_up_is_written_is_not_sent_on(when):
    """Guards against what comes between the loop's look at its sockets and the write: callers leave when the
    link has come up, or the timer has put their set-ups into its queue, and before the queue is written.
    """

    async def story():
        inside, links = InProcessNode(), []
        server = ScriptedServer(ScriptedServer.never_answers)
        core = inside.core
        inside.follow_loop(asyncio.get_running_loop())
        network, side, front = Network(core), ServerConnectionPool(core, links.append), PlatformFrontend(core)
        core.update_servers([ServerRecord("r", ("127.0.0.1", server.port), 0, Availability.READY)], True)
        (link,) = links
        network.listen(sock := socket.create_server(("127.0.0.1", 0)), front.connect, ListenerLimits(100))
        ways = [*["close"] * 3, *["reset"] * 3, *["cancel"] * 2, "another's cancel"]
        idents = [next_call_id() for _ in (*ways, "stays")]  # as many as may be open there at a time
        callers = [socket.create_connection(sock.getsockname()) for _ in idents]

        def all_go():
            for ident, caller, way in zip(idents, callers, ways, strict=False):
                go_now(caller, ident, way)

        def asked(which):
            return [m["tag"] for m in server.messages("START") if m["tag"] in which]

        for ident, caller in zip(idents, callers, strict=True):
            caller.sendall(platform_invite(ident, answer_within_ms="4000"))
        await wait_in_loop(lambda: core.calls.unanswered == len(idents))
        gone, (stays,) = set(idents[:-1]), idents[-1:]
        if when == "the link comes up":
            connected = link.connection_made
            link.connection_made = lambda: (connected(), all_go())
            server.script = ScriptedServer.establishes
            network.dial(link)
            before = 0
        else:
            network.dial(link)
            await wait_in_loop(lambda: len(asked(set(idents))) == len(idents))
            left, set_up = set(gone), side.send_setup

            def queued(attempt):
                set_up(attempt)
                if left:
                    left.clear()
                    all_go()

            side.send_setup = queued
            server.script = ScriptedServer.establishes
            for ident in idents:
                server.send("FINISH", ident, rc=41)
            before = len(gone)
        await wait_in_loop(lambda: core.calls.is_established(stays))
        late = next_call_id()
        callers[-1].sendall(platform_invite(late, answer_within_ms="4000"))
        await wait_in_loop(lambda: late in asked({late}))
        assert len(asked(gone)) == before, f"{len(asked(gone)) - before} of {len(gone)} were sent on"
        server.close()
        await end(network, *callers)

    uvloop.run(story())


def go_now(caller, ident, way):
    """Leave without waiting for anything: the loop's own thread does it."""
    cancel = sip.request("CANCEL", "sip:x@net", [("call-id", ident), ("cseq", "1 CANCEL")])
    if way == "another's cancel":
        other = socket.create_connection(caller.getpeername())
        other.sendall(cancel)
    elif way == "cancel":
        caller.sendall(cancel)
    elif way == "half-close":
        caller.shutdown(socket.SHUT_WR)
    else:
        if way == "reset":
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.close()


def test_who_leaves_while_its_set_up_lies_before_a_slow_link_is_not_sent_on():
    """Guards against set-ups that have left the link's queue and wait for room at its socket. The server
    reads nothing until their callers have left; what was begun by then is sent to its end and given up.
    """

    async def story():
        inside, links = InProcessNode(), []
        core = inside.core
        inside.follow_loop(asyncio.get_running_loop())
        network, front = Network(core), PlatformFrontend(core)
        ServerConnectionPool(core, links.append)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        core.update_servers([ServerRecord("r", listener.getsockname(), 0, Availability.READY)], True)
        connect = network.connector.connect

        async def narrow(address, within_s):
            sock = await connect(address, within_s)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return sock

        network.connector.connect = narrow
        network.listen(sock := socket.create_server(("127.0.0.1", 0)), front.connect, ListenerLimits(100))
        (link,) = links
        idents = [next_call_id() for _ in range(10)]
        ways = [*["close"] * 3, *["reset"] * 3, *["cancel"] * 3]
        callers = [socket.create_connection(sock.getsockname()) for _ in idents]
        for ident, caller in zip(idents, callers, strict=True):
            caller.sendall(platform_invite(ident, answer_within_ms="4000", body=b"d" * 12_000))
        await wait_in_loop(lambda: core.calls.unanswered == len(idents))
        network.dial(link)
        await wait_in_loop(lambda: link.writing)
        for _ in range(20):  # the kernel has taken what it can
            await asyncio.sleep(0.001)
        begun = set(link.pending_setups)
        assert len(begun) <= 3, "the link is slow"
        assert core.counters.counts["attempts_retracted"] >= 5, "they had left its queue"
        for ident, caller, way in zip(idents, callers, ways, strict=False):
            go_now(caller, ident, way)
        await wait_in_loop(lambda: core.calls.unanswered == 1)
        server, _ = listener.accept()
        server.setblocking(False)
        lines, data = [], b""
        while sum(each["verb"] == "FINISH" for each in lines) < len(begun) or idents[-1] not in tags(lines):
            data += await network.loop.sock_recv(server, 65536)
            *whole, data = data.split(b"\n")
            lines += map(json.loads, whole)
        assert tags(lines) - {idents[-1]} == begun
        assert {each["tag"] for each in lines if each["verb"] == "FINISH"} == begun
        await end(network, listener, server, *callers)

    uvloop.run(story())


def tags(lines):
    """The ids of the set-ups among lines."""
    return {each["tag"] for each in lines if each["verb"] == "START"}


async def end(network, *socks):
    """Nothing is left behind."""
    for each in socks:
        each.close()
    for task in list(network.tasks.running):
        task.cancel()
    await asyncio.sleep(0.01)


def test_a_look_at_the_callers_does_not_count_after_a_standstill():
    """Guards against a process that stands still between the look and the write: its clock has moved on."""
    inside, links = InProcessNode(), []
    side, front = ServerConnectionPool(inside.core, links.append), PlatformFrontend(inside.core)
    side.record_changed(inside.core.servers.by_id[1])
    (link,) = links
    link.connection_made()
    callers, looks = [front.connect() for _ in range(3)], []

    def look():
        """The first caller leaves, unseen, after the first look."""
        if looks:
            callers[0].eof_received()
        looks.append(inside.now)

    inside.core.read_callers = look
    idents = [next_call_id() for _ in callers]
    for ident, caller in zip(idents, callers, strict=True):
        caller.receive_data(platform_invite(ident, answer_within_ms="4000"))
    may_write, stops = inside.core.attempts.claim_transmission, [0.3]

    def slow(attempt):
        inside.now += stops.pop() if stops else 0.0
        return may_write(attempt)

    inside.core.attempts.claim_transmission = slow
    started = [json.loads(line)["tag"] for line in link.data_to_send().splitlines()]
    assert len(looks) == 2
    assert started == idents[1:]
    assert set(link.pending_setups) == set(idents[1:])
    assert inside.core.counters.counts["attempts_sent"] == 2
