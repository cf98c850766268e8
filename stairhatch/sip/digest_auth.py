"""Digest authentication as a server (RFC 7616; RFC 8760 for SIP): users, their hashes, and nonces.

A nonce carries its own proof and age. Decisions and state alone: the clock and the secret are passed in, and
files are read by whoever gives their text. No password is kept or logged, and failed attempts leave nothing.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.sip import grammar

ALGORITHMS = {"SHA-512-256": "sha512_256", "SHA-256": "sha256", "MD5": "md5"}  # the strongest first
TIMESTAMP_DIGITS = 12  # hex digits of a nonce: milliseconds
PROOF_DIGITS = 24
COUNT_DIGITS = 8  # of `nc` (RFC 7616, 3.4)
COUNT_WINDOW = 64  # nonce counts that may come out of order, over UDP
MAX_NONCES = 20_000  # with counts kept; a client whose nonce was evicted is challenged anew
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
LOWER_HEX_DIGITS = frozenset("0123456789abcdef")
USER_LINE_FIELDS = 4

UserHashes = Mapping[tuple[str, str], str]  # (user, algorithm) -> hash


class UserFileError(ValueError):
    """A file of users that can't be used, with its line."""


def hex_digest(algorithm: str, text: str) -> str:
    """The hex digest of a text. KeyError for an unknown algorithm."""
    data = text.encode("utf-8", "surrogateescape")
    return hashlib.new(ALGORITHMS[algorithm], data, usedforsecurity=False).hexdigest()


def user_hash(algorithm: str, user: str, realm: str, password: str) -> str:
    """What is kept of a password (A1 of RFC 7616, 3.4.2)."""
    return hex_digest(algorithm, f"{user}:{realm}:{password}")


def format_user_lines(user: str, realm: str, password: str, algorithms: Iterable[str]) -> list[str]:
    """The lines of a file of users for one of them. UserFileError for a name that can't stand there."""
    if not user or any(char in user for char in ':\r\n"') or any(char in realm for char in ":\r\n"):
        raise UserFileError("a user or realm may not be empty, nor hold a colon, quote or line end")
    return [f"{user}:{realm}:{each}:{user_hash(each, user, realm, password)}" for each in algorithms]


def parse_users(text: str, realm: str, algorithms: Iterable[str]) -> dict[tuple[str, str], str]:
    """(user, algorithm) -> hash, of a realm. Raises UserFileError.

    Lines of `user:realm:algorithm:hash`; `#` begins a comment.
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
            raise UserFileError(f"line {number}: the hash is none of {algorithm}")
        if user_realm == realm and algorithm in allowed:
            if (user, algorithm) in users:
                raise UserFileError(f"line {number}: {user} stands twice for {algorithm}")
            users[user, algorithm] = digest
    return users


class CredentialCheck(Enum):
    """What a request's credentials are worth; the values of all but the first two are counted and logged."""

    GOOD = "good"
    NONE = "none"  # there are none for our realm
    STALE = "stale"  # right, but for a nonce that is too old or unknown by now
    REPLAYED = "replayed"  # right, but used before
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class AuthenticationResult:
    """What a request's credentials are worth and, where they are good, whose they are."""

    check: CredentialCheck
    user: str = ""


BAD_CREDENTIALS = AuthenticationResult(CredentialCheck.BAD)


@dataclass(eq=False, slots=True)
class _NonceCounts:
    """Which counts of a nonce were used: the highest, and a bit for each of those below it."""

    highest: int = 0
    used: int = 0

    def claim(self, count: int) -> bool:
        """Note a count as used; whether it was not before."""
        ahead = count - self.highest
        if ahead > 0:
            shifted = (self.used << ahead | 1 << (ahead - 1)) if ahead <= COUNT_WINDOW else 0
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
    """Challenges, and the credentials that come back."""

    realm: str
    users: UserHashes
    secret: bytes
    clock: Callable[[], float]
    algorithms: tuple[str, ...] = ("SHA-512-256", "SHA-256")
    nonce_s: float = 300.0  # how long a nonce is good
    _counts: OrderedDict[str, _NonceCounts] = field(default_factory=OrderedDict)
    _evicted_until: str = ""  # nonces up to this timestamp may have been evicted with their counts

    @property
    def nonce_count(self) -> int:
        """How many nonces have counts that were used."""
        return len(self._counts)

    def nonce(self) -> str:
        """A nonce: when it was made, and proof that it was made here."""
        timestamp = f"{int(self.clock() * 1000):0{TIMESTAMP_DIGITS}x}"[-TIMESTAMP_DIGITS:]
        return timestamp + self._proof(timestamp)

    def challenges(self, stale: bool = False) -> list[str]:
        """A WWW-Authenticate value for each algorithm, the strongest first (RFC 8760, 2.3)."""
        nonce = self.nonce()
        suffix = ", stale=true" if stale else ""
        return [
            f'Digest realm={grammar.quote(self.realm)}, nonce="{nonce}", qop="auth", algorithm={each}{suffix}'
            for each in self.algorithms
        ]

    def authenticate(self, method: str, uri: str, values: Iterable[str]) -> AuthenticationResult:
        """Check a request by the values of its Authorization headers."""
        result = AuthenticationResult(CredentialCheck.NONE)
        for value in values:
            try:
                scheme, given = grammar.parse_credentials(value)
            except grammar.GrammarError:
                result = BAD_CREDENTIALS
                continue
            if scheme != "digest" or given.get("realm") != self.realm:
                continue
            result = self._check(method, uri, given)
            if result.check is CredentialCheck.GOOD:
                return result
        return result

    def _check(self, method: str, uri: str, given: Mapping[str, str]) -> AuthenticationResult:
        if not self._is_well_formed(uri, given) or not self._is_response_right(method, uri, given):
            return BAD_CREDENTIALS
        nonce = given.get("nonce", "")
        fresh = self._is_own_nonce(nonce) and 0 <= self._nonce_age_s(nonce) <= self.nonce_s
        if not fresh or (nonce not in self._counts and nonce[:TIMESTAMP_DIGITS] <= self._evicted_until):
            return AuthenticationResult(CredentialCheck.STALE)
        if not self._claim_count(nonce, int(given.get("nc", ""), 16)):
            return AuthenticationResult(CredentialCheck.REPLAYED)
        return AuthenticationResult(CredentialCheck.GOOD, given.get("username", ""))

    def _is_well_formed(self, uri: str, given: Mapping[str, str]) -> bool:
        count = given.get("nc", "")
        return (
            _algorithm(given) in self.algorithms
            and given.get("qop", "").lower() == "auth"
            and bool(given.get("cnonce", ""))
            and len(count) == COUNT_DIGITS
            and HEX_DIGITS.issuperset(count)
            and given.get("uri") == uri
        )

    def _is_response_right(self, method: str, uri: str, given: Mapping[str, str]) -> bool:
        """Whether the response is what the user's password gives (RFC 7616, 3.4.1)."""
        algorithm = _algorithm(given)
        known_hash = self.users.get((given.get("username", ""), algorithm))
        a1 = known_hash or hex_digest(algorithm, "")  # an unknown user costs the same time
        a2 = hex_digest(algorithm, f"{method}:{uri}")
        nonce, count, cnonce = given.get("nonce", ""), given.get("nc", ""), given.get("cnonce", "")
        right = hex_digest(algorithm, f"{a1}:{nonce}:{count}:{cnonce}:auth:{a2}")
        response = given.get("response", "").lower().encode("utf-8", "replace")
        return hmac.compare_digest(right.encode(), response) and known_hash is not None

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
        """Note a nonce's count as used; whether it was not before."""
        counts = self._counts.get(nonce)
        if counts is None:
            counts = self._counts[nonce] = _NonceCounts()
            while (
                len(self._counts) > MAX_NONCES or self._nonce_age_s(next(iter(self._counts))) > self.nonce_s
            ):
                evicted, _ = self._counts.popitem(last=False)
                self._evicted_until = max(self._evicted_until, evicted[:TIMESTAMP_DIGITS])
        return count > 0 and counts.claim(count)


def _algorithm(given: Mapping[str, str]) -> str:
    return given.get("algorithm", "MD5").upper()
