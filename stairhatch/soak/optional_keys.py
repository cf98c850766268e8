"""Optional and undocumented keys of the settings, which come and go with the reloads of a trial.

No rule of the platform depends on them: a configuration that adds or leaves them out must be applied, as it
may bring another coordinator as well.
"""

from __future__ import annotations

from typing import Any

UNDOCUMENTED_VALUES: tuple[Any, ...] = ({"inner": {"leaf": 1}}, 7, [{"name": "a", "leaf": 1}], [])


def with_optional_keys(settings: dict[str, Any], change: int) -> dict[str, Any]:
    """Return the settings of the configuration number `change`; the start is 0.

    Each second one has an optional key in all classes but the first, and in the prices. An undocumented key
    changes its type each time, and is left out in each third configuration.
    """
    has_optional = change % 2 == 1
    classes = [
        {**each, "aim_stretch": 0.5} if has_optional and index else each
        for index, each in enumerate(settings["classes"])
    ]
    prices = {"waste": 0.02, "fleet": 0.1} if has_optional else {"waste": 0.02}
    changed = {**settings, "classes": classes, "prices": prices}
    if change % 3:
        changed["undocumented"] = UNDOCUMENTED_VALUES[change % len(UNDOCUMENTED_VALUES)]
    return changed
