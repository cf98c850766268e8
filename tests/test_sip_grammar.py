"""The grammar of SIP header fields, and the split of a stream into messages."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip import grammar

from .support.sip_layers import BOUNDED
from .support.sip_messages import sip_headers


@pytest.mark.parametrize(
    ("first_text", "second_text", "same"),
    [
        ("sip:alice@a.example;transport=TCP", "SIP:alice@A.EXAMPLE;Transport=tcp", True),
        ("sip:%61lice@a.example", "sip:alice@a.example", True),
        ("sip:a@b.example;new=5", "sip:a@b.example", True),
        ("sip:a@b.example;x=1;y=2", "sip:a@b.example;y=2;x=1", True),
        ("sip:a@b.example?x=1&y=2", "sip:a@b.example?y=2&x=1", True),
        ("sip:ALICE@b.example", "sip:alice@b.example", False),
        ("sip:a@b.example", "sip:a@b.example:5060", False),
        ("sip:a@b.example:5060", "sip:a@b.example:6000", False),
        ("sip:a@b.example", "sips:a@b.example", False),
        ("sip:a@b.example;x=1", "sip:a@b.example;x=2", False),
        ("sip:a@b.example;user=phone", "sip:a@b.example", False),
        ("sip:a@b.example;maddr=1.2.3.4", "sip:a@b.example", False),
        ("sip:a@b.example?x=1", "sip:a@b.example", False),
        ("sip:a:word@b.example", "sip:a@b.example", False),
        ("sip:a@[::1]", "sip:a@[::1]:5060", False),
        ("tel:+47-22.00(00)00", "tel:+4722000000", True),
        ("tel:7042;phone-context=example.com", "tel:7042", False),
        ("tel:7042;a=1;b=2", "tel:70-42;b=2;a=1", True),
    ],
)
def test_uri_comparison_follows_rfc_3261_and_rfc_3966(first_text, second_text, same):
    """Different resources must not compare equal, nor equivalent URIs different (RFC 3261, 19.1.4)."""
    first, second = grammar.parse_uri(first_text), grammar.parse_uri(second_text)
    assert grammar.same_uri(first, second) is same
    assert grammar.same_uri(second, first) is same


@BOUNDED
@given(st.text(max_size=60), st.text(max_size=40), st.integers(1, 2**31 - 1))
def test_any_quoted_display_name_and_parameter_round_trips(display, value, number):
    """Brackets, semicolons and quotes inside a quoted string must not be parsed as delimiters."""
    plain = (
        "".join(c for c in display if c.isprintable() and c not in "\r\n").encode("utf-8", "replace").decode()
    )
    text = f"{grammar.quote(plain)} <sip:a@b.example;x=y> ; tag = t{number} ; q={grammar.quote(value)}"
    if any(ord(c) < 32 or ord(c) == 127 for c in value):
        return
    address = grammar.parse_address(text)
    assert (address.display, address.uri, address.tag) == (plain, "sip:a@b.example;x=y", f"t{number}")
    assert address.parameters["q"] == value


@BOUNDED
@given(st.text(max_size=200))
def test_parsers_raise_only_grammar_errors_for_any_text(text):
    """Any other exception would end the connection on which the header was received."""
    for parse in (grammar.parse_address, grammar.parse_uri, grammar.parse_via, grammar.parse_credentials,
                 grammar.parse_media_type, grammar.parse_rack, grammar.parse_delta_seconds):  # fmt: skip
        with contextlib.suppress(grammar.GrammarError):
            parse(text)


@BOUNDED
@given(
    st.lists(
        st.tuples(st.sampled_from(["INVITE", "OPTIONS", "BYE"]), st.binary(max_size=300)),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.integers(1, 90), min_size=1, max_size=40),
)
def test_stream_parser_returns_the_same_messages_for_any_segmentation(requests, segment_sizes):
    """No message is lost or merged: in segments of any sizes, of single bytes, and in one segment."""
    data = b"".join(
        sip.request(method, "sip:7@net", list(sip_headers(method, "1", f"z9hG4bK{n}").items()), body)
        for n, (method, body) in enumerate(requests)
    )
    for sizes in (segment_sizes, [1], [len(data)]):
        parser, found, offset, segment = sip_parser.StreamParser(resynchronizes=True), [], 0, 0
        while offset < len(data):
            size = sizes[segment % len(sizes)]
            parser.feed(data[offset : offset + size])
            offset, segment = offset + size, segment + 1
            while (message := parser.next_message()) is not None:
                found.append((message.method, message.body))
        assert found == requests
