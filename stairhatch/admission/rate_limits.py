"""What a source may send: owns a token bucket for each source and each network, in a table of bounded size.
Fed with the time and the source; it must never know what is asked for, and never grow by sources that are
made up.

A source's bucket fills at its rate up to its burst. When the program has room a source may go beyond its own
bucket as long as its network's and the whole are not empty (borrowing); when it is pressed it may not. So
one office's storm is cut to its share exactly when others would suffer from it, and costs it nothing at
night.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class BucketPolicy:
    """New calls a second and at once."""

    source_rate: float = 50.0
    source_burst: float = 100.0
    network_rate: float = 200.0
    network_burst: float = 400.0
    network_v4: int = 24  # bits that make a network
    network_v6: int = 64
    most: int = 4096  # buckets kept; the one untouched longest goes, and begins anew as a newcomer
    alone_s: float = 5.0  # a source beside which nobody has called for so long is not limited
    newcomer: float = 0.25  # a newcomer's bucket is so full: a made-up address buys less than a known one


@dataclass(eq=False, slots=True)
class Bucket:
    """Tokens, as of a time."""

    rate: float
    burst: float
    tokens: float
    at: float
    refused: int = 0

    def fill(self, now: float) -> float:
        """The tokens now. A clock that stepped back fills nothing."""
        if now > self.at:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
            self.at = now
        return self.tokens

    def take(self, now: float) -> bool:
        """Take one, if there is one."""
        if self.fill(now) < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Until there is one again."""
        return max(0.0, (1.0 - self.fill(now)) / self.rate) if self.rate > 0 else 1e6


def network_of(source: str, policy: BucketPolicy) -> str:
    """The network that a source belongs to; a source that is no address is a network of its own."""
    try:
        address = ipaddress.ip_address(source.partition("%")[0])
    except ValueError:
        return source
    bits = policy.network_v4 if address.version == 4 else policy.network_v6
    return str(ipaddress.ip_network((address, bits), strict=False))


@dataclass(eq=False, slots=True)
class Buckets:
    """All buckets, the one touched longest ago first."""

    policy: BucketPolicy = field(default_factory=BucketPolicy)
    sources: OrderedDict[str, Bucket] = field(default_factory=OrderedDict)
    networks: OrderedDict[str, Bucket] = field(default_factory=OrderedDict)
    _names: OrderedDict[str, str] = field(default_factory=OrderedDict)

    def _bucket(
        self, table: OrderedDict[str, Bucket], name: str, rate: float, burst: float, now: float
    ) -> Bucket:
        bucket = table.get(name)
        if bucket is None:
            first = burst if len(table) < self.policy.most // 2 else burst * self.policy.newcomer
            bucket = table[name] = Bucket(rate, burst, first, now)
            while len(table) > self.policy.most:
                table.popitem(last=False)
        else:
            table.move_to_end(name)
        return bucket

    def _network(self, source: str) -> str:
        name = self._names.get(source)
        if name is None:
            name = self._names[source] = network_of(source, self.policy)
            while len(self._names) > self.policy.most:
                self._names.popitem(last=False)
        return name

    def take(self, source: str, now: float, pressed: bool) -> float:
        """A new call of a source: 0.0 if it may come, else the seconds until it may come again."""
        policy = self.policy
        own = self._bucket(self.sources, source, policy.source_rate, policy.source_burst, now)
        shared = self._bucket(
            self.networks, self._network(source), policy.network_rate, policy.network_burst, now
        )
        mine, ours = own.take(now), shared.take(now)
        if (mine and ours) or not pressed or self._alone(source, now):
            return 0.0
        if mine:
            own.tokens += 1.0  # it goes to nobody
        if ours:
            shared.tokens += 1.0
        return max(own.wait_s(now), shared.wait_s(now))

    def _alone(self, source: str, now: float) -> bool:
        """Whether nobody else calls, so that nobody suffers from this one: a site behind one proxy."""
        other = next((bucket for name, bucket in reversed(self.sources.items()) if name != source), None)
        return other is None or now - other.at > self.policy.alone_s

    def over(self, source: str) -> int:
        """How often a source has found its bucket empty."""
        bucket = self.sources.get(source)
        return bucket.refused if bucket is not None else 0
