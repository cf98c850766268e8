"""The program as an appliance, in its own process: mixed traffic over UDP and TCP, checked by its log."""

from __future__ import annotations

import itertools
import time

from stairhatch.node import sip_message as sip

from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers
from .support.waiting import wait_until

RETRY_PAUSE_S = 0.5  # minimum time between an attempt with an unclear outcome and the next one


def check(lines):
    """Check the call rules against the program's log lines; returns a list of the violations."""
    violations, final_counts, has_attempt_out, ended_at = [], {}, {}, {}
    for line in lines:
        words = line.split(" ")
        if len(words) < 2:
            continue
        at, event = float(words[0]), words[1]
        fields = dict(word.split("=", 1) for word in words[2:] if "=" in word)
        call = fields.get("call", "")
        if event in ("call_answered", "call_abandoned"):
            final_counts[call] = final_counts.get(call, 0) + 1
        elif event == "call_offered":
            final_counts.setdefault(call, 0)
        elif event == "attempt_sent":
            if has_attempt_out.get(call):
                violations.append(f"{call}: a second attempt was sent while the first had not ended")
            if at - ended_at.get(call, 0.0) < RETRY_PAUSE_S:
                violations.append(f"{call}: an attempt was sent within the retry pause")
            has_attempt_out[call] = True
        elif event == "attempt_ended" and fields.get("written") == "True":
            has_attempt_out[call] = False
            if fields["outcome"] in ("timed", "reset", "cancelled"):
                ended_at[call] = at
    return violations + [
        f"{call}: {count} final responses instead of one"
        for call, count in final_counts.items()
        if count != 1
    ]


def script_of_mixed_outcomes():
    """Return a roster server's script that gives its set-ups one of five outcomes in turn.

    The outcomes are establishment, release with one of three causes, and no reply.
    """
    outcomes = itertools.cycle(["establish", "reset", "full", "silent", "error"])

    def script(message, send):
        if message["verb"] != "START":
            return
        match next(outcomes):
            case "establish":
                send("STARTED", message["tag"], blob="d")
            case "reset":
                send("FINISH", message["tag"], rc=41)
            case "full":
                send("FINISH", message["tag"], rc=34)
            case "error":
                send("FINISH", message["tag"], rc=17)

    return script


def test_mixed_traffic_follows_the_call_rules_and_the_check_detects_violations(tmp_path):
    """UDP and TCP callers set up calls at two roster servers at the same time.

    Each call must get one final response, have at most one attempt out, and pause after an unclear outcome.
    The check must also fail on a log with a forged or a missing line.
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
        if number % 5 == 4:  # cancels calls of both transports
            caller.send("CANCEL", f"sip:{number % 2 * 7}1@net", {**headers, "cseq": "1 CANCEL"})
        if caller.udp:
            caller.sock.sendall(sent[call][1])  # retransmits the INVITE, after its CANCEL if there is one
    wait_until(
        lambda: all(caller.final_statuses(call) for call, (caller, _) in sent.items()), "all final responses"
    )
    for call, (caller, _) in sent.items():
        assert len(set(caller.final_statuses(call))) == 1
        response = next(m for _, m in caller.received if m.get("call-id") == call and m.status >= 200)
        is_established = response.status == 200
        transport = "UDP" if caller.udp else "TCP"
        headers = sip_headers(
            "ACK", "1",
            f"z9hG4bKack{call}" if is_established else sip.parameters(response.get("via"))["branch"],
            call, caller.host, transport, sip.parameters(response.get("to"))["tag"],
        )  # fmt: skip
        caller.send("ACK", "sip:x@net", headers)
        if is_established and response.cseq()[1] == "INVITE":
            caller.send("BYE", "sip:x@net", {**headers, "cseq": "2 BYE", "via": headers["via"] + "b"})
    assert program.stop() == 0
    lines = program.log_text().splitlines()
    assert check(lines) == []
    assert len(program.log_events("call_offered")) == 24
    attempt = next(line for line in lines if " attempt_sent " in line)
    response = next(line for line in lines if " call_answered " in line)
    reset = next(line for line in lines if "outcome=reset" in line)
    call = next(word for word in reset.split(" ") if word.startswith("call="))
    early_attempt = f"{reset.split(' ')[0]} attempt_sent {call} attempt=9 server=s"
    for extra in ([attempt, attempt], [response], [reset, early_attempt]):
        assert check(lines + extra), "the check must detect a forged line"
    assert check([line for line in lines if line is not response]), "the check must detect a missing response"


def test_a_dialog_survives_the_end_of_its_tcp_connection_and_is_ended_by_a_bye_over_udp(tmp_path):
    """The roster server's call stays established and is released at the BYE; tested on real sockets."""
    server = ScriptedServer()
    program = Program.as_appliance(tmp_path, server, ScriptedServer())
    tcp_caller, udp_caller = SipCaller(program.address), SipCaller(program.address, udp=True)
    tcp_caller.send(
        "INVITE", "sip:71@net", sip_headers("INVITE", host=tcp_caller.host, transport="TCP"), b"v=0"
    )
    tag = sip.parameters(tcp_caller.expect("c1", 200).get("to"))["tag"]
    ack = sip_headers("ACK", "1", "z9hG4bKb", host=tcp_caller.host, transport="TCP", to_tag=tag)
    tcp_caller.send("ACK", "sip:71@net", ack)
    tcp_caller.close()
    bye = sip_headers("BYE", "2", "z9hG4bKc", host=udp_caller.host, to_tag=tag)
    udp_caller.send("BYE", "sip:71@net", bye)
    assert udp_caller.expect("c1", 200).cseq() == (2, "BYE")
    wait_until(lambda: server.messages("FINISH"), "the release at the roster server")
    assert program.stop() == 0


def test_the_console_answers_commands_and_closing_it_ends_no_call(tmp_path):
    """The end of the console's input must not stop the program."""
    server = ScriptedServer()
    program = Program.as_appliance(tmp_path, server, ScriptedServer())
    caller = SipCaller(program.address, udp=True)
    caller.send("INVITE", "sip:71@net", sip_headers("INVITE", host=caller.host), b"v=0")
    caller.expect("c1", 200)
    stdin = program.process.stdin
    for command, expected in [
        ("help", "drain"), ("status", "1 standing"), ("status", "reload     never"), ("status", "links "),
        ("servers", "ready     up"), ("servers", "held standing"), ("calls", "save-roster"),
        ("counters", "calls_established"), ("wrong", "try help"),
    ]:  # fmt: skip
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        wait_until(lambda expected=expected: expected in program.log_text(), expected)
    stdin.close()
    time.sleep(0.05)
    caller.send("OPTIONS", "sip:x@net", sip_headers("OPTIONS", "9", "z9hG4bKo", "c2", caller.host))
    caller.expect("c2", 200)
    assert program.process.poll() is None
    assert program.stop() == 0
