"""`python -m stairhatch`: chooses between the two programs.

Without arguments it is the platform's softswitch, configured by the RELAY_ variables. With a command it is
the appliance's command line (`stairhatch.cli`), of which the platform's program imports nothing.
"""

from __future__ import annotations

import os
import signal
import sys

if len(sys.argv) == 1:  # a SIGHUP before the configuration is read ends nothing: it is read anyway
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from stairhatch.config.platform import read_platform
from stairhatch.main import serve


def main() -> int:
    """Run the platform's softswitch, or the command that is given; return the exit code."""
    if len(sys.argv) > 1:
        from stairhatch.cli.main import main as command_line

        return command_line()
    environ = dict(os.environ)
    return serve(lambda: read_platform(environ))


if __name__ == "__main__":
    sys.exit(main())
