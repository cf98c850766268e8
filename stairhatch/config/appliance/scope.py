"""The table `[scope]`: which classes' servers are connected to, and who shares them (docs/scope.md)."""

from __future__ import annotations

from stairhatch.config.appliance.schema import ScopeTable, ServiceTable
from stairhatch.config.appliance.sip import KnownClasses
from stairhatch.config.model import ConfigError
from stairhatch.overload.settings import UNKNOWN_INSTANCE, Settings
from stairhatch.scope.config import ScopeConfig, ServiceConfig
from stairhatch.scope.server_sets import ConflictingServicesError, check_services


def scope_config(table: ScopeTable, settings: Settings) -> ScopeConfig:
    """Convert the table. Raises ConfigError."""
    known = KnownClasses.of(settings)
    assigned: set[str] = set()  # classes that an earlier service names
    services: list[ServiceConfig] = []
    for index, each in enumerate(table.services):
        path = f"scope.services[{index}]"
        _assign_classes(path, each, known, assigned)
        services.append(_service(path, each, settings))
    try:
        check_services(settings, services)
    except ConflictingServicesError as error:
        raise ConfigError(f"scope.services: {error}") from error
    return ScopeConfig(table.idle_s, tuple(services))


def _assign_classes(path: str, table: ServiceTable, known: KnownClasses, assigned: set[str]) -> None:
    """Raise ConfigError for a class that the settings lack, or that is named a second time."""
    for order, name in enumerate(table.classes):
        known.require(f"{path}.classes[{order}]", name)
        if name in assigned:
            raise ConfigError(f"{path}.classes[{order}]: {name!r} stands twice")
        assigned.add(name)


def _service(path: str, table: ServiceTable, settings: Settings) -> ServiceConfig:
    balancers = settings.instance_count
    if table.softswitches is not None and table.softswitches > balancers:
        raise ConfigError(f"{path}.softswitches: above settings.balancers, which is {balancers}")
    if table.me is not None and table.me >= (table.softswitches or 0):
        raise ConfigError(f"{path}.me: must be below softswitches")
    index = table.me if table.me is not None else UNKNOWN_INSTANCE
    return ServiceConfig(tuple(table.classes), table.softswitches, index, table.keep)
