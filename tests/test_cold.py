"""Rule 4, summed over all nodes: what they may send together to a server that has just started (issue 11)."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest

from stairhatch.overload.actions import Action, SendSetup
from stairhatch.overload.events import AttemptOutcome, Availability, EndpointRecord, LoadReport, LoadReported
from stairhatch.overload.settings import CallClass, SafetyLimits, Settings

from .conftest import Node, sends

COLD, OTHERS = 10, (11, 12, 13)
STEP = 0.05
BORNE = 0.5  # the share of their lines that warm servers use
CLASSES = (
    CallClass(
        "plain",
        priority_weight=1,
        latency_objective_s=2.0,
        deadline_s=9,
        mean_duration_s=9.0,
        late_weight=0.2,
    ),
    CallClass(
        "vital",
        priority_weight=6,
        latency_objective_s=1.0,
        deadline_s=6,
        mean_duration_s=9.0,
        late_weight=0.2,
    ),
)


@dataclass
class Fleet:
    """Many nodes and one cold server; it answers as `answers` says and keeps each piece of work it gets."""

    nodes: int
    lines: float  # of the cold server; 0: no lines are told anywhere
    multiple: float
    answers: str
    now: float = 1000.0
    work: list[float] = field(default_factory=list)
    out: list[tuple[float, Node, SendSetup, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        safety = SafetyLimits(
            initial_capacity_fraction=0.28,
            warm_up_s=14,
            overload_multiple=self.multiple,
            overload_window_s=1.5,
        )
        self.settings = Settings(
            CLASSES,
            safety=safety,
            instance_count=self.nodes,
            retransmit_interval_s=0.8,
            max_attempts=6,
            event_period_s=0.005,
        )
        self.warm = BORNE * self.lines / CLASSES[0].mean_duration_s if self.lines else 0.1 * self.nodes
        self.budget = (
            safety.overload_multiple * safety.initial_capacity_fraction * self.warm * safety.overload_window_s
        )
        self.fleet = [self.fresh_node(number, number, 0.0) for number in range(self.nodes)]

    def fresh_node(self, number: int, seed: int, born: float) -> Node:
        """A node that has just started, told of all servers and their lines."""
        node = Node(replace(self.settings, instance_index=number), seed, self.now)
        node.list_servers(
            EndpointRecord(COLD, 0, started_at=born),
            *(EndpointRecord(server, server - COLD) for server in OTHERS),
        )
        if self.lines:
            node.tell(LoadReported(COLD, LoadReport(free_lines=self.lines, total_lines=self.lines)))
            for server in OTHERS:
                node.tell(LoadReported(server, LoadReport(free_lines=2000 * (1 - BORNE), total_lines=2000)))
        return node

    def learn_by_own_calls(self) -> None:
        """Without lines: each node calls each other server every ten seconds or so, for a minute."""
        chance = random.Random(11)
        for _ in range(60):
            self.now += 1.0
            for node in self.fleet:
                node.now = self.now
                for server in OTHERS:
                    if chance.random() < 0.1:
                        node.offer(choice=server - COLD)
                for act in sends(node.done):
                    node.stood(act.call_id, act.server_id, 0.03)
                    node.ended(act.call_id, act.server_id, AttemptOutcome.COMPLETED, True)
                node.done.clear()

    def start_cold(self) -> None:
        """All are told at once that the server has just started."""
        self.born = self.now
        for node in self.fleet:
            node.list_servers(EndpointRecord(COLD, 0, started_at=self.born), complete=False)

    def idle(self, seconds: float) -> None:
        """Nothing is offered; each node looks up whether the cold server may be used."""
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            for node in self.fleet:
                node.now = self.now
                node.core.parts.load_balancer.available(node.now)

    def lose_the_others(self, restarted: int) -> None:
        """Every other server is gone, and so many nodes have restarted."""
        for index in range(restarted):
            self.fleet[index] = self.fresh_node(index, 1000 + index, self.born)
        for node in self.fleet:
            gone = (EndpointRecord(server, server - COLD, Availability.GONE) for server in OTHERS)
            node.list_servers(*gone, complete=False)

    def rush(self, seconds: float) -> None:
        """Two calls wait at each node at any time."""
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            for node in self.fleet:
                node.now = self.now
                while len(node.core.pending) < 2:
                    before = len(node.core.calls)
                    self.take(node, node.offer(choice=1, kind=node.next_call % 2))
                    if len(node.core.calls) == before:
                        break  # refused at once
                self.take(node, node.ring())
            self.answer()

    def take(self, node: Node, actions: list[Action]) -> None:
        """Set-ups to the cold server are work; where `answers` is silence, so are their repeats."""
        for act in sends(actions):
            assert act.server_id == COLD
            over = self.now + (act.timeout_s or 3.0)
            self.work.append(self.now)
            self.out.append((over if self.answers == "silent" else self.now + STEP, node, act, self.now))
            again = self.settings.retransmit_interval_s
            while self.answers == "silent" and self.now + again < over:
                self.work.append(self.now + again)
                again = 2 * again + self.settings.retransmit_interval_s

    def answer(self) -> None:
        """What is due comes back to its node."""
        due = [item for item in self.out if item[0] <= self.now]
        self.out = [item for item in self.out if item[0] > self.now]
        for _, node, act, sent in due:
            if self.answers == "quick":
                node.stood(act.call_id, COLD, 0.01)
                node.ended(act.call_id, COLD, AttemptOutcome.COMPLETED, True, elapsed_s=self.now - sent)
            elif self.answers == "full":
                self.take(node, node.ended(act.call_id, COLD, AttemptOutcome.REJECTED))
            else:
                self.take(
                    node, node.ended(act.call_id, COLD, AttemptOutcome.TIMED_OUT, elapsed_s=self.now - sent)
                )

    def most_in_a_window(self) -> int:
        """The most work in any window of `fall_s`."""
        times, most, first = sorted(self.work), 0, 0
        for last, time in enumerate(times):
            while times[first] <= time - self.settings.safety.overload_window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.mark.parametrize("answers", ["quick", "full", "silent"])
@pytest.mark.parametrize(
    ("nodes", "lines", "multiple"),
    [(270, 140, 3.0), (270, 1200, 2.0), (270, 0, 3.0), (5, 400, 2.0), (5, 2000, 3.0)],
)
def test_all_nodes_together_keep_within_the_budget_of_a_cold_server(nodes, lines, multiple, answers):
    fleet = Fleet(nodes, lines, multiple, answers)
    if not lines:
        fleet.learn_by_own_calls()
    fleet.start_cold()
    fleet.idle(4.0)
    fleet.lose_the_others(restarted=nodes // 5)
    fleet.rush(9.0)
    assert fleet.most_in_a_window() <= fleet.budget
    # Nor is it starved: a part of what it is promised to do at its very start is used.
    least = (0.25 if lines else 0.15) * fleet.settings.safety.initial_capacity_fraction * fleet.warm * 9.0
    assert len(fleet.work) >= (least if answers == "quick" else 1)


@pytest.mark.parametrize(("nodes", "lines", "restarted"), [(200, 140, 0), (200, 140, 140), (200, 300, 40)])
def test_many_nodes_use_what_small_cold_servers_are_promised_to_bear(nodes, lines, restarted):
    """Guards against refusals while servers that were replaced idle: with an n-th of a turn for each of 200
    nodes twice the spread of their count stayed free, more than was used (join+mass). Dealt out whole, no
    window holds more than was dealt, but for nodes that restart within it.
    """
    fleet = Fleet(nodes, lines, 2.5, "quick")
    fleet.start_cold()
    fleet.idle(4.0)
    fleet.lose_the_others(restarted)
    fleet.rush(9.0)
    promised = fleet.settings.safety.initial_capacity_fraction * fleet.warm * 9.0
    assert len(fleet.work) >= 0.75 * promised
    assert fleet.most_in_a_window() <= 2 / 3 * fleet.budget


def test_a_node_that_does_not_know_its_number_has_no_part_in_what_is_left_over():
    """Guards against a fleet of which each node takes the same part for its own."""
    fleet = Fleet(60, 300, 2.5, "quick")
    fleet.start_cold()
    dealt = [node.core.slow_start_slots(fleet.now, node.core.endpoints[COLD]) for node in fleet.fleet]
    span = fleet.fleet[0].core.parts.slow_start.slot_span_s
    assert (
        set(dealt) == {0.0, 1.0}
        and 0
        < sum(dealt)
        <= fleet.fleet[0].core.parts.slow_start.admissible_rate(
            fleet.now, fleet.fleet[0].core.endpoints[COLD]
        )
        * span
    )
    unnumbered = Node(replace(fleet.settings, instance_index=-1), 1, fleet.now)
    unnumbered.core.endpoints.update(fleet.fleet[0].core.endpoints)
    assert unnumbered.core.slow_start_slots(fleet.now, unnumbered.core.endpoints[COLD]) == 0.0


def test_where_no_lines_are_told_the_guesses_of_all_nodes_come_to_less_than_was_borne():
    """The best that each node saw would come to half as much again."""
    fleet = Fleet(270, 0, 3.0, "quick")
    fleet.learn_by_own_calls()
    fleet.start_cold()
    guesses = [
        node.core.parts.slow_start.warm_rate(fleet.now, node.core.endpoints[COLD]) for node in fleet.fleet
    ]
    assert 0.3 * fleet.warm < sum(guesses) / len(guesses) < fleet.warm


def test_nothing_is_saved_up_for_a_cold_server():
    """After a long time without calls no more nodes may send at once than after a short one."""
    ready = []
    for idle in (2.0, 10.0):
        fleet = Fleet(270, 600, 3.0, "quick")
        fleet.start_cold()
        fleet.idle(idle)
        ready.append(
            sum(
                COLD in [s.id for s, _ in node.core.parts.load_balancer.available(fleet.now)]
                for node in fleet.fleet
            )
        )
    assert 0 < max(ready) <= fleet.budget / 2


def test_a_server_out_of_reach_is_tried_at_the_pace_of_a_cold_one():
    """It may start again at any moment, and what nodes try then falls on it before the list tells."""
    fleet = Fleet(270, 600, 3.0, "quick")
    for node in fleet.fleet:
        node.offer(choice=0)
        for act in sends(node.done):
            node.ended(act.call_id, act.server_id, AttemptOutcome.UNREACHABLE)
    fleet.lose_the_others(restarted=0)
    fleet.rush(4.0)
    assert 0 < fleet.most_in_a_window() <= fleet.budget


def test_a_server_that_was_out_of_reach_is_not_cold_for_good():
    fleet = Fleet(5, 400, 2.0, "quick")
    node = fleet.fleet[0]
    node.offer(choice=0)
    node.ended(1, COLD, AttemptOutcome.UNREACHABLE)
    node.now += 1.0
    node.list_servers(EndpointRecord(COLD, 0, started_at=node.now), complete=False)
    node.now += fleet.settings.safety.warm_up_s + 0.1
    assert not node.core.is_warming_up(node.now, node.core.endpoints[COLD])
    assert [act.timeout_s for act in sends(node.offer(choice=0))] == [0.0]
