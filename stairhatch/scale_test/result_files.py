"""Writes the result files of a scale run into a folder named after the plan.

`result.json` has the figures that the seed determines and is identical for the same scale file. `run.json`
has the usage of the machine and the figures of the real processes, which differ between runs. `table.md` and
`chart.svg` present the results to readers.
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
    """Return the text of `result.json`: the plan, and the figures that its seed determines."""
    return _json_text({"plan": to_json_object(result.plan), "figures": to_json_object(result.figures)})


def keep_result(result: ScaleResult, parent: Path, command: str) -> Path:
    """Write the result files into a subfolder of `parent` named after the plan, and return the subfolder.

    `command` is the command line to record in the files.
    """
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
