"""How many connections and file descriptors one process may hold.

The figures come from the configuration (`limits` of the platform) and from the system (RLIMIT_NOFILE).
"""

from __future__ import annotations

import resource

from stairhatch.config.model import Config
from stairhatch.node.io.descriptor_budget import UNLIMITED
from stairhatch.node.io.listener import ListenerLimits

# At the admin endpoint. Its descriptors are set aside: callers cannot use them up.
ADMIN_LIMITS = ListenerLimits(max_connections=12, first_request_timeout_s=3.0, eviction_grace_s=0.05)
CALLERS_PER_MEMORY_MB = 8  # connections; they fill a quarter of the memory at most
MIN_CALLERS = 16


def caller_connection_limit(config: Config) -> int:
    """Return how many connections of callers may be open at a time.

    Three quarters of the descriptors, the others being for call servers, the coordinator and the operators,
    and no more than a quarter of the memory holds. Half of that where another process may serve beside this
    one (an inherited socket), since both count together.
    """
    limit = min(config.sockets * 3 // 4, config.memory_mb * CALLERS_PER_MEMORY_MB)
    return max(MIN_CALLERS, limit if config.inherited is None else limit // 2 - ADMIN_LIMITS.max_connections)


def descriptor_limit(config: Config) -> int:
    """Return how many descriptors this process may hold.

    The lower of what the platform allows and the soft limit of RLIMIT_NOFILE, which is not raised.
    """
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = UNLIMITED if soft_limit == resource.RLIM_INFINITY else soft_limit
    return min(limit, config.sockets) if config.listen is not None else limit
