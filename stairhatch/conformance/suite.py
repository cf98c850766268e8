"""Runs the suite in process or over sockets, and searches for the case that finds a mutation."""

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
MAX_RETRIES = 5  # of a case whose INVITE was rejected with 503 to protect the servers
RETRY_PAUSE_S = 1.0
REJECTION_FAILURE = "503 received for INVITE"  # in the failure text of such a case
CONCURRENT_CASES = 16  # over sockets, where a case spends most of its time waiting


def run_in_process(cases: Iterable[Case]) -> list[CaseResult]:
    """Play cases in process and return their results in the same order."""
    return [play(case, _environment_for(case)) for case in cases]


def run_over_sockets(cases: Iterable[Case], target: SocketTarget, slow: bool = False) -> list[CaseResult]:
    """Play cases against a running program and return their results in the same order.

    A case is skipped if the target lacks its transport or configuration, or if its waits are long and `slow`
    is false.
    """

    def run(case: Case) -> CaseResult:
        if reason := _skip_reason(case, target, slow):
            return CaseResult(case=case, skip_reason=reason)
        return _play_with_retries(case, target)

    with ThreadPoolExecutor(CONCURRENT_CASES) as workers:
        return list(workers.map(run, cases))


def find_mutation(cases: Iterable[Case], name: str) -> str:
    """Return the name of the first case that fails under a mutation, "" if none does.

    Raises KeyError if no mutation has the name.
    """
    with mutation_applied(name):
        for case in cases:
            if play(case, _environment_for(case)).failure:
                return case.name
    return ""


def _environment_for(case: Case) -> InProcessEnvironment:
    """Return an in-process environment with the configuration that a case needs."""
    if "auth" not in case.needs:
        return InProcessEnvironment()
    lines = digest_auth.format_user_lines(USER, REALM, PASSWORD, ALGORITHMS)
    users = digest_auth.parse_users("\n".join(lines), REALM, ALGORITHMS)
    return InProcessEnvironment(auth=AuthConfig(REALM, users, ALGORITHMS, NONCE_LIFETIME_S))


def _skip_reason(case: Case, target: SocketTarget, slow: bool) -> str:
    """Return the reason for skipping a case against a program, "" if the case can be played."""
    if target.address(case.transport) is None:
        return f"the target has no {case.transport} address"
    if case.virtual and not slow:
        return "the case has long waits and runs only with --slow"
    if ("auth" in case.needs) is not target.requires_authentication:
        return "the case needs a program that runs " + (
            "without authentication" if target.requires_authentication else "with authentication"
        )
    return ""


def _play_with_retries(case: Case, target: SocketTarget) -> CaseResult:
    """Play a case and return its result.

    While its INVITE is rejected with 503, the case is played again after a pause, up to MAX_RETRIES times.
    """
    result = play(case, SocketEnvironment(target))
    for _ in range(MAX_RETRIES):
        if REJECTION_FAILURE not in result.failure:
            break
        time.sleep(RETRY_PAUSE_S)
        result = play(case, SocketEnvironment(target))
    return result
