"""Validation of the decoded TOML file: errors for unknown keys, with a suggestion, and for wrong values."""

from __future__ import annotations

import difflib
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import inspect

from stairhatch.config.appliance.schema import ApplianceTable
from stairhatch.config.model import ConfigError

KEY_SIMILARITY = 0.5  # minimum similarity of a suggestion, from 0 to 1 (difflib)
MSGSPEC_PATH = re.compile(r" - at `\$\.?([^`]*)`\Z")


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """A key that the schema lacks, and the text of a suggestion, which may be empty."""

    path: str
    hint: str


def suggestion(word: str, known: Iterable[str], similarity: float = KEY_SIMILARITY) -> str:
    """Return "; did you mean WORD?" for the most similar known word.

    Return "" if no word reaches `similarity`, from 0 to 1 as difflib defines it.
    """
    nearest = difflib.get_close_matches(word, list(known), 1, similarity)
    return f"; did you mean {nearest[0]}?" if nearest else ""


def unknown_keys(raw: Any, kind: inspect.Type, path: str = "") -> Iterator[UnknownKey]:
    """Yield each key of the decoded file that the schema lacks, in the order of the file."""
    match kind:
        case inspect.UnionType():
            for each in kind.types:
                if _matches_container_type(raw, each):
                    yield from unknown_keys(raw, each, path)
        case inspect.ListType() if isinstance(raw, list):
            for index, item in enumerate(raw):
                yield from unknown_keys(item, kind.item_type, f"{path}[{index}]")
        case inspect.StructType() if isinstance(raw, dict):
            known = {field.encode_name: field.type for field in kind.fields}
            for key, value in raw.items():
                key_path = f"{path}.{key}" if path else str(key)
                if key in known:
                    yield from unknown_keys(value, known[key], key_path)
                else:
                    yield UnknownKey(key_path, suggestion(str(key), known))
        case _:
            return


def _matches_container_type(raw: Any, kind: inspect.Type) -> bool:
    """Return whether `raw` and the type in the schema are both tables or both lists."""
    match kind:
        case inspect.StructType():
            return isinstance(raw, dict)
        case inspect.ListType():
            return isinstance(raw, list)
        case _:
            return False


def validate(raw: Any) -> ApplianceTable:
    """Convert the decoded file into the schema's structs. Raises ConfigError for the first error."""
    for unknown in unknown_keys(raw, inspect.type_info(ApplianceTable)):
        raise ConfigError(f"{unknown.path}: unknown key{unknown.hint}")
    try:
        return msgspec.convert(raw, ApplianceTable)
    except msgspec.ValidationError as error:
        raise ConfigError(_error_text(str(error))) from error


def _error_text(text: str) -> str:
    """Return msgspec's error text in the form of this package, which begins with the key's path."""
    path = MSGSPEC_PATH.search(text)
    reason = MSGSPEC_PATH.sub("", text)
    reason = reason[:1].lower() + reason[1:].replace("`", "")
    return f"{path.group(1)}: {reason}" if path else reason
