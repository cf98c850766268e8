"""The schema of the appliance's TOML file: a struct for each table, a field for each key.

A key that no struct declares is refused, so every key that any part needs is declared here. What the
keys mean: deploy/sip.toml, docs/sip.md, docs/overload.md, docs/fleet.md and docs/scope.md.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from stairhatch.settings.schema import MAX_COUNT, MAX_SECONDS
from stairhatch.sip.session_timer import MAX_SESSION_EXPIRES_S, MIN_SESSION_EXPIRES_S

Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Text = Annotated[str, Meta(min_length=1, max_length=4096)]


class _Table(Struct, forbid_unknown_fields=True, frozen=True):
    """A table of the file."""


class ListenerTable(_Table, frozen=True):
    """An address to listen on, and the networks that are accepted there."""

    address: Text
    allow: list[Text] = []


Listeners = Text | ListenerTable | list[Text | ListenerTable]


class NumberTable(_Table, frozen=True):
    """The call class and the preferred server of a prefix of the called number."""

    prefix: str
    class_: Text = msgspec.field(name="class")
    first_choice: Annotated[int, Meta(ge=-1, le=65535)] = -1


class AuthTable(_Table, frozen=True):
    """Who may call."""

    users: Text
    realm: Text
    algorithms: Annotated[tuple[Text, ...], Meta(min_length=1)] = ("SHA-512-256", "SHA-256")
    nonce_s: PositiveSeconds = 300.0


class TimerTable(_Table, frozen=True):
    """Session timers, in seconds."""

    session_expires_s: Annotated[int, Meta(ge=0, le=MAX_SESSION_EXPIRES_S)] = 1800
    min_se_s: Annotated[int, Meta(ge=MIN_SESSION_EXPIRES_S, le=MAX_SESSION_EXPIRES_S)] = MIN_SESSION_EXPIRES_S


class AdmissionTable(_Table, frozen=True):
    """Overload control for the appliance itself. Off by default: docs/overload.md says what it costs."""

    on: bool = False
    onset_ms: Annotated[float, Meta(gt=0, le=1000)] = 50.0
    abatement_ms: Annotated[float, Meta(gt=0, le=1000)] = 10.0
    target_ms: Annotated[float, Meta(gt=0, le=1000)] = 20.0
    full_ms: Annotated[float, Meta(gt=0, le=5000)] = 400.0
    source_rate: Annotated[float, Meta(gt=0)] = 50.0
    source_burst: Annotated[float, Meta(ge=1)] = 100.0
    network_rate: Annotated[float, Meta(gt=0)] = 200.0
    network_burst: Annotated[float, Meta(ge=1)] = 400.0
    network_v4: Annotated[int, Meta(ge=8, le=32)] = 24
    network_v6: Annotated[int, Meta(ge=16, le=128)] = 64
    return_s: tuple[Annotated[int, Meta(ge=1, le=60)], Annotated[int, Meta(ge=1, le=60)]] = (1, 4)


class SipTable(_Table, frozen=True):
    """The SIP frontend."""

    default_class: Text
    udp: Listeners | None = None
    tcp: Listeners | None = None
    contact: str = ""
    connections: Count = 256
    idle_s: PositiveSeconds = 600.0
    memory_mb: Annotated[int, Meta(ge=1, le=4096)] = 64
    dialogs: Count = 10_000
    restart_wait_s: Seconds = 60.0
    numbers: list[NumberTable] = []
    timers: TimerTable = TimerTable()
    auth: AuthTable | None = None
    admission: AdmissionTable = AdmissionTable()


class ServerTable(_Table, frozen=True):
    """A roster server."""

    name: Text
    address: Text
    number: Annotated[int, Meta(ge=0, le=65535)]
    state: str = "in_service"


class ClassTable(_Table, frozen=True):
    """A class of calls, under the platform's names."""

    name: Text
    aim_s: PositiveSeconds = 1.0
    hard_limit_s: PositiveSeconds = 10.0
    importance: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Fraction = 0.0
    effect: str = "read_like"


class FamilyTable(_Table, frozen=True):
    """Figures of the deployment's family."""

    clear_wait_s: Seconds = 0.5
    retransmit_s: Seconds = 0.0
    call_length_s: list[PositiveSeconds] | None = None
    allowed_pools: list[list[int]] | None = None
    self_no: int = -1


class PermissionsTable(_Table, frozen=True):
    """What the decisions may do."""

    send_cap: Annotated[int, Meta(ge=1, le=6)] = 3
    may_probe: bool = False
    peers: bool = False
    cancel: bool = False
    retry_after: bool = True
    max_retry_after_s: Seconds = 0.0
    connect_timeout_s: Annotated[float, Meta(gt=0)] = 0.5


class LoadTable(_Table, frozen=True):
    """The names of the load report's figures."""

    names: list[str] = []


class SafetyTable(_Table, frozen=True):
    """The safety limits (`SafetyLimits` of the overload control)."""

    answer_slack_s: Seconds = 0.0
    drain_grace_s: Seconds = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_after_s: Seconds = 15.0
    fall_multiple: Annotated[float, Meta(gt=0)] = 2.0
    fall_s: Seconds = 1.0


class SettingsTable(_Table, frozen=True):
    """The settings of the overload control, under the platform's names."""

    classes: Annotated[list[ClassTable], Meta(min_length=1)]
    balancers: Count = 1
    me: Annotated[int, Meta(ge=0, le=MAX_COUNT)] | None = None  # which of them this one is
    period_s: Seconds = 0.005
    family_info: FamilyTable = FamilyTable()
    permissions: PermissionsTable = PermissionsTable()
    load_report: LoadTable = LoadTable()
    safety: SafetyTable = SafetyTable()


class FleetTable(_Table, frozen=True):
    """Work on behalf of the fleet. Off without this table: docs/fleet.md."""

    name: Annotated[str, Meta(min_length=1, max_length=48)]
    listen: Text
    voters: dict[Annotated[str, Meta(min_length=1, max_length=48)], Text]
    epoch: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    folder: Text | None = None
    secret: Text | None = None
    history: Text | None = None
    term_s: Annotated[float, Meta(ge=0.2, le=300)] = 3.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    numbers: bool = True
    list: bool = False
    restarts: Annotated[int, Meta(ge=0, le=64)] = 0


class ServiceTable(_Table, frozen=True):
    """What is configured for some classes: how many softswitches ever have calls of them."""

    classes: Annotated[list[Text], Meta(min_length=1)]
    softswitches: Count | None = None
    me: Annotated[int, Meta(ge=0, le=MAX_COUNT)] | None = None
    keep: bool = False


class ScopeTable(_Table, frozen=True):
    """Connect only to servers of classes that callers ask for. Off without this table: docs/scope.md."""

    idle_s: Annotated[float, Meta(ge=1, le=MAX_SECONDS)] = 600.0
    services: list[ServiceTable] = []


class ApplianceTable(_Table, frozen=True):
    """The complete file."""

    sip: SipTable
    settings: SettingsTable
    name: Text = "stairhatch"
    trace: bool = False
    syslog: str | None = None
    console: str | None = None
    coordinator: str | None = None
    servers: list[ServerTable] = []
    fleet: FleetTable | None = None
    scope: ScopeTable | None = None
