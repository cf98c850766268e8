"""The kept files of a scale run, in a folder of its name.

`result.json` holds what the seed decides and is the same for the same scale file; `run.json` what the machine
and the real processes added; `table.md` and `chart.svg` are for readers.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from stairhatch.load_test.experiment_results import current_commit
from stairhatch.scale_test.chart import draw_chart
from stairhatch.scale_test.figures import to_json_object
from stairhatch.scale_test.run import ScaleResult
from stairhatch.scale_test.summary import summarize


def result_json(result: ScaleResult) -> str:
    """Return what the seed decides, the text of `result.json`."""
    return _json_text({"plan": to_json_object(result.plan), "figures": to_json_object(result.figures)})


def keep_result(result: ScaleResult, parent: Path, command: str) -> Path:
    """Write the files of a run into a folder of its name, and return the folder."""
    folder = parent / result.plan.name
    folder.mkdir(parents=True, exist_ok=True)
    commit = current_commit()
    (folder / "result.json").write_text(result_json(result))
    (folder / "run.json").write_text(_run_json(result, commit, command))
    (folder / "table.md").write_text(_table(result, commit, command))
    draw_chart(result, folder / "chart.svg")
    return folder


def _run_json(result: ScaleResult, commit: str, command: str) -> str:
    return _json_text(
        {
            "commit": commit,
            "command": command,
            "machine": to_json_object(result.machine),
            "real": {} if result.real is None else to_json_object(result.real),
            "compared": to_json_object(result.compared),
            "broken": result.failures,
        }
    )


def _table(result: ScaleResult, commit: str, command: str) -> str:
    return (
        f"# {result.plan.name}\n\nCommit {commit}; `{command}`; `result.json` has all figures.\n\n"
        f"```\n{summarize(result)}```\n"
    )


def _json_text(value: dict[str, Any]) -> str:
    return json.dumps(value, indent=1, sort_keys=True) + "\n"
