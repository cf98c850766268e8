"""What came of a run of the suite: owns its tables and its JUnit XML. It must never run anything."""

from __future__ import annotations

from collections.abc import Iterable
from xml.etree import ElementTree

from stairhatch.conformance.run import CaseResult


def table(results: Iterable[CaseResult]) -> str:
    """A line for each section of an RFC."""
    sections: dict[str, list[CaseResult]] = {}
    for result in results:
        sections.setdefault(result.case.section, []).append(result)
    lines = [f"{'section':34} {'passed':>7} {'failed':>7} {'skipped':>8}"]
    for section in sorted(sections, key=_order):
        group = sections[section]
        failed = sum(bool(each.why) for each in group)
        skipped = sum(bool(each.skipped) for each in group)
        lines.append(f"{section:34} {len(group) - failed - skipped:7} {failed or '-':>7} {skipped or '-':>8}")
    return "\n".join(lines)


def _order(section: str) -> tuple[str, list[int]]:
    words = section.replace(",", " ").split()
    numbers = [int(part) for word in words for part in word.split(".") if part.isdigit()]
    return words[0], numbers


def failures(results: Iterable[CaseResult], transcripts: bool = True) -> str:
    """Each case that failed, with what went over the wire."""
    text = ""
    for result in results:
        if result.why:
            text += f"FAILED {result.case.name} ({result.case.section}): {result.case.title}\n"
            text += f"  step {result.step}: {result.why}\n"
            if transcripts:
                text += "".join(f"    {line}\n" for line in result.transcript[-12:])
    return text


def junit(results: list[CaseResult]) -> str:
    """The run as JUnit XML."""
    suite = ElementTree.Element(
        "testsuite", name="stairhatch-conform", tests=str(len(results)),
        failures=str(sum(bool(each.why) for each in results)),
        skipped=str(sum(bool(each.skipped) for each in results)),
    )  # fmt: skip
    for each in results:
        case = ElementTree.SubElement(
            suite, "testcase", classname=each.case.section, name=each.case.name, time=f"{each.took_s:.3f}"
        )
        if each.why:
            fault = ElementTree.SubElement(case, "failure", message=f"step {each.step}: {each.why}"[:400])
            fault.text = "\n".join(each.transcript)
        elif each.skipped:
            ElementTree.SubElement(case, "skipped", message=each.skipped)
    return ElementTree.tostring(suite, encoding="unicode", xml_declaration=True) + "\n"
