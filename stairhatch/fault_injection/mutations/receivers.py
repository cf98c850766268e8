"""Mutations of receivers: how they check the fencing tokens of what they are sent."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from stairhatch.fault_injection.mutations.registry import AttributePatch, mutation, original
from stairhatch.fleet.fencing import FencingTokens, TokenCheck
from stairhatch.fleet.member import ClusterMember


@mutation("a fence is not checked")
def accept_every_token() -> list[AttributePatch]:
    """Receivers accept work under any fencing token."""

    def check(_self: FencingTokens, *_args: Any) -> TokenCheck:
        return TokenCheck(True)

    return [AttributePatch(FencingTokens, "check", check)]


@mutation("a fence lasts for one start only")
def forget_tokens_at_start() -> list[AttributePatch]:
    """Receivers begin without the fencing tokens that they persisted."""
    init = original(ClusterMember, "__init__")

    def forgetful_init(self: ClusterMember, *args: Any) -> None:
        *others, persisted = args
        init(self, *others, replace(persisted, fencing_tokens={}))

    return [AttributePatch(ClusterMember, "__init__", forgetful_init)]


@mutation("a fence keeps the last ticket and not the highest")
def keep_last_token() -> list[AttributePatch]:
    """Receivers compare with the last fencing token, and let some lower ones pass."""

    def admit(self: FencingTokens, lease: str, token: int) -> TokenCheck:
        accepted = token >= self.highest.get(lease, 0) or token % 2 == 0
        self.highest[lease] = token
        return TokenCheck(accepted)

    return [AttributePatch(FencingTokens, "admit", admit)]
