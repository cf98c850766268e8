"""Exceptions for unusable settings: a base class, and a subclass for each kind of fault."""

from __future__ import annotations

import json
from typing import Any

MAX_SHOWN_CHARACTERS = 40  # of a rejected value in an error message, which is one line


class SettingsError(ValueError):
    """The settings cannot be used; the message starts with the path of the key and gives the reason."""


class InvalidValueError(SettingsError):
    """The value of a key is not allowed."""

    def __init__(self, path: str, rule: str, value: Any) -> None:
        """Build the message from the key's path, the violated rule ("must be text") and the value."""
        super().__init__(f"{path}: {rule}, not {_truncated_json(value)}")
        self.path = path


class MissingKeyError(SettingsError):
    """A required key is missing."""

    def __init__(self, path: str) -> None:
        """Build the message for the required key at `path`."""
        super().__init__(f"{path}: is missing")
        self.path = path


class LostKeyError(SettingsError):
    """A new configuration lacks a key that the configuration in force has."""

    def __init__(self, path: str) -> None:
        """Build the message for the key at `path`, which is in force."""
        super().__init__(f"{path} is missing, but the configuration in force has it")
        self.path = path


def _truncated_json(value: Any) -> str:
    """Return a value as JSON, truncated to MAX_SHOWN_CHARACTERS."""
    text = json.dumps(value, default=str)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."
