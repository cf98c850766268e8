"""Rate limits: a token bucket for each source and for each network, in tables of bounded size.

A bucket refills at its rate up to its burst size. The limits are enforced only while the processor is
overloaded or the source is non-compliant, and only if other sources call as well: a call storm from one
source is limited to its rate exactly when it would harm others. Rates are new calls per second, times are
seconds.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass, field

NEVER_S = 1e6  # wait for a token of a bucket with a rate of 0


@dataclass(frozen=True, slots=True)
class RateLimitPolicy:
    """Rates and burst sizes of the buckets, and the size of the tables."""

    source_rate: float = 50.0
    source_burst: float = 100.0
    network_rate: float = 200.0
    network_burst: float = 400.0
    ipv4_network_bits: int = 24
    ipv6_network_bits: int = 64
    max_buckets: int = 4096  # beyond these, the least recently used bucket is dropped and starts anew
    sole_source_s: float = 5.0  # a source is not limited if no other has called for this long
    initial_fill: float = 0.25  # of a new bucket, once the table is half full: forged addresses gain less


@dataclass(eq=False, slots=True)
class TokenBucket:
    """Token bucket: the tokens at the time of the last refill, and how often it was empty."""

    rate: float
    burst: float
    tokens: float
    refilled_at: float
    rejections: int = 0

    def refill(self, now: float) -> float:
        """Refill the bucket; return its tokens. A clock that steps back adds none."""
        if now > self.refilled_at:
            self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.tokens

    def take(self, now: float) -> bool:
        """Take one token; return False and count a rejection if there is none."""
        if self.refill(now) < 1.0:
            self.rejections += 1
            return False
        self.tokens -= 1.0
        return True

    def put_back(self) -> None:
        """Put back a token that was taken for a call that is not admitted."""
        self.tokens += 1.0

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available: 0.0 if there is one, NEVER_S at a rate of 0."""
        return max(0.0, (1.0 - self.refill(now)) / self.rate) if self.rate > 0 else NEVER_S


def network_of(source: str, policy: RateLimitPolicy) -> str:
    """Return the network prefix of a source address; any other source is a network of its own."""
    try:
        address = ipaddress.ip_address(source.partition("%")[0])
    except ValueError:
        return source
    bits = policy.ipv4_network_bits if address.version == 4 else policy.ipv6_network_bits
    return str(ipaddress.ip_network((address, bits), strict=False))


@dataclass(eq=False, slots=True)
class SourceRateLimiter:
    """Rate limiter with the buckets of all sources and networks, the least recently used first."""

    policy: RateLimitPolicy = field(default_factory=RateLimitPolicy)
    sources: OrderedDict[str, TokenBucket] = field(default_factory=OrderedDict)
    networks: OrderedDict[str, TokenBucket] = field(default_factory=OrderedDict)
    _network_names: OrderedDict[str, str] = field(default_factory=OrderedDict)  # by source

    def take(self, source: str, now: float, overloaded: bool) -> float:
        """Count a new call of a source; return the seconds until it may be sent, 0.0 if it is admitted now.

        The limits are enforced only if `overloaded` is set and another source called within `sole_source_s`.
        """
        source_bucket = self._source_bucket(source, now)
        network_bucket = self._network_bucket(source, now)
        source_token_taken = source_bucket.take(now)
        network_token_taken = network_bucket.take(now)
        if (
            (source_token_taken and network_token_taken)
            or not overloaded
            or self._is_sole_source(source, now)
        ):
            return 0.0
        if source_token_taken:
            source_bucket.put_back()
        if network_token_taken:
            network_bucket.put_back()
        return max(source_bucket.wait_s(now), network_bucket.wait_s(now))

    def rejections_of(self, source: str) -> int:
        """Return how often a call of a source met an empty bucket; 0 for an unknown source."""
        bucket = self.sources.get(source)
        return bucket.rejections if bucket is not None else 0

    def _source_bucket(self, source: str, now: float) -> TokenBucket:
        policy = self.policy
        return self._bucket_of(self.sources, source, policy.source_rate, policy.source_burst, now)

    def _network_bucket(self, source: str, now: float) -> TokenBucket:
        name, policy = self._network_name(source), self.policy
        return self._bucket_of(self.networks, name, policy.network_rate, policy.network_burst, now)

    def _bucket_of(
        self, table: OrderedDict[str, TokenBucket], name: str, rate: float, burst: float, now: float
    ) -> TokenBucket:
        bucket = table.get(name)
        if bucket is not None:
            table.move_to_end(name)
            return bucket
        is_below_half = len(table) < self.policy.max_buckets // 2
        tokens = burst if is_below_half else burst * self.policy.initial_fill
        bucket = table[name] = TokenBucket(rate, burst, tokens, now)
        while len(table) > self.policy.max_buckets:
            table.popitem(last=False)
        return bucket

    def _network_name(self, source: str) -> str:
        name = self._network_names.get(source)
        if name is None:
            name = self._network_names[source] = network_of(source, self.policy)
            while len(self._network_names) > self.policy.max_buckets:
                self._network_names.popitem(last=False)
        return name

    def _is_sole_source(self, source: str, now: float) -> bool:
        """Return whether no other source called within `sole_source_s`, as at a site behind one proxy."""
        latest_other = next(
            (bucket for name, bucket in reversed(self.sources.items()) if name != source), None
        )
        return latest_other is None or now - latest_other.refilled_at > self.policy.sole_source_s
