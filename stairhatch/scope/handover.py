"""What sets hand on when other settings merge or split them: open calls, and all that was learnt."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from stairhatch.overload.pending_queue import PendingCall
from stairhatch.scope.scoped_set import ScopedSet


def hand_over_call(call: PendingCall, old: ScopedSet, heir: ScopedSet) -> None:
    """Have the heir answer an open call of a set that parts."""
    heir.controller.calls[call.id] = call
    if call.id in old.controller.pending:
        heir.controller.pending.add(call)


def inherit(heir: ScopedSet, parting: Sequence[ScopedSet]) -> None:
    """Give a new set what the sets that it came from had learnt of its classes and servers."""
    for old in parting:  # a class may come from a set that shares no server with this one
        _inherit_caller_timeouts(heir, old)
    parents = [old for old in parting if heir.server_set.shares_servers_with(old.server_set)]
    for old in parents:
        heir.last_used_at = max(heir.last_used_at, old.last_used_at)
        _inherit_endpoints(heir, old)
        _inherit_backoffs(heir, old)
    known = heir.controller.endpoints
    heir.unsent_records = tuple(each for each in heir.unsent_records if each.server_id not in known)
    if parents:
        _inherit_averages(heir, parents)


def _inherit_caller_timeouts(heir: ScopedSet, old: ScopedSet) -> None:
    """The usual timeouts of the callers of its classes."""
    learnt = old.controller.parts.caller_retries.usual_timeout_s
    own = heir.controller.parts.caller_retries.usual_timeout_s
    own.update((name, usual_s) for name, usual_s in learnt.items() if name in heir.class_names)


def _inherit_endpoints(heir: ScopedSet, old: ScopedSet) -> None:
    """The endpoints of its numbers, with the set-ups that are out there."""
    for server_id, endpoint in old.controller.endpoints.items():
        if heir.server_set.has_number(endpoint.number):
            heir.controller.endpoints[server_id] = endpoint


def _inherit_backoffs(heir: ScopedSet, old: ScopedSet) -> None:
    """The called numbers that were busy; both heirs of a set that splits have a copy."""
    for called_number, backoff in old.controller.parts.backoffs.by_number.items():
        heir.controller.parts.backoffs.by_number[called_number] = replace(backoff)


def _inherit_averages(heir: ScopedSet, parents: Sequence[ScopedSet]) -> None:
    """What was learnt of calls. Of the use of lines the least counts: it bounds endpoints that warm up."""
    parts = heir.controller.parts
    learnt = [old.controller.parts for old in parents]
    peaks = [each.slow_start.peak_utilization for each in learnt]
    parts.slow_start.peak_utilization = replace(min(peaks, key=lambda peak: peak.value))
    parts.durations.expected.merge(each.durations.expected for each in learnt)
    parts.durations.observed.merge(each.durations.observed for each in learnt)
