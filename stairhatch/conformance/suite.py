"""The whole suite: owns which cases are played on which stage, with what configuration, and the search for
planted faults. It must never send anything beyond this machine.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from stairhatch.conformance.cases import FOLDER, Case, read_cases
from stairhatch.conformance.faults import FAULTS, planted
from stairhatch.conformance.run import PASSWORD, REALM, USER, CaseResult, play
from stairhatch.conformance.stage import Inside, Outside, Place
from stairhatch.sip import digest_auth
from stairhatch.sip.frontend import AuthConfig

__all__ = ["FAULTS", "find_all", "finder", "run_inside", "run_outside"]
AGAIN, AGAIN_S = 5, 1.0  # a case that is answered 503 is played again
AT_ONCE = 16  # cases over sockets
ALGORITHMS = ("SHA-512-256", "SHA-256")


def inside_for(case: Case) -> Inside:
    """The stage in process with the configuration that a case needs."""
    if "auth" not in case.needs:
        return Inside()
    lines = digest_auth.format_user_lines(USER, REALM, PASSWORD, ALGORITHMS)
    users = digest_auth.parse_users("\n".join(lines), REALM, ALGORITHMS)
    return Inside(auth=AuthConfig(REALM, users, ALGORITHMS, 300.0))


def run_inside(cases: Iterable[Case]) -> list[CaseResult]:
    """Play cases in process."""
    return [play(case, inside_for(case)) for case in cases]


def run_outside(
    cases: Iterable[Case],
    udp: Place | None,
    tcp: Place | None,
    slow: bool = False,
    has_auth: bool = False,
) -> list[CaseResult]:
    """Play cases against a program that listens at these addresses; what it can't show is skipped. Where it
    asks for users, only the cases about that are played.
    """

    def one(case: Case) -> CaseResult:
        why = ""
        if {"udp": udp, "tcp": tcp}[case.transport] is None:
            why = f"no {case.transport} address was given"
        elif case.virtual and not slow:
            why = "its waits are long: --slow"
        elif ("auth" in case.needs) is not has_auth:
            why = "it needs a program that asks " + ("for none" if has_auth else "for users")
        result = CaseResult(case, skipped=why) if why else play(case, Outside(udp, tcp))
        for _ in range(AGAIN):
            if "503 came for INVITE" not in result.why:
                break
            time.sleep(AGAIN_S)  # told to return later, for its servers' sake: so does the suite
            result = play(case, Outside(udp, tcp))
        return result

    with ThreadPoolExecutor(AT_ONCE) as workers:  # they wait far more than they work
        return list(workers.map(one, cases))


def finder(cases: list[Case], fault: str) -> str:
    """The name of the first case that finds a planted fault, "" if none does."""
    with planted(fault):
        for case in cases:
            if play(case, inside_for(case)).why:
                return case.name
    return ""


def find_all(folder: Path = FOLDER) -> dict[str, str]:
    """Each planted fault with the case that finds it."""
    cases = read_cases(folder)
    return {fault: finder(cases, fault) for fault in FAULTS}
