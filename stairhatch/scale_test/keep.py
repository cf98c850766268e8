"""What is left of a scale run: owns its words, its files and its chart. `result.json` is what the seed
decides and the same for the same file; `run.json` what the machine and the real processes added.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from stairhatch.load_test.experiment_results import current_commit
from stairhatch.scale_test.plan import SimulatedCallResult
from stairhatch.scale_test.run import ScaleResult


def lines(result: ScaleResult) -> str:
    """A run in a few lines."""
    told, machine = result.figures, result.machine
    calls, changes = told["calls"], told["changes"]
    spent = told["a_second_and_softswitch"]
    ends = ", ".join(f"{calls[end.value]} {end.value}" for end in SimulatedCallResult)
    out = [
        f"calls      {calls['asked']} asked, {ends}; {calls['cut']} cut as they stood; "
        f"the deepest {calls['deepest']}",
        f"to stand   p50 {calls['to_stand_p50_ms']:.1f} ms, p99 {calls['to_stand_p99_ms']:.1f} ms",
        f"list       {changes['told']} changes, in force p50 {changes['in_force_p50_ms']:.1f} ms, "
        f"p99 {changes['in_force_p99_ms']:.1f}, longest {changes['in_force_longest_ms']:.1f}; "
        f"{changes['not_heard']} not heard",
        f"control    {spent['list_bytes']:.0f} B/s of list, {spent['claim_bytes']:.0f} B/s of claims "
        f"({spent['claim_messages']:.1f} messages) a softswitch; all streams {spent['stream_bytes']:.0f} B/s",
    ]
    if windows := told["windows"]:
        worst = max(windows, key=lambda each: each["fullest"])
        out.append(
            f"cold       {len(windows)} starts, fullest window {worst['fullest']} set-ups, {worst['most']:g} "
            f"allowed, falls above {worst['falls_above']:g}; {told['servers']['fallen']} fell"
        )
    bites = ", ".join(f"{name} {often}" for name, often in told["bites"].items() if often)
    out.append(f"bites      {bites or 'none'}")
    parts = ", ".join(f"{name} {seconds:.1f}" for name, seconds in machine["parts_s"].items())
    out.append(
        f"machine    {machine['virtual_s']:g} s played in {machine['seconds']:g} s, "
        f"{machine['memory_mb']} MB of {machine['needed_mb']} foreseen; "
        f"processor seconds: {parts}; list and claims {machine['control_percent']:.2f} % of a core each"
    )
    for name, each in result.compared.items():
        out.append(
            f"ratio      {name:15} {each['ratio']:6.3f}  hollow {each['hollow']:g}, real {each['real']:g}, "
            f"bounds {each['least']:g} to {each['most']:g}"
        )
    out += [f"BROKEN     {each}" for each in result.broken] or ["good"]
    return "\n".join(out) + "\n"


def result_json(result: ScaleResult) -> str:
    """What the seed decides."""
    value = {"plan": msgspec.to_builtins(result.plan), "figures": result.figures}
    return json.dumps(value, indent=1, sort_keys=True) + "\n"


def table(result: ScaleResult, commit: str, command: str) -> str:
    """The run as Markdown."""
    head = f"# {result.plan.name}\n\nCommit {commit}; `{command}`; `result.json` has all figures.\n\n"
    return f"{head}```\n{lines(result)}```\n"


def keep(result: ScaleResult, folder: Path, command: str) -> Path:
    """Write JSON, table and chart into a folder of the run's name; returns it."""
    where = folder / result.plan.name
    where.mkdir(parents=True, exist_ok=True)
    commit = current_commit()
    run: dict[str, Any] = {
        "commit": commit, "command": command, "machine": result.machine, "real": result.real,
        "compared": result.compared, "broken": result.broken,
    }  # fmt: skip
    (where / "result.json").write_text(result_json(result))
    (where / "run.json").write_text(json.dumps(run, indent=1, sort_keys=True) + "\n")
    (where / "table.md").write_text(table(result, commit, command))
    draw(result, where / "chart.svg")
    return where


def draw(result: ScaleResult, path: Path) -> None:
    """Answers by the second, and the share of calls that stood, by depth. matplotlib is imported here."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = result.plan.name
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    seconds = result.figures["by_second"]
    at = [int(each) for each in seconds]
    for end in SimulatedCallResult:
        often = [seconds[str(each)].get(end.value, 0) for each in at]
        if any(often):
            left.plot(at, often, marker="o", markersize=2, label=end.value)
    for event in result.plan.event:
        left.axvline(event.at, color="grey", linewidth=0.5)
    left.set_title("answers a second", fontsize=9)
    left.set_xlabel("virtual seconds; events in grey", fontsize=8)
    left.legend(fontsize=7)
    calls = result.figures["calls"]
    depths = [int(each) for each in calls["depths"]]
    stood = [calls["stood_at_depth"].get(str(n), 0) / calls["depths"][str(n)] for n in depths]
    right.bar(depths, stood)
    right.set_title("stood, as a share of the calls of that depth", fontsize=9)
    right.set_ylim(0, 1)
    figure.suptitle(result.plan.name)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
