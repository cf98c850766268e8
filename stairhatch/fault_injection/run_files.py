"""The files kept of a run, from which the run can be examined and its rules checked again.

A run's folder contains the schedule, the history, the report, and the timeline as text and as an SVG picture.
The keys in these files must not change, so that the files of older runs remain readable.
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
    """Write all files kept of a run into a folder, which is created if it does not exist."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / SCHEDULE_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
    write_history(folder / HISTORY_FILE, report.records)
    (folder / TIMELINE_PICTURE_FILE).write_text(render_svg(report.records))
    (folder / TIMELINE_TEXT_FILE).write_text(render_text(report.records))
    report_json = {
        "broken": [
            {"rule": each.rule, "at": each.at_s, "how": each.explanation} for each in report.violations
        ],
        "calls_broken": report.call_violations,
        "fallen": report.overloaded_servers,
        "bites": dict(report.activations),
        "calls": report.calls,
    }
    (folder / REPORT_FILE).write_text(json.dumps(report_json, indent=1) + "\n")


def check_kept_run(folder: Path) -> tuple[list[RuleViolation], str]:
    """Check the rules of leases again over a kept run; return the violations and the timeline as text.

    Raises RunError if the schedule or the history cannot be read.
    """
    try:
        schedule = msgspec.json.decode((folder / SCHEDULE_FILE).read_bytes(), type=FaultSchedule)
        records = read_history(folder / HISTORY_FILE)
    except (OSError, msgspec.DecodeError) as error:
        raise RunError(f"{folder}: {error}") from error
    violations = find_violations(records, within_drift_bound=schedule.within_drift_bound)
    return violations, render_text(records)
