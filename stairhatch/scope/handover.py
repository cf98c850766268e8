"""Transfer of state between sets that new settings merge or split: open calls and learned values."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from stairhatch.overload.pending_queue import PendingCall
from stairhatch.scope.scoped_set import ScopedSet


def hand_over_call(call: PendingCall, old: ScopedSet, successor: ScopedSet) -> None:
    """Transfer an open call of a replaced set to the successor, which answers it."""
    successor.controller.calls[call.id] = call
    if call.id in old.controller.pending:
        successor.controller.pending.add(call)


def transfer_learned_state(successor: ScopedSet, replaced_sets: Sequence[ScopedSet]) -> None:
    """Transfer what the replaced sets have learned of the successor's classes and servers."""
    for old in replaced_sets:  # a class may come from a set that shares no server with the successor
        _copy_caller_timeouts(successor, old)
    parents = [old for old in replaced_sets if successor.server_set.shares_servers_with(old.server_set)]
    for old in parents:
        successor.last_used_at = max(successor.last_used_at, old.last_used_at)
        _transfer_endpoints(successor, old)
        _copy_backoffs(successor, old)
    transferred = successor.controller.endpoints
    successor.unsent_records = tuple(
        each for each in successor.unsent_records if each.server_id not in transferred
    )
    if parents:
        _merge_averages(successor, parents)


def _copy_caller_timeouts(successor: ScopedSet, old: ScopedSet) -> None:
    """Copy the usual caller timeouts of the successor's classes."""
    learned = old.controller.parts.caller_retries.usual_timeout_s
    own = successor.controller.parts.caller_retries.usual_timeout_s
    own.update((name, usual_s) for name, usual_s in learned.items() if name in successor.class_names)


def _transfer_endpoints(successor: ScopedSet, old: ScopedSet) -> None:
    """Add the endpoints with the successor's numbers, together with their pending set-ups."""
    for server_id, endpoint in old.controller.endpoints.items():
        if successor.server_set.has_number(endpoint.number):
            successor.controller.endpoints[server_id] = endpoint


def _copy_backoffs(successor: ScopedSet, old: ScopedSet) -> None:
    """Copy the called numbers that were busy; after a split each successor has its own copy."""
    for called_number, backoff in old.controller.parts.backoffs.by_number.items():
        successor.controller.parts.backoffs.by_number[called_number] = replace(backoff)


def _merge_averages(successor: ScopedSet, parents: Sequence[ScopedSet]) -> None:
    """Merge the learned call durations; of the peak utilizations take the lowest.

    The peak utilization limits endpoints that warm up, so the lowest one is safe for all of them.
    """
    parts = successor.controller.parts
    learned = [old.controller.parts for old in parents]
    peaks = [each.slow_start.peak_utilization for each in learned]
    parts.slow_start.peak_utilization = replace(min(peaks, key=lambda peak: peak.value))
    parts.durations.expected.merge(each.durations.expected for each in learned)
    parts.durations.observed.merge(each.durations.observed for each in learned)
