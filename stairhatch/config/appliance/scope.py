"""The table `[scope]`: the call classes to whose servers a softswitch connects (docs/scope.md)."""

from __future__ import annotations

from stairhatch.config.appliance.schema import ScopeTable, ServiceTable
from stairhatch.config.appliance.sip import KnownClasses
from stairhatch.config.model import ConfigError
from stairhatch.overload.settings import UNKNOWN_INSTANCE, Settings
from stairhatch.scope.config import ScopeConfig, ServiceConfig
from stairhatch.scope.server_sets import ConflictingServicesError, check_services


def scope_config(table: ScopeTable, settings: Settings) -> ScopeConfig:
    """Return the scope's configuration. Raises ConfigError with the path of the key that cannot be used."""
    known = KnownClasses.of(settings)
    assigned: set[str] = set()  # the classes of earlier services
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
    """Add the classes of a service to `assigned`.

    Raises ConfigError for a class that the settings lack, or that is in `assigned` already.
    """
    for order, name in enumerate(table.classes):
        known.require(f"{path}.classes[{order}]", name)
        if name in assigned:
            raise ConfigError(f"{path}.classes[{order}]: {name!r} is listed twice")
        assigned.add(name)


def _service(path: str, table: ServiceTable, settings: Settings) -> ServiceConfig:
    instance_count = settings.instance_count
    if table.softswitches is not None and table.softswitches > instance_count:
        raise ConfigError(f"{path}.softswitches: above settings.balancers, which is {instance_count}")
    if table.me is not None and table.me >= (table.softswitches or 0):
        raise ConfigError(f"{path}.me: must be below softswitches")
    index = table.me if table.me is not None else UNKNOWN_INSTANCE
    return ServiceConfig(tuple(table.classes), table.softswitches, index, table.keep)
