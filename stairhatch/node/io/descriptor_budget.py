"""The descriptors that a process may hold, and who they are for."""

from __future__ import annotations

import os
from dataclasses import dataclass

SPARE = 16  # descriptors for these, and for what is opened for a moment: a configuration read anew
UNLIMITED = 1 << 30  # descriptors, where no limit is set


def descriptors_held() -> int:
    """How many descriptors this process holds; what a process holds before its connections, where the system
    does not tell.
    """
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 24


@dataclass(slots=True)
class Descriptors:
    """The descriptors that a process may hold, and who they are for.

    Callers hold a third of them at most by the platform's word, and that is theirs. What is over goes first
    to the roster servers and the coordinator, whether their connections are up or not.

    Guards against descriptors filled by callers who hold on while all servers are away: none was left to dial
    them when they were there again, and as nobody else connected, nobody was put out. And against a list that
    is longer than the limit: its links left none to callers and to the operators' door.
    """

    most: int = UNLIMITED
    base: int = 0  # held, or kept, for other things than callers and what is dialled
    dialled: int = 0  # connections that are kept up, be they open or not

    def least_for_callers(self) -> int:
        return self.most // 3

    def for_callers(self) -> int:
        return max(self.least_for_callers(), self._over() - self.dialled)

    def for_links(self) -> int:
        """How many links may be open at a time."""
        return max(self.most // 4, self._over() - self.least_for_callers() - 1)

    def _over(self) -> int:
        return self.most - self.base - min(SPARE, self.most // 8)
