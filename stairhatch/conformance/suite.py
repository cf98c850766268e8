"""The whole suite: which cases are played where, and the search for mutations that a case finds."""

from __future__ import annotations

import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from stairhatch.conformance.cases import Case
from stairhatch.conformance.credentials import PASSWORD, REALM, USER
from stairhatch.conformance.in_process import InProcessEnvironment
from stairhatch.conformance.mutations import MUTATIONS, mutation_applied
from stairhatch.conformance.player import play
from stairhatch.conformance.results import CaseResult
from stairhatch.conformance.sockets import SocketEnvironment, SocketTarget
from stairhatch.sip import digest_auth
from stairhatch.sip.config import AuthConfig

__all__ = ["MUTATIONS", "find_mutation", "run_in_process", "run_over_sockets"]
ALGORITHMS = ("SHA-512-256", "SHA-256")
NONCE_LIFETIME_S = 300.0
MAX_RETRIES = 5  # of a case whose call was rejected with 503, for its servers' sake
RETRY_PAUSE_S = 1.0
REJECTED = "503 came for INVITE"
CONCURRENT_CASES = 16  # over sockets, where they wait far more than they work


def run_in_process(cases: Iterable[Case]) -> list[CaseResult]:
    """Play cases in process."""
    return [play(case, _environment_for(case)) for case in cases]


def run_over_sockets(cases: Iterable[Case], target: SocketTarget, slow: bool = False) -> list[CaseResult]:
    """Play cases against a program. What it can't show is skipped, and so are long waits unless `slow`."""

    def run(case: Case) -> CaseResult:
        if reason := _skip_reason(case, target, slow):
            return CaseResult(case=case, skip_reason=reason)
        return _play_with_retries(case, target)

    with ThreadPoolExecutor(CONCURRENT_CASES) as workers:
        return list(workers.map(run, cases))


def find_mutation(cases: Iterable[Case], name: str) -> str:
    """Return the name of the first case that fails with a mutation, "" if none does."""
    with mutation_applied(name):
        for case in cases:
            if play(case, _environment_for(case)).failure:
                return case.name
    return ""


def _environment_for(case: Case) -> InProcessEnvironment:
    """Return the program in process with the configuration that a case needs."""
    if "auth" not in case.needs:
        return InProcessEnvironment()
    lines = digest_auth.format_user_lines(USER, REALM, PASSWORD, ALGORITHMS)
    users = digest_auth.parse_users("\n".join(lines), REALM, ALGORITHMS)
    return InProcessEnvironment(auth=AuthConfig(REALM, users, ALGORITHMS, NONCE_LIFETIME_S))


def _skip_reason(case: Case, target: SocketTarget, slow: bool) -> str:
    """Return why a case can't be played against a program, "" if it can."""
    if target.address(case.transport) is None:
        return f"no {case.transport} address was given"
    if case.virtual and not slow:
        return "its waits are long: --slow"
    if ("auth" in case.needs) is not target.asks_for_users:
        return "it needs a program that asks " + ("for none" if target.asks_for_users else "for users")
    return ""


def _play_with_retries(case: Case, target: SocketTarget) -> CaseResult:
    """Play a case; where the program says to return later, the suite does."""
    result = play(case, SocketEnvironment(target))
    for _ in range(MAX_RETRIES):
        if REJECTED not in result.failure:
            break
        time.sleep(RETRY_PAUSE_S)
        result = play(case, SocketEnvironment(target))
    return result
