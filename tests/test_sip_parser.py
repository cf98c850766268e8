"""Tests of the SIP parser: messages of a byte stream, invalid lengths and oversized heads."""

from __future__ import annotations

import pytest

from stairhatch.node import sip_parser

FOLDED = (
    b"\r\n\r\nINVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/UDP a;branch=z9hG4bK1,\r\n  SIP/2.0/TCP b\r\n"
    b'f: "A, B" <sip:a@net>;tag=1\r\nt: <sip:7@net;x=1,2>\r\ni: c\r\nCSEQ: 7 INVITE\r\nl:  3\r\n\r\nabc'
)


@pytest.mark.parametrize("read_size", [1, 2, 7, 1000])
def test_message_boundaries_do_not_depend_on_read_sizes(read_size):
    """Guards against messages that are lost or merged when a read ends inside a message."""
    parser, found, data = sip_parser.StreamParser(), [], FOLDED * 3
    for at in range(0, len(data), read_size):
        parser.feed(data[at : at + read_size])
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
def test_invalid_content_lengths_are_rejected(length):
    """Guards against wrong message boundaries and unlimited buffering after an invalid Content-Length.

    Only "3 " is valid: the space after the number is allowed.
    """
    parser = sip_parser.StreamParser()
    parser.feed(f"BYE sip:7@net SIP/2.0\r\nContent-Length: {length}\r\n\r\nabc".encode())
    if length == "3 ":
        assert parser.next_message().body == b"abc"
        return
    with pytest.raises(sip_parser.SipError):
        parser.next_message()


def test_a_head_without_end_is_rejected():
    """Guards against a connection that fills the memory with an endless message head."""
    parser = sip_parser.StreamParser()

    def read_20_header_fields():
        for _ in range(20):
            parser.feed(b"a: " + b"b" * 1000 + b"\r\n")
            parser.next_message()

    with pytest.raises(sip_parser.SipError) as error:
        read_20_header_fields()
    assert error.value.status == 413
