"""What a source may send: a token bucket for each source and each network, in tables of bounded size.

A source's bucket fills at its rate up to its burst size. While the processor is not overloaded a source may
go beyond it; while it is, it may not, unless nobody else calls. So one source's storm is cut to its rate
exactly when others would suffer from it. Rates are new calls a second, times are seconds.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass, field

NEVER_S = 1e6  # the wait for a token of a bucket that is not filled


@dataclass(frozen=True, slots=True)
class RateLimitPolicy:
    """The rates and burst sizes, and the size of the tables."""

    source_rate: float = 50.0
    source_burst: float = 100.0
    network_rate: float = 200.0
    network_burst: float = 400.0
    ipv4_network_bits: int = 24
    ipv6_network_bits: int = 64
    max_buckets: int = 4096  # beyond these the least recently used is dropped, and begins anew
    sole_source_s: float = 5.0  # a source beside which nobody has called for so long is not limited
    initial_fill: float = 0.25  # of a newcomer's bucket: a forged address buys less than a known one


@dataclass(eq=False, slots=True)
class TokenBucket:
    """Tokens, as of a time."""

    rate: float
    burst: float
    tokens: float
    refilled_at: float
    rejections: int = 0

    def refill(self, now: float) -> float:
        """The tokens now. A clock that stepped back fills nothing."""
        if now > self.refilled_at:
            self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.tokens

    def take(self, now: float) -> bool:
        """Take one token, if there is one."""
        if self.refill(now) < 1.0:
            self.rejections += 1
            return False
        self.tokens -= 1.0
        return True

    def put_back(self) -> None:
        """Return a token that was taken for a call that is not admitted."""
        self.tokens += 1.0

    def wait_s(self, now: float) -> float:
        """How long until there is a token."""
        return max(0.0, (1.0 - self.refill(now)) / self.rate) if self.rate > 0 else NEVER_S


def network_of(source: str, policy: RateLimitPolicy) -> str:
    """The network that a source belongs to; a source that is no address is a network of its own."""
    try:
        address = ipaddress.ip_address(source.partition("%")[0])
    except ValueError:
        return source
    bits = policy.ipv4_network_bits if address.version == 4 else policy.ipv6_network_bits
    return str(ipaddress.ip_network((address, bits), strict=False))


@dataclass(eq=False, slots=True)
class SourceRateLimiter:
    """The buckets of all sources and networks, the one touched longest ago first."""

    policy: RateLimitPolicy = field(default_factory=RateLimitPolicy)
    sources: OrderedDict[str, TokenBucket] = field(default_factory=OrderedDict)
    networks: OrderedDict[str, TokenBucket] = field(default_factory=OrderedDict)
    _network_names: OrderedDict[str, str] = field(default_factory=OrderedDict)  # of each source

    def take(self, source: str, now: float, overloaded: bool) -> float:
        """Count a new call of a source; the seconds until it may come, 0.0 where it may come now."""
        own = self._source_bucket(source, now)
        shared = self._network_bucket(source, now)
        own_taken = own.take(now)
        shared_taken = shared.take(now)
        if (own_taken and shared_taken) or not overloaded or self._is_sole_source(source, now):
            return 0.0
        if own_taken:
            own.put_back()
        if shared_taken:
            shared.put_back()
        return max(own.wait_s(now), shared.wait_s(now))

    def rejections_of(self, source: str) -> int:
        """How often a source has found its bucket empty."""
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
        has_space = len(table) < self.policy.max_buckets // 2
        tokens = burst if has_space else burst * self.policy.initial_fill
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
        """Whether nobody else calls, so that nobody suffers from this one: a site behind one proxy."""
        other = next((bucket for name, bucket in reversed(self.sources.items()) if name != source), None)
        return other is None or now - other.refilled_at > self.policy.sole_source_s
