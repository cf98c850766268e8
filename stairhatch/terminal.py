"""The operator's terminal: reads commands from standard input and prints answers on standard output.

If standard input is a file or /dev/null, the event loop cannot watch it, and the terminal prints nothing. The
end of the input does not end the program.
"""

from __future__ import annotations

import asyncio
import os
import sys

from stairhatch.node.admin_console import PROMPT, AdminConsole

READ_BYTES = 4096
STDIN_DESCRIPTOR = 0


class Terminal:
    """Connects an admin console to standard input and output while the event loop runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a terminal without a console; `loop` is the running event loop."""
        self._loop = loop
        self._console: AdminConsole | None = None

    def attach(self, console: AdminConsole) -> None:
        """Pass commands from standard input to `console`; do nothing if the input cannot be watched.

        A prompt is printed if standard input is an interactive terminal.
        """
        try:
            self._loop.add_reader(STDIN_DESCRIPTOR, self._read)
        except (OSError, ValueError):
            return
        self._console = console
        if sys.stdin is not None and sys.stdin.isatty():
            self.write(f"stairhatch: type help for the commands\n{PROMPT}")

    def write(self, text: str) -> None:
        """Print text on standard output, if a console is attached.

        If the output is closed, the terminal stops reading commands.
        """
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
