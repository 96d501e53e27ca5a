"""Tests the simulator codec with frames of the protocol description, and the simulator adapter with malformed input."""

import io
import json
import struct
import subprocess
import sys

import msgspec
import pytest

from lapispick import admission
from lapispick.platform_settings import StartSettings, admission_settings
from lapispick.simulator import adapter, codec

DESCRIBED_BATCH = bytes.fromhex(
    "00000083"
    "40c06e2000000000"
    "0000000c"
    "05"
    "00000003"
    "0008f0695d3a91c4"
    "40c0e62000000000"
    "91f03b7c55d20a64"
    "3f200000"
    "3ffd99999999999a"
    "000f167b0e6f2b19"
    "01"
    "00000000"
    "41c40000"
    "4028000000000000"
    "0000"
    "00000011"
    "08"
    "00000003"
    "000000000000004d"
    "04"
    "3f1eb852404000003ed1eb8542f00000"
    "04"
    "00000005"
    "000f167b0e6f2b19"
)
START_SETTINGS = {
    "Bounds": {"MaxRetryAfter": 1000.0, "RetryAfter": True},
    "FamilyInfo": {
        "Advert": "level",
        "Below": "tier",
        "CallsOut": 0.0,
        "ClassSkipWorth": [0.5],
        "Cold": False,
        "Cores": 6,
        "DepWindow": 5000.0,
        "Gauges": ["core_use", "unknown_gauge"],
        "Halt": "pause",
        "KbPerKey": 136.6,
        "MemoryKb": 29472.0,
        "RunMemFactor": 8.0,
        "NewKey": {"x": 1},
    },
    "Guarantees": {"ColdFrom": 0.23, "DrainGrace": 1800.0, "FallMultiple": 8.0, "WarmUp": 13000.0},
    "Layer": 0,
    "ObjectiveMix": {"Whole": 0.5, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.2},
    "OverShareWorth": 0.05,
    "Parties": [{"Name": "a", "QuotaRps": 84.0, "Share": 1.0}],
    "PeersTotal": 12,
    "Services": [
        {
            "GiveUp": 5400.0,
            "Idempotency": "idempotent",
            "LateWorth": 0.0,
            "Name": "x",
            "Promise": 2100.0,
            "Window": 5000.0,
            "Worth": 1.0,
        }
    ],
    "ValueBy": "work",
}


def batch_frame(*records, number=1, clock=1000.0):
    """Return the frame of a batch with these event records."""
    body = b"".join(records)
    return struct.pack(">IdI", 16 + len(body), clock, number) + body


def start_record(settings=START_SETTINGS, instance=3):
    """Return the record that starts an instance with these start settings."""
    encoded = settings if isinstance(settings, bytes) else json.dumps(settings).encode()
    return struct.pack(">BIQI", codec.BORN, instance, 9, len(encoded)) + encoded


def request_record(instance=3, request_id=5):
    """Return the record of an arriving request."""
    fields = (request_id, 5000.0, 0, 0.5, 1.0, 0, 1, 0, 20.0, 100.0, 0, 1)
    return struct.pack(">BIQdQfdQBIfdHI", codec.KNOCK, instance, *fields)


def test_batch_of_the_protocol_description_is_decoded():
    clock, number, records = codec.decode_batch(DESCRIBED_BATCH)
    assert clock == 8412.25
    assert number == 12
    assert records[0] == (
        5,
        3,
        0x8F0695D3A91C4,
        8652.25,
        0x91F03B7C55D20A64,
        0.625,
        pytest.approx(1.85),
        0xF167B0E6F2B19,
        1,
        0,
        24.5,
        12.0,
        0,
        17,
    )
    code, instance, token, gauges = records[1]
    assert (code, instance, token) == (8, 3, 0x4D)
    assert gauges == pytest.approx((0.62, 3.0, 0.41, 120.0), rel=1e-6)
    assert records[2] == (4, 5, 0xF167B0E6F2B19)


def test_reply_of_the_protocol_description_is_encoded():
    records = [
        codec.ACTIONS[codec.DISPATCH].pack(codec.DISPATCH, 3, 0x8F0695D3A91C4),
        codec.ACTIONS[codec.ARM].pack(codec.ARM, 3, 500.0, 0x4D),
        codec.encode_text(codec.EMIT, 5, "two servers known"),
    ]
    assert codec.encode_reply(12, records).hex() == (
        "00000046"
        "00000003"
        "0000000c"
        "01"
        "00000003"
        "0008f0695d3a91c4"
        "0e"
        "00000003"
        "407f400000000000"
        "000000000000004d"
        "07"
        "00000005"
        "0011"
        "74776f2073657276657273206b6e6f776e"
    )
    assert codec.encode_reply(1, []).hex() == "0000000c0000000000000001"


def test_single_records_of_the_protocol_description_are_encoded_and_decoded():
    rejection = codec.ACTIONS[codec.SAY_NO].pack(codec.SAY_NO, 3, 0xF167B0E6F2B19, 250.0, 1)
    assert rejection.hex() == "0a00000003000f167b0e6f2b19406f40000000000001"
    backpressure = codec.ACTIONS[codec.SAY].pack(codec.SAY, 3, 0.25)
    assert backpressure.hex() == "04000000033e800000"
    run_completed = bytes.fromhex("01000000030008f0695d3a91c4014032800000000000")
    assert codec.decode_batch(batch_frame(run_completed)).records == [(1, 3, 0x8F0695D3A91C4, 1, 18.5)]


def run_adapter(data):
    """Run the adapter as a process with this input, and return the completed process."""
    command = [sys.executable, "-m", "lapispick.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, timeout=30)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x00\x00", "truncated frame"),
        (batch_frame(start_record())[:-5], "truncated frame"),
        (b"\x7f\xff\xff\xff", "expected a frame length of at most 1073741824 bytes, got 2147483647"),
        (b"\x00\x00\x00\x04", "expected a frame length of at least 16 bytes for the batch header, got 4"),
        (batch_frame(b"\x63\x00\x00\x00\x03"), "unknown event code 99"),
        (batch_frame(request_record()[:-4]), "truncated record"),
        (batch_frame(start_record(b"{nope")), "not JSON"),
        (
            batch_frame(start_record({key: value for key, value in START_SETTINGS.items() if key != "Services"})),
            "Services",
        ),
        (batch_frame(start_record({**START_SETTINGS, "Services": []})), "start settings of instance 3 are malformed"),
        (batch_frame(request_record(instance=8)), "instance 8, which was not started"),
        (batch_frame(start_record(), struct.pack(">BIQBd", codec.RUN_OVER, 3, 5, 77, 1.0)), "unknown outcome"),
    ],
)
def test_malformed_input_ends_the_adapter_with_a_message(data, message):
    process = run_adapter(data)
    assert process.returncode != 0
    assert message in process.stderr.decode()
    assert "Traceback" not in process.stderr.decode()


def test_end_of_input_exits_cleanly():
    process = run_adapter(batch_frame(number=4))
    assert process.returncode == 0
    assert process.stdout == codec.encode_reply(4, [])
    assert process.stderr == b""


def test_unknown_settings_keys_and_gauges_are_ignored():
    replies = io.BytesIO()
    timer = struct.pack(">BIQBff", codec.DEADLINE_HIT, 3, 0, 2, 0.5, 7.0)
    batches = [
        batch_frame(start_record()),
        batch_frame(request_record(), number=2),
        batch_frame(timer, number=3),
    ]
    adapter.serve(io.BytesIO(b"".join(batches)), replies)
    assert codec.ACTIONS[codec.DISPATCH].pack(codec.DISPATCH, 3, 5) in replies.getvalue()


def test_restarted_instance_has_a_new_controller():
    simulator_adapter = adapter.Adapter()
    simulator_adapter.process_batch(batch_frame(start_record(), request_record(request_id=5)))
    kill = struct.pack(">BI", codec.KILL, 3)
    warming_up = {**START_SETTINGS, "FamilyInfo": {**START_SETTINGS["FamilyInfo"], "Cold": True}}
    simulator_adapter.process_batch(batch_frame(kill, start_record(warming_up), number=2))
    controller = simulator_adapter.controllers[3]
    assert controller.state.settings.warming_up
    assert not controller.state.requests


def test_an_exception_in_the_decision_module_is_reported_as_fatal(monkeypatch, capsys):
    simulator_adapter = adapter.Adapter()
    simulator_adapter.process_batch(batch_frame(start_record()))
    monkeypatch.setattr(adapter.Controller, "step", lambda *_: 1 / 0)
    reply = simulator_adapter.process_batch(batch_frame(request_record(), number=2))
    assert b"ZeroDivisionError" in reply
    assert reply[12] == codec.FATAL


def test_callers_and_idle_timeout_are_optional_settings():
    family_info = {**START_SETTINGS["FamilyInfo"], "Upstreams": 230, "Idle": 30000.0}
    settings, default_settings = [
        admission_settings(msgspec.convert(start_settings, StartSettings))
        for start_settings in ({**START_SETTINGS, "FamilyInfo": family_info}, START_SETTINGS)
    ]
    assert settings.callers == 230
    assert settings.idle_timeout_ms == 30000.0
    assert default_settings.callers == 0
    assert default_settings.idle_timeout_ms == 0.0


def test_health_and_idle_timeout_actions_are_encoded():
    encode_health = adapter.ENCODERS[admission.SetHealth]
    assert encode_health(3, admission.SetHealth(True, False)) == bytes.fromhex("0d000000030100")
    assert encode_health(3, admission.SetHealth(False, True)) == bytes.fromhex("0d000000030001")
    encode_idle_timeout = adapter.ENCODERS[admission.SetIdleTimeout]
    assert encode_idle_timeout(3, admission.SetIdleTimeout(500.0)) == bytes.fromhex("0900000003407f400000000000")
