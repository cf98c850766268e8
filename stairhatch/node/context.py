"""What every part of the call manager needs from its process: settings, clock, event log and counters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stairhatch.node.counters import Counters
from stairhatch.node.ports import Logger
from stairhatch.overload.settings import Settings


@dataclass(slots=True, eq=False, repr=False)
class NodeContext:
    """One for a process, shared by the parts of its call manager. A reload replaces `settings`."""

    settings: Settings
    clock: Callable[[], float]  # Unix time in seconds, which never steps
    log: Logger
    counters: Counters
    tracing: bool = False  # whether each call leaves lines in the event log
