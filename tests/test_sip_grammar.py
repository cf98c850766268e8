"""What stands inside SIP header fields, and messages cut out of a stream."""

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
    ("one", "other", "same"),
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
def test_uris_are_compared_as_the_rfc_says(one, other, same):
    """Two names must not be taken for one resource, nor one for two (RFC 3261, 19.1.4)."""
    first, second = grammar.parse_uri(one), grammar.parse_uri(other)
    assert grammar.same_uri(first, second) is same
    assert grammar.same_uri(second, first) is same


@BOUNDED
@given(st.text(max_size=60), st.text(max_size=40), st.integers(1, 2**31 - 1))
def test_any_quoted_display_name_is_read_back(display, more, cseq):
    """Brackets, semicolons and quotes in a display name are no structure."""
    plain = (
        "".join(c for c in display if c.isprintable() and c not in "\r\n").encode("utf-8", "replace").decode()
    )
    text = f"{grammar.quote(plain)} <sip:a@b.example;x=y> ; tag = t{cseq} ; q={grammar.quote(more)}"
    if any(ord(c) < 32 or ord(c) == 127 for c in more):
        return
    address = grammar.parse_address(text)
    assert (address.display, address.uri, address.tag) == (plain, "sip:a@b.example;x=y", f"t{cseq}")
    assert address.parameters["q"] == more


@BOUNDED
@given(st.text(max_size=200))
def test_no_text_makes_a_parser_fail_otherwise_than_by_grammar_error(text):
    """Any other exception would end the connection that a header came on."""
    for read in (grammar.parse_address, grammar.parse_uri, grammar.parse_via, grammar.parse_credentials,
                 grammar.parse_media_type, grammar.parse_rack, grammar.parse_delta_seconds):  # fmt: skip
        with contextlib.suppress(grammar.GrammarError):
            read(text)


@BOUNDED
@given(
    st.lists(
        st.tuples(st.sampled_from(["INVITE", "OPTIONS", "BYE"]), st.binary(max_size=300)),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.integers(1, 90), min_size=1, max_size=40),
)
def test_messages_of_a_stream_are_the_same_however_it_is_cut(told, cuts):
    """No message is lost or joined: single bytes, one segment, and any cuts between."""
    data = b"".join(
        sip.request(method, "sip:7@net", list(sip_headers(method, "1", f"z9hG4bK{n}").items()), body)
        for n, (method, body) in enumerate(told)
    )
    for pieces in (cuts, [1], [len(data)]):
        parser, found, at, turn = sip_parser.StreamParser(resynchronizes=True), [], 0, 0
        while at < len(data):
            size = pieces[turn % len(pieces)]
            parser.feed(data[at : at + size])
            at, turn = at + size, turn + 1
            while (message := parser.next_message()) is not None:
                found.append((message.method, message.body))
        assert found == told
