"""Entry point of `python -m stairhatch`, which selects one of two programs.

Without arguments it runs the softswitch of the platform, which is configured by the RELAY_ environment
variables. With a command it runs the command line of the appliance (`stairhatch.cli`), which the platform's
program does not import.
"""

from __future__ import annotations

import os
import signal
import sys

if len(sys.argv) == 1:  # SIGHUP must not end the program before it has read its configuration
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from stairhatch.config.platform import read_platform
from stairhatch.main import serve


def main() -> int:
    """Run the platform's softswitch, or the command in the arguments, and return the exit code."""
    if len(sys.argv) > 1:
        from stairhatch.cli.main import main as command_line

        return command_line()
    environ = dict(os.environ)
    return serve(lambda: read_platform(environ))


if __name__ == "__main__":
    sys.exit(main())
