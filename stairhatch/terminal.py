"""The operator's terminal: commands typed on standard input, answers on standard output.

Where standard input is a file or /dev/null it cannot be watched, and the terminal stays silent. The end of
the input ends nothing else.
"""

from __future__ import annotations

import asyncio
import os
import sys

from stairhatch.node.admin_console import PROMPT, AdminConsole

READ_BYTES = 4096
STDIN_DESCRIPTOR = 0


class Terminal:
    """Connects a console to standard input and output while the event loop runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """`loop` is the running event loop."""
        self._loop = loop
        self._console: AdminConsole | None = None

    def attach(self, console: AdminConsole) -> None:
        """Read commands for a console from standard input, if that can be watched."""
        try:
            self._loop.add_reader(STDIN_DESCRIPTOR, self._read)
        except (OSError, ValueError):
            return
        self._console = console
        if sys.stdin is not None and sys.stdin.isatty():
            self.write(f"stairhatch: type help for the commands\n{PROMPT}")

    def write(self, text: str) -> None:
        """Print on the terminal. Does nothing where no console is attached or nobody reads it any more."""
        if self._console is None:
            return
        try:
            sys.stdout.write(text)
            sys.stdout.flush()
        except OSError:
            self._loop.remove_reader(STDIN_DESCRIPTOR)

    def _read(self) -> None:
        try:
            data = os.read(STDIN_DESCRIPTOR, READ_BYTES)
        except OSError:
            data = b""
        if data and self._console is not None:
            self.write(self._console.feed(data))
        else:
            self._loop.remove_reader(STDIN_DESCRIPTOR)
