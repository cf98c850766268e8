"""Remove the temporary folder of a run when the run's process has ended, even if it was killed.

Usage: `python -m stairhatch.fault_injection.folder_cleanup FOLDER`, with a pipe from the run's process as
standard input. Only the run's process holds the write end, so the pipe is closed when that process ends.
"""

from __future__ import annotations

import shutil
import signal
import sys
from pathlib import Path

FOLDER_PREFIX = "stairhatch-lab-"


def main() -> int:
    """Wait for the end of standard input, remove the folder given as the first argument, and return 0.

    A folder whose name does not begin with `FOLDER_PREFIX` is not removed.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C signals the whole group; the run must end first
    folder = Path(sys.argv[1])
    sys.stdin.buffer.read()
    if folder.name.startswith(FOLDER_PREFIX):
        shutil.rmtree(folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
