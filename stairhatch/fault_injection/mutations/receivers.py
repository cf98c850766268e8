"""Mutations of the receivers of work under a lease: errors in the check of its fencing token."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from stairhatch.fault_injection.mutations.registry import AttributePatch, mutation, original
from stairhatch.fleet.fencing import FencingTokens, TokenCheck
from stairhatch.fleet.member import ClusterMember


@mutation("a fence is not checked")
def accept_every_token() -> list[AttributePatch]:
    """A receiver accepts work under any fencing token."""

    def check(_self: FencingTokens, *_args: Any) -> TokenCheck:
        return TokenCheck(True)

    return [AttributePatch(FencingTokens, "check", check)]


@mutation("a fence lasts for one start only")
def forget_tokens_at_start() -> list[AttributePatch]:
    """A receiver restarts without the fencing tokens that it persisted."""
    init = original(ClusterMember, "__init__")

    def init_without_tokens(self: ClusterMember, *args: Any) -> None:
        *others, persisted = args
        init(self, *others, replace(persisted, fencing_tokens={}))

    return [AttributePatch(ClusterMember, "__init__", init_without_tokens)]


@mutation("a fence keeps the last ticket and not the highest")
def keep_last_token() -> list[AttributePatch]:
    """A receiver stores the last fencing token instead of the highest and accepts lower even tokens."""

    def admit(self: FencingTokens, lease: str, token: int) -> TokenCheck:
        accepted = token >= self.highest.get(lease, 0) or token % 2 == 0
        self.highest[lease] = token
        return TokenCheck(accepted)

    return [AttributePatch(FencingTokens, "admit", admit)]
