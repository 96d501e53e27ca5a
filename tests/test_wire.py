"""The simulator's codec against the frames of the wire's description, and its adapter against malformed input."""

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

BATCH = bytes.fromhex(
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
INFO = {
    "Bounds": {"MaxRetryAfter": 1000.0, "RetryAfter": True},
    "FamilyInfo": {
        "Advert": "level",
        "Below": "tier",
        "CallsOut": 0.0,
        "ClassSkipWorth": [0.5],
        "Cold": False,
        "Cores": 6,
        "DepWindow": 5000.0,
        "Gauges": ["core_use", "unheard_of"],
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


def batch(*records, number=1, clock=1000.0):
    """Return the frame of a batch."""
    body = b"".join(records)
    return struct.pack(">IdI", 16 + len(body), clock, number) + body


def start(info=INFO, instance=3):
    """Return the record that starts an instance with its settings."""
    encoded = info if isinstance(info, bytes) else json.dumps(info).encode()
    return struct.pack(">BIQI", codec.BORN, instance, 9, len(encoded)) + encoded


def request(instance=3, request_id=5):
    """Return the record of a request that arrives."""
    fields = (request_id, 5000.0, 0, 0.5, 1.0, 0, 1, 0, 20.0, 100.0, 0, 1)
    return struct.pack(">BIQdQfdQBIfdHI", codec.KNOCK, instance, *fields)


def test_batch_of_the_wire_description_decodes():
    clock, number, records = codec.decode_batch(BATCH)
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


def test_reply_of_the_wire_description_encodes():
    parts = [
        codec.ACTIONS[codec.DISPATCH].pack(codec.DISPATCH, 3, 0x8F0695D3A91C4),
        codec.ACTIONS[codec.ARM].pack(codec.ARM, 3, 500.0, 0x4D),
        codec.encode_text(codec.EMIT, 5, "two servers known"),
    ]
    assert codec.encode_reply(12, parts).hex() == (
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


def test_single_records_of_the_wire_description_encode_and_decode():
    rejection = codec.ACTIONS[codec.SAY_NO].pack(codec.SAY_NO, 3, 0xF167B0E6F2B19, 250.0, 1)
    assert rejection.hex() == "0a00000003000f167b0e6f2b19406f40000000000001"
    backpressure = codec.ACTIONS[codec.SAY].pack(codec.SAY, 3, 0.25)
    assert backpressure.hex() == "04000000033e800000"
    run_completed = bytes.fromhex("01000000030008f0695d3a91c4014032800000000000")
    assert codec.decode_batch(batch(run_completed)).records == [(1, 3, 0x8F0695D3A91C4, 1, 18.5)]


def run_adapter(data):
    command = [sys.executable, "-m", "lapispick.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, timeout=30)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x00\x00", "truncated frame"),
        (batch(start())[:-5], "truncated frame"),
        (b"\x7f\xff\xff\xff", "over-long frame"),
        (b"\x00\x00\x00\x04", "shorter than"),
        (batch(b"\x63\x00\x00\x00\x03"), "unknown event code 99"),
        (batch(request()[:-4]), "truncated record"),
        (batch(start(b"{nope")), "not JSON"),
        (batch(start({k: v for k, v in INFO.items() if k != "Services"})), "Services"),
        (batch(start({**INFO, "Services": []})), "malformed"),
        (batch(request(instance=8)), "instance 8, which was never born"),
        (batch(start(), struct.pack(">BIQBd", codec.RUN_OVER, 3, 5, 77, 1.0)), "unknown outcome"),
    ],
)
def test_malformed_input_ends_the_adapter_with_a_message(data, message):
    done = run_adapter(data)
    assert done.returncode != 0
    assert message in done.stderr.decode()
    assert "Traceback" not in done.stderr.decode()


def test_end_of_input_exits_cleanly():
    done = run_adapter(batch(number=4))
    assert done.returncode == 0
    assert done.stdout == codec.encode_reply(4, [])
    assert done.stderr == b""


def test_unknown_settings_keys_and_gauges_are_ignored():
    replies = io.BytesIO()
    timer = struct.pack(">BIQBff", codec.DEADLINE_HIT, 3, 0, 2, 0.5, 7.0)
    adapter.serve(io.BytesIO(batch(start()) + batch(request(), number=2) + batch(timer, number=3)), replies)
    assert codec.ACTIONS[codec.DISPATCH].pack(codec.DISPATCH, 3, 5) in replies.getvalue()


def test_an_instance_that_is_started_again_has_a_new_controller():
    instances = adapter.Adapter()
    instances.answer(batch(start(), request(request_id=5)))
    kill = struct.pack(">BI", codec.KILL, 3)
    instances.answer(batch(kill, start({**INFO, "FamilyInfo": {**INFO["FamilyInfo"], "Cold": True}}), number=2))
    controller = instances.controllers[3]
    assert controller.state.settings.warming_up
    assert not controller.state.requests


def test_an_exception_in_the_decision_module_is_reported_as_fatal(monkeypatch, capsys):
    instances = adapter.Adapter()
    instances.answer(batch(start()))
    monkeypatch.setattr(adapter.Controller, "step", lambda *_: 1 / 0)
    reply = instances.answer(batch(request(), number=2))
    assert b"ZeroDivisionError" in reply
    assert reply[12] == codec.FATAL


def test_callers_and_idle_timeout_are_optional_settings():
    stated = {**INFO, "FamilyInfo": {**INFO["FamilyInfo"], "Upstreams": 230, "Idle": 30000.0}}
    settings, default_settings = [admission_settings(msgspec.convert(info, StartSettings)) for info in (stated, INFO)]
    assert settings.callers == 230
    assert settings.idle_timeout_ms == 30000.0
    assert default_settings.callers == 0
    assert default_settings.idle_timeout_ms == 0.0


def test_health_and_idle_timeout_actions_encode():
    encode_health = adapter.ENCODERS[admission.SetHealth]
    assert encode_health(3, admission.SetHealth(True, False)) == bytes.fromhex("0d000000030100")
    assert encode_health(3, admission.SetHealth(False, True)) == bytes.fromhex("0d000000030001")
    encode_idle_timeout = adapter.ENCODERS[admission.SetIdleTimeout]
    assert encode_idle_timeout(3, admission.SetIdleTimeout(500.0)) == bytes.fromhex("0900000003407f400000000000")
