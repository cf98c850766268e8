"""The files that a run leaves, from which it can be examined and checked again.

A run's folder holds its schedule, its history, its report, and its timeline as text and as a picture. The
keys in these files stay as they are: older runs are read with them.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from stairhatch.fault_injection.errors import RunError
from stairhatch.fault_injection.history import read_history, write_history
from stairhatch.fault_injection.lease_rules import RuleViolation, find_violations
from stairhatch.fault_injection.run_report import RunReport
from stairhatch.fault_injection.schedule import FaultSchedule
from stairhatch.fault_injection.timeline import render_svg, render_text

SCHEDULE_FILE = "schedule.json"
HISTORY_FILE = "history.jsonl"
REPORT_FILE = "report.json"
TIMELINE_TEXT_FILE = "timeline.txt"
TIMELINE_PICTURE_FILE = "timeline.svg"


def write_run_files(folder: Path, schedule: FaultSchedule, report: RunReport) -> None:
    """Write everything that is kept of a run into a folder, which is made where it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / SCHEDULE_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
    write_history(folder / HISTORY_FILE, report.records)
    (folder / TIMELINE_PICTURE_FILE).write_text(render_svg(report.records))
    (folder / TIMELINE_TEXT_FILE).write_text(render_text(report.records))
    content = {
        "broken": [
            {"rule": each.rule, "at": each.at_s, "how": each.explanation} for each in report.violations
        ],
        "calls_broken": report.call_violations,
        "fallen": report.overloaded_servers,
        "bites": dict(report.activations),
        "calls": report.calls,
    }
    (folder / REPORT_FILE).write_text(json.dumps(content, indent=1) + "\n")


def check_kept_run(folder: Path) -> tuple[list[RuleViolation], str]:
    """Check the rules once more over a kept run; the violations, and the timeline as text.

    Raises RunError where the files cannot be read.
    """
    try:
        schedule = msgspec.json.decode((folder / SCHEDULE_FILE).read_bytes(), type=FaultSchedule)
        records = read_history(folder / HISTORY_FILE)
    except (OSError, msgspec.DecodeError) as error:
        raise RunError(f"{folder}: {error}") from error
    violations = find_violations(records, within_drift_bound=schedule.within_drift_bound)
    return violations, render_text(records)
