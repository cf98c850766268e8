"""Tests of the event log, its syslog messages, and the parsing of load reports."""

from __future__ import annotations

import re
import socket

from stairhatch.node.event_log import MAX_WARNINGS, EventLog
from stairhatch.node.server_messages import parse_load_report
from stairhatch.node.syslog import Origin, Severity, format_message, structured_data

from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until


def test_a_load_report_is_parsed_with_the_field_names_of_the_settings():
    """Each value goes to its own field; unknown fields and values that are not numbers count as missing."""
    report = parse_load_report("free:5;size:9;mean_ms:250;can_take:-1;other:3;depth:x")
    assert (
        report.free_lines,
        report.total_lines,
        report.processor_wait_s,
        report.admissible_rate,
        report.queue_length,
    ) == (5, 9, 0.25, None, None)


def test_structured_data_is_escaped():
    """No value can end its element early (RFC 5424, 6.3.3)."""
    text = structured_data("a@1", {"b=]c": 'x"y]z\\', "é": "é"})
    assert text == '[a@1 b__c="x\\"y\\]z\\\\" _="é"]'
    assert structured_data("a@1", {}) == "-"


def test_a_message_has_the_form_of_rfc_5424():
    """A message has the header, structured data and text that a syslog receiver expects."""
    text = format_message(
        Origin("ho st", "stairhatch"), 1.5, Severity.WARNING, "link lost", {"server": "s-1"}
    )
    head = r"<132>1 1970-01-01T00:00:01\.500000Z ho_st stairhatch \d+ link_lost "
    assert re.fullmatch(head + r'\[stairhatch@32473 server="s-1"\] ' + "\ufefflink lost server=s-1", text)


def test_a_log_whose_queue_is_full_drops_events_without_blocking(monkeypatch):
    """Calls do not wait for a terminal or a receiver: events that do not fit are counted and dropped."""
    monkeypatch.setattr("stairhatch.node.event_log.MAX_QUEUED", 5)
    log = EventLog("stairhatch", "host", lambda: 1.0)
    log.close()
    for _ in range(20):
        log("event", a=1)
    assert log.suppressed >= 14


def test_the_program_sends_its_events_to_the_syslog_receiver(tmp_path):
    """A configured receiver gets each event as a syslog datagram."""
    with socket.socket(type=socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(20)
        address = f"127.0.0.1:{receiver.getsockname()[1]}"
        program = Program.as_appliance(tmp_path, ScriptedServer(), ScriptedServer(), syslog=address)
        messages = []
        wait_until(
            lambda: messages.append(receiver.recv(9999).decode())
            or any(" ready [" in each for each in messages)
        )
        assert all(re.match(r"<13[24]>1 \d{4}-", each) for each in messages)
        assert program.stop() == 0


def test_a_flood_of_one_event_is_suppressed_and_counted(capfd):
    """A hostile peer cannot make the log use more processor time than the calls."""
    now = [1.0]
    log = EventLog("stairhatch", "host", lambda: now[0])
    for _ in range(500):
        log("malformed", side="caller")
    now[0] = 2.5
    log("malformed", side="caller")
    log.close()
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == MAX_WARNINGS + 1
    assert lines[-1].endswith("suppressed_before=480")
