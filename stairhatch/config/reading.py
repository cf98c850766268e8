"""What both readers of a configuration do: read a text file, and check the settings of the decisions."""

from __future__ import annotations

from typing import Any

from stairhatch.config.model import ConfigError
from stairhatch.overload.settings import Settings
from stairhatch.settings.parser import settings_from_object


def checked_settings(raw: Any, complete: bool) -> Settings:
    """Return the settings, in which each class has a name of its own.

    Raises SettingsError where a key cannot be used, or is missing where they have to be complete, and
    ConfigError where the classes cannot be told apart.
    """
    settings = settings_from_object(raw, complete=complete).settings
    names = [each.name for each in settings.classes]
    if not names:
        raise ConfigError("settings.classes: there is none")
    if len(set(names)) < len(names):
        raise ConfigError("settings.classes: two have one name")
    return settings


def read_text(path: str) -> str:
    """Return a file's text. Raises ConfigError that names the file if it cannot be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {error}") from error
