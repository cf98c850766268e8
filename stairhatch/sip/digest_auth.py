"""Who may call: owns digest authentication as a server (RFC 7616, RFC 8760 for SIP), users and their hashes,
and nonces that carry their own proof and age. Decisions and state alone: the clock and the secret are passed
in, files are read by whoever gives their text. It must never keep or log a password, and must never be made
to grow by those who fail.
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
STAMP, PROOF = 12, 24  # hex digits in a nonce
WINDOW = 64  # nonce counts that may come out of order, over UDP
MOST_NONCES = 20_000  # with counts kept; what is pushed out must be asked for anew


class UserFileError(ValueError):
    """A file of users that can't be used, with its line."""


def hex_digest(algorithm: str, text: str) -> str:
    """The hex digest of a text. KeyError for an algorithm that isn't known here."""
    return hashlib.new(
        ALGORITHMS[algorithm], text.encode("utf-8", "surrogateescape"), usedforsecurity=False
    ).hexdigest()


def user_hash(algorithm: str, user: str, realm: str, password: str) -> str:
    """What is kept of a password (A1 of RFC 7616, 3.4.2)."""
    return hex_digest(algorithm, f"{user}:{realm}:{password}")


def format_user_lines(user: str, realm: str, password: str, algorithms: Iterable[str]) -> list[str]:
    """The lines of a file of users for one of them."""
    if not user or any(char in user for char in ':\r\n"') or any(char in realm for char in ":\r\n"):
        raise UserFileError("a user or realm may not be empty, nor hold a colon, quote or line end")
    return [f"{user}:{realm}:{each}:{user_hash(each, user, realm, password)}" for each in algorithms]


def parse_users(text: str, realm: str, algorithms: Iterable[str]) -> dict[tuple[str, str], str]:
    """(user, algorithm) -> hash, of a realm. Lines of `user:realm:algorithm:hash`; `#` begins a comment."""
    allowed, found = set(algorithms), {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        words = line.strip().split(":")
        if len(words) != 4 or words[2] not in ALGORITHMS:
            raise UserFileError(f"line {number}: not user:realm:algorithm:hash")
        if len(words[3]) != len(hex_digest(words[2], "")) or not all(
            c in "0123456789abcdef" for c in words[3]
        ):
            raise UserFileError(f"line {number}: the hash is none of {words[2]}")
        if words[1] == realm and words[2] in allowed:
            if (words[0], words[2]) in found:
                raise UserFileError(f"line {number}: {words[0]} stands twice for {words[2]}")
            found[words[0], words[2]] = words[3]
    return found


class CredentialCheck(Enum):
    """What a request's credentials are worth."""

    GOOD = "good"
    NONE = "none"  # there are none for our realm
    STALE = "stale"  # right, but for a nonce that is too old or unknown by now
    REPLAYED = "replayed"  # right, but used before
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Judged:
    """A verdict and, where it is good, whose credentials they were."""

    verdict: CredentialCheck
    user: str = ""


@dataclass(eq=False, slots=True)
class _Counts:
    """Which counts of a nonce were used: the highest, and a bit for each of those below it."""

    highest: int = 0
    seen: int = 0

    def use(self, count: int) -> bool:
        ahead = count - self.highest
        if ahead > 0:
            moved = (self.seen << ahead | 1 << (ahead - 1)) if ahead <= WINDOW else 0
            self.seen, self.highest = moved & ((1 << WINDOW) - 1), count
            return True
        below = self.highest - count
        if below == 0 or below > WINDOW or self.seen >> (below - 1) & 1:
            return False
        self.seen |= 1 << (below - 1)
        return True


@dataclass(eq=False)
class DigestAuthenticator:
    """The gate for requests: challenges, and what comes back."""

    realm: str
    users: Mapping[tuple[str, str], str]
    secret: bytes
    clock: Callable[[], float]
    algorithms: tuple[str, ...] = ("SHA-512-256", "SHA-256")
    nonce_s: float = 300.0
    _counts: OrderedDict[str, _Counts] = field(default_factory=OrderedDict)
    _floor: str = ""  # nonces as old as this were pushed out: whether one was used isn't known any more

    def nonce(self) -> str:
        """A nonce: when it was made, and proof that it was made here."""
        stamp = f"{int(self.clock() * 1000):0{STAMP}x}"[-STAMP:]
        return stamp + self._proof(stamp)

    def _proof(self, stamp: str) -> str:
        text = f"{stamp}:{self.realm}".encode()
        return hmac.new(self.secret, text, hashlib.sha256).hexdigest()[:PROOF]

    def _made_here(self, nonce: str) -> bool:
        stamp, proof = nonce[:STAMP], nonce[STAMP:]
        return (
            len(nonce) == STAMP + PROOF and nonce.isascii() and hmac.compare_digest(proof, self._proof(stamp))
        )

    def _age(self, nonce: str) -> float:
        return self.clock() - int(nonce[:STAMP], 16) / 1000

    def challenges(self, stale: bool = False) -> list[str]:
        """A WWW-Authenticate value for each algorithm, the strongest first (RFC 8760, 2.3)."""
        nonce, mark = self.nonce(), ", stale=true" if stale else ""
        return [
            f'Digest realm={grammar.quote(self.realm)}, nonce="{nonce}", qop="auth", algorithm={each}{mark}'
            for each in self.algorithms
        ]

    def judge(self, method: str, uri: str, values: Iterable[str]) -> Judged:
        """Judge a request by its Authorization headers."""
        worst = Judged(CredentialCheck.NONE)
        for value in values:
            try:
                scheme, given = grammar.parse_credentials(value)
            except grammar.GrammarError:
                worst = Judged(CredentialCheck.BAD)
                continue
            if scheme != "digest" or given.get("realm") != self.realm:
                continue
            judged = self._judge(method, uri, given)
            if judged.verdict is CredentialCheck.GOOD:
                return judged
            worst = judged
        return worst

    def _judge(self, method: str, uri: str, given: Mapping[str, str]) -> Judged:
        algorithm = given.get("algorithm", "MD5").upper()
        user, nonce, count = given.get("username", ""), given.get("nonce", ""), given.get("nc", "")
        client, answer = given.get("cnonce", ""), given.get("response", "").lower()
        known = self.users.get((user, algorithm)) if algorithm in self.algorithms else None
        if algorithm not in self.algorithms or given.get("qop", "").lower() != "auth" or not client:
            return Judged(CredentialCheck.BAD)
        if (
            len(count) != 8
            or any(c not in "0123456789abcdefABCDEF" for c in count)
            or given.get("uri") != uri
        ):
            return Judged(CredentialCheck.BAD)
        kept = known or hex_digest(algorithm, "")  # the same work for a user that isn't known
        asked = hex_digest(algorithm, f"{method}:{uri}")
        right = hex_digest(algorithm, f"{kept}:{nonce}:{count}:{client}:auth:{asked}")
        if not hmac.compare_digest(right.encode(), answer.encode("utf-8", "replace")) or known is None:
            return Judged(CredentialCheck.BAD)
        fresh = self._made_here(nonce) and 0 <= self._age(nonce) <= self.nonce_s
        if not fresh or (nonce not in self._counts and nonce[:STAMP] <= self._floor):
            return Judged(CredentialCheck.STALE)
        if not self._use(nonce, int(count, 16)):
            return Judged(CredentialCheck.REPLAYED)
        return Judged(CredentialCheck.GOOD, user)

    def _use(self, nonce: str, count: int) -> bool:
        """Note a nonce's count as used; whether it was not before."""
        counts = self._counts.get(nonce)
        if counts is None:
            counts = self._counts[nonce] = _Counts()
            while len(self._counts) > MOST_NONCES or self._age(next(iter(self._counts))) > self.nonce_s:
                gone, _ = self._counts.popitem(last=False)
                self._floor = max(self._floor, gone[:STAMP])
        return count > 0 and counts.use(count)
