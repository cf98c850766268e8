"""Calls and load reports under the settings of several sites."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_messages import parse_load_report
from stairhatch.overload.events import Availability, LoadReport
from stairhatch.settings.parser import parse_settings_json

from .support.site_settings import KINDS, TENDERS


class InProcessSite:
    """The platform's frontend on a call manager with a site's settings, and servers that answer at once."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.now, self.sent, self.told = 1000.0, 0, []
        settings = parse_settings_json(json.dumps(told)).settings
        self.core = CallManager(
            settings, random.Random(1), lambda: self.now, lambda *_args, **_fields: None, Counters()
        )
        self.core.servers.pool = self
        pools = told["family_info"]["allowed_pools"][0]
        lines = [ServerRecord(f"s{n}", ("127.0.0.1", 9), n, Availability.READY) for n in pools]
        self.core.update_servers(lines, True)
        self.caller = PlatformFrontend(self.core).connect()

    def record_changed(self, server: object) -> None:
        """The core's view of the roster side."""

    def send_release(self, server: object, ident: str, cause: int) -> None:
        """A set-up is given up."""

    def send_setup(self, attempt: Any) -> None:
        """A set-up is written, and stands."""
        if self.core.attempts.claim_transmission(attempt):
            self.sent += 1
            self.core.responses.call_established(attempt.server, attempt.call.request.ident, "d")

    def ask(self, kind: str, **more: str) -> int:
        """The final answer to a set-up."""
        ident = f"{random.getrandbits(64):016x}"
        headers = {
            "via": "SIP/2.0/TCP peer", "call-id": ident, "cseq": "1 INVITE", "call-kind": kind,
            "answer-within": "3000", "routing-data": "dest:0;width:1;via:-1",
        }  # fmt: skip
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        self.caller.receive_data(sip.request("INVITE", "sip:7f3a@net", list(headers.items()), b"d"))
        for _ in range(200):  # what is held is looked at again
            self.now += 0.02
            self.core.timers.run_due()
        parser = sip_parser.StreamParser()
        parser.feed(self.caller.data_to_send())
        found = []
        while (message := parser.next_message()) is not None:
            found.append(message.status)
        assert len(found) == 1, found
        return found[0]


@KINDS
def test_a_call_of_an_unknown_class_is_failed_and_one_of_an_unknown_tenant_served(told):
    """A call of an unknown class or tenant is not lost, answered twice, or taken for another class. An
    unknown class gets the answer of a failed set-up, and goes nowhere.
    """
    stage, kind = InProcessSite(told), told["classes"][0]["name"]
    assert stage.ask("no-such-class") == 400
    assert stage.ask("") == 400
    assert stage.sent == 0
    assert stage.ask(kind) == 200
    assert stage.ask(kind, charged_party="region-nord") == 200
    assert stage.ask(kind, charged_party="no-such-tenant") == 200
    assert stage.ask(kind, charged_party="") == 200
    assert stage.sent == 4
    assert not stage.core.calls.by_number.keys() - {1, 2, 3, 4}


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (
            "free:5;size:9;mean_ms:250;can_take:40",
            LoadReport(free_lines=5, total_lines=9, processor_wait_s=0.25, admissible_rate=40),
        ),
        (
            "free:5;size:9;depth:12;can_take:40",
            LoadReport(free_lines=5, total_lines=9, queue_length=12, admissible_rate=40),
        ),
        ("free:5;size:9;depth:-1;can_take:-1", LoadReport(free_lines=5, total_lines=9)),
        ("load_share:0.5;unheard_of:3", LoadReport(utilization=0.5)),
        *(
            (text, LoadReport())
            for text in ("", ";;", "x:1", "depth", "depth:", "depth:x", "depth:nan", "depth:1e999")
        ),
    ],
)
def test_a_report_without_a_usable_field_is_no_report(text, report):
    """No figure is taken for another, and an empty report not for a server at rest: where nothing can be used
    the decisions are told nothing.
    """
    assert parse_load_report(text) == report
    stage = InProcessSite(TENDERS)
    stage.core.controller.handle = lambda _now, event: stage.told.append(event) or iter(())
    stage.core.responses.load_reported(next(iter(stage.core.servers.by_id.values())), parse_load_report(text))
    assert len(stage.told) == (report != LoadReport())
