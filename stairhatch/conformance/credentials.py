"""Digest credentials of a caller (RFC 7616), built from the templates in the cases."""

from __future__ import annotations

from stairhatch.conformance.errors import CheckFailedError
from stairhatch.node import sip_message as sip
from stairhatch.sip import digest_auth, grammar

USER = "office"
PASSWORD = "a long word"
REALM = "stairhatch"
DEFAULT_ALGORITHM = "SHA-256"
CLIENT_NONCE = "c0ffee"
PREFIX = "digest:"
DEFAULTS = (USER, PASSWORD, DEFAULT_ALGORITHM, "1")


def digest_credentials(template: str, method: str, uri: str, challenge: sip.SipMessage | None) -> str:
    """Return the value of the Authorization header for a template.

    The template is `digest:USER:PASSWORD:ALGORITHM:COUNT`. An empty word stands for its valid value, and
    `:nonce` at the end replaces the nonce by an invalid one. Raises CheckFailedError if `challenge` is None.
    """
    words = template.removeprefix(PREFIX).split(":")
    user, password, algorithm, count = (
        word or default for word, default in zip(words, DEFAULTS, strict=False)
    )
    if challenge is None:
        raise CheckFailedError("the program has sent no challenge")
    parameters = _challenge_parameters(challenge, algorithm)
    nonce, realm = parameters.get("nonce", ""), parameters.get("realm", "")
    if "nonce" in words:
        nonce = _invalid_nonce(nonce)
    user_hash = digest_auth.user_hash(algorithm, user, realm, password)
    request_hash = digest_auth.hex_digest(algorithm, f"{method}:{uri}")
    nonce_count = f"{int(count):08x}"
    response = digest_auth.hex_digest(
        algorithm, f"{user_hash}:{nonce}:{nonce_count}:{CLIENT_NONCE}:auth:{request_hash}"
    )
    return (
        f'Digest username="{user}", realm="{realm}", nonce="{nonce}", uri="{uri}", response="{response}", '
        f'algorithm={algorithm}, cnonce="{CLIENT_NONCE}", qop=auth, nc={nonce_count}'
    )


def _challenge_parameters(challenge: sip.SipMessage, algorithm: str) -> dict[str, str]:
    """Return the parameters of the last challenge for an algorithm, {} if there is none."""
    last_match: dict[str, str] = {}
    for value in challenge.get_lines("www-authenticate"):
        _, parameters = grammar.parse_credentials(value)
        if parameters.get("algorithm") == algorithm:
            last_match = parameters
    return last_match


def _invalid_nonce(nonce: str) -> str:
    """Return a nonce with its last character changed."""
    return nonce[:-1] + ("0" if nonce[-1:] != "0" else "1")
