"""The file of those who may call: owns how it is changed by command. A change is written beside the file and
renamed over it, so that a reader sees the old one or the new one whole; only its owner may read it. It must
never print a password or a hash.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterable
from pathlib import Path

from stairhatch.sip import auth


def _lines(file: Path) -> list[str]:
    return file.read_text(encoding="utf-8").splitlines() if file.exists() else []


def _write(file: Path, lines: Iterable[str]) -> None:
    text = "".join(f"{line}\n" for line in lines)
    handle, name = tempfile.mkstemp(prefix=f".{file.name}.", dir=file.parent)
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as out:
            out.write(text)
            out.flush()
            os.fsync(out.fileno())
        os.replace(name, file)
    except BaseException:
        os.unlink(name)
        raise


def _is(line: str, name: str, realm: str) -> bool:
    words = line.strip().split(":")
    return len(words) == 4 and words[0] == name and realm in ("", words[1])


def add(file: Path, name: str, realm: str, password: str, md5: bool) -> str:
    """Add a user, or replace its hashes. UsersError for a name or password that can't be used."""
    if not password:
        raise auth.UsersError("the password is empty")
    algorithms = [each for each in auth.ALGORITHMS if md5 or each != "MD5"]
    new = auth.user_lines(name, realm, password, algorithms)
    old = _lines(file)
    auth.read_users("\n".join(old), realm, algorithms)  # a spoilt file is not written over
    kept = [line for line in old if not _is(line, name, realm)]
    _write(file, [*kept, *new])
    return f"{name}: {'changed' if len(kept) < len(old) else 'added'} in {file}; reload with SIGHUP"


def remove(file: Path, name: str, realm: str) -> str:
    """Take a user out. UsersError where there is none of that name."""
    old = _lines(file)
    kept = [line for line in old if not _is(line, name, realm)]
    if len(kept) == len(old):
        raise auth.UsersError(f"{file}: no user {name}")
    _write(file, kept)
    return f"{name}: removed from {file}; reload with SIGHUP"


def listed(file: Path) -> str:
    """A line for each user and realm."""
    found: dict[tuple[str, str], list[str]] = {}
    for line in file.read_text(encoding="utf-8").splitlines():
        words = line.strip().split(":")
        if len(words) == 4 and not line.startswith("#"):
            found.setdefault((words[0], words[1]), []).append(words[2])
    return (
        "\n".join(f"{user}  {realm}  {' '.join(each)}" for (user, realm), each in found.items()) or "no users"
    )
