"""Text reports of a run for the terminal."""

from __future__ import annotations

from stairhatch.load_test.experiment_run import ExperimentRun
from stairhatch.load_test.load_run import LoadRunResult
from stairhatch.load_test.load_tally import TallyCount

MAX_VIOLATIONS_SHOWN = 20


def render_summary(result: LoadRunResult) -> str:
    """Return the report of a run, a line per topic, with the first rule violations."""
    figures, offered = result.figures(), result.tally.counts[TallyCount.OFFERED]
    lines = [
        f"calls      {offered} asked, {figures['asked_a_second']:.1f} a second",
        f"in time    {figures['in_time']:.1%}, {figures['in_time_a_second']:.1f} a second",
        f"worth      {figures['worth']:.1%} of the offered weight",
        f"others     late {figures['late']:.1%}, refused {figures['refused']:.1%}, "
        f"failed {figures['failed']:.1%}",
        f"to stand   p50 {figures['stood_p50_ms']:.0f} ms, p99 {figures['stood_p99_ms']:.0f} ms",
        f"any answer p50 {figures['answered_p50_ms']:.0f} ms, p99 {figures['answered_p99_ms']:.0f} ms",
        f"copies     {figures['copies']:.2f} a call; redials {figures['redials']:.2f} a call",
        f"the tool   {figures['tool_late_ms']:.1f} ms late (99 %)",
    ]
    if "cpu_ms_a_call" in figures:
        lines.append(f"program    {figures['cpu_ms_a_call']:.2f} ms a call, {figures['memory_mb']:.0f} MB")
    if result.is_checked:
        lines.append(f"rules      {len(result.violations)} broken")
        lines += [f"           {each.line()}" for each in result.violations[:MAX_VIOLATIONS_SHOWN]]
    else:
        lines.append("rules      not checked: the roster servers were not observed")
    if reason := result.void_reason():
        lines.append(f"VOID       {reason}")
    return "\n".join(lines) + "\n"


def render_run_line(run: ExperimentRun, done: int, total: int) -> str:
    """Return one line for a run of an experiment, the `done`-th of `total` runs."""
    figures = run.figures
    verdict = f"VOID: {run.void_reason}" if run.void_reason else f"{len(run.broken)} rules broken"
    return (
        f"{done}/{total} {run.side} at {run.rate:g}: {figures['in_time_a_second']:.0f} in time a second, "
        f"worth {figures['worth']:.3f}, answered p99 {figures['answered_p99_ms']:.0f} ms, {verdict}"
    )
