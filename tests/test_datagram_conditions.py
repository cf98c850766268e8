"""Loss, duplication, delay and reordering of datagrams on an emulated network link."""

from __future__ import annotations

import random

from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink

COUNT = 2000
PERFECT = DatagramConditions()
DELAYED = DatagramConditions(delay_ms=5.0)


def rough_conditions(loss: float) -> DatagramConditions:
    return DatagramConditions(
        loss=loss, duplication=0.1, delay_ms=5.0, reordering=0.1, reordering_delay_ms=100.0
    )


def link(conditions: DatagramConditions) -> DatagramLink:
    return DatagramLink(conditions, random.Random(9))


def draw(link: DatagramLink) -> list[tuple[float, ...]]:
    return [link.draw_delays_s() for _ in range(COUNT)]


def test_the_same_seed_draws_the_same_delays():
    """A run is reproducible from its seed."""
    assert draw(link(rough_conditions(0.2))) == draw(link(rough_conditions(0.2)))


def test_datagrams_are_lost_duplicated_and_reordered_in_their_fractions():
    """The drawn effects occur at the rates of the conditions."""
    rough = link(rough_conditions(0.2))

    delays_s = draw(rough)

    assert 340 < delays_s.count(()) < 460
    assert 120 < rough.duplicated_count < 220
    assert 120 < rough.reordered_count < 220


def test_a_link_with_delay_alone_delays_all_datagrams_equally_and_is_not_perfect():
    """A link with a delay needs a relay; only a perfect link needs none."""
    assert set(draw(link(DELAYED))) == {(0.005,)}
    assert DELAYED.is_perfect is False
    assert PERFECT.is_perfect


def test_a_lost_datagram_does_not_change_the_others():
    """A lower loss fraction lets further datagrams arrive and leaves the delays of the others unchanged."""
    fewer_lost, more_lost = draw(link(rough_conditions(0.1))), draw(link(rough_conditions(0.2)))

    assert all(more in ((), fewer) for fewer, more in zip(fewer_lost, more_lost, strict=True))
