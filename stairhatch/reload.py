"""Reload at SIGHUP: read the configuration anew, reject it whole or apply what can change while calls go on.

A configuration that cannot be used changes nothing (`reload result=rejected why=...` in the log). What only a
restart can change stays as it was and is named (`restart_required`). The console's `status` shows the last
result.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import NamedTuple

from stairhatch.components import Components
from stairhatch.config.model import Config, ConfigError
from stairhatch.node.calls import ServerRecord
from stairhatch.node.endpoint_list import ServiceDiscoveryError, apply_answer, parse_answer
from stairhatch.settings.errors import LostKeyError
from stairhatch.settings.schema import check_no_key_lost

# Keys that keep their value until a restart, beside those that a part refuses to change.
RESTART_KEYS = ("name", "listen", "console", "sockets", "memory_mb", "syslog", "fleet")


class ReloadRejected(NamedTuple):
    """The configuration could not be used; what was in force still is."""

    reason: str

    def __str__(self) -> str:
        """Return what the console's `status` shows."""
        return f"refused: {self.reason}"


class ReloadApplied(NamedTuple):
    """The configuration is in force, but for the keys that only a restart can change."""

    at: float  # Unix time
    restart_keys: tuple[str, ...]

    def __str__(self) -> str:
        """Return what the console's `status` shows."""
        text = time.strftime("%F %T", time.gmtime(self.at))
        return text + (f", not taken over: {', '.join(self.restart_keys)}" if self.restart_keys else "")


ReloadResult = ReloadApplied | ReloadRejected


class _Candidate(NamedTuple):
    """A configuration that has been read and found usable."""

    config: Config
    servers: list[ServerRecord]  # that it lists itself


def _names(names: Iterable[str]) -> str:
    return ",".join(names) or "-"


class ConfigReloader:
    """Holds the configuration in force and replaces it on demand.

    `read_config` reads the configuration anew and raises ConfigError if it cannot be used.
    """

    def __init__(self, config: Config, read_config: Callable[[], Config], parts: Components) -> None:
        """`config` is in force; `parts` may still grow, and are used as they are at the reload."""
        self.config = config
        self.last_result: ReloadResult | None = None
        self._read_config = read_config
        self._parts = parts

    def reload(self) -> ReloadResult:
        """Read the configuration and apply it, or reject it; the result is logged, counted and kept."""
        try:
            candidate = self._read()
        except (ConfigError, LostKeyError, ServiceDiscoveryError) as error:
            result: ReloadResult = ReloadRejected(str(error))
            self._parts.counters.add("reloads_rejected")
            self._parts.log("reload", result="rejected", why=str(error))
        else:
            result = self._apply(candidate)
        self.last_result = result
        return result

    def _read(self) -> _Candidate:
        """Read and check a configuration before anything is changed."""
        new = self._read_config()
        listed = parse_answer(new.known, 0).events
        check_no_key_lost(self.config.raw, new.raw)
        if (new.coordinator is None) is not (self.config.coordinator is None):
            raise ConfigError("a coordinator in place of listed servers, or the reverse, wants a restart")
        return _Candidate(new, listed[0].endpoints if listed else [])

    def _apply(self, candidate: _Candidate) -> ReloadApplied:
        old = self.config
        new = candidate.config
        self.config = new
        if new.tracing is not old.tracing:
            self._parts.core.context.tracing = new.tracing
        self._apply_servers(old, candidate)
        self._apply_settings(old, new)
        restart_keys = self._apply_sip(new) + self._unchangeable(old, new)
        self.config = self._in_force(old, new, restart_keys)
        self._parts.counters.add("reloads")
        self._log_applied(old, new, restart_keys)
        return ReloadApplied(self._parts.clock(), restart_keys)

    def _apply_servers(self, old: Config, candidate: _Candidate) -> None:
        """Apply the servers that the configuration lists, and another address of the coordinator."""
        core = self._parts.core
        directory = self._parts.discovery
        new = candidate.config
        if directory is not None and new.coordinator is not None:
            directory.last_index = apply_answer(core, new.known, directory.last_index)
            if new.coordinator != old.coordinator:
                directory.switch_coordinator(new.coordinator)
        elif new.known != old.known:  # the list in the file is the whole list
            core.update_servers(candidate.servers, complete=True)

    def _apply_settings(self, old: Config, new: Config) -> None:
        """Give the decisions their new settings and scope."""
        parts = self._parts
        if parts.scoped is not None and new.scope is not None and new.scope != old.scope:
            parts.scoped.update_settings(parts.scoped.settings, new.scope)
        if new.settings != old.settings:
            settings = parts.fleet.settings_in_use(new.settings) if parts.fleet is not None else new.settings
            parts.core.update_settings(settings)
            parts.counters.add("settings_changes")

    def _apply_sip(self, new: Config) -> tuple[str, ...]:
        """Reconfigure the SIP frontend; return ("sip",) if something in that table wants a restart."""
        front = self._parts.sip_frontend
        if front is None or new.sip is None or front.reconfigure(new.sip):
            return ()
        return ("sip",)

    @staticmethod
    def _unchangeable(old: Config, new: Config) -> tuple[str, ...]:
        """Return the changed keys that only a restart can put in force."""
        keys = [key for key in RESTART_KEYS if getattr(new, key) != getattr(old, key)]
        if (new.scope is None) is not (old.scope is None):
            keys.insert(0, "scope")
        return tuple(keys)

    def _in_force(self, old: Config, new: Config, restart_keys: tuple[str, ...]) -> Config:
        """Return the new configuration with the old values of the keys that were not applied."""
        front = self._parts.sip_frontend
        kept = {key: getattr(old, key) for key in restart_keys if key != "sip"}
        return replace(new, sip=front.config if front is not None else new.sip, **kept)

    def _log_applied(self, old: Config, new: Config, restart_keys: tuple[str, ...]) -> None:
        before = [each.name for each in old.settings.classes]
        now = [each.name for each in new.settings.classes]
        self._parts.log(
            "reload",
            result="applied",
            coordinator=f"{new.coordinator[0]}:{new.coordinator[1]}" if new.coordinator else "-",
            settings="new" if new.settings != old.settings else "same",
            classes=",".join(now),
            added=_names(name for name in now if name not in before),
            removed=_names(name for name in before if name not in now),
            restart_required=_names(restart_keys),
        )
