"""Changes the file of SIP users by command (`stairhatch users add|remove|list`).

A line of the file is `user:realm:algorithm:hash` (`stairhatch.sip.digest_auth` reads it). A change is
written beside the file and renamed over it, so that a reader sees the old file or the new one whole. Only its
owner may read it, and nothing here prints a password or a hash.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterable
from pathlib import Path

from stairhatch.sip import digest_auth

FIELDS = 4  # of a line


def _read_lines(file: Path) -> list[str]:
    return file.read_text(encoding="utf-8").splitlines() if file.exists() else []


def _replace_file(file: Path, lines: Iterable[str]) -> None:
    """Write the lines beside the file and rename them over it; the temporary file never stays behind."""
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


def _is_entry_of(line: str, user: str, realm: str) -> bool:
    """Whether a line is a user's; an empty realm matches any."""
    fields = line.strip().split(":")
    return len(fields) == FIELDS and fields[0] == user and realm in ("", fields[1])


def add(file: Path, user: str, realm: str, password: str, md5: bool) -> str:
    """Add a user, or replace its hashes; return the line that says which.

    Raises UsersError for a name or password that cannot be used, or a file that holds something else.
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
    """Remove a user; return the line that says so. Raises UsersError where there is none of that name."""
    old = _read_lines(file)
    kept = [line for line in old if not _is_entry_of(line, user, realm)]
    if len(kept) == len(old):
        raise digest_auth.UserFileError(f"{file}: no user {user}")
    _replace_file(file, kept)
    return f"{user}: removed from {file}; reload with SIGHUP"


def list_users(file: Path) -> str:
    """Return a line for each user and realm with its algorithms."""
    algorithms: dict[tuple[str, str], list[str]] = {}
    for line in file.read_text(encoding="utf-8").splitlines():
        fields = line.strip().split(":")
        if len(fields) == FIELDS and not line.startswith("#"):
            algorithms.setdefault((fields[0], fields[1]), []).append(fields[2])
    lines = [f"{user}  {realm}  {' '.join(names)}" for (user, realm), names in algorithms.items()]
    return "\n".join(lines) or "no users"
