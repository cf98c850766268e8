"""The temporary folder of a run: in memory where the machine allows it.

How long a sync takes on the machine's disk depends on whatever else writes to it. A run defines slow syncs
itself (`FaultKind.DISK_SLOW`), so its result must not depend on that disk.
"""

from __future__ import annotations

import os
import shutil
import tempfile
from pathlib import Path

from stairhatch.fault_injection.folder_cleanup import FOLDER_PREFIX

MEMORY_FOLDER = Path("/dev/shm")  # tmpfs(5) of a Linux machine
MIN_FREE_BYTES = 1 << 30  # several runs at once, with the backups of their data directories


def create_run_folder() -> Path:
    """Create an empty folder for one run."""
    return Path(tempfile.mkdtemp(prefix=FOLDER_PREFIX, dir=parent_folder()))


def parent_folder() -> Path:
    """Return the folder of the runs' folders: in memory if there is enough of it, else on disk."""
    return MEMORY_FOLDER if _has_room(MEMORY_FOLDER) else Path(tempfile.gettempdir())


def _has_room(folder: Path) -> bool:
    if not os.access(folder, os.W_OK | os.X_OK):
        return False
    return shutil.disk_usage(folder).free >= MIN_FREE_BYTES
