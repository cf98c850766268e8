"""What can be wrong with settings: one exception for all of it, and one for each kind of fault."""

from __future__ import annotations

import json
from typing import Any

MAX_SHOWN_CHARACTERS = 40  # of a refused value, in a message of one line


class SettingsError(ValueError):
    """Settings that cannot be used; the text begins with the key's path and says why."""


class InvalidValueError(SettingsError):
    """A key has a value that is not allowed."""

    def __init__(self, path: str, rule: str, value: Any) -> None:
        """`rule` says what must be, such as "must be text"."""
        super().__init__(f"{path}: {rule}, not {_shown(value)}")
        self.path = path


class MissingKeyError(SettingsError):
    """A key that has to be there is missing."""

    def __init__(self, path: str) -> None:
        """`path` names the key."""
        super().__init__(f"{path}: is missing")
        self.path = path


class LostKeyError(SettingsError):
    """A key that is in force is missing in a new text."""

    def __init__(self, path: str) -> None:
        """`path` names the key."""
        super().__init__(f"{path} is missing, and is in force")
        self.path = path


def _shown(value: Any) -> str:
    """A value as JSON has it, cut short."""
    text = json.dumps(value, default=str)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."
