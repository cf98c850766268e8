"""Stories of a softswitch that is pressed from outside: descriptors that callers fill while all else is
away, starts before servers that never answer, floods, and answers that can't be read. Each is forced by real
sockets and counted, and waits on what the program says or does.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import threading
import time
from collections import Counter

import pytest
import uvloop

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.calls import ServerRecord
from stairhatch.node.io.descriptor_budget import DescriptorBudget
from stairhatch.node.io.network import Network
from stairhatch.node.readiness import FIRST_CONNECT_WAIT_S
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import MAX_REQUESTS, ServiceDiscoveryClient
from stairhatch.overload.events import Availability

from .support.call_ids import next_call_id
from .support.full_listener import FullListener
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

PING = sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b"")


class Crowd:
    """Callers who hold connections and want nothing: silent, within a message, or after one test. Who is put
    out comes again at once, or never; those who stay then have asked once.
    """

    WAYS = (b"", PING[:30], PING)

    def __init__(self, address, size, again):
        self.address, self.again, self.came, self.over = address, again, 0, False
        self.ways = self.WAYS if again else (PING,)
        self.threads = [threading.Thread(target=self._hold, args=(n,), daemon=True) for n in range(size)]
        for each in self.threads:
            each.start()

    def _hold(self, number):
        while not self.over:
            try:
                with socket.create_connection(self.address, 20) as sock:
                    self.came += 1
                    sock.sendall(self.ways[number % len(self.ways)])
                    sock.settimeout(0.2)
                    while not self.over:
                        try:
                            if not sock.recv(4096):
                                break
                        except TimeoutError:
                            continue
            except OSError:
                time.sleep(0.01)
            if not self.again:
                return

    def go(self):
        self.over = True
        for each in self.threads:
            each.join()


def held(program):
    """How many descriptors the process holds."""
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@pytest.mark.parametrize("again", [True, False], ids=["who come again", "who stay"])
@pytest.mark.parametrize(("told", "real"), [(64, 64), (1024, 64), (64, 1024)])
def test_idle_callers_leave_descriptors_for_servers_and_coordinator_that_return(
    tmp_path, started_programs, told, real, again
):
    """Guards against descriptors filled by idle callers while the coordinator and all roster servers are
    away: none was left to dial them when they were there again. The limit is what the settings tell, what
    the system sets, or both.
    """

    class Limited(Program):
        descriptor_limit = real

    servers = [ScriptedServer() for _ in range(6)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Limited.on_platform(tmp_path, coordinator, sockets=told).wait_until_serving()
    started_programs.append(program)
    for each in (coordinator.close, *(each.close for each in servers)):
        each()
    wait_until(lambda: len(program.log_events("server_connection_lost")) == 6, "that all are away")
    before = program.counters()
    crowd = Crowd(program.address, 2 * min(told, real), again)
    wait_until(lambda: crowd.came >= (4 if again else 2) * min(told, real), "descriptors filled over")
    missed = ("server_connections_failed", "discovery_unreachable")
    wait_until(
        lambda: all((program.counters() - before)[name] >= 12 for name in missed), "that all are missed"
    )
    assert program.counters()["connections_evicted"] > 0, "callers who hold on were in excess"
    asked = len(coordinator.polled_indices)
    coordinator.reopen()
    back = [ScriptedServer(port=each.port) for each in servers]
    wait_until(lambda: len(program.log_events("server_connected")) >= 12, "the roster servers, reached again")
    wait_until(lambda: len(coordinator.polled_indices) > asked, "the coordinator, asked again")
    coordinator.publish(endpoint_entry("s-0", back[0].port, 0, "terminating"))
    wait_until(lambda: program.log_events("server_listed")[-1]["state"] == "draining", "its news")
    assert program.admin_command("check").startswith("ok")
    ident, newcomer = next_call_id(), program.caller()
    newcomer.invite(ident, answer_within_ms=9000)
    newcomer.expect(ident, 200)
    assert held(program) <= min(told, real)
    crowd.go()
    lines = Counter(line.split(".")[0] for line in program.log_text().splitlines() if " accept " in line)
    assert max(lines.values(), default=0) <= 2, "one line a second says that descriptors have run out"


def test_a_list_longer_than_the_limit_leaves_the_door_and_callers_theirs(tmp_path, started_programs):
    """Guards against links that take every descriptor, so that neither the door nor callers have one: so many
    roster servers are listed, and all are there.
    """

    class Limited(Program):
        descriptor_limit = 64

    servers = [ScriptedServer() for _ in range(70)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Limited.on_platform(tmp_path, coordinator, sockets=1024).wait_until_serving()
    started_programs.append(program)
    wait_until(lambda: len(program.log_events("server_connect_failed")) >= 20, "servers without a descriptor")
    assert program.log_events("server_connected"), "others are reached"
    crowd = Crowd(program.address, 64, False)
    wait_until(
        lambda: crowd.came == 64 and program.counters()["connections_evicted"] > 0, "that some are evicted"
    )
    assert program.admin_command("check").startswith("ok")
    ident, newcomer = next_call_id(), program.caller()
    newcomer.invite(ident, answer_within_ms=9000)
    wait_until(lambda: newcomer.final_statuses(ident), "an answer")
    assert held(program) <= 64
    crowd.go()
    said = Counter(line["at"].split(".")[0] for line in program.log_events("descriptors")[1:])
    assert 0 < max(said.values()) <= 2, "said, and not in a spin"


def test_callers_keep_their_third_where_the_list_is_longer_than_the_limit():
    """Guards against 1,900 roster servers, listed under a limit of 1,024, that leave callers no descriptor; a
    list that fits leaves them what is over.
    """
    for most in (32, 64, 1024):
        short = DescriptorBudget(most, 26, 1901)
        assert short.available_to_callers() == most // 3
        assert most // 4 <= short.available_to_servers() < most - most // 3
    long = DescriptorBudget(4096, 26, 1901)
    assert long.available_to_callers() > 4096 / 2
    assert long.available_to_servers() > 1900
    few = DescriptorBudget(1024, 26, 25)
    assert few.available_to_callers() > 768, "three quarters, which the settings allow"
    unlimited = DescriptorBudget()
    least = min(unlimited.available_to_callers(), unlimited.available_to_servers())
    assert least > 10**6, "where no limit is set"


@pytest.mark.parametrize("silent", [False, True], ids=["coordinator up", "coordinator silent"])
def test_a_start_waits_for_no_server_that_never_answers_its_dial(tmp_path, started_programs, silent):
    """Guards against softswitches that are not ready for as long as the settings allow a connection to take:
    one listed server that never answers held up the start of all. Here that is longer than the story waits.
    """
    stuck, server = FullListener(), ScriptedServer()
    assert len(stuck.connections) >= 2, "its queue was filled until a dial got no answer"
    coordinator = ScriptedCoordinator(
        endpoint_entry("s-0", server.port, 0), endpoint_entry("s-1", stuck.port, 1)
    )
    coordinator.withholds_answers = silent
    permissions = {**SETTINGS["permissions"], "connect_timeout_s": 600.0}
    program = Program.on_platform(tmp_path, coordinator, {**SETTINGS, "permissions": permissions})
    started_programs.append(program)
    wait_until(lambda: program.log_events("serving"), "that it serves")
    assert not program.log_events("server_connect_failed"), "it was still being dialled"
    assert program.health_check_status() == 200
    assert program.admin_command("check").startswith("ok")
    ident, caller = next_call_id(), program.caller()
    caller.invite(ident)
    caller.expect(ident, 200)
    stuck.empty_queue()  # the dial that waits in the kernel comes up late
    wait_until(
        lambda: any(line["server"] == "s-1" for line in program.log_events("server_connected")),
        "the late one",
    )
    assert not program.log_events("server_connect_failed")
    stuck.close()


def test_a_start_waits_for_links_and_not_for_good():
    """Guards against a start that waits for no link, or for each server that is listed while it waits."""
    inside = InProcessNode()
    ServerConnectionPool(inside.core, lambda _link: None)
    for number in range(20):
        name = f"s-{number}"
        line = ServerRecord(name, ("127.0.0.1", 9), number % 2, Availability.READY)
        inside.core.update_servers([line], False)
        waits = inside.core.readiness.startup_health().reason
        assert (name in waits) is (number * 0.1 < FIRST_CONNECT_WAIT_S), "the newest has not been tried"
        inside.run(0.1)
    assert inside.core.readiness.startup_health().is_ready


# ---- a list that can't be read in part ----


def test_a_line_that_cannot_be_read_holds_no_other_up_and_gets_nothing_new(tmp_path, started_programs):
    """Guards against a list that stands still for one line of it: the drain told beside it went unheard for
    as long as the line was there, and calls went on to that server.
    """
    servers = [ScriptedServer() for _ in range(3)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Program.on_platform(tmp_path, coordinator).wait_until_serving()
    started_programs.append(program)
    caller, stands = program.caller(), next_call_id()
    caller.invite(stands, routing_data="dest:0;width:1;via:-1")
    caller.expect(stands, 200)
    (home,) = [each for each in servers if each.messages("START")]
    lines = [endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers)]
    at = servers.index(home)
    drained, open_ = [n for n in range(3) if n != at]
    lines[at]["lifecycle"] = "napping"
    lines[drained]["lifecycle"] = "terminating"
    coordinator.publish(
        lines[at], {"cell": "no name"}, lines[drained]
    )  # returns once the next number is asked
    expected = {f"s-{at}": "draining", f"s-{drained}": "draining", f"s-{open_}": "ready"}
    wait_until(  # the log has a thread of its own
        lambda: {line["server"]: line["state"] for line in program.log_events("server_listed")} == expected,
        "the states in the log",
    )
    passed = [line for line in program.log_events("service_discovery") if line["why"].startswith("passed")]
    assert len(passed) == 1, "said once"
    before = [len(each.messages("START")) for each in servers]
    for _ in range(6):
        caller.invite(ident := next_call_id(), answer_within_ms=9000)
        caller.expect(ident, 200)
    after = [len(each.messages("START")) for each in servers]
    assert [n for n in range(3) if after[n] > before[n]] == [open_]
    home.send("FINISH", stands, rc=16)
    caller.expect(stands, "BYE")


def directory_of(*events, names="abc"):
    """A directory that knows some servers, and what it hears of its next answers, one for each connection."""
    inside = InProcessNode()
    ServerConnectionPool(inside.core, lambda _link: None)
    inside.core.servers.by_id.clear()
    inside.core.servers.by_instance.clear()
    listed = [ServerRecord(name, ("127.0.0.1", 9), 0, Availability.READY) for name in names]
    inside.core.update_servers(listed, True)
    directory, told = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4), []
    directory.on_answer = told.append
    for event in events:
        directory.connected()
        body = json.dumps({"index": 5, "updates": [{"index": 5, "endpoints": event}]}).encode()
        directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    standings = {
        s.record.instance: s.record.availability.value for s in inside.core.servers.by_instance.values()
    }
    return directory, standings, told


def test_a_list_spoilt_on_its_way_is_asked_for_again_before_its_other_lines_are_taken():
    """Guards against a server that gets nothing more for a line that was spoilt once."""
    good = {
        "reset": False,
        "instances": [endpoint_entry("a", 9, state="terminating"), endpoint_entry("b", 9)],
    }
    odd = {"reset": False, "instances": [good["instances"][0], {**endpoint_entry("b", 9), "hostPort": "?"}]}
    directory, standings, _ = directory_of(*[odd] * (MAX_REQUESTS - 1))
    assert directory.last_index == 4
    assert set(standings.values()) == {"ready"}
    directory, standings, _ = directory_of(*[odd] * (MAX_REQUESTS - 1), good)
    assert directory.last_index == 5
    assert standings == {"a": "draining", "b": "ready", "c": "ready"}
    directory, standings, told = directory_of(*[odd] * MAX_REQUESTS)
    assert directory.last_index == 5
    assert standings == {"a": "draining", "b": "draining", "c": "ready"}
    states = {raw["instanceId"]: raw["lifecycle"] for raw in told[0]["updates"][0]["endpoints"]["instances"]}
    assert states == {"a": "terminating", "b": "terminating"}, "whoever is handed the list is told the same"


@pytest.mark.parametrize(
    ("line", "left"),
    [
        ({**endpoint_entry("b", 9), "hostPort": "?"}, {"a": "ready", "b": "draining"}),
        ({**endpoint_entry("b", 9, state="terminated"), "cell": []}, {"a": "ready"}),
        ({**endpoint_entry("new", 9), "lifecycle": []}, {"a": "ready"}),
        ({"cell": 1}, {"a": "ready", "b": "draining", "c": "draining"}),
        ("b", {"a": "ready", "b": "draining", "c": "draining"}),
    ],
    ids=["no address", "gone", "new", "no name", "no object"],
)
def test_a_whole_list_with_a_line_that_cannot_be_read_cuts_no_calls_for_it(line, left):
    """Guards against a server held to be gone, and its calls cut, as its line in a whole list is spoilt."""
    odd = {"reset": True, "instances": [endpoint_entry("a", 9), line]}
    directory, standings, _ = directory_of(*[odd] * MAX_REQUESTS)
    assert directory.last_index == 5
    assert {name: state for name, state in standings.items() if state != "gone"} == left


# ---- floods ----


@pytest.fixture
def program(tmp_path, started_programs):
    """Starts a program before roster servers with the given scripts."""

    def start(*scripts, sockets=1024):
        servers = [ScriptedServer(script) for script in scripts]
        lines = [endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers)]
        started_programs.append(
            Program.on_platform(tmp_path, ScriptedCoordinator(*lines), sockets=sockets).wait_until_serving()
        )
        return started_programs[-1]

    return start


def test_a_caller_that_sends_faster_than_it_reads_gets_each_answer_once(program):
    """Guards against answers lost or doubled where a caller sends hundreds of set-ups at once and reads
    later, and against others who wait for it.
    """
    here = program(None, None)
    flood, idents = socket.create_connection(here.address), [next_call_id() for _ in range(300)]
    flood.sendall(b"".join(platform_invite(ident, answer_within_ms="9000") for ident in idents))
    other = here.caller()
    other.invite(ident := next_call_id(), answer_within_ms=9000)
    other.expect(ident, 200)
    parser, got = sip_parser.StreamParser(), Counter()
    flood.settimeout(20)
    while sum(got.values()) < len(idents):
        parser.feed(flood.recv(65536))
        while (message := parser.next_message()) is not None:
            got[message.get("call-id")] += message.status >= 200
    assert got == Counter(idents), "one final answer each"
    flood.close()


@pytest.mark.parametrize(("sockets", "many"), [(1024, 200), (64, 60)], ids=["room for all", "no room"])
def test_connections_that_come_in_one_turn_are_all_answered(program, sockets, many):
    """Guards against requests whose new connection is closed without an answer: so many come while the
    program does nothing (SIGSTOP) that it finds them all at once, also where others have to go first.
    """
    here = program(None, None, sockets=sockets)
    room = DescriptorBudget(sockets, 26, 3).available_to_callers()
    assert (many > room) is (sockets == 64)
    here.process.send_signal(signal.SIGSTOP)
    callers = [(here.caller(), next_call_id()) for _ in range(many)]
    for caller, ident in callers:
        caller.send_bytes(platform_invite(ident, answer_within_ms="9000"))
    assert not any(caller.received for caller, _ in callers)
    here.process.send_signal(signal.SIGCONT)
    for caller, ident in callers:
        caller.expect(ident, 200)
        assert caller.final_statuses(ident) == [200]


def test_line_ends_between_messages_keep_no_connection(program):
    """Guards against a limit filled for good by callers who ask once, then send a line end now and then."""
    here = program(None, sockets=64)
    over, held_on, sent = threading.Event(), [], Counter()

    def dribble(number):
        with socket.create_connection(here.address) as sock:
            try:
                sock.sendall(PING)
                sock.recv(4096)
                while not over.is_set():
                    sock.sendall(b"\r\n")
                    sent[number] += 1
                    over.wait(0.05)
                held_on.append(number)
            except OSError:
                return

    threads = [threading.Thread(target=dribble, args=(n,), daemon=True) for n in range(64)]
    for each in threads:
        each.start()
    wait_until(lambda: sum(sent.values()) > 64, "that they send")
    newcomers = [(here.caller(), next_call_id()) for _ in range(3)]
    for caller, ident in newcomers:
        caller.invite(ident, answer_within_ms=9000)
        caller.expect(ident, 200)
    assert here.counters()["connections_evicted"] > 0, "there was no room"
    over.set()
    for each in threads:
        each.join()


def test_a_caller_that_comes_again_too_soon_gets_one_answer_each_time(program):
    """Guards against a repeat that is taken for its first, lost, or answered twice: the caller is told when
    to come back, and comes again at once under a new id.
    """
    here = program(ScriptedServer.ends(34))
    caller, advised = here.caller(), 0
    for _ in range(20):
        caller.invite(ident := next_call_id(), repeat_mark="1", answer_within_ms=9000)
        wait_until(lambda ident=ident: caller.final_statuses(ident), "its answer")
        advised += bool(caller.messages(ident, 503) and caller.messages(ident, 503)[0].get("come-back-ms"))
        again = next_call_id()
        caller.invite(again, repeat_mark="1")
        wait_until(lambda again=again: caller.final_statuses(again), "its answer")
        assert len(caller.final_statuses(ident)) == len(caller.final_statuses(again)) == 1
    assert advised, "it was told when to come back"


@pytest.mark.parametrize("answers", [True, False], ids=["it came up", "it did not"])
def test_a_dial_that_came_up_while_the_process_stood_still_is_no_failed_one(answers):
    """Guards against a link held for unreached, and its server for cold, since the loop carries out the
    dial's time limit, due by then, before it looks at the socket. One that did not come up fails as before.
    """
    stuck = None if answers else FullListener()
    server = ScriptedServer() if answers else stuck

    async def story():
        inside = InProcessNode()
        inside.follow_loop(asyncio.get_running_loop())
        network = Network(inside.core)
        dial = asyncio.ensure_future(network.connector.connect(("127.0.0.1", server.port), 0.2))
        for _ in range(3):  # the dial begins
            await asyncio.sleep(0)
        time.sleep(0.5)  # noqa: ASYNC251  # the loop stands still beyond the limit
        if answers:
            (await dial).close()
        else:
            with pytest.raises(TimeoutError):
                await dial

    uvloop.run(story())
    server.close()
