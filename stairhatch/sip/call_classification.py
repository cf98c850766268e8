"""The classification of a call from its INVITE: the call class and the preferred roster server."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.settings import CallClass
from stairhatch.sip.context import SipContext

NO_PREFERENCE = -1


@dataclass(frozen=True, slots=True)
class CallClassification:
    """The class and the preferred roster server of a call."""

    call_class: CallClass | None  # None if the settings have no class with the name
    preferred_number: int  # number of the roster server that is tried first, or NO_PREFERENCE


def classify_call(context: SipContext, called_user: str, call_kind: str) -> CallClassification:
    """Classify a call by its Call-Kind header and the called number.

    The first prefix in `config.numbers` that matches gives the preferred roster server, and the class if
    `call_kind` is "". Without a match the default class is used.
    """
    config = context.config
    name, preferred_number = config.default_class, NO_PREFERENCE
    for number_prefix in config.numbers:
        if called_user.startswith(number_prefix.prefix):
            name, preferred_number = number_prefix.call_class, number_prefix.preferred_number
            break
    return CallClassification(context.call_manager.classes.named(call_kind or name), preferred_number)
