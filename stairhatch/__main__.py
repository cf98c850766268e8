"""`python -m stairhatch`: owns the choice between the two programs. Without arguments it is the platform's
softswitch, told what it needs by the RELAY_ variables; with a command it is the appliance's command line
(`stairhatch.cli`), of which the platform's program imports nothing.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable

import uvloop

from stairhatch.config import Config, ConfigError
from stairhatch.config.platform import read_platform
from stairhatch.service import run


def serve(reread: Callable[[], Config]) -> int:
    """Run the softswitch; a configuration that can't be used ends in one plain line and exit code 2."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # what comes before the start is over is read anyway
    try:
        uvloop.run(run(reread(), reread))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """The platform's softswitch, or what the command line says."""
    if len(sys.argv) > 1:
        from stairhatch.cli import main as command_line

        return command_line()
    environ = dict(os.environ)
    return serve(lambda: read_platform(environ))


if __name__ == "__main__":
    sys.exit(main())
