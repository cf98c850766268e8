"""The layers of SIP, each by itself: what stands inside headers, transactions and their memory, sessions, who
may call, and bytes in any pieces.
"""

from __future__ import annotations

import contextlib
import ipaddress

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.counters import Counters
from stairhatch.sip import digest_auth, grammar, sessions
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.sessions import Lease, Refresher, SessionTimer, SessionTimerAction, SessionTimerPolicy
from stairhatch.sip.transactions import LAST, T4, Transactions
from stairhatch.sip.transport import AllowedNetworks, Flow

from .support.in_process_node import InProcessNode
from .support.recording_flow import RecordingFlow
from .support.sip_messages import sip_headers

BOUNDED = settings(
    derandomize=True, max_examples=150, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip


class Clockwork:
    """A clock set by hand and its timers."""

    def __init__(self):
        self.now, self.pending, self.counters = 100.0, [], Counters()
        self.clock = lambda: self.now
        self.timers = self

    def schedule(self, due, act):
        self.pending.append((due, len(self.pending), act))

    def run(self, seconds):
        end = self.now + seconds
        while self.pending and min(self.pending)[0] <= end:
            first = min(self.pending)
            self.pending.remove(first)
            self.now = max(self.now, first[0])
            first[2]()
        self.now = end


class Kept(Flow):
    """A flow that keeps what is sent."""

    def __init__(self, host="127.0.0.1", reliable=False):
        self.peer, self.reliable, self.sent = (host, 4000), reliable, []

    def send(self, data):
        self.sent.append(data)


def head(method="OPTIONS", branch="z9hG4bKa", call="c1", peer=("127.0.0.1", 4000)):
    lines = sip_headers(method, "1", branch, call)
    return RequestHead(sip_parser.parse_datagram(sip.request(method, "sip:7@net", list(lines.items()))), peer)


# ---- grammar ----


@pytest.mark.parametrize(
    ("one", "other", "same"),
    [
        ("sip:alice@a.example;transport=TCP", "SIP:alice@A.EXAMPLE;Transport=tcp", True),
        ("sip:%61lice@a.example", "sip:alice@a.example", True),
        ("sip:a@b.example;new=5", "sip:a@b.example", True),
        ("sip:a@b.example;x=1;y=2", "sip:a@b.example;y=2;x=1", True),
        ("sip:a@b.example?x=1&y=2", "sip:a@b.example?y=2&x=1", True),
        ("sip:ALICE@b.example", "sip:alice@b.example", False),
        ("sip:a@b.example", "sip:a@b.example:5060", False),
        ("sip:a@b.example:5060", "sip:a@b.example:6000", False),
        ("sip:a@b.example", "sips:a@b.example", False),
        ("sip:a@b.example;x=1", "sip:a@b.example;x=2", False),
        ("sip:a@b.example;user=phone", "sip:a@b.example", False),
        ("sip:a@b.example;maddr=1.2.3.4", "sip:a@b.example", False),
        ("sip:a@b.example?x=1", "sip:a@b.example", False),
        ("sip:a:word@b.example", "sip:a@b.example", False),
        ("sip:a@[::1]", "sip:a@[::1]:5060", False),
        ("tel:+47-22.00(00)00", "tel:+4722000000", True),
        ("tel:7042;phone-context=example.com", "tel:7042", False),
        ("tel:7042;a=1;b=2", "tel:70-42;b=2;a=1", True),
    ],
)
def test_uris_are_compared_as_the_rfc_says(one, other, same):
    """Guards against two names taken for one resource, or one for two (RFC 3261, 19.1.4)."""
    first, second = grammar.parse_uri(one), grammar.parse_uri(other)
    assert grammar.same_uri(first, second) is same
    assert grammar.same_uri(second, first) is same


@BOUNDED
@given(st.text(max_size=60), st.text(max_size=40), st.integers(1, 2**31 - 1))
def test_any_quoted_display_name_is_read_back(display, more, cseq):
    """Guards against brackets, semicolons and quotes in a name that are read as structure."""
    plain = (
        "".join(c for c in display if c.isprintable() and c not in "\r\n").encode("utf-8", "replace").decode()
    )
    text = f"{grammar.quote(plain)} <sip:a@b.example;x=y> ; tag = t{cseq} ; q={grammar.quote(more)}"
    if any(ord(c) < 32 or ord(c) == 127 for c in more):
        return
    address = grammar.parse_address(text)
    assert (address.display, address.uri, address.tag) == (plain, "sip:a@b.example;x=y", f"t{cseq}")
    assert address.parameters["q"] == more


@BOUNDED
@given(st.text(max_size=200))
def test_no_text_upsets_a_reader(text):
    """Guards against a header that ends a connection by an exception of ours."""
    for read in (grammar.parse_address, grammar.parse_uri, grammar.parse_via, grammar.parse_credentials,
                 grammar.media_type, grammar.read_rack, grammar.seconds_and_parameters):  # fmt: skip
        with contextlib.suppress(grammar.GrammarError):
            read(text)


@BOUNDED
@given(
    st.lists(
        st.tuples(st.sampled_from(["INVITE", "OPTIONS", "BYE"]), st.binary(max_size=300)),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.integers(1, 90), min_size=1, max_size=40),
)
def test_messages_glued_and_cut_anywhere_are_the_same(told, cuts):
    """Guards against messages lost or joined however the stream is cut, single bytes and one segment too."""
    data = b"".join(
        sip.request(method, "sip:7@net", list(sip_headers(method, "1", f"z9hG4bK{n}").items()), body)
        for n, (method, body) in enumerate(told)
    )
    for pieces in (cuts, [1], [len(data)]):
        parser, found, at, turn = sip_parser.StreamParser(resynchronizes=True), [], 0, 0
        while at < len(data):
            size = pieces[turn % len(pieces)]
            parser.feed(data[at : at + size])
            at, turn = at + size, turn + 1
            while (message := parser.next_message()) is not None:
                found.append((message.method, message.body))
        assert found == told


# ---- transactions ----


def test_what_is_over_shrinks_and_is_forgotten_in_time():
    """Guards against memory that grows with calls that are over: 1 KB each at most, and none after 64 T1."""
    clock = Clockwork()
    table = Transactions(clock, 64 * 1024 * 1024)
    for number in range(1000):
        flow = Kept()
        request = head("OPTIONS", f"z9hG4bK{number}", f"c{number}")
        table.respond(table.open(request, flow), 200, "tag")
    assert not table.servers
    assert table.live_bytes == 0
    assert not table.by_source
    assert len(table.memory.records) == 1000
    assert table.memory.bytes < 1000 * 1024
    flow = Kept()
    assert table.known(head("OPTIONS", "z9hG4bK7", "c7"), flow)
    assert flow.sent
    clock.run(LAST + 5)
    assert not table.memory.records
    assert table.memory.bytes == 0
    assert not clock.pending
    assert not table.known(head("OPTIONS", "z9hG4bK7", "c7"), flow)


def test_a_full_table_forgets_what_is_over_before_it_refuses_what_is_new():
    """Guards against refusals while memory holds only answers for copies that may never come."""
    table = Transactions(Clockwork(), 40_000)
    for number in range(400):
        assert table.room("127.0.0.1")
        table.respond(table.open(head(branch=f"z9hG4bK{number}", call=f"c{number}"), Kept()), 200, "t")
        assert table.live_bytes + table.memory.bytes <= 40_000 + 4096
    assert table.clockwork.counters.counts["forgotten_early"] > 0


def test_one_source_with_ten_thousand_half_open_requests_leaves_room_for_others():
    """The hard case: a storm from one source of INVITEs that are never answered."""
    table = Transactions(Clockwork(), 8 * 1024 * 1024)
    taken = 0
    for number in range(10_000):
        if table.room("10.0.0.66"):
            peer = ("10.0.0.66", 4000)
            flow = Kept("10.0.0.66")
            table.open(head("INVITE", f"z9hG4bK{number}", f"c{number}", peer), flow)
            taken += 1
    assert 0 < taken < 5000
    assert not table.room("10.0.0.66")
    assert table.room("10.0.0.7")
    for number in range(200):
        assert table.room("10.0.0.7")
        other = head("INVITE", f"z9hG4bKo{number}", f"o{number}", ("10.0.0.7", 4000))
        table.respond(table.open(other, Kept("10.0.0.7")), 200, "t")


class Asked:
    """Who began a request of ours."""

    def __init__(self):
        self.told = []

    def provisional(self, status, message):
        self.told.append(status)

    def final(self, status, message):
        self.told.append(status)

    def unreachable(self):
        self.told.append("unreachable")


@pytest.mark.parametrize(
    ("method", "status", "reliable", "kept_s"),
    [
        ("INVITE", 200, False, LAST), ("INVITE", 486, False, LAST), ("INVITE", 200, True, LAST),
        ("INVITE", 486, True, 0), ("BYE", 200, False, T4), ("BYE", 481, True, 0), ("BYE", None, False, LAST),
        ("INVITE", None, True, LAST),
    ],
)  # fmt: skip
def test_a_request_of_ours_is_known_until_its_time_and_no_longer(method, status, reliable, kept_s):
    """Guards against requests kept for good, and against copies of an answer that are told twice, or whose
    ACK is not repeated, since the request went too early (RFC 3261, 17.1.1.2 and 17.1.2.2, RFC 6026, 7.2).
    """
    clock, flow, user = Clockwork(), Kept(reliable=reliable), Asked()
    table = Transactions(clock, 1024 * 1024)
    lines = sip_headers(method, "7", "z9hG4bKours", "c1")
    table.begin("z9hG4bKours", method, sip.request(method, "sip:7@net", list(lines.items())), flow, user)
    if status is None:
        clock.run(LAST - 0.1)
        assert table.clients
        assert not user.told
        clock.run(0.3)
        assert not table.clients
        assert user.told == [408]
        clock.run(LAST)
        assert user.told == [408]
        assert not clock.pending
        return
    answer = sip_parser.parse_datagram(sip.response(status, [*lines.items()]))
    assert table.response(answer)
    assert user.told == [status]
    acks = [sip_parser.parse_datagram(data) for data in flow.sent if data.startswith(b"ACK")]
    assert [m.cseq() for m in acks] == ([(7, "ACK")] if method == "INVITE" and status >= 300 else [])
    for at in (0.0, kept_s - 0.2):
        clock.run(max(0.0, at))
        assert bool(table.clients) is (kept_s > 0) is table.response(answer)
        assert user.told == [status]
    clock.run(0.3)
    assert not table.clients
    assert not table.response(answer)


@BOUNDED
@given(st.lists(st.sampled_from(["copy", "ack", "wait", "final", "provisional"]), max_size=12), st.booleans())
def test_an_invite_has_one_final_answer_whatever_comes(steps, stood):
    """Guards against two different final answers, in any order of copies, ACKs, waits and answers."""
    clock, flow = Clockwork(), Kept()
    table = Transactions(clock, 1024 * 1024)
    request = head("INVITE")
    transaction = table.open(request, flow)
    for step in steps:
        match step:
            case "copy":
                assert table.known(head("INVITE"), flow)
            case "ack":
                table.known(head("ACK"), flow)
            case "wait":
                clock.run(0.7)
            case "final":
                table.respond(transaction, 200 if stood else 486, "t")
            case _:
                table.respond(transaction, 180, "t")
    finals = {data for data in flow.sent if sip_parser.parse_datagram(data).status >= 200}
    assert len(finals) == ("final" in steps)
    clock.run(80)
    assert not table.servers or "final" not in steps
    assert not table.memory.records


# ---- sessions ----


@BOUNDED
@given(st.integers(90, 5000), st.sampled_from(list(Refresher)), st.lists(st.floats(0, 3000), max_size=8))
def test_a_lease_is_released_once_and_never_before_its_time(interval, refresher, waits):
    """Guards against sessions that are never released, or while they are refreshed in time."""
    lease, now = Lease(), 0.0
    lease.agree(SessionTimer(interval, refresher), now)
    for wait in waits:
        refreshed = now
        now += wait
        due = lease.due(now)
        assert (due is SessionTimerAction.RELEASE) is (
            now - refreshed >= SessionTimer(interval, refresher).lasts_s
        )
        if due is SessionTimerAction.REFRESH:
            assert refresher is Refresher.OURS
            assert now - refreshed >= interval / 2
            assert lease.due(now) is SessionTimerAction.NOTHING  # asked for once
        lease.agree(SessionTimer(interval, refresher), now)


@BOUNDED
@given(
    st.integers(0, 10**6),
    st.integers(0, 10**5),
    st.sampled_from(["", ";refresher=uac", ";refresher=uas"]),
    st.booleans(),
    st.integers(90, 4000),
)
def test_no_session_time_under_either_sides_least_is_agreed(asked, least, who, knows, ours):
    """Guards against a timer that one side takes for too short (RFC 4028, section 9)."""
    message = sip.SipMessage("INVITE", headers=[("session-expires", f"{asked}{who}"), ("min-se", str(least))])
    if knows:
        message.headers.append(("supported", "timer"))
    got = sessions.negotiate(message, SessionTimerPolicy(1800, ours))
    if isinstance(got, sessions.Refusal):
        assert got.status == 422
        assert knows
        assert asked < ours
    else:
        assert got is not None
        assert got.interval_s >= min(ours, sessions.MOST_SE_S)
        assert got.required is knows
        assert knows or got.refresher is Refresher.OURS


# ---- who may call ----


def guard(**more):
    lines = digest_auth.format_user_lines("office", "r", "word", ["SHA-256"])
    clock = Clockwork()
    told = {
        "users": digest_auth.parse_users("\n".join(lines), "r", ["SHA-256"]),
        "algorithms": ("SHA-256",),
        **more,
    }
    return digest_auth.DigestAuthenticator("r", told.pop("users"), b"s", clock.clock, **told), clock


def credentials(nonce, count, password="word", client="c"):
    asked = digest_auth.hex_digest("SHA-256", "INVITE:sip:7@net")
    kept = digest_auth.user_hash("SHA-256", "office", "r", password)
    answer = digest_auth.hex_digest("SHA-256", f"{kept}:{nonce}:{count:08x}:{client}:auth:{asked}")
    return [
        f'Digest username="office", realm="r", nonce="{nonce}", uri="sip:7@net", response="{answer}", '
        f'algorithm=SHA-256, cnonce="{client}", qop=auth, nc={count:08x}'
    ]


@BOUNDED
@given(st.lists(st.integers(0, 200), max_size=80))
def test_a_count_is_good_once_in_any_order(counts):
    """Guards against a replay, also of counts that come out of order over UDP."""
    gate, _ = guard()
    nonce, used, highest = gate.nonce(), set(), 0
    for count in counts:
        verdict = gate.judge("INVITE", "sip:7@net", credentials(nonce, count)).verdict
        if count in used or count == 0:
            assert verdict is digest_auth.CredentialCheck.REPLAYED
        elif count > highest - digest_auth.WINDOW:
            assert verdict is digest_auth.CredentialCheck.GOOD
        used.add(count)
        highest = max(highest, count)


def test_a_nonce_pushed_out_is_stale_and_not_good_again(monkeypatch):
    """Guards against a replay by whoever can make the guard forget: many nonces are used to push one out."""
    monkeypatch.setattr(digest_auth, "MOST_NONCES", 3)
    gate, clock = guard()
    first = gate.nonce()
    assert (
        gate.judge("INVITE", "sip:7@net", credentials(first, 1)).verdict is digest_auth.CredentialCheck.GOOD
    )
    for _ in range(5):
        clock.now += 0.01
        assert (
            gate.judge("INVITE", "sip:7@net", credentials(gate.nonce(), 1)).verdict
            is digest_auth.CredentialCheck.GOOD
        )
    assert (
        gate.judge("INVITE", "sip:7@net", credentials(first, 1)).verdict is digest_auth.CredentialCheck.STALE
    )
    clock.now += 301
    assert (
        gate.judge("INVITE", "sip:7@net", credentials(gate.nonce()[:-1] + "x", 1)).verdict
        is digest_auth.CredentialCheck.STALE
    )


def test_those_who_fail_leave_nothing_behind():
    """Guards against memory filled by guesses."""
    gate, _ = guard()
    nonce = gate.nonce()
    for count in range(1, 2000):
        assert (
            gate.judge("INVITE", "sip:7@net", credentials(nonce, count, "wrong")).verdict
            is digest_auth.CredentialCheck.BAD
        )
    assert not gate._counts


@pytest.mark.parametrize(
    ("line", "why"),
    [
        ("office:r:SHA-256", "line 2: not user"), ("office:r:SHA-1:00", "line 2: not user"),
        ("office:r:SHA-256:00", "line 2: the hash"), (digest_auth.format_user_lines("a", "r", "x", ["SHA-256"])[0], "stands twice"),  # noqa: E501
    ],
)  # fmt: skip
def test_a_spoilt_file_of_users_names_its_line(line, why):
    """Guards against users who can't call for a reason that nobody sees."""
    first = digest_auth.format_user_lines("a", "r", "x", ["SHA-256"])[0]
    with pytest.raises(digest_auth.UserFileError, match=why):
        digest_auth.parse_users(f"{first}\n{line}\n", "r", ["SHA-256"])


@pytest.mark.parametrize(
    ("networks", "host", "heard"),
    [
        ([], "10.9.9.9", True), (["10.0.0.0/8"], "10.9.9.9", True), (["10.0.0.0/8"], "11.0.0.1", False),
        (["::1/128"], "::1", True), (["10.0.0.0/8"], "::ffff:10.1.1.1", True), (["10.0.0.0/8"], "name", False),  # noqa: E501
    ],
)  # fmt: skip
def test_a_listener_hears_its_networks_alone(networks, host, heard):
    """Guards against callers from elsewhere, and against shutting out those meant."""
    assert AllowedNetworks(tuple(ipaddress.ip_network(each) for each in networks)).admits(host) is heard


# ---- the front, where cases as data don't reach ----


def test_a_barred_datagram_leaves_no_trace():
    """Guards against work done for whoever is outside the listener's networks."""
    from stairhatch.sip.frontend import SipListener

    only = AllowedNetworks((ipaddress.ip_network("10.0.0.0/8"),))
    inside = InProcessNode(udp=(SipListener(("127.0.0.1", 1), only),))
    data = sip.request("OPTIONS", "sip:7@net", list(sip_headers("OPTIONS").items()))
    inside.front.ports[0].receive(data, ("127.0.0.1", 4000))
    assert not inside.front.ports[0].output
    assert inside.core.counters.counts == {"datagrams_barred": 1}


def test_a_restart_ends_on_both_sides_what_it_cannot_wait_for():
    """Guards against dialogs that the next process knows nothing of, and calls that nobody releases."""
    line = RecordingFlow(InProcessNode())
    line.request()
    line.node.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    assert line.node.front.end_dialogs() == 1
    assert line.sent[-1].method == "BYE"
    assert "cause=41" in line.sent[-1].get("reason")
    assert len(line.node.releases) == 1
    assert not line.node.core.calls.by_number
    assert not line.node.front.dialogs


def test_a_bye_whose_connection_dies_goes_another_way():
    """Guards against a release that is lost with its connection (client transactions fail over)."""
    inside, dialled = InProcessNode(), []
    inside.front.dial = dialled.append
    line = RecordingFlow(inside, reliable=True)
    line.request(contact="<sip:office@127.0.0.1:4010;transport=tcp>")
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    attempt = inside.written[0]
    inside.core.responses.call_released(
        attempt.server, attempt.call.request.ident, 16, "", inside.empty_report()
    )
    assert line.sent[-1].method == "BYE"
    line.alive = False
    inside.front.flow_lost(line)
    assert dialled
    assert b"BYE sip:office@127.0.0.1:4010" in dialled[0].data_to_send()
    dialled[0].connection_lost()  # nobody listens there: UDP is left
    assert inside.front.ports[0].output[-1][1] == ("127.0.0.1", 4010)


def test_a_call_from_before_users_were_asked_for_can_still_end():
    """Guards against dialogs that nobody can hang up once a reload has turned users on."""
    line = RecordingFlow(InProcessNode())
    line.request()
    line.node.establish()
    tag = line.to_tag()
    line.request("ACK", to=f"<sip:7@net>;tag={tag}")
    front = line.node.front
    front.guard, _ = guard()
    assert line.request("BYE", number="2", to=f"<sip:7@net>;tag={tag}").status == 200
    assert line.request(number="1", call_id="c9", branch="z9hG4bKnew").status == 401
