"""Callers that leave while the whole process stands still, or behind bytes that it has not read yet."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

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
class LeavingCaller:
    """A caller with one set-up, whose description names it at the servers, and a way to leave."""

    program: Program
    frontend: str
    way: str = "stays"

    def __post_init__(self):
        self.udp = self.way.startswith("UDP")
        self.ident, self.caller = next_call_id(), SipCaller(self.program.address, udp=self.udp)
        self.transport = "UDP" if self.udp else "TCP"
        self.invite(self.ident)

    def invite(self, ident, size=0):
        """One set-up."""
        body = ident.encode().ljust(size, b".")
        if self.frontend == "platform":
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
        if self.frontend == "platform":
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


def logged_calls(program, event):
    """The ids of the calls in the log lines of an event."""
    return [line["call"] for line in program.log_events(event)]


def wait_for_resets(program, servers, callers):
    """Wait until the first attempt of each has been reset; returns their ids."""
    wait_until(lambda: all(each.attempts(servers) for each in callers), "the first attempts")
    tags = {each.attempts(servers)[0] for each in callers}
    wait_until(lambda: tags <= set(logged_calls(program, "attempt_ended")), "their resets")
    return tags


def suspend_in_retry_pause(program, servers, frontend, ways):
    """Callers whose calls wait for a retry after a reset, with the process stopped within the pause of all.
    Tried anew where the machine was too slow for that.
    """
    for _ in range(10):
        callers = [LeavingCaller(program, frontend, way) for way in ways]
        tags = wait_for_resets(program, servers, callers)
        program.suspend()
        if sum(tag in tags for tag in logged_calls(program, "attempt_sent")) == len(callers):
            return callers
        program.resume()  # one was sent again already
        for each in callers:
            each.caller.close()
    raise AssertionError("the crossing could not be forced")


@pytest.mark.parametrize("frontend", sorted(WAYS))
def test_callers_that_leave_while_the_process_stands_still_get_no_retry(start_unusual, frontend):
    """What came on the sockets is read before the timers that fell due: a wait for input that was stopped
    ends with EINTR, and the timers' set-ups were once written before the loop looked at a socket (15 of 15).
    """
    ways = [way for way in WAYS[frontend] for _ in range(TIMES)]
    program, _, servers = start_unusual(RESET, RESET, frontend=frontend)
    *leaving, staying = suspend_in_retry_pause(program, servers, frontend, [*ways, "stays"])
    for each in leaving:
        each.go()
    time.sleep(PAUSE_S[frontend] + 0.3)  # the pause runs out, 0.1 s and more after they left
    program.resume()
    wait_until(lambda: len(staying.attempts(servers)) > 1, "the retry of the caller that stays")
    tags = {each.attempts(servers)[0] for each in leaving}
    wait_until(
        lambda: tags <= {*logged_calls(program, "call_abandoned"), *logged_calls(program, "call_answered")},
        "that the others have left",
    )
    later = LeavingCaller(program, frontend)
    wait_until(lambda: len(later.attempts(servers)) > 1, "the caller that came after")
    retried = [each.way for each in leaving if len(each.attempts(servers)) > 1]
    assert not retried, f"{len(retried)} of {len(leaving)} were sent for nobody: {retried}"
    for each in leaving:
        if each.way == "half-close":  # it still reads, and is told once
            wait_until(lambda each=each: each.caller.closed, "the end of the connection")
            assert each.caller.final_statuses(each.ident) in ([480], [500], [503])


@pytest.mark.parametrize("frontend", sorted(WAYS))
@pytest.mark.parametrize("known", [True, False], ids=["known", "not yet taken"])
def test_setups_of_a_stream_whose_end_lies_behind_much_unread_data_get_no_attempt(
    start_unusual, frontend, known
):
    """The end of a stream counts although more lies before it than is read at once. Each caller sends set-ups
    of 128 KiB in all, and leaves, while the process stands still.
    """
    program, _, servers = start_unusual(None, None, frontend=frontend)
    ways = [way for way in ("close", "reset", "half-close") for _ in range(TIMES)]
    if known:
        callers = [LeavingCaller(program, frontend, way) for way in ways]
        wait_until(
            lambda: all(each.caller.final_statuses(each.ident) for each in callers),
            "their connections in use",
        )
        program.suspend()
    else:
        program.suspend()
        callers = [LeavingCaller(program, frontend, way) for way in ways]
    many = [(each, [each.more(1200) for _ in range(80)]) for each in callers]
    for each in callers:
        each.go()
    staying = LeavingCaller(program, frontend)
    time.sleep(0.3)
    program.resume()
    wait_until(lambda: staying.attempts(servers), "the retry of the caller that stays")
    wait_until(
        lambda: all(len(rejected_ids(each)) >= 80 for each, _ in many if each.way == "half-close"), "answers"
    )
    later = LeavingCaller(program, frontend)
    wait_until(lambda: later.attempts(servers), "the caller that came after")
    stay = {staying.ident, later.ident, *(each.ident for each in callers if known)}
    retried = {m["blob"][:16] for each in servers for m in each.messages("START")} - stay
    assert not retried, f"{len(retried)} of {80 * len(many)} were sent for nobody"
    for each, idents in many:
        if each.way == "half-close":  # it still reads, and each is answered once
            assert sorted(rejected_ids(each)) == sorted([*idents, *([] if known else [each.ident])])


def rejected_ids(leaver):
    """The set-ups of a caller that had a final answer other than 200, each as often as it had one."""
    said = [m for _, m in list(leaver.caller.received) if m.status >= 300 and m.cseq()[1] == "INVITE"]
    return [m.get("call-id") for m in said]


@pytest.mark.parametrize("frontend", sorted(WAYS))
@pytest.mark.parametrize("by", ["the same", "another"])
def test_a_cancel_in_pieces_behind_other_messages_is_read_before_the_setup_is_sent(
    start_unusual, frontend, by
):
    """A CANCEL counts that came in pieces and behind 30 KiB on its connection. Some calls wait for a retry,
    of others the set-up itself lies unread; all is there when the process runs again.
    """
    program, _, servers = start_unusual(RESET, RESET, frontend=frontend)
    *waiting, staying = suspend_in_retry_pause(program, servers, frontend, [*["cancel"] * TIMES, "stays"])
    fresh = [
        LeavingCaller(program, frontend, "cancel") for _ in range(TIMES)
    ]  # unread until the process goes on
    ahead = []
    for each in (*waiting, *fresh):
        by_whom = each if by == "the same" else LeavingCaller(program, frontend)
        ahead += [by_whom, *(by_whom.more(15_000) for _ in range(2))]
        data = sip.request("CANCEL", "sip:5@net", list(each.headers("CANCEL").items()))
        by_whom.caller.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(0, len(data), 40):
            by_whom.caller.send_bytes(data[at : at + 40])
    time.sleep(PAUSE_S[frontend] + 0.3)
    program.resume()
    wait_until(lambda: len(staying.attempts(servers)) > 1, "the retry of the caller that stays")
    cancelled = [*waiting, *fresh]
    wait_until(
        lambda: all(cancel_was_read(each, frontend) for each in cancelled), "that the CANCELs were read"
    )
    later = LeavingCaller(program, frontend)
    wait_until(lambda: len(later.attempts(servers)) > 1, "the caller that came after")
    assert [len(each.attempts(servers)) for each in waiting] == [1] * TIMES
    assert [len(each.attempts(servers)) for each in fresh] == [0] * TIMES


def cancel_was_read(leaver, frontend):
    """Whether what a CANCEL leads to has come: on the appliance the final answer to the INVITE, on the
    platform the log line, since another caller may have got the answer to the CANCEL.
    """
    if frontend == "appliance":
        return 487 in leaver.caller.final_statuses(leaver.ident)
    known = set(logged_calls(leaver.program, "call_abandoned"))
    return leaver.ident in known
