"""The names that leave the process: wire, settings, stored data, commands, metrics and log events."""

from __future__ import annotations

from .support.outer_names import NAMES_FILE, collect


def test_no_outer_name_is_gone_from_the_source():
    """A renamed field, key, command, metric or event breaks peers, stored data and operators' tools."""
    listed = NAMES_FILE.read_text().splitlines()
    assert listed == sorted(set(listed))
    assert not set(listed) - collect()
