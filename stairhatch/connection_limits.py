"""Computes the limits on the connections and file descriptors of one process.

The limits follow from the configuration (`limits` of the platform) and from RLIMIT_NOFILE.
"""

from __future__ import annotations

import resource

from stairhatch.config.model import Config
from stairhatch.node.io.descriptor_budget import UNLIMITED
from stairhatch.node.io.listener import ListenerLimits

# Limits of the admin endpoint. Its descriptors are reserved, so that callers cannot exhaust them.
ADMIN_LIMITS = ListenerLimits(max_connections=12, first_request_timeout_s=3.0, eviction_grace_s=0.05)
CALLERS_PER_MEMORY_MB = 8  # connections per MB, so that they use at most a quarter of the memory
MIN_CALLERS = 16


def caller_connection_limit(config: Config) -> int:
    """Return the maximum number of open connections of callers.

    It is three quarters of the descriptors, the rest being for call servers, the coordinator and operators,
    but no more than fit into a quarter of the memory. With an inherited socket the limit is halved, less the
    connections of the admin endpoint, since another process may serve at the same time and the platform
    counts the connections of both.
    """
    limit = min(config.sockets * 3 // 4, config.memory_mb * CALLERS_PER_MEMORY_MB)
    return max(MIN_CALLERS, limit if config.inherited is None else limit // 2 - ADMIN_LIMITS.max_connections)


def descriptor_limit(config: Config) -> int:
    """Return the maximum number of descriptors of this process.

    It is the soft limit of RLIMIT_NOFILE, which is not raised, or the platform's limit if that is lower.
    """
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = UNLIMITED if soft_limit == resource.RLIM_INFINITY else soft_limit
    return min(limit, config.sockets) if config.listen is not None else limit
