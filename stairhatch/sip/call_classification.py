"""The class and the preferred roster server of a call, by what its INVITE says."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.settings import CallClass
from stairhatch.sip.context import SipContext

NO_PREFERENCE = -1


@dataclass(frozen=True, slots=True)
class CallClassification:
    """What a call is."""

    call_class: CallClass | None  # None: the settings have no class of that name
    preferred_number: int  # of the roster server that is tried first; -1: none


def classify_call(context: SipContext, called_user: str, call_kind: str) -> CallClassification:
    """Classify a call: `Call-Kind` names its class, else the number called does by its prefix."""
    config = context.config
    name, preferred_number = config.default_class, NO_PREFERENCE
    for each in config.numbers:
        if called_user.startswith(each.prefix):
            name, preferred_number = each.call_class, each.preferred_number
            break
    return CallClassification(context.core.classes.named(call_kind or name), preferred_number)
