"""Calls and load reports at the platform's frontend, with the settings of several sites."""

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

from .support.site_settings import EVERY_SITE, TENDERS


class InProcessSite:
    """The platform's frontend and a call manager with a site's settings; servers establish calls at once."""

    def __init__(self, site_settings: dict[str, Any]) -> None:
        self.now, self.setups_sent, self.events = 1000.0, 0, []
        settings = parse_settings_json(json.dumps(site_settings)).settings
        self.call_manager = CallManager(
            settings, random.Random(1), lambda: self.now, lambda *_args, **_fields: None, Counters()
        )
        self.call_manager.servers.pool = self
        pools = site_settings["family_info"]["allowed_pools"][0]
        records = [ServerRecord(f"s{n}", ("127.0.0.1", 9), n, Availability.READY) for n in pools]
        self.call_manager.update_servers(records, True)
        self.caller = PlatformFrontend(self.call_manager).connect()

    def record_changed(self, server: object) -> None:
        """Ignore a changed server record (interface of the server pool)."""

    def send_release(self, server: object, ident: str, cause: int) -> None:
        """Ignore a cancelled set-up or a released call (interface of the server pool)."""

    def send_setup(self, attempt: Any) -> None:
        """Send a set-up and establish its call at once (interface of the server pool)."""
        if self.call_manager.attempts.claim_transmission(attempt):
            self.setups_sent += 1
            self.call_manager.responses.call_established(attempt.server, attempt.call.request.ident, "d")

    def offer_call(self, call_class: str, **extra_headers: str) -> int:
        """Offer a call of a class with additional headers; returns the status of its only response."""
        ident = f"{random.getrandbits(64):016x}"
        headers = {
            "via": "SIP/2.0/TCP peer", "call-id": ident, "cseq": "1 INVITE", "call-kind": call_class,
            "answer-within": "3000", "routing-data": "dest:0;width:1;via:-1",
        }  # fmt: skip
        headers.update({name.replace("_", "-"): value for name, value in extra_headers.items()})
        self.caller.receive_data(sip.request("INVITE", "sip:7f3a@net", list(headers.items()), b"d"))
        for _ in range(200):  # lets 4 s pass, so that pending calls are tried again
            self.now += 0.02
            self.call_manager.timers.run_due()
        parser = sip_parser.StreamParser()
        parser.feed(self.caller.data_to_send())
        statuses = []
        while (message := parser.next_message()) is not None:
            statuses.append(message.status)
        assert len(statuses) == 1, statuses
        return statuses[0]


@EVERY_SITE
def test_a_call_of_an_unknown_class_is_failed_and_one_of_an_unknown_tenant_served(raw_settings):
    """A call of an unknown class or tenant gets one response and is not handled as another class.

    A call of an unknown class gets the response to a failed set-up, and no set-up is sent.
    """
    site, call_class = InProcessSite(raw_settings), raw_settings["classes"][0]["name"]
    assert site.offer_call("no-such-class") == 400
    assert site.offer_call("") == 400
    assert site.setups_sent == 0
    assert site.offer_call(call_class) == 200
    assert site.offer_call(call_class, charged_party="region-nord") == 200
    assert site.offer_call(call_class, charged_party="no-such-tenant") == 200
    assert site.offer_call(call_class, charged_party="") == 200
    assert site.setups_sent == 4
    assert not site.call_manager.calls.by_number.keys() - {1, 2, 3, 4}


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
def test_a_load_report_without_a_usable_field_causes_no_event(text, report):
    """Each field is parsed into its own attribute. An empty report must not look like an idle server, so the
    controller gets no event for a report without a usable field.
    """
    assert parse_load_report(text) == report
    site = InProcessSite(TENDERS)
    site.call_manager.controller.handle = lambda _now, event: site.events.append(event) or iter(())
    site.call_manager.responses.load_reported(
        next(iter(site.call_manager.servers.by_id.values())), parse_load_report(text)
    )
    assert len(site.events) == (report != LoadReport())
