"""The states of one softswitch process in a trial, by the times (seconds) at which it entered them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stairhatch.soak.record import Kind, Observation


@dataclass(slots=True)
class ProcessTimes:
    """Times at which one process of a softswitch changed its state; infinite if it did not."""

    started_at: float = -math.inf
    ready_at: float = math.inf
    terminated_at: float = math.inf
    killed_at: float = math.inf
    ended_at: float = math.inf
    drains: list[tuple[float, float]] = field(default_factory=list)  # start and end of each drain

    @property
    def was_killed_unannounced(self) -> bool:
        """Whether SIGKILL came without SIGTERM; the calls of such a process are excused."""
        return self.killed_at < math.inf and self.terminated_at == math.inf

    def observe(self, seen: Observation) -> None:
        """Record the change of state that an observation of the process shows, if any."""
        match seen.kind:
            case Kind.PROCESS_STARTED:
                self.started_at = seen.at
            case Kind.PROCESS_READY:
                self.ready_at = seen.at
            case Kind.TERMINATE_SENT:
                self.terminated_at = seen.at
            case Kind.KILL_SENT:
                self.killed_at = seen.at
            case Kind.PROCESS_ENDED:
                self.ended_at = seen.at
            case Kind.DRAIN_ON:
                self.drains.append((seen.at, math.inf))
            case Kind.DRAIN_OFF if self.drains:
                self.drains[-1] = (self.drains[-1][0], seen.at)
