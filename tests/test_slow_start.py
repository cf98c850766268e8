"""Tests of slow start: the rate of set-ups to a warming server depends on that server's size."""

from __future__ import annotations

from dataclasses import replace

from stairhatch.overload.events import (
    AttemptOutcome,
    Availability,
    EndpointRecord,
    LoadReport,
    LoadReported,
)

from .support.access_node import SETTINGS, setups


def test_the_rate_of_a_large_warming_server_exceeds_the_capacity_of_small_ones(make_node):
    """The size of a warming server follows from its lines; its answers must not change the rate."""
    rates = {}
    for lines in (100, 1000):
        node = make_node()
        node.handle(LoadReported(11, LoadReport(free_lines=50, total_lines=100)))
        node.update_endpoints(EndpointRecord(10, 0, started_at=node.now), complete=False)
        node.handle(LoadReported(10, LoadReport(free_lines=lines, total_lines=lines)))
        server = node.controller.endpoints[10]
        rates[lines] = node.slow_start.admissible_rate(node.now, server)
        node.established(1, 10, 0.001)
        assert node.slow_start.admissible_rate(node.now, server) == rates[lines]
        server.pending_setups[2] = node.now
        # A timeout must not count as an answer with a delay of 0.
        node.attempt_ended(2, 10, AttemptOutcome.TIMED_OUT, elapsed_s=3.0)
        assert node.slow_start.admissible_rate(node.now, server) <= rates[lines]
    assert rates[1000] > 5 * rates[100] > 0


def test_all_nodes_together_keep_within_the_capacity_of_a_small_warming_server(make_node):
    """The rate to a small warming server must not depend on the capacity of the largest server."""
    settings, totals = replace(SETTINGS, instance_count=240), []
    for lines in (200, 2000):
        sent = 0
        for seed in range(240):
            node = make_node(settings=replace(settings, instance_index=seed), seed=seed)
            node.handle(LoadReported(11, LoadReport(free_lines=200, total_lines=2000)))
            node.handle(LoadReported(10, LoadReport(free_lines=lines / 10, total_lines=lines)))
            node.update_endpoints(EndpointRecord(10, 0, started_at=node.now), complete=False)
            node.handle(LoadReported(10, LoadReport(free_lines=lines, total_lines=lines)))
            for _ in range(15):
                sent += sum(
                    act.server_id == 10
                    for act in setups(node.expire_timer(0.1) + node.offer(preferred_number=0))
                )
        totals.append(sent)
    warm_rates = [0.9 * lines / SETTINGS.classes[0].mean_duration_s for lines in (200, 2000)]
    safety = SETTINGS.safety
    for sent, rate in zip(totals, warm_rates, strict=True):
        assert (
            0
            < sent
            <= safety.overload_multiple * safety.initial_capacity_fraction * rate * safety.overload_window_s
        )


def test_the_first_server_after_a_full_outage_gets_the_rate_reached_before(make_node):
    """After an outage of all servers, the slow start of the first one must use the earlier utilization."""
    node = make_node(servers=1)
    for call in range(900, 910):
        node.attempt_ended(
            call, 10, AttemptOutcome.COMPLETED, True, report=LoadReport(free_lines=800, total_lines=1000)
        )
    node.now += 10.0
    node.update_endpoints(EndpointRecord(10, 0, started_at=node.now), complete=False)
    server = node.controller.endpoints[10]
    fresh = make_node(servers=1)
    assert node.slow_start.admissible_rate(node.now, server) > 3 * fresh.slow_start.admissible_rate(
        node.now, fresh.controller.endpoints[10]
    )
    assert 0 < node.slow_start.warm_rate(node.now + 30, server) < node.slow_start.warm_rate(node.now, server)


def test_the_rate_of_a_warming_server_does_not_follow_a_small_idle_server(make_node):
    """The low utilization of a small server must not count as much as that of a large one."""
    node = make_node(servers=3)
    node.handle(LoadReported(10, LoadReport(free_lines=100, total_lines=1000)))
    node.handle(LoadReported(11, LoadReport(free_lines=80, total_lines=100)))
    node.update_endpoints(EndpointRecord(10, 0, Availability.DRAINING), complete=False)
    node.now += 2.0
    node.update_endpoints(EndpointRecord(12, 0, started_at=node.now), complete=False)
    server = node.controller.endpoints[12]
    node.handle(LoadReported(12, LoadReport(free_lines=1000, total_lines=1000)))
    assert (
        node.slow_start.warm_rate(node.now, server)
        > 0.7 * 900 / node.controller.parts.durations.expected.mean
    )
