"""Digest authentication on the server side (RFC 7616; RFC 8760 for SIP): users, their hashes, and nonces.

A nonce contains its creation time and a proof of its origin. The module does no I/O: the clock, the secret
and the text of the user file are passed in. Passwords are neither kept nor logged, and failed attempts leave
no state.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.sip import grammar

# The strongest first; the values are the names in `hashlib`.
ALGORITHMS = {"SHA-512-256": "sha512_256", "SHA-256": "sha256", "MD5": "md5"}
TIMESTAMP_DIGITS = 12  # hex digits of the timestamp of a nonce, in milliseconds
PROOF_DIGITS = 24  # hex digits of the proof in a nonce
COUNT_DIGITS = 8  # hex digits of the nonce count `nc` (RFC 7616, 3.4)
COUNT_WINDOW = 64  # counts below the highest that are accepted out of order, as UDP may reorder requests
MAX_NONCES = 20_000  # nonces whose counts are kept; a client whose nonce was evicted is challenged again
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
LOWER_HEX_DIGITS = frozenset("0123456789abcdef")
USER_LINE_FIELDS = 4

UserHashes = Mapping[tuple[str, str], str]  # (user, algorithm) -> hash


class UserFileError(ValueError):
    """Raised for an invalid line of a user file, named by number, or an invalid user, realm or password."""


def hex_digest(algorithm: str, text: str) -> str:
    """Return the hex digest of a text. Raises KeyError for an unknown algorithm."""
    data = text.encode("utf-8", "surrogateescape")
    return hashlib.new(ALGORITHMS[algorithm], data, usedforsecurity=False).hexdigest()


def user_hash(algorithm: str, user: str, realm: str, password: str) -> str:
    """Return the hash that is stored in place of a password: H(A1) of RFC 7616, 3.4.2."""
    return hex_digest(algorithm, f"{user}:{realm}:{password}")


def format_user_lines(user: str, realm: str, password: str, algorithms: Iterable[str]) -> list[str]:
    """Return the lines of a user file for one user, a line for each algorithm.

    Raises UserFileError for a user or realm that the file format can't represent.
    """
    if not user or any(char in user for char in ':\r\n"') or any(char in realm for char in ":\r\n"):
        raise UserFileError(
            "user must not be empty or contain a colon, quote or line end, and realm no colon or line end"
        )
    return [f"{user}:{realm}:{each}:{user_hash(each, user, realm, password)}" for each in algorithms]


def parse_users(text: str, realm: str, algorithms: Iterable[str]) -> dict[tuple[str, str], str]:
    """Parse a user file; returns (user, algorithm) -> hash for one realm and the given algorithms.

    Each line is `user:realm:algorithm:hash`, empty, or a comment that begins with `#`. Raises UserFileError
    for an invalid line.
    """
    allowed = set(algorithms)
    users: dict[tuple[str, str], str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        words = line.strip().split(":")
        if len(words) != USER_LINE_FIELDS or words[2] not in ALGORITHMS:
            raise UserFileError(f"line {number}: not user:realm:algorithm:hash")
        user, user_realm, algorithm, digest = words
        if len(digest) != len(hex_digest(algorithm, "")) or not LOWER_HEX_DIGITS.issuperset(digest):
            raise UserFileError(f"line {number}: the hash is not a hash of {algorithm}")
        if user_realm == realm and algorithm in allowed:
            if (user, algorithm) in users:
                raise UserFileError(f"line {number}: user {user} is listed twice for {algorithm}")
            users[user, algorithm] = digest
    return users


class CredentialCheck(Enum):
    """The result of the check of a request's credentials.

    The values of all results except the first two are counted and logged.
    """

    GOOD = "good"
    NONE = "none"  # the request has no digest credentials for our realm
    STALE = "stale"  # the response is correct, but the nonce is expired, evicted or not ours
    REPLAYED = "replayed"  # the response is correct, but the nonce count was used before, is 0 or too low
    BAD = "bad"  # the credentials are malformed or the response is wrong


@dataclass(frozen=True, slots=True)
class AuthenticationResult:
    """The result of the check of a request's credentials and, if they are good, the name of the user."""

    check: CredentialCheck
    user: str = ""


BAD_CREDENTIALS = AuthenticationResult(CredentialCheck.BAD)


@dataclass(eq=False, slots=True)
class _NonceCounts:
    """The used counts of a nonce: the highest, and a bit mask of the `COUNT_WINDOW` counts below it."""

    highest: int = 0
    used: int = 0  # bit n is set if the count `highest - n - 1` was used

    def claim(self, count: int) -> bool:
        """Mark a count as used; returns whether it was unused, and False for one below the window."""
        steps_above = count - self.highest
        if steps_above > 0:
            shifted = (
                (self.used << steps_above | 1 << (steps_above - 1)) if steps_above <= COUNT_WINDOW else 0
            )
            self.used = shifted & ((1 << COUNT_WINDOW) - 1)
            self.highest = count
            return True
        below = self.highest - count
        if below == 0 or below > COUNT_WINDOW or self.used >> (below - 1) & 1:
            return False
        self.used |= 1 << (below - 1)
        return True


@dataclass(eq=False)
class DigestAuthenticator:
    """The server side of digest authentication: makes challenges and checks the credentials of requests."""

    realm: str
    users: UserHashes
    secret: bytes
    clock: Callable[[], float]
    algorithms: tuple[str, ...] = ("SHA-512-256", "SHA-256")
    nonce_s: float = 300.0  # lifetime of a nonce in seconds
    _counts: OrderedDict[str, _NonceCounts] = field(default_factory=OrderedDict)
    _evicted_until: str = ""  # nonces with a timestamp up to this may have been evicted

    @property
    def nonce_count(self) -> int:
        """The number of nonces whose used counts are kept."""
        return len(self._counts)

    def nonce(self) -> str:
        """Return a new nonce: the current time, and a proof that this server made the nonce."""
        timestamp = f"{int(self.clock() * 1000):0{TIMESTAMP_DIGITS}x}"[-TIMESTAMP_DIGITS:]
        return timestamp + self._proof(timestamp)

    def challenges(self, stale: bool = False) -> list[str]:
        """Return a WWW-Authenticate value for each algorithm, the strongest first (RFC 8760, 2.3).

        `stale` indicates that only the nonce of the request was refused (RFC 7616, 3.3).
        """
        nonce = self.nonce()
        suffix = ", stale=true" if stale else ""
        return [
            f'Digest realm={grammar.quote(self.realm)}, nonce="{nonce}", qop="auth", algorithm={each}{suffix}'
            for each in self.algorithms
        ]

    def authenticate(self, method: str, uri: str, values: Iterable[str]) -> AuthenticationResult:
        """Check the credentials of a request, given the values of its Authorization headers."""
        result = AuthenticationResult(CredentialCheck.NONE)
        for value in values:
            try:
                scheme, credentials = grammar.parse_credentials(value)
            except grammar.GrammarError:
                result = BAD_CREDENTIALS
                continue
            if scheme != "digest" or credentials.get("realm") != self.realm:
                continue
            result = self._check(method, uri, credentials)
            if result.check is CredentialCheck.GOOD:
                return result
        return result

    def _check(self, method: str, uri: str, credentials: Mapping[str, str]) -> AuthenticationResult:
        if not self._is_well_formed(uri, credentials) or not self._is_response_correct(
            method, uri, credentials
        ):
            return BAD_CREDENTIALS
        nonce = credentials.get("nonce", "")
        is_fresh = self._is_own_nonce(nonce) and 0 <= self._nonce_age_s(nonce) <= self.nonce_s
        if not is_fresh or (nonce not in self._counts and nonce[:TIMESTAMP_DIGITS] <= self._evicted_until):
            return AuthenticationResult(CredentialCheck.STALE)
        if not self._claim_count(nonce, int(credentials.get("nc", ""), 16)):
            return AuthenticationResult(CredentialCheck.REPLAYED)
        return AuthenticationResult(CredentialCheck.GOOD, credentials.get("username", ""))

    def _is_well_formed(self, uri: str, credentials: Mapping[str, str]) -> bool:
        count = credentials.get("nc", "")
        return (
            _algorithm(credentials) in self.algorithms
            and credentials.get("qop", "").lower() == "auth"
            and bool(credentials.get("cnonce", ""))
            and len(count) == COUNT_DIGITS
            and HEX_DIGITS.issuperset(count)
            and credentials.get("uri") == uri
        )

    def _is_response_correct(self, method: str, uri: str, credentials: Mapping[str, str]) -> bool:
        """Whether the digest response matches the user's stored hash (RFC 7616, 3.4.1)."""
        algorithm = _algorithm(credentials)
        stored_hash = self.users.get((credentials.get("username", ""), algorithm))
        # For an unknown user the same work is done, so that the response time reveals no user names.
        a1 = stored_hash or hex_digest(algorithm, "")
        a2 = hex_digest(algorithm, f"{method}:{uri}")
        nonce, count, cnonce = (
            credentials.get("nonce", ""),
            credentials.get("nc", ""),
            credentials.get("cnonce", ""),
        )
        expected = hex_digest(algorithm, f"{a1}:{nonce}:{count}:{cnonce}:auth:{a2}")
        response = credentials.get("response", "").lower().encode("utf-8", "replace")
        return hmac.compare_digest(expected.encode(), response) and stored_hash is not None

    def _proof(self, timestamp: str) -> str:
        text = f"{timestamp}:{self.realm}".encode()
        return hmac.new(self.secret, text, hashlib.sha256).hexdigest()[:PROOF_DIGITS]

    def _is_own_nonce(self, nonce: str) -> bool:
        timestamp, proof = nonce[:TIMESTAMP_DIGITS], nonce[TIMESTAMP_DIGITS:]
        return (
            len(nonce) == TIMESTAMP_DIGITS + PROOF_DIGITS
            and nonce.isascii()
            and hmac.compare_digest(proof, self._proof(timestamp))
        )

    def _nonce_age_s(self, nonce: str) -> float:
        return self.clock() - int(nonce[:TIMESTAMP_DIGITS], 16) / 1000

    def _claim_count(self, nonce: str, count: int) -> bool:
        """Mark a count of a nonce as used; returns whether it was unused. Evicts old nonces."""
        counts = self._counts.get(nonce)
        if counts is None:
            counts = self._counts[nonce] = _NonceCounts()
            while (
                len(self._counts) > MAX_NONCES or self._nonce_age_s(next(iter(self._counts))) > self.nonce_s
            ):
                evicted, _ = self._counts.popitem(last=False)
                self._evicted_until = max(self._evicted_until, evicted[:TIMESTAMP_DIGITS])
        return count > 0 and counts.claim(count)


def _algorithm(credentials: Mapping[str, str]) -> str:
    return credentials.get("algorithm", "MD5").upper()
