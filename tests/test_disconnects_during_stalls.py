"""Callers that leave while the whole process stands still, or behind bytes that it has not read yet."""

from __future__ import annotations

import signal
import socket
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from stairhatch.node import sip_message as sip

from .support.call_ids import next_call_id
from .support.caller_disconnects import disconnect
from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers as headers_of
from .support.waiting import wait_until

RESET = ScriptedServer.ends(41)
WAYS = {
    "platform": ("close", "reset", "half-close", "cancel", "another's cancel"),
    "appliance": ("close", "reset", "half-close", "cancel", "another's cancel", "UDP cancel"),
}
PAUSE_S = {"platform": 0.37, "appliance": 0.5}
TIMES = 3  # each way to leave


@dataclass
class Leaver:
    """A caller with one set-up, whose description names it at the roster servers, and a way to leave."""

    program: Program
    front: str
    way: str = "stays"

    def __post_init__(self):
        self.udp = self.way.startswith("UDP")
        self.ident, self.caller = next_call_id(), SipCaller(self.program.address, udp=self.udp)
        self.transport = "UDP" if self.udp else "TCP"
        self.invite(self.ident)

    def invite(self, ident, size=0):
        """One set-up."""
        body = ident.encode().ljust(size, b".")
        if self.front == "platform":
            self.caller.invite(ident, "ebb", 15_000, body)
        else:
            self.caller.send("INVITE", "sip:5@net", self.headers("INVITE", ident), body)

    def more(self, size):
        """One more set-up on its connection; returns its id."""
        ident = next_call_id()
        self.invite(ident, size)
        return ident

    def headers(self, method, ident=""):
        ident = ident or self.ident
        if self.front == "platform":
            return {"call-id": ident, "cseq": f"1 {method}"}
        host = self.caller.host
        return headers_of(method, "1", f"z9hG4bK{ident}", ident, host, self.transport)

    def go(self):
        """Leave in its way, if it has one."""
        if self.way == "another's cancel":
            SipCaller(self.program.address).send("CANCEL", "sip:5@net", self.headers("CANCEL"))
        elif self.way.endswith("cancel"):
            self.caller.send("CANCEL", "sip:5@net", self.headers("CANCEL"))
        elif self.way != "stays":
            disconnect(self.caller, self.ident, self.way)

    def attempts(self, servers):
        """The set-ups that came for it: their ids."""
        return [m["tag"] for each in servers for m in each.messages("START") if m["blob"] == self.ident]


def stop(program):
    """Stop the process, as a machine that gives it no time; returns once it stands still."""
    program.process.send_signal(signal.SIGSTOP)
    state = Path(f"/proc/{program.process.pid}/stat")
    wait_until(lambda: state.read_text().rpartition(")")[2].split()[0] == "T", "that it stands still")


def go_on(program):
    """Let the process go on."""
    program.process.send_signal(signal.SIGCONT)


def told(program, event):
    """The ids of the calls that lines of an event name."""
    return [line["call"] for line in program.log_events(event)]


def reset(program, servers, callers):
    """Wait until the first attempt of each has been reset; returns their ids."""
    wait_until(lambda: all(each.attempts(servers) for each in callers), "the first attempts")
    tags = {each.attempts(servers)[0] for each in callers}
    wait_until(lambda: tags <= set(told(program, "attempt_ended")), "their resets")
    return tags


def stopped_in_a_pause(program, servers, front, ways):
    """Callers whose calls wait after a reset; the process is stopped within the pause of all. Tried anew
    where the machine was too slow for that.
    """
    for _ in range(10):
        callers = [Leaver(program, front, way) for way in ways]
        tags = reset(program, servers, callers)
        stop(program)
        if sum(tag in tags for tag in told(program, "attempt_sent")) == len(callers):
            return callers
        go_on(program)  # one was sent again already
        for each in callers:
            each.caller.close()
    raise AssertionError("the crossing could not be forced")


@pytest.mark.parametrize("front", sorted(WAYS))
def test_who_leaves_while_the_process_stands_still_is_not_sent_on(start_unusual, front):
    """Guards against timers that act before what came is read: the process stood still while callers left
    and their calls' pause ran out. On 9507ebf the timers' set-ups were written before the loop looked at a
    socket (a wait for input that was stopped ends with EINTR), and 15 of 15 were sent on.
    """
    ways = [way for way in WAYS[front] for _ in range(TIMES)]
    program, _, servers = start_unusual(RESET, RESET, frontend=front)
    *gone, stays = stopped_in_a_pause(program, servers, front, [*ways, "stays"])
    for each in gone:
        each.go()
    time.sleep(PAUSE_S[front] + 0.3)  # the pause runs out, 0.1 s and more after they left
    go_on(program)
    wait_until(lambda: len(stays.attempts(servers)) > 1, "who stays sent again")
    tags = {each.attempts(servers)[0] for each in gone}
    wait_until(
        lambda: tags <= {*told(program, "call_abandoned"), *told(program, "call_answered")},
        "that the others have left",
    )
    later = Leaver(program, front)
    wait_until(lambda: len(later.attempts(servers)) > 1, "one who came after")
    sent_on = [each.way for each in gone if len(each.attempts(servers)) > 1]
    assert not sent_on, f"{len(sent_on)} of {len(gone)} were sent on for nobody: {sent_on}"
    for each in gone:
        if each.way == "half-close":  # it still reads, and is told once
            wait_until(lambda each=each: each.caller.closed, "the end of the connection")
            assert each.caller.final_statuses(each.ident) in ([480], [500], [503])


@pytest.mark.parametrize("front", sorted(WAYS))
@pytest.mark.parametrize("known", [True, False], ids=["known", "not yet taken"])
def test_setups_before_the_end_of_a_stream_behind_much_unread_data_are_not_sent(start_unusual, front, known):
    """Guards against an end of a stream that is seen late: more lies before it than is read at once. Each
    caller brings set-ups of 128 KiB in all, and leaves, while the process stands still.
    """
    program, _, servers = start_unusual(None, None, frontend=front)
    ways = [way for way in ("close", "reset", "half-close") for _ in range(TIMES)]
    if known:
        callers = [Leaver(program, front, way) for way in ways]
        wait_until(
            lambda: all(each.caller.final_statuses(each.ident) for each in callers),
            "their connections in use",
        )
        stop(program)
    else:
        stop(program)
        callers = [Leaver(program, front, way) for way in ways]
    many = [(each, [each.more(1200) for _ in range(80)]) for each in callers]
    for each in callers:
        each.go()
    stays = Leaver(program, front)
    time.sleep(0.3)
    go_on(program)
    wait_until(lambda: stays.attempts(servers), "who stays sent on")
    wait_until(
        lambda: all(len(finals(each)) >= 80 for each, _ in many if each.way == "half-close"), "answers"
    )
    later = Leaver(program, front)
    wait_until(lambda: later.attempts(servers), "one who came after")
    stay = {stays.ident, later.ident, *(each.ident for each in callers if known)}
    sent_on = {m["blob"][:16] for each in servers for m in each.messages("START")} - stay
    assert not sent_on, f"{len(sent_on)} of {80 * len(many)} were sent on for nobody"
    for each, idents in many:
        if each.way == "half-close":  # it still reads, and each is answered once
            assert sorted(finals(each)) == sorted([*idents, *([] if known else [each.ident])])


def finals(leaver):
    """Which of a caller's set-ups had a final answer that is no 200, each as often as it had one."""
    said = [m for _, m in list(leaver.caller.received) if m.status >= 300 and m.cseq()[1] == "INVITE"]
    return [m.get("call-id") for m in said]


@pytest.mark.parametrize("front", sorted(WAYS))
@pytest.mark.parametrize("by", ["the same", "another"])
def test_a_cancel_in_pieces_behind_other_messages_is_read_before_the_setup_is_sent(start_unusual, front, by):
    """Guards against a CANCEL that is read too late: on its connection lie 30 KiB before it, and it came in
    pieces. Some calls wait in a pause, of others the set-up itself lies unread; all is there when the process
    goes on.
    """
    program, _, servers = start_unusual(RESET, RESET, frontend=front)
    *waiting, stays = stopped_in_a_pause(program, servers, front, [*["cancel"] * TIMES, "stays"])
    fresh = [Leaver(program, front, "cancel") for _ in range(TIMES)]  # unread until the process goes on
    ahead = []
    for each in (*waiting, *fresh):
        by_whom = each if by == "the same" else Leaver(program, front)
        ahead += [by_whom, *(by_whom.more(15_000) for _ in range(2))]
        data = sip.request("CANCEL", "sip:5@net", list(each.headers("CANCEL").items()))
        by_whom.caller.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(0, len(data), 40):
            by_whom.caller.send_bytes(data[at : at + 40])
    time.sleep(PAUSE_S[front] + 0.3)
    go_on(program)
    wait_until(lambda: len(stays.attempts(servers)) > 1, "who stays sent again")
    cancelled = [*waiting, *fresh]
    wait_until(lambda: all(heard_cancel(each, front) for each in cancelled), "that the CANCELs were read")
    later = Leaver(program, front)
    wait_until(lambda: len(later.attempts(servers)) > 1, "one who came after")
    assert [len(each.attempts(servers)) for each in waiting] == [1] * TIMES
    assert [len(each.attempts(servers)) for each in fresh] == [0] * TIMES


def heard_cancel(leaver, front):
    """Whether what a CANCEL leads to has come: on the appliance the final answer to the INVITE, on the
    platform nothing but the answer to the CANCEL, which another may have got.
    """
    if front == "appliance":
        return 487 in leaver.caller.final_statuses(leaver.ident)
    known = set(told(leaver.program, "call_abandoned"))
    return leaver.ident in known
