"""Tests of the simulator's codec, byte by byte, and of the adapter as a process."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from stairhatch.overload.events import LoadReport
from stairhatch.settings.parser import parse_settings_json
from stairhatch.simulator import codec, records
from stairhatch.simulator.adapter import SimulatorAdapter

SETTINGS = {
    "balancers": 4,
    "me": 1,
    "period_s": 0.005,
    "classes": [
        {
            "aim_s": 1.2, "hard_limit_s": 9.0, "importance": 6.0, "effect": "read_like", "new": 1,
            "name": "plain", "late_worth": 0.0,
        },
    ],
    "family_info": {
        "allowed_pools": [[0, 1]], "call_length_s": [11.0], "clear_wait_s": 0.5, "self_no": -1,
        "retransmit_s": 0.0,
    },
    "load_report": {"how": "inline", "names": ["free", "size", "mean_ms", "unheard_of"]},
    "permissions": {
        "send_cap": 5, "cancel": True, "may_probe": False, "peers": False, "retry_after": True,
        "max_retry_after_s": 0.0, "connect_timeout_s": 0.5,
    },
    "safety": {
        "answer_slack_s": 0.0, "drain_grace_s": 0.0, "cold_from": 0.28, "warm_after_s": 15.0,
        "fall_multiple": 2.0, "fall_s": 1.0,
    },
    "a_new_key": [],
}  # fmt: skip
EVENTS = [
    records.InventoryRecord(
        0,
        (
            records.InventoryEntry(302190087, 0, 0, 0, 1.0, 0.0, 0),
            records.InventoryEntry(7, 1, 0, 0, 1.0, 0.0, 0),
        ),
    ),
    records.InstanceStartedRecord(3, 99, json.dumps(SETTINGS).encode()),
    records.EndpointsUpdatedRecord(3, 2, 41, 0),
    records.CallOfferedRecord(3, 5, 0, 0, 0.0, -1.0, 0.0, 0, 3.0, 1.0, 0),
]


def bytes_of_hex(text):
    return bytes.fromhex(text.replace(" ", "").replace("\n", ""))


EXAMPLE_EVENTS = {
    "12 03000000 c4913a5d4bc60100 0000 0100 00006442 00008043 fa7e6abc7493883f 00000000 b81e85eb51b8ce3f"
    " 00009644 640ad2557c3bf091": records.CallOfferedRecord,
    "16 03000000 4d000000": records.TimerExpiredRecord,
    "15 05000000 192b6f0eb1de0100": records.CallAbandonedRecord,
    "14 03000000 c4913a5d4bc60100 8b6ce7fba9f1923f 00000000 01 074a1203 0a 0000 03 cdcccc3e0000a03f00006841":
        records.AttemptEndedRecord,
    "1a 00000000 02000000 074a1203 0000 00 00 0000803f 0000000000000000 00"
    " f211902c 0000 00 01 0000c03f 6666666666661840 00": records.InventoryRecord,
    "11 03000000 02 2900000000000000 00000000": records.EndpointsUpdatedRecord,
}  # fmt: skip


@pytest.mark.parametrize("text", EXAMPLE_EVENTS)
def test_example_events_are_decoded_and_encoded_unchanged(text):
    body = bytes_of_hex(text)
    frame = codec.BATCH_HEADER.pack(12, len(body), 76.5, 1) + body
    batch = codec.read_batch(io.BytesIO(frame).read)
    assert isinstance(batch.records[0], EXAMPLE_EVENTS[text])
    assert codec.encode_batch(batch) == frame


def test_an_example_event_is_decoded_to_its_values():
    body = bytes_of_hex(list(EXAMPLE_EVENTS)[3])
    frame = codec.BATCH_HEADER.pack(1, len(body), 0.0, 1) + body
    attempt_ended = codec.read_batch(io.BytesIO(frame).read).records[0]
    assert (attempt_ended.instance_id, attempt_ended.answered) == (3, 1)
    assert (attempt_ended.server_id, attempt_ended.outcome) == (0x03124A07, 10)
    assert attempt_ended.load_report == pytest.approx((0.4, 1.25, 14.5))


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (
            records.SendSetupRecord(3, 0x1C64B5D3A91C4, 0x03124A07, 0.105),
            "11 03000000 c4913a5d4bc60100 074a1203",
        ),
        (records.SetTimerRecord(3, 0.5, 77), "14 03000000 000000000000e03f 4d000000"),
        (
            records.LogMessageRecord(5, b"two servers known"),
            "15 05000000 1100 74776f2073657276657273206b6e6f776e",
        ),
    ],
)
def test_example_actions_are_encoded_and_decoded_unchanged(action, text):
    assert action.encode().startswith(bytes_of_hex(text))
    reply = codec.ActionReply(12, [action])
    assert codec.read_reply(io.BytesIO(codec.encode_reply(reply)).read) == reply


def test_every_record_is_encoded_and_decoded_unchanged():
    events = [
        *EVENTS,
        records.CallEstablishedRecord(3, 5, 0, 7, 0.1),
        records.LoadReportedRecord(3, 10, 0.0, 7, (1.0, 2.0)),
        records.PeerMessageRecord(3, 1, b"hi"),
        records.InstanceStoppedRecord(3),
    ]
    batch = codec.EventBatch(9, 1.5, events)
    assert codec.read_batch(io.BytesIO(codec.encode_batch(batch)).read) == batch
    actions = [
        records.FailCallRecord(3, 5),
        records.RejectCallRecord(3, 5, 0.5),
        records.ControllerFailedRecord(3, b"x"),
    ]
    reply = codec.ActionReply(9, actions)
    assert codec.read_reply(io.BytesIO(codec.encode_reply(reply)).read) == reply


def test_settings_are_translated_and_unknown_keys_ignored():
    parsed = parse_settings_json(json.dumps(SETTINGS).encode())
    settings = parsed.settings
    assert settings.instance_count == 4
    assert settings.max_attempts == 5
    assert settings.safety.retry_pause_s == 0.5
    assert settings.classes[0].allowed_servers == (0, 1)
    assert settings.classes[0].mean_duration_s == 11.0
    assert parsed.load_report_names[2] == "mean_ms"


def test_the_adapter_sends_set_ups_and_restarts_an_instance_without_state():
    adapter = SimulatorAdapter()
    reply = adapter.answer(codec.EventBatch(1, 10.0, list(EVENTS)))
    assert [type(r) for r in reply.records][:1] == [records.SendSetupRecord]
    restart_events = [records.InstanceStoppedRecord(3), *EVENTS[1:3]]
    adapter.answer(codec.EventBatch(2, 10.1, restart_events))
    assert not adapter.instances[3].controller.calls


def test_invalid_and_absent_values_of_a_load_report_count_as_missing():
    adapter = SimulatorAdapter()
    adapter.answer(codec.EventBatch(1, 10.0, list(EVENTS)))
    instance = adapter.instances[3]
    assert instance.load_report((5.0, 9.0, -1.0)) == LoadReport(free_lines=5.0, total_lines=9.0)
    assert instance.load_report((float("nan"), 9.0, 250.0, 1.0)) == LoadReport(
        total_lines=9.0, processor_wait_s=0.25
    )
    assert instance.load_report(()) == LoadReport()


def test_an_exception_in_the_controller_is_reported_as_a_record(monkeypatch):
    adapter = SimulatorAdapter()
    adapter.answer(codec.EventBatch(1, 10.0, list(EVENTS)))

    def raise_error(_now, _event):
        raise RuntimeError("out of order")

    monkeypatch.setattr(adapter.instances[3].controller, "handle", raise_error)
    reply = adapter.answer(codec.EventBatch(2, 10.1, [records.TimerExpiredRecord(3, 1)]))
    assert reply.records == [records.ControllerFailedRecord(3, b"RuntimeError: out of order")]


def run_adapter(data):
    command = [sys.executable, "-m", "stairhatch.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, check=False)


def test_the_process_answers_all_batches_and_exits_with_code_0():
    result = run_adapter(
        codec.encode_batch(codec.EventBatch(1, 10.0, []))
        + codec.encode_batch(codec.EventBatch(2, 10.0, EVENTS))
    )
    assert result.returncode == 0
    assert not result.stderr
    read = io.BytesIO(result.stdout).read
    assert codec.read_reply(read) == codec.ActionReply(1, [])
    assert codec.read_reply(read).records[0].server_id == 302190087
    assert run_adapter(b"").returncode == 0


def batch_of(record):
    return codec.encode_batch(codec.EventBatch(7, 0.0, [record]))


VALID_BATCH = codec.encode_batch(codec.EventBatch(7, 10.0, list(EVENTS)))


@pytest.mark.parametrize(
    ("data", "expected_error"),
    [
        (VALID_BATCH[:10], "batch header"),
        (VALID_BATCH[:-3], "body of batch 7"),
        (codec.BATCH_HEADER.pack(7, 1, 0.0, 1) + b"\xff", "unknown code 255"),
        (codec.BATCH_HEADER.pack(7, 9, 0.0, 1) + b"\x1a\0\0\0\0\xff\0\0\0", "overruns"),
        (codec.BATCH_HEADER.pack(7, 3, 0.0, 1) + b"\x16\0\0", "TimerExpiredRecord"),
        (codec.BATCH_HEADER.pack(7, 1, 0.0, 0) + b"\0", "left over"),
        (batch_of(records.InstanceStartedRecord(1, 1, b"{oops")), "boot_info"),
        (batch_of(records.InstanceStartedRecord(1, 1, b'{"classes": 3}')), "boot_info"),
        (batch_of(records.InstanceStartedRecord(1, 1, b'{"classes":[],"balancers":0}')), "balancers"),
        (batch_of(records.TimerExpiredRecord(1, 1)), "not started"),
    ],
)
def test_malformed_input_ends_the_process_with_a_one_line_error(data, expected_error):
    result = run_adapter(data)
    assert result.returncode == 2
    text = result.stderr.decode()
    assert text.count("\n") == 1
    assert expected_error in text
    assert "Traceback" not in text
    assert not result.stdout
