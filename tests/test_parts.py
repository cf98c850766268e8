"""SIP's text form and the syslog text, piece by piece, and the syslog outlet of the real program."""

from __future__ import annotations

import re
import socket

import pytest

from stairhatch.node import sip_parser
from stairhatch.node.event_log import EventLog
from stairhatch.node.server_messages import parse_load_report
from stairhatch.node.syslog import Origin, Severity, format_message, structured_data

from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

FOLDED = (
    b"\r\n\r\nINVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP a;branch=z9hG4bK1,\r\n  SIP/2.0/TCP b\r\n"
    b'f: "A, B" <sip:a@net>;tag=1\r\nt: <sip:7@net;x=1,2>\r\ni: c\r\nCSEQ: 7 INVITE\r\nl:  3\r\n\r\nabc'
)


@pytest.mark.parametrize("step", [1, 2, 7, 1000])
def test_a_stream_is_cut_into_the_same_messages_however_it_comes(step):
    """Guards against messages lost or joined where reads end within them."""
    parser, found, data = sip_parser.StreamParser(), [], FOLDED * 3
    for at in range(0, len(data), step):
        parser.feed(data[at : at + step])
        while (message := parser.next_message()) is not None:
            found.append(message)
    assert len(found) == 3
    for message in found:
        assert message.get_all("via") == ["SIP/2.0/UDP a;branch=z9hG4bK1", "SIP/2.0/TCP b"]
        assert message.cseq() == (7, "INVITE")
        assert message.body == b"abc"
        assert message.get("from").startswith('"A, B"')
        assert message.get_all("to") == ["<sip:7@net;x=1,2>"]


@pytest.mark.parametrize("length", ["-1", "3 ", "x", "3\r\nContent-Length: 4", "99999999999"])
def test_lengths_that_lie_are_refused(length):
    """Guards against a stream that is cut in the wrong place, or grows without bound."""
    parser = sip_parser.StreamParser()
    parser.feed(f"BYE sip:7@net SIP/2.0\r\nContent-Length: {length}\r\n\r\nabc".encode())
    if length == "3 ":
        assert parser.next_message().body == b"abc"
        return
    with pytest.raises(sip_parser.SipError):
        parser.next_message()


def test_a_head_without_end_is_refused():
    """Guards against memory filled by one connection."""
    parser = sip_parser.StreamParser()

    def read_20_header_fields():
        for _ in range(20):
            parser.feed(b"a: " + b"b" * 1000 + b"\r\n")
            parser.next_message()

    with pytest.raises(sip_parser.SipError) as error:
        read_20_header_fields()
    assert error.value.status == 413


def test_a_load_report_is_read_by_the_settings_names():
    """Guards against figures taken for others; what is unknown or no number counts as missing."""
    report = parse_load_report("free:5;size:9;mean_ms:250;can_take:-1;other:3;depth:x")
    assert (
        report.free_lines,
        report.total_lines,
        report.processor_wait_s,
        report.admissible_rate,
        report.queue_length,
    ) == (5, 9, 0.25, None, None)


def test_structured_data_is_escaped():
    """Guards against a value that ends its element early (RFC 5424, 6.3.3)."""
    text = structured_data("a@1", {"b=]c": 'x"y]z\\', "é": "é"})
    assert text == '[a@1 b__c="x\\"y\\]z\\\\" _="é"]'
    assert structured_data("a@1", {}) == "-"


def test_a_message_has_the_form_of_rfc_5424():
    """Guards against receivers that reject what they can't read."""
    text = format_message(
        Origin("ho st", "stairhatch"), 1.5, Severity.WARNING, "link lost", {"server": "s-1"}
    )
    head = r"<132>1 1970-01-01T00:00:01\.500000Z ho_st stairhatch \d+ link_lost "
    assert re.fullmatch(head + r'\[stairhatch@32473 server="s-1"\] ' + "\ufefflink lost server=s-1", text)


def test_a_log_that_nobody_reads_delays_nothing(monkeypatch):
    """Guards against calls that wait for a terminal or a receiver: what does not fit is counted."""
    monkeypatch.setattr("stairhatch.node.event_log.MAX_QUEUED", 5)
    log = EventLog("stairhatch", "host", lambda: 1.0)
    log.close()
    for _ in range(20):
        log("event", a=1)
    assert log.suppressed >= 14


def test_the_program_tells_its_syslog_receiver(tmp_path):
    """Guards against an outlet that is configured and silent."""
    with socket.socket(type=socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(20)
        address = f"127.0.0.1:{receiver.getsockname()[1]}"
        program = Program.as_appliance(tmp_path, ScriptedServer(), ScriptedServer(), syslog=address)
        got = []
        wait_until(
            lambda: got.append(receiver.recv(9999).decode()) or any(" ready [" in each for each in got)
        )
        assert all(re.match(r"<13[24]>1 \d{4}-", each) for each in got)
        assert program.stop() == 0
