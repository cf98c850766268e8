"""The appliance's configuration: owns the schema of the operators' TOML file and the complaints about one
that can't be used, each with the key's path. Every key stands in a struct here, so that no other part reads
the file by itself, and one that stands in none is refused with the nearest that does.
"""

from __future__ import annotations

import difflib
import ipaddress
import os
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, inspect

from stairhatch.admission.admission_control import AdmissionPolicy
from stairhatch.admission.overload_detector import OverloadDetectorPolicy
from stairhatch.admission.rate_limits import RateLimitPolicy
from stairhatch.config import Config, ConfigError, checked_settings, read_file
from stairhatch.fleet.config import MAX_VOTERS, FleetConfig
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.node.directory import DirectoryError, parse_address
from stairhatch.overload.settings import Settings
from stairhatch.scope.config import UNKNOWN_INSTANCE, ScopeConfig, ServiceConfig
from stairhatch.scope.server_sets import ConflictingServicesError, check_services
from stairhatch.settings.errors import SettingsError
from stairhatch.sip import auth
from stairhatch.sip.flows import Networks, Place, is_address
from stairhatch.sip.front import AuthConfig, Listener, SipConfig
from stairhatch.sip.sessions import LEAST_SE_S, MOST_SE_S, TimerPolicy

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=1e6)]
Wait = Annotated[float, Meta(gt=0, le=1e6)]
Count = Annotated[int, Meta(ge=1, le=10**7)]
Text = Annotated[str, Meta(min_length=1, max_length=4096)]


class _Table(Struct, forbid_unknown_fields=True, frozen=True):
    """A table of the file."""


class ListenerTable(_Table, frozen=True):
    """An address to listen on, and the networks that are heard there."""

    address: Text
    allow: list[Text] = []


Listeners = Text | ListenerTable | list[Text | ListenerTable]


class NumberTable(_Table, frozen=True):
    """What a prefix of the number called stands for."""

    prefix: str
    class_: Text = msgspec.field(name="class")
    first_choice: Annotated[int, Meta(ge=-1, le=65535)] = -1


class AuthTable(_Table, frozen=True):
    """Who may call."""

    users: Text
    realm: Text
    algorithms: Annotated[tuple[Text, ...], Meta(min_length=1)] = ("SHA-512-256", "SHA-256")
    nonce_s: Wait = 300.0


class TimerTable(_Table, frozen=True):
    """Session timers, in seconds."""

    session_expires_s: Annotated[int, Meta(ge=0, le=MOST_SE_S)] = 1800
    min_se_s: Annotated[int, Meta(ge=LEAST_SE_S, le=MOST_SE_S)] = LEAST_SE_S


class AdmissionTable(_Table, frozen=True):
    """What the appliance itself can take. Off until it is turned on: docs/overload.md says what it costs."""

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
    """The front."""

    default_class: Text
    udp: Listeners | None = None
    tcp: Listeners | None = None
    contact: str = ""
    connections: Count = 256
    idle_s: Wait = 600.0
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
    aim_s: Wait = 1.0
    hard_limit_s: Wait = 10.0
    importance: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Share = 0.0
    effect: str = "read_like"


class FamilyTable(_Table, frozen=True):
    """Figures of the deployment's family."""

    clear_wait_s: Seconds = 0.5
    retransmit_s: Seconds = 0.0
    call_length_s: list[Wait] | None = None
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
    """The figures of the rules."""

    answer_slack_s: Seconds = 0.0
    drain_grace_s: Seconds = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_after_s: Seconds = 15.0
    fall_multiple: Annotated[float, Meta(gt=0)] = 2.0
    fall_s: Seconds = 1.0


class SettingsTable(_Table, frozen=True):
    """The decisions' settings."""

    classes: Annotated[list[ClassTable], Meta(min_length=1)]
    balancers: Count = 1
    me: Annotated[int, Meta(ge=0, le=10**7)] | None = None  # which of them this one is
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
    """What is told of some classes: how many softswitches ever have calls of them."""

    classes: Annotated[list[Text], Meta(min_length=1)]
    softswitches: Count | None = None
    me: Annotated[int, Meta(ge=0, le=10**7)] | None = None
    keep: bool = False


class ScopeTable(_Table, frozen=True):
    """Only servers of classes that callers ask for are linked. Off without this table: docs/scope.md."""

    idle_s: Annotated[float, Meta(ge=1, le=1e6)] = 600.0
    services: list[ServiceTable] = []


class ApplianceTable(_Table, frozen=True):
    """The whole file."""

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


# ---- complaints ----


def unknown_keys(raw: Any, kind: inspect.Type, path: str = "") -> Iterator[tuple[str, str]]:
    """(path, nearest known key or "") of each key that the schema has not."""
    match kind:
        case inspect.UnionType():
            for each in kind.types:
                fits = (isinstance(each, inspect.StructType) and isinstance(raw, dict)) or (
                    isinstance(each, inspect.ListType) and isinstance(raw, list)
                )
                if fits:
                    yield from unknown_keys(raw, each, path)
        case inspect.ListType() if isinstance(raw, list):
            for index, item in enumerate(raw):
                yield from unknown_keys(item, kind.item_type, f"{path}[{index}]")
        case inspect.StructType() if isinstance(raw, dict):
            known = {field.encode_name: field.type for field in kind.fields}
            for key, value in raw.items():
                here = f"{path}.{key}" if path else str(key)
                if key in known:
                    yield from unknown_keys(value, known[key], here)
                else:
                    near = difflib.get_close_matches(str(key), known, 1, 0.5)
                    yield here, near[0] if near else ""
        case _:
            return


PLACE = re.compile(r" - at `\$\.?([^`]*)`\Z")


def check(raw: Any) -> ApplianceTable:
    """The file as the schema has it; ConfigError with the key's path for the first thing that is wrong."""
    for path, near in unknown_keys(raw, inspect.type_info(ApplianceTable)):
        raise ConfigError(f"{path}: unknown key" + (f"; did you mean {near}?" if near else ""))
    try:
        return msgspec.convert(raw, ApplianceTable)
    except msgspec.ValidationError as error:
        text = str(error)
        place = PLACE.search(text)
        what = PLACE.sub("", text)
        what = what[:1].lower() + what[1:].replace("`", "")
        raise ConfigError(f"{place.group(1)}: {what}" if place else what) from None


def _address(text: str, path: str) -> Place:
    try:
        return parse_address(text)
    except DirectoryError as error:
        raise ConfigError(f"{path}: {error}") from None


def _listeners(told: Listeners | None, path: str) -> tuple[Listener, ...]:
    if told is None or told == "":
        return ()
    many = told if isinstance(told, list) else [told]
    found: list[Listener] = []
    for index, each in enumerate(many):
        here = f"{path}[{index}]" if isinstance(told, list) else path
        table = each if isinstance(each, ListenerTable) else ListenerTable(each)
        place = _address(table.address, here)
        if not is_address(place[0]):
            raise ConfigError(f"{here}: {place[0]!r} is a name; names are not looked up")
        networks = []
        for order, text in enumerate(table.allow):
            try:
                networks.append(ipaddress.ip_network(text, strict=False))
            except ValueError as error:
                raise ConfigError(f"{here}.allow[{order}]: {error}") from None
        if any(place == other.place for other in found):
            raise ConfigError(f"{here}: {table.address} stands twice")
        found.append(Listener(place, Networks(tuple(networks))))
    return tuple(found)


def _auth(table: AuthTable | None, folder: Path) -> AuthConfig | None:
    if table is None:
        return None
    for index, name in enumerate(table.algorithms):
        if name not in auth.ALGORITHMS:
            near = difflib.get_close_matches(name, auth.ALGORITHMS, 1, 0.3)
            hint = f"; did you mean {near[0]}?" if near else ""
            raise ConfigError(f"sip.auth.algorithms[{index}]: unknown {name!r}{hint}")
    path = str(folder / table.users)
    try:
        users = auth.read_users(read_file(path), table.realm, table.algorithms)
    except auth.UsersError as error:
        raise ConfigError(f"sip.auth.users: {path}: {error}") from None
    except ConfigError as error:
        raise ConfigError(f"sip.auth.users: {error}") from None
    ordered = tuple(name for name in auth.ALGORITHMS if name in table.algorithms)
    return AuthConfig(table.realm, users, ordered, table.nonce_s)


def _sip(table: SipTable, settings: Settings, folder: Path) -> SipConfig:
    classes = {kind.name for kind in settings.classes}

    def known(name: str, path: str) -> str:
        if name not in classes:
            near = difflib.get_close_matches(name, classes, 1, 0.5)
            hint = f"; did you mean {near[0]}?" if near else ""
            raise ConfigError(f"{path}: the settings have no class {name!r}{hint}")
        return name

    udp, tcp = _listeners(table.udp, "sip.udp"), _listeners(table.tcp, "sip.tcp")
    if not udp and not tcp:
        raise ConfigError("sip: names neither udp nor tcp to listen on")
    if table.contact:
        _address(table.contact, "sip.contact")
    numbers = [
        (each.prefix, known(each.class_, f"sip.numbers[{index}].class"), each.first_choice)
        for index, each in enumerate(table.numbers)
    ]
    return SipConfig(
        udp=udp,
        tcp=tcp,
        contact=table.contact,
        default_class=known(table.default_class, "sip.default_class"),
        numbers=tuple(sorted(numbers, key=lambda line: -len(line[0]))),
        connections=table.connections,
        idle_s=table.idle_s,
        memory_mb=table.memory_mb,
        dialogs=table.dialogs,
        restart_wait_s=table.restart_wait_s,
        timers=TimerPolicy(table.timers.session_expires_s, table.timers.min_se_s),
        auth=_auth(table.auth, folder),
        gate=_gate(table.admission),
    )


def _gate(table: AdmissionTable) -> AdmissionPolicy | None:
    if not table.on:
        return None
    if not table.abatement_ms < table.onset_ms < table.full_ms:
        raise ConfigError("sip.admission: abatement_ms must lie under onset_ms, and that under full_ms")
    if table.return_s[0] > table.return_s[1]:
        raise ConfigError("sip.admission.return_s: the first must not be above the second")
    return AdmissionPolicy(
        OverloadDetectorPolicy(
            onset_s=table.onset_ms / 1000,
            abatement_s=table.abatement_ms / 1000,
            target_s=table.target_ms / 1000,
            saturation_s=table.full_ms / 1000,
        ),
        RateLimitPolicy(
            source_rate=table.source_rate,
            source_burst=table.source_burst,
            network_rate=table.network_rate,
            network_burst=table.network_burst,
            ipv4_network_bits=table.network_v4,
            ipv6_network_bits=table.network_v6,
        ),
        retry_after_range_s=table.return_s,
    )


def _fleet(table: ApplianceTable, folder: Path) -> FleetConfig | None:
    told = table.fleet
    if told is None:
        return None
    if not 1 <= len(told.voters) <= MAX_VOTERS:
        raise ConfigError(f"fleet.voters: from 1 to {MAX_VOTERS} are needed, best 3 or 5")
    if len(table.name) > 48:
        raise ConfigError("name: in a fleet it has 48 characters at most")
    listen = _address(told.listen, "fleet.listen")
    voters = {name: _address(text, f"fleet.voters.{name}") for name, text in told.voters.items()}
    if len(set(voters.values())) < len(voters):
        raise ConfigError("fleet.voters: two have one address")
    if table.name in voters and voters[table.name][1] != listen[1]:
        raise ConfigError(f"fleet.voters.{table.name}: this is that voter, and fleet.listen has another port")
    if table.name in voters and told.folder is None:
        raise ConfigError("fleet.folder: a voter needs a folder for its promises")
    if told.list and not table.coordinator:
        raise ConfigError("fleet.list: there is no coordinator whose list could be handed on")
    try:
        secret = read_file(str(folder / told.secret)).strip() if told.secret is not None else ""
    except ConfigError as error:
        raise ConfigError(f"fleet.secret: {error}") from None
    if told.secret is not None and len(secret) < 16:
        raise ConfigError("fleet.secret: the file holds less than 16 characters")
    return FleetConfig(
        fleet=told.name,
        name=table.name,
        listen=listen,
        voters=voters,
        epoch=told.epoch,
        secret=secret.encode(),
        folder=folder / told.folder if told.folder is not None else None,
        history=folder / told.history if told.history is not None else None,
        terms=LeaseTimings(told.term_s, told.drift, min(0.25, told.term_s / 8)),
        numbers=told.numbers,
        list=told.list,
        restarts=told.restarts,
    )


def _scope(table: ScopeTable | None, settings: Settings) -> ScopeConfig | None:
    if table is None:
        return None
    classes, seen, services = {kind.name for kind in settings.classes}, set[str](), []
    for index, each in enumerate(table.services):
        here = f"scope.services[{index}]"
        for order, name in enumerate(each.classes):
            if name not in classes:
                near = difflib.get_close_matches(name, classes, 1, 0.5)
                hint = f"; did you mean {near[0]}?" if near else ""
                raise ConfigError(f"{here}.classes[{order}]: the settings have no class {name!r}{hint}")
            if name in seen:
                raise ConfigError(f"{here}.classes[{order}]: {name!r} stands twice")
            seen.add(name)
        if each.softswitches is not None and each.softswitches > settings.instance_count:
            raise ConfigError(
                f"{here}.softswitches: above settings.balancers, which is {settings.instance_count}"
            )
        if each.me is not None and each.me >= (each.softswitches or 0):
            raise ConfigError(f"{here}.me: must be below softswitches")
        index = each.me if each.me is not None else UNKNOWN_INSTANCE
        services.append(ServiceConfig(tuple(each.classes), each.softswitches, index, each.keep))
    try:
        check_services(settings, services)
    except ConflictingServicesError as error:
        raise ConfigError(f"scope.services: {error}") from error
    return ScopeConfig(table.idle_s, tuple(services))


def _servers(table: ApplianceTable) -> list[dict[str, Any]]:
    """The lines of `[[servers]]` as the directory has them."""
    listed: list[dict[str, Any]] = []
    for index, line in enumerate(table.servers):
        _address(line.address, f"servers[{index}].address")
        if line.state not in ("in_service", "terminating"):
            raise ConfigError(f"servers[{index}].state: in_service or terminating, not {line.state!r}")
        if any(each["instanceId"] == line.name for each in listed):
            raise ConfigError(f"servers[{index}].name: {line.name!r} stands twice")
        listed.append(
            {"instanceId": line.name, "hostPort": line.address, "cell": line.number, "lifecycle": line.state}
        )
    return listed


def config_from(text: str, path: str, environ: dict[str, str]) -> Config:
    """The configuration in a file's text; `path` names it in complaints and anchors the files it names."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: no TOML: {error}") from None
    try:
        table = check(raw)
        settings = checked_settings(raw["settings"], complete=False)  # a key may be left out
        listed = _servers(table)
        if not listed and not table.coordinator:
            raise ConfigError("neither [[servers]] nor a coordinator is given")
        if listed and table.coordinator:
            raise ConfigError("give either [[servers]] or a coordinator, not both")
        syslog: Place | str | None = table.syslog or None
        if isinstance(syslog, str) and not syslog.startswith("/"):
            syslog = _address(syslog, "syslog")
        first = {"index": 1, "endpoints": {"reset": True, "instances": listed}}
        door = environ.get("RELAY_CONSOLE") or table.console
        return Config(
            name=table.name,
            settings=settings,
            sip=_sip(table.sip, settings, Path(path).resolve().parent),
            coordinator=_address(table.coordinator, "coordinator") if table.coordinator else None,
            known={"index": len(listed) and 1, "updates": [first] if listed else []},
            console=_address(door, "console") if door else None,
            raw={"settings": raw["settings"]},  # the rest may lose what was optional
            syslog=syslog,
            tracing=environ.get("STAIRHATCH_TRACE") == "1" or table.trace,
            fleet=_fleet(table, Path(path).resolve().parent),
            scope=_scope(table.scope, settings),
        )
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None


def read_appliance(path: str, environ: dict[str, str]) -> Config:
    """Read a file such as deploy/sip.toml."""
    return config_from(read_file(path), path, dict(environ) or dict(os.environ))
