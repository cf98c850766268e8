"""Digest authentication and the user file (RFC 7616)."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.sip import digest_auth

from .support.sip_layers import BOUNDED, digest_authenticator


def credentials(nonce, count, password="word", cnonce="c"):
    a2 = digest_auth.hex_digest("SHA-256", "INVITE:sip:7@net")
    a1 = digest_auth.user_hash("SHA-256", "office", "r", password)
    response = digest_auth.hex_digest("SHA-256", f"{a1}:{nonce}:{count:08x}:{cnonce}:auth:{a2}")
    return [
        f'Digest username="office", realm="r", nonce="{nonce}", uri="sip:7@net", response="{response}", '
        f'algorithm=SHA-256, cnonce="{cnonce}", qop=auth, nc={count:08x}'
    ]


@BOUNDED
@given(st.lists(st.integers(0, 200), max_size=80))
def test_a_nonce_count_is_accepted_once_in_any_order(counts):
    """A replayed count is refused, a count that UDP has reordered is accepted."""
    authenticator, _ = digest_authenticator()
    nonce, used, highest = authenticator.nonce(), set(), 0
    for count in counts:
        check = authenticator.authenticate("INVITE", "sip:7@net", credentials(nonce, count)).check
        if count in used or count == 0:
            assert check is digest_auth.CredentialCheck.REPLAYED
        elif count > highest - digest_auth.COUNT_WINDOW:
            assert check is digest_auth.CredentialCheck.GOOD
        used.add(count)
        highest = max(highest, count)


def test_an_evicted_nonce_is_stale_and_cannot_be_replayed(monkeypatch):
    """Otherwise a client could evict a nonce by using many others, and then replay its credentials."""
    monkeypatch.setattr(digest_auth, "MAX_NONCES", 3)
    authenticator, clock = digest_authenticator()
    first = authenticator.nonce()
    assert (
        authenticator.authenticate("INVITE", "sip:7@net", credentials(first, 1)).check
        is digest_auth.CredentialCheck.GOOD
    )
    for _ in range(5):
        clock.now += 0.01
        assert (
            authenticator.authenticate("INVITE", "sip:7@net", credentials(authenticator.nonce(), 1)).check
            is digest_auth.CredentialCheck.GOOD
        )
    assert (
        authenticator.authenticate("INVITE", "sip:7@net", credentials(first, 1)).check
        is digest_auth.CredentialCheck.STALE
    )
    clock.now += 301
    assert (
        authenticator.authenticate(
            "INVITE", "sip:7@net", credentials(authenticator.nonce()[:-1] + "x", 1)
        ).check
        is digest_auth.CredentialCheck.STALE
    )


def test_failed_attempts_keep_no_nonce():
    """Password guesses must not use up memory."""
    authenticator, _ = digest_authenticator()
    nonce = authenticator.nonce()
    for count in range(1, 2000):
        assert (
            authenticator.authenticate("INVITE", "sip:7@net", credentials(nonce, count, "wrong")).check
            is digest_auth.CredentialCheck.BAD
        )
    assert authenticator.nonce_count == 0


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("office:r:SHA-256", "line 2: not user"), ("office:r:SHA-1:00", "line 2: not user"),
        ("office:r:SHA-256:00", "line 2: the hash"), (digest_auth.format_user_lines("a", "r", "x", ["SHA-256"])[0], "is listed twice"),  # noqa: E501
    ],
)  # fmt: skip
def test_an_invalid_user_file_is_refused_with_its_line_number(line, message):
    """If invalid lines were ignored, their users would be rejected without a visible reason."""
    first = digest_auth.format_user_lines("a", "r", "x", ["SHA-256"])[0]
    with pytest.raises(digest_auth.UserFileError, match=message):
        digest_auth.parse_users(f"{first}\n{line}\n", "r", ["SHA-256"])
