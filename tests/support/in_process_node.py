"""A SIP frontend and a call manager in the test's process, without sockets."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import Any

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.overload.events import Availability
from stairhatch.settings.parser import settings_from_object
from stairhatch.sip.config import NumberPrefix, SipConfig, SipListener
from stairhatch.sip.frontend import SipFrontend

from .platform_config import SETTINGS

NUMBERING_PLAN = (
    "read-roster",
    (NumberPrefix("7", "save-roster", 0),),
)  # the default class, and the class of numbers with a prefix


class InProcessNode:
    """A SIP frontend and a call manager with a clock that tests advance.

    The node is the server pool of its own call manager: in place of writing to server connections it records
    the set-ups (`written`) and the releases (`releases`).
    """

    def __init__(self, **config: Any) -> None:
        self.now = 1000.0
        self.settings = settings_from_object(SETTINGS).settings
        self.clock = lambda: self.now
        self.log = lambda *_args, **_fields: None
        self.call_manager = CallManager(
            self.settings,
            random.Random(1),
            lambda: self.clock(),
            lambda *args, **fields: self.log(*args, **fields),
            Counters(),
        )
        self.call_manager.servers.pool = self
        self.written: list[Attempt] = []
        self.releases: list[tuple[str, int]] = []
        listeners = (SipListener(("127.0.0.1", 1)),)
        sip_config = replace(SipConfig(listeners, listeners, "127.0.0.1:1", *NUMBERING_PLAN), **config)
        tokens = (f"t{n}" for n in range(10**6))
        self.frontend = SipFrontend(
            self.call_manager, sip_config, lambda: next(tokens), random.Random(1).random, b"secret"
        )
        self.call_manager.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True)
        self.call_manager.readiness.listening = True
        self.call_manager.readiness.list_known = True
        self.call_manager.servers.by_id[1].dial_attempted = True

    def follow_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        """Let the clock advance with that of an event loop, starting at its present time.

        The loop's own time may be lower than the node's if the machine has been started recently, and the
        node's clock must not go back.
        """
        offset_s = self.now - loop.time()
        self.clock = lambda: loop.time() + offset_s

    def record_changed(self, server: object) -> None:
        """Ignore a changed entry of the endpoint list (server pool's interface)."""

    def send_setup(self, attempt: Attempt) -> None:
        """Record a set-up as written, if it may still be sent (server pool's interface)."""
        if self.call_manager.attempts.claim_transmission(attempt):
            self.written.append(attempt)

    def shut_down(self) -> None:
        """Do nothing at the shutdown: there is no connection to close (server pool's interface)."""

    def is_flushed(self) -> bool:
        """Return True, as no output is ever queued (server pool's interface)."""
        return True

    def send_release(self, _server: object, ident: str, cause: int) -> bool:
        """Record the release of a call or of an abandoned set-up (server pool's interface)."""
        self.releases.append((ident, cause))
        return False

    def establish(self) -> None:
        """Establish the call whose set-up was written last, as the server's reply does."""
        attempt = self.written[-1]
        self.call_manager.responses.call_established(attempt.server, attempt.call.request.ident, "v=0 æ")

    def run(self, seconds: float) -> None:
        """Advance the clock by a time in seconds, and run each due timer at its time."""
        end = self.now + seconds
        while (due := self.call_manager.timers.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.call_manager.timers.run_due()
        self.now = end
