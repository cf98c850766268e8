"""Remove the temporary folder of a run once the run's process has ended, however it ended.

Started as `python -m stairhatch.fault_injection.folder_cleanup FOLDER`, with a pipe from the run's process as
its standard input. Only that process holds the other end, so the input ends with it, also when it is killed.
"""

from __future__ import annotations

import shutil
import signal
import sys
from pathlib import Path

FOLDER_PREFIX = "stairhatch-lab-"


def main() -> int:
    """Wait for the end of standard input and remove the folder named by the first argument.

    A folder whose name does not begin with `FOLDER_PREFIX` is left alone.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C reaches the whole group, and the run ends first
    folder = Path(sys.argv[1])
    sys.stdin.buffer.read()
    if folder.name.startswith(FOLDER_PREFIX):
        shutil.rmtree(folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
