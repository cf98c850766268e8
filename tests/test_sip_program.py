"""The real program as an appliance: mixed traffic over UDP and TCP, checked from its own log lines."""

from __future__ import annotations

import itertools
import time

from stairhatch.node import sip_message as sip

from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers
from .support.waiting import wait_until

PAUSE_S = 0.5


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


def script_of_mixed_outcomes():
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
    servers = [ScriptedServer(script_of_mixed_outcomes()) for _ in range(2)]
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


def test_a_dialog_outlives_its_tcp_connection_and_ends_by_a_bye_over_udp(tmp_path):
    """On real sockets: the roster server's call lives on, and is released at the BYE."""
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


def test_the_console_answers_and_its_end_ends_no_call(tmp_path):
    """Its closing must not stop the program."""
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
