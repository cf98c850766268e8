"""What is printed of a run, for people: owns its words. Pure."""

from __future__ import annotations

from stairhatch.load_test.experiment import Run
from stairhatch.load_test.load_run import Report


def lines(report: Report) -> str:
    """A run in a few lines."""
    told, tally = report.figures(), report.tally
    out = [
        f"calls      {tally.counts['asked']} asked, {told['asked_a_second']:.1f} a second",
        f"in time    {told['in_time']:.1%}, {told['in_time_a_second']:.1f} a second",
        f"worth      {told['worth']:.1%} of what was asked for",
        f"others     late {told['late']:.1%}, refused {told['refused']:.1%}, failed {told['failed']:.1%}",
        f"to stand   p50 {told['stood_p50_ms']:.0f} ms, p99 {told['stood_p99_ms']:.0f} ms",
        f"any answer p50 {told['answered_p50_ms']:.0f} ms, p99 {told['answered_p99_ms']:.0f} ms",
        f"copies     {told['copies']:.2f} a call; redials {told['redials']:.2f} a call",
        f"the tool   {told['tool_late_ms']:.1f} ms late (99 %)",
    ]
    if "cpu_ms_a_call" in told:
        out.append(f"program    {told['cpu_ms_a_call']:.2f} ms a call, {told['memory_mb']:.0f} MB")
    if report.checked:
        out.append(f"rules      {len(report.broken)} broken")
        out += [f"           {each.line()}" for each in report.broken[:20]]
    else:
        out.append("rules      not read: only one side was seen")
    if why := report.void():
        out.append(f"VOID       {why}")
    return "\n".join(out) + "\n"


def run_line(run: Run, done: int, of: int) -> str:
    """One run of an experiment in a line."""
    told = run.figures
    verdict = f"VOID: {told['void']}" if told["void"] else f"{len(run.broken)} rules broken"
    return (
        f"{done}/{of} {run.side} at {run.rate:g}: {told['in_time_a_second']:.0f} in time a second, "
        f"worth {told['worth']:.3f}, answered p99 {told['answered_p99_ms']:.0f} ms, {verdict}"
    )
