"""Edits the file of SIP users (commands `stairhatch users add|remove|list`).

Each line of the file is `user:realm:algorithm:hash`, which `stairhatch.sip.digest_auth` parses. A change is
written to a temporary file in the same folder, which then replaces the file, so that a reader sees either the
complete old file or the complete new one. Only the owner may read the file. No function prints a password or
a hash.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterable
from pathlib import Path

from stairhatch.sip import digest_auth

FIELDS_PER_LINE = 4


def _read_lines(file: Path) -> list[str]:
    return file.read_text(encoding="utf-8").splitlines() if file.exists() else []


def _replace_file(file: Path, lines: Iterable[str]) -> None:
    """Replace the file atomically by one with these lines; the temporary file is removed on an error."""
    text = "".join(f"{line}\n" for line in lines)
    descriptor, temporary_name = tempfile.mkstemp(prefix=f".{file.name}.", dir=file.parent)
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
            stream.write(text)
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(temporary_name, file)
    except BaseException:
        os.unlink(temporary_name)
        raise


def _is_entry_of(line: str, user: str, realm: str) -> bool:
    """Return whether a line is an entry of the user in the realm; an empty realm matches any realm."""
    fields = line.strip().split(":")
    return len(fields) == FIELDS_PER_LINE and fields[0] == user and realm in ("", fields[1])


def add(file: Path, user: str, realm: str, password: str, md5: bool) -> str:
    """Add a user or replace the hashes of an existing one; return a message that states which was done.

    With `md5`, a hash for the algorithm MD5 is stored as well. Raises UserFileError if the name or the
    password is unusable or the file is malformed.
    """
    if not password:
        raise digest_auth.UserFileError("the password is empty")
    algorithms = [each for each in digest_auth.ALGORITHMS if md5 or each != "MD5"]
    new = digest_auth.format_user_lines(user, realm, password, algorithms)
    old = _read_lines(file)
    digest_auth.parse_users("\n".join(old), realm, algorithms)  # a malformed file is not overwritten
    kept = [line for line in old if not _is_entry_of(line, user, realm)]
    _replace_file(file, [*kept, *new])
    return f"{user}: {'changed' if len(kept) < len(old) else 'added'} in {file}; reload with SIGHUP"


def remove(file: Path, user: str, realm: str) -> str:
    """Remove the entries of a user and return a message that confirms it.

    An empty realm removes the user from all realms. Raises UserFileError if the file has no such user.
    """
    old = _read_lines(file)
    kept = [line for line in old if not _is_entry_of(line, user, realm)]
    if len(kept) == len(old):
        raise digest_auth.UserFileError(f"{file}: no user {user}")
    _replace_file(file, kept)
    return f"{user}: removed from {file}; reload with SIGHUP"


def list_users(file: Path) -> str:
    """Return one line for each user and realm, with the hash algorithms; `no users` for an empty file.

    Raises OSError if the file cannot be read.
    """
    algorithms: dict[tuple[str, str], list[str]] = {}
    for line in file.read_text(encoding="utf-8").splitlines():
        fields = line.strip().split(":")
        if len(fields) == FIELDS_PER_LINE and not line.startswith("#"):
            algorithms.setdefault((fields[0], fields[1]), []).append(fields[2])
    lines = [f"{user}  {realm}  {' '.join(names)}" for (user, realm), names in algorithms.items()]
    return "\n".join(lines) or "no users"
