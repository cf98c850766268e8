"""Callers that disconnect or cancel while the process is stopped, or behind bytes that are still unread."""

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
DEPARTURES = {
    "platform": ("close", "reset", "half-close", "cancel", "another's cancel"),
    "appliance": ("close", "reset", "half-close", "cancel", "another's cancel", "UDP cancel"),
}
PAUSE_S = {"platform": 0.37, "appliance": 0.5}
CALLERS_PER_DEPARTURE = 3


@dataclass
class LeavingCaller:
    """A caller that sends one set-up and later leaves in a given way.

    The body of the set-up is its id, by which the servers' messages identify it.
    """

    program: Program
    frontend: str
    departure: str = "stays"

    def __post_init__(self):
        self.udp = self.departure.startswith("UDP")
        self.ident, self.caller = next_call_id(), SipCaller(self.program.address, udp=self.udp)
        self.transport = "UDP" if self.udp else "TCP"
        self.invite(self.ident)

    def invite(self, ident, size=0):
        """Send a set-up whose body is its id, padded to `size` bytes."""
        body = ident.encode().ljust(size, b".")
        if self.frontend == "platform":
            self.caller.invite(ident, "ebb", 15_000, body)
        else:
            self.caller.send("INVITE", "sip:5@net", self.headers("INVITE", ident), body)

    def invite_again(self, size):
        """Send one more set-up on the same connection; return its id."""
        ident = next_call_id()
        self.invite(ident, size)
        return ident

    def headers(self, method, ident=""):
        ident = ident or self.ident
        if self.frontend == "platform":
            return {"call-id": ident, "cseq": f"1 {method}"}
        host = self.caller.host
        return headers_of(method, "1", f"z9hG4bK{ident}", ident, host, self.transport)

    def leave(self):
        """Disconnect or cancel according to `departure`; do nothing for "stays"."""
        if self.departure == "another's cancel":
            SipCaller(self.program.address).send("CANCEL", "sip:5@net", self.headers("CANCEL"))
        elif self.departure.endswith("cancel"):
            self.caller.send("CANCEL", "sip:5@net", self.headers("CANCEL"))
        elif self.departure != "stays":
            disconnect(self.caller, self.ident, self.departure)

    def attempts(self, servers):
        """Return the ids of the set-ups that the servers received for the first set-up of this caller."""
        return [m["tag"] for each in servers for m in each.messages("START") if m["blob"] == self.ident]


def logged_calls(program, event):
    """Return the ids of the calls in the log lines of an event."""
    return [line["call"] for line in program.log_events(event)]


def wait_for_resets(program, servers, callers):
    """Wait until the first attempt of each caller has been reset; return the ids of these attempts."""
    wait_until(lambda: all(each.attempts(servers) for each in callers), "the first attempts")
    tags = {each.attempts(servers)[0] for each in callers}
    wait_until(lambda: tags <= set(logged_calls(program, "attempt_ended")), "their resets")
    return tags


def suspend_in_retry_pause(program, servers, frontend, departures):
    """Place one call for each departure and stop the process while all calls wait for a retry after a reset.

    Returns the callers. If the machine was too slow and a call was retried before the stop, new calls are
    placed. Raises AssertionError after ten such attempts.
    """
    for _ in range(10):
        callers = [LeavingCaller(program, frontend, each) for each in departures]
        tags = wait_for_resets(program, servers, callers)
        program.suspend()
        if sum(tag in tags for tag in logged_calls(program, "attempt_sent")) == len(callers):
            return callers
        program.resume()  # a call has already been retried
        for each in callers:
            each.caller.close()
    raise AssertionError("the process could not be stopped within the retry pause of all calls")


@pytest.mark.parametrize("frontend", sorted(DEPARTURES))
def test_callers_that_leave_while_the_process_is_stopped_get_no_retry(start_unusual, frontend):
    """Received bytes are read before due timers run. A poll that was interrupted by SIGSTOP ends with EINTR,
    and the event loop once ran the retry timers, which write set-ups, before it polled the sockets (in 15
    of 15 cases).
    """
    departures = [each for each in DEPARTURES[frontend] for _ in range(CALLERS_PER_DEPARTURE)]
    program, _, servers = start_unusual(RESET, RESET, frontend=frontend)
    *leaving, staying = suspend_in_retry_pause(program, servers, frontend, [*departures, "stays"])
    for each in leaving:
        each.leave()
    time.sleep(PAUSE_S[frontend] + 0.3)  # the retry pause ends at least 0.1 s after the callers left
    program.resume()
    wait_until(lambda: len(staying.attempts(servers)) > 1, "the retry of the caller that stays")
    tags = {each.attempts(servers)[0] for each in leaving}
    wait_until(
        lambda: tags <= {*logged_calls(program, "call_abandoned"), *logged_calls(program, "call_answered")},
        "the calls of the other callers to end",
    )
    later = LeavingCaller(program, frontend)
    wait_until(lambda: len(later.attempts(servers)) > 1, "the retry of the later caller")
    retried = [each.departure for each in leaving if len(each.attempts(servers)) > 1]
    assert not retried, f"{len(retried)} of {len(leaving)} set-ups were sent without a caller: {retried}"
    for each in leaving:
        if each.departure == "half-close":  # the caller still reads and gets one answer
            wait_until(lambda each=each: each.caller.closed, "the end of the connection")
            assert each.caller.final_statuses(each.ident) in ([480], [500], [503])


@pytest.mark.parametrize("frontend", sorted(DEPARTURES))
@pytest.mark.parametrize("accepted", [True, False], ids=["accepted before", "not accepted yet"])
def test_setups_of_a_closed_stream_with_much_unread_data_get_no_attempt(start_unusual, frontend, accepted):
    """The end of a stream is noticed although more bytes precede it than one read returns. Each caller sends
    set-ups of 128 KiB in total and leaves while the process is stopped.
    """
    program, _, servers = start_unusual(None, None, frontend=frontend)
    departures = [each for each in ("close", "reset", "half-close") for _ in range(CALLERS_PER_DEPARTURE)]
    if accepted:
        callers = [LeavingCaller(program, frontend, each) for each in departures]
        wait_until(
            lambda: all(each.caller.final_statuses(each.ident) for each in callers),
            "final responses on all connections",
        )
        program.suspend()
    else:
        program.suspend()
        callers = [LeavingCaller(program, frontend, each) for each in departures]
    setups = [(each, [each.invite_again(1200) for _ in range(80)]) for each in callers]
    for each in callers:
        each.leave()
    staying = LeavingCaller(program, frontend)
    time.sleep(0.3)
    program.resume()
    wait_until(lambda: staying.attempts(servers), "the attempt of the caller that stays")
    wait_until(
        lambda: all(len(rejected_ids(each)) >= 80 for each, _ in setups if each.departure == "half-close"),
        "the rejections",
    )
    later = LeavingCaller(program, frontend)
    wait_until(lambda: later.attempts(servers), "the attempt of the later caller")
    expected = {staying.ident, later.ident, *(each.ident for each in callers if accepted)}
    unexpected = {m["blob"][:16] for each in servers for m in each.messages("START")} - expected
    assert not unexpected, f"{len(unexpected)} of {80 * len(setups)} set-ups were sent without a caller"
    for each, idents in setups:
        if each.departure == "half-close":  # the caller still reads, and each set-up is answered once
            assert sorted(rejected_ids(each)) == sorted([*idents, *([] if accepted else [each.ident])])


def rejected_ids(leaver):
    """Return the ids of a caller's set-ups that were rejected, once for each final response from 300 on."""
    rejections = [m for _, m in list(leaver.caller.received) if m.status >= 300 and m.cseq()[1] == "INVITE"]
    return [m.get("call-id") for m in rejections]


@pytest.mark.parametrize("frontend", sorted(DEPARTURES))
@pytest.mark.parametrize("connection", ["the same", "another"])
def test_cancel_in_pieces_behind_other_messages_is_read_before_the_setup_is_sent(
    start_unusual, frontend, connection
):
    """A CANCEL takes effect that arrives in pieces behind 30 KiB on its connection. Some calls wait for a
    retry, and the set-ups of others are still unread; all bytes have arrived when the process continues.
    """
    program, _, servers = start_unusual(RESET, RESET, frontend=frontend)
    *waiting, staying = suspend_in_retry_pause(
        program, servers, frontend, [*["cancel"] * CALLERS_PER_DEPARTURE, "stays"]
    )
    # The set-ups of these callers are unread until the process continues.
    unread = [LeavingCaller(program, frontend, "cancel") for _ in range(CALLERS_PER_DEPARTURE)]
    sent_before = []
    for each in (*waiting, *unread):
        canceller = each if connection == "the same" else LeavingCaller(program, frontend)
        sent_before += [canceller, *(canceller.invite_again(15_000) for _ in range(2))]
        data = sip.request("CANCEL", "sip:5@net", list(each.headers("CANCEL").items()))
        canceller.caller.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(0, len(data), 40):
            canceller.caller.send_bytes(data[at : at + 40])
    time.sleep(PAUSE_S[frontend] + 0.3)
    program.resume()
    wait_until(lambda: len(staying.attempts(servers)) > 1, "the retry of the caller that stays")
    cancelled = [*waiting, *unread]
    wait_until(
        lambda: all(cancel_was_read(each, frontend) for each in cancelled), "the CANCEL requests to be read"
    )
    later = LeavingCaller(program, frontend)
    wait_until(lambda: len(later.attempts(servers)) > 1, "the retry of the later caller")
    assert [len(each.attempts(servers)) for each in waiting] == [1] * CALLERS_PER_DEPARTURE
    assert [len(each.attempts(servers)) for each in unread] == [0] * CALLERS_PER_DEPARTURE


def cancel_was_read(leaver, frontend):
    """Return whether the effect of a CANCEL is visible.

    On the appliance this is the final response to the INVITE. On the platform it is the log line, since the
    response to the CANCEL may have gone to another caller.
    """
    if frontend == "appliance":
        return 487 in leaver.caller.final_statuses(leaver.ident)
    abandoned = set(logged_calls(leaver.program, "call_abandoned"))
    return leaver.ident in abandoned
