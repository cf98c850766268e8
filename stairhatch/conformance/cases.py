"""Cases as data: owns the reading of the files in `conformance/`, whose form `docs/conformance.md`
describes. It must never know how a case is played.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[2] / "conformance"
VERBS = ("send", "raw", "again", "ack", "expect", "request", "quiet", "wait", "count", "drop", "pong")
KEYS = frozenset(
    (
        *VERBS, "number", "call", "flow", "cseq", "branch", "to_tag", "from_tag", "headers", "body", "type",
        "uri", "pieces", "method", "within", "same_tag", "answer", "status", "request_method", "fill",
    )
)  # fmt: skip


class CaseError(ValueError):
    """A file of cases that can't be used."""


@dataclass(frozen=True)
class Case:
    """One case over one transport."""

    id: str
    section: str
    title: str
    transport: str
    steps: tuple[dict[str, Any], ...]
    virtual: bool = False
    needs: tuple[str, ...] = ()  # of the program's configuration: "auth", "ipv6"

    @property
    def name(self) -> str:
        """With its transport."""
        return f"{self.id}/{self.transport}"


def _filled(value: Any, words: dict[str, Any]) -> Any:
    if isinstance(value, str):
        whole = value[1:-1] if value[:1] == "{" and value[-1:] == "}" else ""
        if whole in words:
            return words[whole]
        for name, text in words.items():
            value = value.replace("{" + name + "}", str(text))
        return value
    if isinstance(value, dict):
        return {_filled(key, words): _filled(item, words) for key, item in value.items()}
    if isinstance(value, list):
        return [_filled(item, words) for item in value]
    return value


def read_cases(folder: Path = FOLDER) -> list[Case]:
    """All cases, in the order of the files; CaseError names the file and the case of a fault."""
    found: list[Case] = []
    seen: set[str] = set()
    for path in sorted(folder.glob("*.toml")):
        try:
            raw = tomllib.loads(path.read_text(encoding="utf-8"))
        except tomllib.TOMLDecodeError as error:
            raise CaseError(f"{path.name}: {error}") from None
        for table in raw.get("case", ()):
            for case in _cases(table, path.name):
                if case.name in seen:
                    raise CaseError(f"{path.name}: {case.name} stands twice")
                seen.add(case.name)
                found.append(case)
    if not found:
        raise CaseError(f"{folder}: no cases")
    return found


def _cases(table: dict[str, Any], file: str) -> list[Case]:
    try:
        ident, section, title, steps = (table[key] for key in ("id", "section", "title", "steps"))
    except KeyError as error:
        raise CaseError(f"{file}: {table.get('id', '?')}: no {error.args[0]}") from None
    for step in steps:
        verbs = [key for key in step if key in VERBS]
        odd = [key for key in step if key not in KEYS]
        if not verbs or odd:
            raise CaseError(f"{file}: {ident}: a step with {odd or 'no verb'}: {step}")
    found = []
    for number, words in enumerate(table.get("each", [{}])):
        name = f"{ident}-{words.get('as', number + 1)}" if "each" in table else ident
        for transport in table.get("over", ("udp", "tcp")):
            filled = tuple(_filled(step, words) for step in steps)
            found.append(
                Case(
                    name,
                    section,
                    _filled(title, words),
                    transport,
                    filled,
                    bool(table.get("virtual")),
                    tuple(table.get("needs", ())),
                )  # fmt: skip
            )
    return found
