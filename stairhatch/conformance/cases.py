"""Reads the case files in `conformance/`; `docs/conformance.md` describes their format."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stairhatch.conformance.errors import CaseError
from stairhatch.conformance.steps import Step, read_step

CASES_DIRECTORY = Path(__file__).resolve().parents[2] / "conformance"
TRANSPORTS = ("udp", "tcp")


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """One case over one transport, as the player plays it."""

    id: str
    section: str  # the section of an RFC that the case checks, such as "RFC 3261 8.2.1"
    title: str
    transport: str
    steps: tuple[Step, ...]
    virtual: bool = False  # the waits are too long to play over sockets by default
    needs: tuple[str, ...] = ()  # required configuration of the program; "auth": user authentication

    @property
    def name(self) -> str:
        """The case's id and its transport, as `id/transport`; unique among all cases."""
        return f"{self.id}/{self.transport}"


def read_cases(directory: Path = CASES_DIRECTORY) -> list[Case]:
    """Return all cases, in the order of the file names and of the tables in each file.

    Raises CaseError, naming the file and the case, for a case that can't be read or is defined twice, and for
    a directory without cases.
    """
    cases: dict[str, Case] = {}
    for path in sorted(directory.glob("*.toml")):
        try:
            document = tomllib.loads(path.read_text(encoding="utf-8"))
        except tomllib.TOMLDecodeError as error:
            raise CaseError(f"{path.name}: {error}") from error
        for table in document.get("case", ()):
            for case in _read_table(table, path.name):
                if case.name in cases:
                    raise CaseError(f"{path.name}: {case.name} is defined twice")
                cases[case.name] = case
    if not cases:
        raise CaseError(f"{directory}: no case is defined")
    return list(cases.values())


def _read_table(table: dict[str, Any], file_name: str) -> Iterator[Case]:
    """Yield the cases of one `[[case]]` table: one for each entry of `each` on each transport."""
    name = table.get("id", "?")
    if missing := [key for key in ("id", "section", "title", "steps") if key not in table]:
        raise CaseError(f"{file_name}: {name}: missing key {missing[0]}")
    for number, values in enumerate(table.get("each", [{}]), 1):
        case_id = f"{name}-{values.get('as', number)}" if "each" in table else name
        try:
            steps = tuple(read_step(_substitute(step, values)) for step in table["steps"])
        except CaseError as error:
            raise CaseError(f"{file_name}: {case_id}: {error}") from error
        for transport in table.get("over", TRANSPORTS):
            yield Case(
                id=case_id,
                section=table["section"],
                title=_substitute(table["title"], values),
                transport=transport,
                steps=steps,
                virtual=bool(table.get("virtual")),
                needs=tuple(table.get("needs", ())),
            )


def _substitute(template: Any, values: dict[str, Any]) -> Any:
    """Return a template with each `{name}` in its texts replaced by the value of that name.

    A text that consists of one `{name}` alone becomes the value itself, which keeps its type.
    """
    if isinstance(template, str):
        return _substitute_in_text(template, values)
    if isinstance(template, dict):
        return {_substitute(key, values): _substitute(item, values) for key, item in template.items()}
    if isinstance(template, list):
        return [_substitute(item, values) for item in template]
    return template


def _substitute_in_text(text: str, values: dict[str, Any]) -> Any:
    if text.startswith("{") and text.endswith("}") and text[1:-1] in values:
        return values[text[1:-1]]
    for name, value in values.items():
        text = text.replace("{" + name + "}", str(value))
    return text
