"""The appliance's front: its transactions and dialogs by a clock set by hand, then the real program with
mixed traffic over UDP and TCP, checked from its own log lines.
"""

from __future__ import annotations

import itertools
import time

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.overload.events import LoadReport

from .support.in_process_node import InProcessNode
from .support.program import Program
from .support.recording_flow import RecordingFlow
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers
from .support.waiting import wait_until

PAUSE_S = 0.5
REPORT = LoadReport()


@pytest.fixture(params=[False, True], ids=["udp", "tcp"])
def line(request):
    return RecordingFlow(InProcessNode(), reliable=request.param)


def standing(line):
    """A call that stands and was acknowledged; returns our tag."""
    line.request()
    line.node.establish()
    tag = line.to_tag()
    line.request("ACK", to=f"<sip:7@net>;tag={tag}")
    return tag


@pytest.mark.parametrize(
    ("method", "change", "status"),
    [
        ("INVITE", {"cseq": "1 BYE"}, 400),
        ("INVITE", {"from": None}, 400),
        ("INVITE", {"call_id": None}, 400),
        ("INVITE", {"max_forwards": "many"}, 400),
        ("INVITE", {"max_forwards": "9" * 5000}, 400),
        ("INVITE", {"cseq": "9" * 5000 + " INVITE"}, 400),
        ("INVITE", {"uri": "sip:7\udcff@net"}, 400),
        ("INVITE", {"call_kind": "no-such-class"}, 400),
        ("INVITE", {"max_forwards": "0"}, 483),
        ("INVITE", {"require": "100rel, timer, foo"}, 420),
        ("INVITE", {"to": "<sip:7@net>;tag=unknown"}, 481),
        ("INVITE", {"uri": "sips:7@net"}, 416),
        ("INVITE", {"uri": "mailto:7@net"}, 416),
        ("BYE", {"to": "<sip:7@net>;tag=unknown"}, 481),
        ("CANCEL", {}, 481),
        ("PUBLISH", {}, 405),
        ("OPTIONS", {}, 200),
    ],
)
def test_requests_that_make_no_call(line, method, change, status):
    """Guards against a wrong or missing answer where no call comes about."""
    answer = line.request(method, **change)
    if None in change.values():
        assert not line.sent  # it can't be answered, only counted
        assert line.node.core.counters.counts["malformed_from_callers"] == 1
        return
    assert answer.status == status
    assert not line.node.written
    assert answer.get("unsupported") == ("foo" if status == 420 else "")
    assert "INVITE" in answer.get("allow") or status not in (200, 405)


def test_via_tells_where_a_request_came_from_and_the_answer_goes_there(line):
    """Guards against answers lost behind a translated address (RFC 3581)."""
    answer = line.request("OPTIONS", via="SIP/2.0/UDP office.example:5060;rport;branch=z9hG4bKx")
    via = sip.parameters(answer.get("via"))
    assert (via["received"], via["rport"]) == ("127.0.0.1", "4000")


def test_an_answer_is_resent_until_its_ack_and_the_description_is_unchanged(line):
    """Guards against a 2xx lost on the way, on both transports (RFC 3261, 13.3.1.4)."""
    line.request(number="1", uri="sip:712@net", record_route="<sip:p1;lr>, <sip:p2;lr>")
    line.node.establish()
    line.node.run(3.6)
    assert line.statuses() == [100, 200, 200, 200, 200]  # after 0.5, 1.5 and 3.5 s
    answer = line.sent[-1]
    assert answer.body == "v=0 æ".encode()
    assert answer.get("content-type") == "application/sdp"
    assert answer.get_all("record-route") == ["<sip:p1;lr>", "<sip:p2;lr>"]
    assert answer.get("contact")
    assert line.node.written[0].call.request.call_class.name == "save-roster"  # by the prefix 7 of the number
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    line.node.run(60)
    assert len(line.statuses()) == 5
    assert not line.node.front.transactions.servers


def test_a_call_whose_answer_is_never_acknowledged_is_ended(line):
    """Guards against calls standing for a caller that has vanished."""
    line.request()
    line.node.establish()
    line.node.run(33)
    assert line.sent[-1].method == "BYE" or "BYE" in [m.method for m in line.sent]
    assert line.node.releases
    assert not line.node.core.calls.by_number
    line.node.run(40)
    assert not line.node.front.transactions.servers
    assert not line.node.front.dialogs


@pytest.mark.parametrize("acked", [True, False])
def test_a_refusal_is_resent_over_udp_until_its_ack(line, acked):
    """Guards against a lost refusal, and against transactions that never end (timers G, H and I)."""
    line.request(expires="2")
    line.node.run(2)  # the caller's time runs out
    first = [s for s in line.statuses() if s >= 200]
    assert first == [408]
    if acked:
        line.request("ACK", branch="z9hG4bKINVITE1")
    before = len(line.sent)
    line.node.run(70)
    assert (len(line.sent) > before) is (not line.reliable and not acked)
    assert not line.node.front.transactions.servers


def test_time_runs_out_as_the_class_or_expires_says(line):
    """Guards against answers after the caller has gone."""
    line.request(expires="2")
    line.node.run(2.0)
    assert line.statuses()[:2] == [100, 408]
    assert len(line.node.releases) == 1  # the attempt is given up


@pytest.mark.parametrize("after", ["before the answer", "after the answer"])
def test_cancel(line, after):
    """Guards against calls that stand though their caller has cancelled, and the other way round."""
    line.request()
    if after == "after the answer":
        line.node.establish()
    line.request("CANCEL", branch="z9hG4bKINVITE1")
    assert line.statuses("CANCEL") == [200]
    if after == "after the answer":
        assert line.statuses() == [100, 200]
        assert line.node.core.calls.by_number
    else:
        assert line.statuses() == [100, 487]
        assert not line.node.core.calls.by_number
        assert len(line.node.releases) == 1


def test_an_invite_sent_again_after_its_cancel_is_the_same_transaction():
    """The brief's hard case: over UDP, a copy of the INVITE comes after the CANCEL. No new call."""
    line = RecordingFlow(InProcessNode())
    line.request()
    line.request("CANCEL", branch="z9hG4bKINVITE1")
    for wait in (0.0, 1.0, 40.0, 60.0):  # also when the transaction is long over
        line.node.run(wait)
        if wait == 40.0:
            line.request("ACK", branch="z9hG4bKINVITE1")
        line.request()
    assert line.node.core.counters.counts["calls_offered"] == 1
    assert len(line.node.written) == 1
    assert set(line.statuses()) == {100, 487}


def test_a_dropped_connection_leaves_the_dialog_and_its_bye_comes_another_way():
    """The brief's hard case: TCP ends mid-dialog, the caller's BYE comes over UDP."""
    inside = InProcessNode()
    line, other = RecordingFlow(inside, reliable=True), RecordingFlow(inside)
    tag = standing(line)
    line.alive = False
    assert inside.core.calls.by_number
    assert other.request("BYE", number="2", to=f"<sip:7@net>;tag={tag}").status == 200
    assert len(inside.releases) == 1
    assert not inside.core.calls.by_number
    assert not inside.front.dialogs


@pytest.mark.parametrize("transport", ["", ";transport=tcp"])
def test_our_bye_finds_another_way_when_the_connection_is_gone(transport):
    """Guards against a release that goes nowhere: it follows the Contact, dialling if that says TCP."""
    inside, dialled = InProcessNode(), []
    inside.front.dial = dialled.append
    line = RecordingFlow(inside, reliable=True)
    line.request(contact=f"<sip:office@127.0.0.1:4010{transport}>")
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    line.alive = False
    attempt = inside.written[0]
    inside.core.responses.call_released(attempt.server, attempt.call.request.ident, 16, "", REPORT)
    if transport:
        data, peer = dialled[0].data_to_send(), dialled[0].peer
    else:
        data, peer = inside.front.ports[0].output[0]
    assert peer == ("127.0.0.1", 4010)
    bye = sip_parser.parse_datagram(data)
    assert bye.method == "BYE"
    assert bye.get("to") == "<sip:office@net>;tag=f1"
    assert sip.parameters(bye.get("from"))["tag"]
    assert bye.cseq() == (1, "BYE")


def test_requests_of_a_dialog_come_in_order(line):
    """Guards against a copy or a straggler ending or changing a call (RFC 3261, 12.2.2)."""
    tag = standing(line)
    to = f"<sip:7@net>;tag={tag}"
    assert line.request(number="3", to=to).status == 200  # a refresh
    line.request("ACK", number="3", branch="z9hG4bKa3", to=to)
    assert line.request("BYE", number="2", to=to).status == 500
    assert line.node.core.calls.by_number
    assert line.request("BYE", number="4", to=to).status == 200
    assert line.request("BYE", number="5", to=to).status == 481


def test_our_bye_is_resent_over_udp_until_it_is_heard(line):
    """Guards against a lost release (timers E and F)."""
    standing(line)
    attempt = line.node.written[0]
    line.node.core.responses.call_released(attempt.server, attempt.call.request.ident, 41, "", REPORT)
    line.node.run(2.0)
    byes = [m for m in line.sent if m.method == "BYE"]
    assert len(byes) == (1 if line.reliable else 3)
    assert byes[0].get("reason") == "Q.850;cause=41"
    line.node.front.receive(line, sip_parser.parse_datagram(sip.response(200, sip.echoed(byes[0]))))
    line.node.run(40)
    assert len([m for m in line.sent if m.method == "BYE"]) == len(byes)


def test_a_merged_request_is_told_so(line):
    """Guards against two calls for one INVITE that came by two ways (RFC 3261, 8.2.2.2)."""
    line.request()
    assert line.request(branch="z9hG4bKother").status == 482
    assert len(line.node.written) == 1


def test_an_old_callers_transaction_is_known_without_a_branch(line):
    """Guards against callers from before RFC 3261, whose branch names nothing."""
    for _ in range(2):
        line.request(via="SIP/2.0/UDP 127.0.0.1:4000")
    line.request("CANCEL", via="SIP/2.0/UDP 127.0.0.1:4000")
    assert line.node.core.counters.counts["calls_offered"] == 1
    assert line.statuses()[-1] == 487


def test_tables_are_bounded_and_a_full_one_tells_when_to_return(line):
    """Guards against memory that a flood of requests could fill."""
    line.request()
    line.node.front.transactions.most_bytes = 1
    answer = line.request(branch="z9hG4bKz", call_id="c2")
    assert answer.status == 503
    assert int(answer.get("retry-after")) >= 1


def test_a_fault_in_the_decisions_is_still_answered(line, monkeypatch):
    """Guards against a caller that waits because of an exception of ours."""

    def broken(now, event):
        raise RuntimeError("out of order")

    monkeypatch.setattr(line.node.core.controller, "handle", broken)
    answer = line.request()
    assert answer.status == 500
    assert answer.get("retry-after")
    assert line.node.core.counters.counts["decision_faults"] >= 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\0\1\2 nonsense", None),
        (b"INVITE sip:7@net SIP/2.0\r\nbroken header\r\n\r\n", None),
        (b"INVITE sip:7@net SIP/7.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\n\r\n", 505),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>\r\n ;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\nl: 50\r\n\r\nshort", 400),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>\r\n ;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\nc: application/sdp\r\n\r\n" + b'"' * 9000, 413),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\n\r\n" + b"a" * 17000, 413),
        (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP h;branch=z9hG4bKq\r\nf: <sip:a@b>;tag=1\r\n"
         b"t: <sip:7@net>\r\ni: x\r\nCSeq: 1 INVITE\r\nc: application/sdp\r\n\r\n\xff", 400),
    ],
)  # fmt: skip
def test_malformed_datagrams_are_answered_or_counted(data, status):
    """Guards against a datagram that stops the program or is answered to nobody."""
    inside = InProcessNode()
    inside.front.ports[0].receive(data, ("127.0.0.1", 4000))
    sent = [sip_parser.parse_datagram(piece) for piece, _ in inside.front.ports[0].output]
    assert [m.status for m in sent] == ([status] if status else [])
    at_once = b'"' not in data and b"\xff" not in data
    assert inside.core.counters.counts.get("malformed_from_callers", 0) == at_once
    assert not inside.written


@pytest.mark.parametrize(
    ("via", "peer"),
    [
        ("127.0.0.1:4000;branch=z9hG4bKv;received=name.example", ("127.0.0.1", 4000)),
        ("127.0.0.1:99999;branch=z9hG4bKv", ("127.0.0.1", 5060)),
        ("name.example;branch=z9hG4bKv;rport=99999", ("127.0.0.1", 5060)),
        ("name.example;branch=z9hG4bKv;rport=\u00b2", ("127.0.0.1", 5060)),
    ],
)
def test_a_via_that_lies_sends_no_answer_elsewhere_and_looks_up_no_name(via, peer):
    """Guards against answers to a third party, a look-up that holds up all calls, and ports that are none."""
    inside = InProcessNode()
    lines = {**sip_headers("OPTIONS"), "via": f"SIP/2.0/UDP {via}"}
    data = sip.request("OPTIONS", "sip:x@net", list(lines.items()))
    inside.front.ports[0].receive(data, ("127.0.0.1", 4000))
    assert [where for _, where in inside.front.ports[0].output] == [peer]


def test_a_release_to_a_contact_that_is_a_name_goes_where_the_call_came_from():
    """Guards against a look-up of a caller's choice, which would hold up all calls."""
    inside = InProcessNode()
    line = RecordingFlow(inside, reliable=True)
    line.request(contact="<sip:office@name.example:4010>")
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    line.alive = False
    attempt = inside.written[0]
    inside.core.responses.call_released(attempt.server, attempt.call.request.ident, 16, "", REPORT)
    assert inside.front.ports[0].output[0][1] == line.peer


# ---- the real program ----


def check(lines):
    """The rules, read from the program's log lines; returns what is broken."""
    broken, finals, out, ended = [], {}, {}, {}
    for line in lines:
        words = line.split(" ")
        if len(words) < 2:
            continue
        at, event = float(words[0]), words[1]
        fields = dict(word.split("=", 1) for word in words[2:] if "=" in word)
        call = fields.get("call", "")
        if event in ("call_answered", "call_abandoned"):
            finals[call] = finals.get(call, 0) + 1
        elif event == "call_offered":
            finals.setdefault(call, 0)
        elif event == "attempt_sent":
            if out.get(call):
                broken.append(f"{call}: two attempts at once")
            if at - ended.get(call, 0.0) < PAUSE_S:
                broken.append(f"{call}: sent within the pause")
            out[call] = True
        elif event == "attempt_ended" and fields.get("written") == "True":
            out[call] = False
            if fields["outcome"] in ("timed", "reset", "cancelled"):
                ended[call] = at
    return broken + [f"{call}: {count} final answers" for call, count in finals.items() if count != 1]


def mixed_script():
    """Each call's first set-ups meet all kinds of ends; later ones stand."""
    ends = itertools.cycle(["stand", "reset", "full", "silent", "error"])

    def script(message, send):
        if message["verb"] != "START":
            return
        match next(ends):
            case "stand":
                send("STARTED", message["tag"], blob="d")
            case "reset":
                send("FINISH", message["tag"], rc=41)
            case "full":
                send("FINISH", message["tag"], rc=34)
            case "error":
                send("FINISH", message["tag"], rc=17)

    return script


def test_mixed_traffic_keeps_the_rules_and_the_check_would_tell(tmp_path):
    """UDP and TCP callers at once over two roster servers: one final answer a call, never two attempts at
    once, the pause after an unclear end. The check fails on a log that was tampered with.
    """
    servers = [ScriptedServer(mixed_script()) for _ in range(2)]
    program = Program.as_appliance(tmp_path, *servers)
    callers = [SipCaller(program.address, udp=index % 2 == 0) for index in range(4)]
    sent = {}
    for number in range(24):
        caller, call = callers[number % 4], f"call-{number}"
        headers = sip_headers(
            "INVITE", "1", f"z9hG4bK{number}", call, caller.host, "UDP" if caller.udp else "TCP"
        )
        headers["expires"] = "3"
        sent[call] = (caller, caller.send("INVITE", f"sip:{number % 2 * 7}1@net", headers, b"v=0"))
        if number % 5 == 4:  # some over each transport
            caller.send("CANCEL", f"sip:{number % 2 * 7}1@net", {**headers, "cseq": "1 CANCEL"})
        if caller.udp:
            caller.sock.sendall(sent[call][1])  # a copy of each INVITE, after any CANCEL
    wait_until(
        lambda: all(caller.final_statuses(call) for call, (caller, _) in sent.items()), "all final answers"
    )
    for call, (caller, _) in sent.items():
        assert len(set(caller.final_statuses(call))) == 1
        answer = next(m for _, m in caller.received if m.get("call-id") == call and m.status >= 200)
        stood = answer.status == 200
        transport = "UDP" if caller.udp else "TCP"
        headers = sip_headers(
            "ACK", "1", f"z9hG4bKack{call}" if stood else sip.parameters(answer.get("via"))["branch"],
            call, caller.host, transport, sip.parameters(answer.get("to"))["tag"],
        )  # fmt: skip
        caller.send("ACK", "sip:x@net", headers)
        if stood and answer.cseq()[1] == "INVITE":
            caller.send("BYE", "sip:x@net", {**headers, "cseq": "2 BYE", "via": headers["via"] + "b"})
    assert program.stop() == 0
    lines = program.log_text().splitlines()
    assert check(lines) == []
    assert len(program.log_events("call_offered")) == 24
    attempt = next(line for line in lines if " attempt_sent " in line)
    answer = next(line for line in lines if " call_answered " in line)
    reset = next(line for line in lines if "outcome=reset" in line)
    call = next(word for word in reset.split(" ") if word.startswith("call="))
    hasty = f"{reset.split(' ')[0]} attempt_sent {call} attempt=9 server=s"
    for extra in ([attempt, attempt], [answer], [reset, hasty]):
        assert check(lines + extra), "the check must tell"
    assert check([line for line in lines if line is not answer]), "the check must tell a missing answer"


def test_tcp_that_drops_mid_dialog_and_bye_over_udp(tmp_path):
    """The hard case on real sockets: the dialog lives on, and so does the roster server's call."""
    server = ScriptedServer()
    program = Program.as_appliance(tmp_path, server, ScriptedServer())
    office, other = SipCaller(program.address), SipCaller(program.address, udp=True)
    office.send("INVITE", "sip:71@net", sip_headers("INVITE", host=office.host, transport="TCP"), b"v=0")
    tag = sip.parameters(office.expect("c1", 200).get("to"))["tag"]
    ack = sip_headers("ACK", "1", "z9hG4bKb", host=office.host, transport="TCP", to_tag=tag)
    office.send("ACK", "sip:71@net", ack)
    office.close()
    bye = sip_headers("BYE", "2", "z9hG4bKc", host=other.host, to_tag=tag)
    other.send("BYE", "sip:71@net", bye)
    assert other.expect("c1", 200).cseq() == (2, "BYE")
    wait_until(lambda: server.messages("FINISH"), "the release at the roster server")
    assert program.stop() == 0


def test_the_console_shows_and_drains_and_its_end_ends_nothing(tmp_path):
    """Guards against a terminal that tells nothing, or whose closing stops the calls."""
    server = ScriptedServer()
    program = Program.as_appliance(tmp_path, server, ScriptedServer())
    caller = SipCaller(program.address, udp=True)
    caller.send("INVITE", "sip:71@net", sip_headers("INVITE", host=caller.host), b"v=0")
    caller.expect("c1", 200)
    stdin = program.process.stdin
    for command, shows in [
        ("help", "drain"), ("status", "1 standing"), ("status", "reload     never"), ("status", "links "),
        ("servers", "ready     up"), ("servers", "held standing"), ("calls", "save-roster"),
        ("counters", "calls_established"), ("wrong", "try help"),
    ]:  # fmt: skip
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        wait_until(lambda shows=shows: shows in program.log_text(), shows)
    stdin.close()
    time.sleep(0.05)
    caller.send("OPTIONS", "sip:x@net", sip_headers("OPTIONS", "9", "z9hG4bKo", "c2", caller.host))
    caller.expect("c2", 200)
    assert program.process.poll() is None
    assert program.stop() == 0
