"""A tally of a load (`load_tally`) as one process hands it to another."""

from __future__ import annotations

from msgspec import Struct, field


class TallySnapshot(Struct):
    """The counts and times of one process; histograms as hdrhistogram encodes them."""

    counts: dict[str, int]
    weight_offered: float = field(name="worth")
    weight_earned: float = field(name="earned")
    by_second: dict[str, dict[str, int]]
    setup_times: dict[str, str] = field(name="stood")  # by class
    response_times: str = field(name="answered")
    lateness: str
