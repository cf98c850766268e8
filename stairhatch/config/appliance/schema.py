"""The schema of the appliance's TOML file: a struct for each table, a field for each key.

A key that no struct declares is rejected, so this module declares the keys of all components. The meanings of
the keys are documented in deploy/sip.toml, docs/sip.md, docs/overload.md, docs/fleet.md and docs/scope.md.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from stairhatch.settings.shapes import MAX_COUNT, MAX_SECONDS
from stairhatch.sip.session_timer import MAX_SESSION_EXPIRES_S, MIN_SESSION_EXPIRES_S

Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Text = Annotated[str, Meta(min_length=1, max_length=4096)]


class _Table(Struct, forbid_unknown_fields=True, frozen=True):
    """Base class of the file's tables; it rejects unknown keys."""


class ListenerTable(_Table, frozen=True):
    """A listener's address and the networks whose callers it accepts; an empty list allows all networks."""

    address: Text
    allow: list[Text] = []


Listeners = Text | ListenerTable | list[Text | ListenerTable]


class NumberTable(_Table, frozen=True):
    """The call class and the preferred server of called numbers with a certain prefix."""

    prefix: str
    class_: Text = msgspec.field(name="class")
    first_choice: Annotated[int, Meta(ge=-1, le=65535)] = -1


class AuthTable(_Table, frozen=True):
    """Digest authentication of callers: the file of users, the realm and the lifetime of nonces."""

    users: Text
    realm: Text
    algorithms: Annotated[tuple[Text, ...], Meta(min_length=1)] = ("SHA-512-256", "SHA-256")
    nonce_s: PositiveSeconds = 300.0


class TimerTable(_Table, frozen=True):
    """Session timers, in seconds."""

    session_expires_s: Annotated[int, Meta(ge=0, le=MAX_SESSION_EXPIRES_S)] = 1800
    min_se_s: Annotated[int, Meta(ge=MIN_SESSION_EXPIRES_S, le=MAX_SESSION_EXPIRES_S)] = MIN_SESSION_EXPIRES_S


class AdmissionTable(_Table, frozen=True):
    """Admission control, which protects the appliance itself from overload.

    It is off by default because of its cost, which docs/overload.md describes.
    """

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
    """The table `[sip]`: listeners, limits and call classes of the SIP frontend."""

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
    """An entry of `[[servers]]`: the address, the number and the state of one roster server."""

    name: Text
    address: Text
    number: Annotated[int, Meta(ge=0, le=65535)]
    state: str = "in_service"


class ClassTable(_Table, frozen=True):
    """A call class of the settings; the keys have the platform's names."""

    name: Text
    aim_s: PositiveSeconds = 1.0
    hard_limit_s: PositiveSeconds = 10.0
    importance: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Fraction = 0.0
    effect: str = "read_like"


class FamilyTable(_Table, frozen=True):
    """Parameters of the deployment family."""

    clear_wait_s: Seconds = 0.5
    retransmit_s: Seconds = 0.0
    call_length_s: list[PositiveSeconds] | None = None
    allowed_pools: list[list[int]] | None = None
    self_no: int = -1


class PermissionsTable(_Table, frozen=True):
    """Permissions and limits of the routing decisions."""

    send_cap: Annotated[int, Meta(ge=1, le=6)] = 3
    may_probe: bool = False
    peers: bool = False
    cancel: bool = False
    retry_after: bool = True
    max_retry_after_s: Seconds = 0.0
    connect_timeout_s: Annotated[float, Meta(gt=0)] = 0.5


class LoadTable(_Table, frozen=True):
    """The names of the values in a load report."""

    names: list[str] = []


class SafetyTable(_Table, frozen=True):
    """The safety limits of the overload control (`SafetyLimits`)."""

    answer_slack_s: Seconds = 0.0
    drain_grace_s: Seconds = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_after_s: Seconds = 15.0
    fall_multiple: Annotated[float, Meta(gt=0)] = 2.0
    fall_s: Seconds = 1.0


class SettingsTable(_Table, frozen=True):
    """The settings of the overload control; the keys have the platform's names."""

    classes: Annotated[list[ClassTable], Meta(min_length=1)]
    balancers: Count = 1
    me: Annotated[int, Meta(ge=0, le=MAX_COUNT)] | None = None  # this softswitch's instance index
    period_s: Seconds = 0.005
    family_info: FamilyTable = FamilyTable()
    permissions: PermissionsTable = PermissionsTable()
    load_report: LoadTable = LoadTable()
    safety: SafetyTable = SafetyTable()


class FleetTable(_Table, frozen=True):
    """Membership in a fleet (docs/fleet.md); without this table the softswitch joins no fleet."""

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
    """A service: call classes, the number of softswitches that ever receive their calls, and the own index.

    If `keep` is set, the servers of these classes are always in scope.
    """

    classes: Annotated[list[Text], Meta(min_length=1)]
    softswitches: Count | None = None
    me: Annotated[int, Meta(ge=0, le=MAX_COUNT)] | None = None
    keep: bool = False


class ScopeTable(_Table, frozen=True):
    """Connections only to servers of the classes that callers use (docs/scope.md).

    Without this table, the softswitch connects to all servers.
    """

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
