"""Formats the results of a run as text tables and as JUnit XML."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from xml.etree import ElementTree

from stairhatch.conformance.results import CaseResult

SHOWN_TRANSCRIPT_LINES = 12
MAX_MESSAGE_CHARACTERS = 400  # of a failure's message in JUnit XML


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultCounts:
    """The numbers of passed, failed and skipped cases."""

    passed: int
    failed: int
    skipped: int


def count_results(results: Iterable[CaseResult]) -> ResultCounts:
    """Return the numbers of passed, failed and skipped cases among the results."""
    all_results = list(results)
    failed = sum(bool(result.failure) for result in all_results)
    skipped = sum(bool(result.skip_reason) for result in all_results)
    return ResultCounts(passed=len(all_results) - failed - skipped, failed=failed, skipped=skipped)


def section_table(results: Iterable[CaseResult]) -> str:
    """Return a text table with the numbers of each RFC section on one line, without a final line end."""
    by_section: defaultdict[str, list[CaseResult]] = defaultdict(list)
    for result in results:
        by_section[result.case.section].append(result)
    lines = [f"{'section':34} {'passed':>7} {'failed':>7} {'skipped':>8}"]
    for section in sorted(by_section, key=_section_order):
        counts = count_results(by_section[section])
        lines.append(f"{section:34} {counts.passed:7} {counts.failed or '-':>7} {counts.skipped or '-':>8}")
    return "\n".join(lines)


def failure_report(results: Iterable[CaseResult]) -> str:
    """Return a text with each failed case, its failed step and the end of its transcript; "" for none."""
    lines = []
    for result in results:
        if result.failure:
            case = result.case
            lines.append(f"FAILED {case.name} ({case.section}): {case.title}\n")
            lines.append(f"  {_failed_step(result)}\n")
            lines += [f"    {line}\n" for line in result.transcript[-SHOWN_TRANSCRIPT_LINES:]]
    return "".join(lines)


def junit_xml(results: Sequence[CaseResult]) -> str:
    """Return the results as a JUnit XML document with one `testcase` for each."""
    counts = count_results(results)
    suite = ElementTree.Element(
        "testsuite",
        name="stairhatch-conform",
        tests=str(len(results)),
        failures=str(counts.failed),
        skipped=str(counts.skipped),
    )
    for result in results:
        _add_test_case(suite, result)
    return ElementTree.tostring(suite, encoding="unicode", xml_declaration=True) + "\n"


def _add_test_case(suite: ElementTree.Element, result: CaseResult) -> None:
    element = ElementTree.SubElement(
        suite,
        "testcase",
        classname=result.case.section,
        name=result.case.name,
        time=f"{result.duration_s:.3f}",
    )
    if result.failure:
        message = _failed_step(result)[:MAX_MESSAGE_CHARACTERS]
        failure = ElementTree.SubElement(element, "failure", message=message)
        failure.text = "\n".join(result.transcript)
    elif result.skip_reason:
        ElementTree.SubElement(element, "skipped", message=result.skip_reason)


def _failed_step(result: CaseResult) -> str:
    return f"step {result.step_number}: {result.failure}"


def _section_order(section: str) -> tuple[str, list[int]]:
    """Return a sort key by the numbers of the RFC and of the section, so that 8.10 follows 8.2."""
    words = section.replace(",", " ").split()
    return words[0], [int(part) for word in words for part in word.split(".") if part.isdigit()]
