"""Reloads the configuration at SIGHUP: rejects it as a whole, or applies it without ending calls.

An unusable configuration changes nothing (log line `reload result=rejected why=...`). Keys that only a
restart can change keep their values and are named in the log (`restart_required`), as are the optional and
undocumented keys in force that the new configuration leaves out (`left_out`). The console command `status`
shows the last result.
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
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.lost_keys import check_no_key_lost

# Keys that keep their value until a restart, besides those that a component refuses to change.
RESTART_KEYS = ("name", "listen", "console", "sockets", "memory_mb", "syslog", "fleet")
MAX_LOGGED_PATHS = 10  # of the keys that a configuration leaves out


class ReloadRejected(NamedTuple):
    """Result of a reload whose configuration was unusable: the previous one remains in effect."""

    reason: str

    def __str__(self) -> str:
        """Return the text that the console command `status` shows for this result."""
        return f"refused: {self.reason}"


class ReloadApplied(NamedTuple):
    """Result of a reload that was applied, except for the keys that only a restart can change."""

    at: float  # Unix time
    restart_keys: tuple[str, ...]

    def __str__(self) -> str:
        """Return the text that the console command `status` shows for this result."""
        text = time.strftime("%F %T", time.gmtime(self.at))
        return text + (f", not taken over: {', '.join(self.restart_keys)}" if self.restart_keys else "")


ReloadResult = ReloadApplied | ReloadRejected


class _Candidate(NamedTuple):
    """A configuration that has been read and validated but not applied yet."""

    config: Config
    servers: list[ServerRecord]  # the servers that the configuration lists
    left_out: list[str]  # paths of the keys in force that it lacks, none of which is required


def _joined_names(names: Iterable[str]) -> str:
    return ",".join(names) or "-"


def _joined_paths(paths: list[str]) -> str:
    """Return the first paths for the log, and the number of the others."""
    shown = paths[:MAX_LOGGED_PATHS]
    hidden = len(paths) - len(shown)
    return _joined_names([*shown, f"+{hidden}"] if hidden else shown)


class ConfigReloader:
    """Holds the configuration in effect and replaces it at a reload.

    `read_config` reads the configuration again and raises ConfigError if it is unusable.
    """

    def __init__(self, config: Config, read_config: Callable[[], Config], parts: Components) -> None:
        """Begin with `config` in effect; a reload uses the components that `parts` has at that time."""
        self.config = config
        self.last_result: ReloadResult | None = None
        self._read_config = read_config
        self._parts = parts

    def reload(self) -> ReloadResult:
        """Read the configuration and apply or reject it; return the result.

        The result is also logged, counted and kept as `last_result`.
        """
        try:
            candidate = self._read()
        except (ConfigError, SettingsError, ServiceDiscoveryError) as error:
            result: ReloadResult = ReloadRejected(str(error))
            self._parts.counters.add("reloads_rejected")
            self._parts.log("reload", result="rejected", why=str(error))
        else:
            result = self._apply(candidate)
        self.last_result = result
        return result

    def _read(self) -> _Candidate:
        """Read and validate the configuration without changing anything.

        Raises ConfigError, SettingsError or ServiceDiscoveryError if it is unusable.
        """
        new = self._read_config()
        listed = parse_answer(new.known, 0).events
        left_out = check_no_key_lost(self.config.raw, new.raw, new.reload_schema)
        if (new.coordinator is None) is not (self.config.coordinator is None):
            raise ConfigError("a coordinator in place of listed servers, or the reverse, requires a restart")
        return _Candidate(new, listed[0].endpoints if listed else [], left_out)

    def _apply(self, candidate: _Candidate) -> ReloadApplied:
        old = self.config
        new = candidate.config
        self.config = new
        if new.tracing is not old.tracing:
            self._parts.call_manager.context.tracing = new.tracing
        self._apply_servers(old, candidate)
        self._apply_settings(old, new)
        restart_keys = self._apply_sip(new) + self._changed_restart_keys(old, new)
        self.config = self._effective_config(old, new, restart_keys)
        self._parts.counters.add("reloads")
        self._log_applied(old, new, restart_keys, candidate.left_out)
        return ReloadApplied(self._parts.clock(), restart_keys)

    def _apply_servers(self, old: Config, candidate: _Candidate) -> None:
        """Apply the listed servers and a changed address of the coordinator."""
        call_manager = self._parts.call_manager
        discovery = self._parts.discovery
        new = candidate.config
        if discovery is not None and new.coordinator is not None:
            discovery.last_index = apply_answer(call_manager, new.known, discovery.last_index)
            if new.coordinator != old.coordinator:
                discovery.switch_coordinator(new.coordinator)
        elif new.known != old.known:  # without a coordinator the file lists all servers
            call_manager.update_servers(candidate.servers, complete=True)

    def _apply_settings(self, old: Config, new: Config) -> None:
        """Apply changed settings and a changed scope to the overload control."""
        parts = self._parts
        if parts.scoped is not None and new.scope is not None and new.scope != old.scope:
            parts.scoped.update_settings(parts.scoped.settings, new.scope)
        if new.settings != old.settings:
            settings = parts.fleet.settings_in_use(new.settings) if parts.fleet is not None else new.settings
            parts.call_manager.update_settings(settings)
            parts.counters.add("settings_changes")

    def _apply_sip(self, new: Config) -> tuple[str, ...]:
        """Reconfigure the SIP frontend; return ("sip",) if a change in its table requires a restart."""
        frontend = self._parts.sip_frontend
        if frontend is None or new.sip is None or frontend.reconfigure(new.sip):
            return ()
        return ("sip",)

    @staticmethod
    def _changed_restart_keys(old: Config, new: Config) -> tuple[str, ...]:
        """Return the changed keys that take effect only after a restart."""
        keys = [key for key in RESTART_KEYS if getattr(new, key) != getattr(old, key)]
        if (new.scope is None) is not (old.scope is None):
            keys.insert(0, "scope")
        return tuple(keys)

    def _effective_config(self, old: Config, new: Config, restart_keys: tuple[str, ...]) -> Config:
        """Return the new configuration, with the old values for the keys that were not applied."""
        frontend = self._parts.sip_frontend
        kept = {key: getattr(old, key) for key in restart_keys if key != "sip"}
        return replace(new, sip=frontend.config if frontend is not None else new.sip, **kept)

    def _log_applied(
        self, old: Config, new: Config, restart_keys: tuple[str, ...], left_out: list[str]
    ) -> None:
        before = [each.name for each in old.settings.classes]
        now = [each.name for each in new.settings.classes]
        self._parts.log(
            "reload",
            result="applied",
            coordinator=f"{new.coordinator[0]}:{new.coordinator[1]}" if new.coordinator else "-",
            settings="new" if new.settings != old.settings else "same",
            classes=",".join(now),
            added=_joined_names(name for name in now if name not in before),
            removed=_joined_names(name for name in before if name not in now),
            restart_required=_joined_names(restart_keys),
            left_out=_joined_paths(left_out),
        )
