"""Tests of the AMQP front: the codec against bytes of the specification, the running host against a fake broker."""

import collections
import contextlib
import random
import struct
import threading
import time
from typing import get_type_hints

import pytest

from lapispick.fakes.broker import Broker
from lapispick.fakes.executor import Executor
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.waiting import wait_until
from lapispick.host.amqp import codec, content, methods
from lapispick.host.amqp.codec import FieldType, FrameType
from lapispick.host.amqp.content import Properties
from lapispick.host.amqp.errors import CodecError
from tests.host_support import fill_all_slots

CONF = """
section inventory
    path shops.csv
    group shops
    look 50ms
    settle 100ms
end
section amqp
    enabled yes
end
"""
CSV_HEADER = "host,group,amqp_host,amqp_port,amqp_queue,amqp_prefetch,amqp_customer,amqp_heartbeat\n"


@pytest.fixture
def consuming_host(host, tmp_path):
    """Return a function that starts a worker host, which consumes the queue ``jobs`` of a fake broker."""

    def start(prefetch=32, broker=None, heartbeat=10, tenant="shop", **overrides):
        broker = broker or Broker()
        name, port = broker.address.split(":")
        (tmp_path / "shops.csv").write_text(
            f"{CSV_HEADER}a,shops,{name},{port},jobs,{prefetch},{tenant},{heartbeat}\nb,others,,,,,,\n"
        )
        (tmp_path / "own.conf").write_text(CONF)
        worker = host(environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")}, **overrides)
        worker.broker = broker
        brokers.append(broker)
        worker.wait_for_log("consuming")
        return worker

    brokers = []
    yield start
    for broker in brokers:
        broker.close()


def put_request(broker, body, class_name="track", correlation=None, reply_to="answers", **overrides):
    """Put a request into ``jobs``; return the message and its correlation id."""
    correlation = correlation or f"c{len(broker.messages)}"
    properties = {
        "type": class_name,
        "correlation_id": correlation,
        "reply_to": reply_to,
        "expiration": "4000",
        "message_id": f"m-{correlation}",
        **overrides,
    }
    return broker.put("jobs", body, **properties), correlation


def wait_for_answer(host, correlation_id):
    """Wait for the reply to a request, of which there must be only one."""
    return wait_until(lambda: host.broker.reply(correlation_id), f"the reply to {correlation_id}")


def test_the_codec_writes_the_bytes_of_the_specification():
    heartbeat = codec.encode_frame(FrameType.HEARTBEAT, 0, b"")
    assert heartbeat == bytes.fromhex("08 0000 00000000 ce")
    ack = methods.encode_method(1, methods.BasicAck(delivery_tag=2, multiple=True))
    assert ack == bytes.fromhex("01 0001 0000000d 003c 0050 0000000000000002 01 ce")
    consume = methods.encode_method(1, methods.BasicConsume(queue="q", consumer_tag="t", no_ack=True, nowait=True))
    assert consume == bytes.fromhex("01 0001 0000000f 003c 0014 0000 01 71 01 74 0a 00000000 ce")
    header = content.encode_header(1, 3, Properties(content_type="a", message_id="m"))
    assert header == bytes.fromhex("02 0001 00000012 003c 0000 0000000000000003 8080 01 61 01 6d ce")


def payload_of(frame):
    """Return the payload of an encoded frame."""
    return frame[codec.FRAME_HEADER.size : -1]


def test_methods_properties_and_tables_are_decoded_as_they_were_encoded():
    table = {"t": True, "n": -5, "f": 1.5, "s": "é", "in": {"x": 1}}
    properties = Properties("a", "b", table, 2, 3, "c", "d", "9", "e", 1764576000, "f", "g", "h", "i")
    payload = payload_of(content.encode_header(7, 99, properties))
    assert content.decode_properties(payload) == properties
    assert content.decode_body_size(payload) == 99
    values = {
        FieldType.SHORT_STRING: "text",
        FieldType.LONG_STRING: b"long",
        FieldType.TABLE: table,
        FieldType.BIT: True,
    }
    for method_type in methods.Method.__subclasses__():
        types = get_type_hints(method_type, include_extras=True)
        arguments = {name: values.get(types[name].__metadata__[0], 3) for name in method_type.__struct_fields__}
        method = method_type(**arguments)
        assert methods.decode_method(payload_of(methods.encode_method(1, method))) == method
    fields = b"\x01xb\xff\x01yA\x00\x00\x00\x04t\x01t\x00\x01zV\x01dD\x02\x00\x00\x01\x00"
    decoded_table = codec.Reader(struct.pack(">I", len(fields)) + fields).read_table()
    assert decoded_table == {"x": -1, "y": [True, False], "z": None, "d": 2.56}


def test_each_method_has_its_own_name():
    names = [method_type.name for method_type in methods.Method.__subclasses__()]
    assert len(names) == 28
    assert len(set(names)) == 28


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x00",
        b"\x00\x63\x00\x01",
        b"\x00\x3c\x00\x3c\xff",
        b"\x00\x3c\x00\x3c\x02\xff\xfe",
        b"\x00\x0a\x00\x0a\x00\x09\xff\xff\xff\xff",
    ],
)
def test_malformed_methods_are_codec_errors(payload):
    with pytest.raises(CodecError):
        methods.decode_method(payload)


def test_a_message_is_served_and_the_reply_precedes_the_acknowledgement(consuming_host):
    host = consuming_host()
    message, correlation_id = put_request(host.broker, "hello", headers={"size": 12.5})
    answer = wait_for_answer(host, correlation_id)
    assert answer.outcome == "served"
    assert answer.body == "did hello"
    assert answer.headers["outcome"] == "served"
    assert answer.headers["advice"] >= 0
    assert host.broker.replies[0].queue == "answers"
    wait_until(lambda: message.settlement == "ack", "the acknowledgement")
    assert host.broker.methods.index("basic.publish") < host.broker.methods.index("basic.ack")
    assert host.executor.runs[0][1:] == ("track", "hello")


def test_a_long_result_is_split_into_frames(consuming_host):
    host = consuming_host()
    _, correlation_id = put_request(host.broker, "hold", class_name="book")
    wait_until(lambda: host.executor.runs, "the run")
    host.executor.end_run(host.executor.runs[0].task, result="r" * 10_000)
    assert wait_for_answer(host, correlation_id).body == "r" * 10_000


def test_deadlines_and_errors_are_mapped_to_outcomes(consuming_host):
    host = consuming_host()
    _, late = put_request(host.broker, "hold", expiration="500")
    _, old = put_request(host.broker, "past", timestamp=int(time.time()) - 9)
    _, past = put_request(host.broker, "past", headers={"timestamp_in_ms": int(time.time() * 1000) - 4500})
    _, failing = put_request(host.broker, "error", class_name="book")
    assert wait_for_answer(host, late).outcome == "failed"
    for correlation_id in (past, old):
        answer = wait_for_answer(host, correlation_id)
        assert answer.outcome == "refused"
        assert answer.headers["pause"] > 0
    assert wait_for_answer(host, failing).outcome == "failed"
    assert not host.executor.runs_of("past")


@pytest.mark.parametrize("expiration", [str((1 << 63) - 1), "9" * 255, "0" * 20 + "60000"])
def test_an_expiration_with_any_number_of_digits_is_a_deadline(consuming_host, expiration):
    # Guards against a bound on the digits of a number, which rejects messages that never expire.
    host = consuming_host()
    _, correlation_id = put_request(host.broker, "x", expiration=expiration)
    assert wait_for_answer(host, correlation_id).outcome == "served"


def test_without_reply_to_the_settlement_is_the_only_answer(consuming_host):
    host = consuming_host()
    served, _ = put_request(host.broker, "fine", reply_to=None)
    failed, _ = put_request(host.broker, "error", class_name="book", reply_to=None)
    wait_until(lambda: (served.settlement, failed.settlement) == ("ack", "reject"), "both settlements")
    assert not host.broker.replies


def test_a_message_whose_acknowledgement_was_lost_is_answered_from_the_cached_result(consuming_host):
    host = consuming_host()
    host.broker.disconnect_on = "basic.ack"
    message, correlation_id = put_request(host.broker, "booking", class_name="book")
    wait_until(lambda: message.settlement == "ack", "the acknowledgement of the redelivery")
    assert message.delivery_count == 2
    assert len(host.executor.runs_of("booking")) == 1
    assert [answer.body for answer in host.broker.answers(correlation_id)] == ["did booking"] * 2


def test_a_redelivery_of_a_running_message_is_coalesced_with_its_run(consuming_host):
    host = consuming_host()
    message, correlation_id = put_request(host.broker, "hold", class_name="book")
    wait_until(lambda: host.executor.runs, "the run")
    host.broker.disconnect()
    wait_until(lambda: message.delivery_count == 2, "the redelivery")
    host.executor.end_run(host.executor.runs[0].task, result="booked")
    answer = wait_for_answer(host, correlation_id)
    assert answer.outcome == "served"
    assert answer.body == "booked"
    wait_until(lambda: message.settlement == "ack", "the acknowledgement")
    assert len(host.executor.runs) == 1


def test_a_redelivery_from_another_process_is_executed_only_if_it_is_idempotent(consuming_host):
    host = consuming_host()
    write, correlation_id = put_request(host.broker, "elsewhere", class_name="book", redelivered=True)
    _, read = put_request(host.broker, "again", redelivered=True)
    assert wait_for_answer(host, read).outcome == "served"
    assert wait_for_answer(host, correlation_id).outcome == "failed"
    wait_until(lambda: write.settlement == "ack", "the acknowledgement")
    assert not host.executor.runs_of("elsewhere")


def test_a_message_id_that_is_used_again_with_another_body_is_failed(consuming_host):
    host = consuming_host()
    _, first = put_request(host.broker, "booking", class_name="book", message_id="m-1")
    answer = wait_for_answer(host, first)
    assert answer.outcome == "served"
    assert answer.body == "did booking"
    put_request(host.broker, "another", class_name="book", message_id="m-1", correlation="c-other")
    answer = wait_for_answer(host, "c-other")
    assert answer.outcome == "failed"
    assert answer.body == ""
    put_request(host.broker, "booking", class_name="book", message_id="m-1", correlation="c-same")
    assert wait_for_answer(host, "c-same").body == "did booking"
    assert len(host.executor.runs) == 1


@pytest.mark.parametrize("body", ["unknown", "never", "over"])
def test_runs_without_a_result_are_failed_and_free_their_slot(consuming_host, body):
    host = consuming_host()
    for _ in range(20):  # more than can run at once
        _, correlation_id = put_request(host.broker, body)
        assert wait_for_answer(host, correlation_id).outcome == "failed"
    _, correlation_id = put_request(host.broker, "next")
    assert wait_for_answer(host, correlation_id).outcome == "served"


def test_messages_are_served_after_a_reload_that_moves_the_peers(consuming_host):
    host = consuming_host()
    for peer in (host.executor, host.store, host.registry):
        peer.relocate()
    host.reload()
    _, correlation_id = put_request(host.broker, "call:200")
    assert wait_for_answer(host, correlation_id).outcome == "served"


def test_a_keyed_message_without_message_id_is_not_executed(consuming_host):
    host = consuming_host()
    without_reply, _ = put_request(host.broker, "nokey", class_name="book", message_id=None, reply_to=None)
    _, correlation_id = put_request(host.broker, "nokey", class_name="book", message_id=None)
    wait_until(lambda: without_reply.settlement == "reject", "the rejection")
    assert wait_for_answer(host, correlation_id).outcome == "failed"
    assert not host.executor.runs


@pytest.mark.parametrize(
    "overrides",
    [
        {"class_name": "nothing"},
        {"headers": {"customer": "nobody"}},
        {"headers": {"customer": {"name": "nobody"}}},
        {"expiration": "soon"},
        {"headers": {"size": -1}},
        {"headers": {"size": True}},
        {"body": "x" * 5000},
    ],
)
def test_an_invalid_message_affects_no_other(consuming_host, overrides):
    host = consuming_host()
    invalid, _ = put_request(host.broker, overrides.pop("body", "bad"), reply_to=None, **overrides)
    _, correlation_id = put_request(host.broker, "good")
    assert wait_for_answer(host, correlation_id).outcome == "served"
    wait_until(lambda: invalid.settlement == "reject", "the rejection")
    assert len(host.executor.runs) == 1


@pytest.mark.parametrize("tenant", [7, 0, 1 << 40, "seven"])  # 0 counts as absent
def test_a_key_with_any_tenant_is_handed_over_and_never_executed_again(
    consuming_host, host, shared_address, tmp_path, tenant
):
    """Guards against a tenant that is a number, in a key that the new process of an upgrade could not decode."""
    info = make_platform_info(({}, {"Window": 60_000.0}))
    info["Parties"] = []
    old = consuming_host(tenant="", info=info, listen=shared_address(), stop_ms=2500)
    first = {"headers": {"customer": tenant}, "message_id": "m1"}
    _, correlation_id = put_request(old.broker, "pay", "book", **first)
    assert wait_for_answer(old, correlation_id).outcome == "served"
    new = host(successor_of=old, environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")})
    new.broker = old.broker
    wait_until(lambda: new.call_ops() == ["OK"], "readiness of the new process")
    old.terminate()
    assert old.process.wait(5) == 0
    assert "event=link-error" not in old.log() + new.log()
    new.wait_for_log("consuming")
    _, correlation_id = put_request(new.broker, "pay", "book", **first)
    wait_for_answer(new, correlation_id)
    assert len(old.executor.runs_of("pay") + new.executor.runs_of("pay")) == 1


@pytest.mark.parametrize("first_at_new_process", [True, False])
def test_a_booking_that_waited_in_its_queue_runs_once_in_an_upgrade(
    consuming_host, host, shared_address, tmp_path, first_at_new_process
):
    """Guards against a window that one process counts from the publication of a message, so that it ends too early."""
    old = consuming_host(listen=shared_address(), stop_ms=2500)
    new = host(successor_of=old, environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")})
    wait_until(lambda: new.call_ops() == ["OK"] and len(old.broker.consumer_tags()) == 2, "two consumers")
    booking = {"class_name": "book", "message_id": "m1", "expiration": "60000"}
    window_ms = PLATFORM_INFO["Services"][1]["Window"]
    waited_since_ms = int(time.time() * 1000 - 2 * window_ms)
    old.broker.prefers_newest = first_at_new_process
    put_request(old.broker, "hold", headers={"timestamp_in_ms": waited_since_ms}, **booking)
    wait_until(lambda: old.executor.runs + new.executor.runs, "the run")
    old.broker.prefers_newest = not first_at_new_process
    _, correlation_id = put_request(old.broker, "hold", headers={"timestamp_in_ms": int(time.time() * 1000)}, **booking)
    runner = new if first_at_new_process else old
    runner.executor.end_run_of("hold", "done")
    assert wait_for_answer(old, correlation_id).outcome == "served"
    assert len(old.executor.runs + new.executor.runs) == 1


def test_a_booking_that_a_hanging_old_process_ran_is_not_run_again(consuming_host, host, shared_address, tmp_path):
    # Guards against taking a message that was published once more for a first one, as clients do not mark it.
    info = make_platform_info(({}, {"Window": 60_000.0}))
    old = consuming_host(listen=shared_address(), info=info)
    booking = {"class_name": "book", "message_id": "m1"}
    _, correlation_id = put_request(old.broker, "ran", **booking)
    assert wait_for_answer(old, correlation_id).outcome == "served"
    with old.suspended():
        new = host(successor_of=old, environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")})
        old.process.kill()
    new.broker = old.broker
    new.wait_for_log("owns-keys")
    new.wait_for_log("consuming")
    _, correlation_id = put_request(new.broker, "ran", **booking)
    assert wait_for_answer(new, correlation_id).outcome == "failed"
    assert not new.executor.runs


def test_a_booking_that_waited_in_its_queue_does_not_count_as_read_late(consuming_host):
    """Guards against the time in a queue counting as a delay of this process, which halves its slots."""
    host = consuming_host()
    waited_since_ms = int(time.time() * 1000 - 4000)
    headers = {"timestamp_in_ms": waited_since_ms}
    correlation_ids = fill_all_slots(
        lambda: put_request(host.broker, "hold", headers=headers, expiration="60000")[1],
        lambda: len(host.executor.runs),
    )
    for run in list(host.executor.runs):
        host.executor.end_run(run.task)
    for correlation_id in correlation_ids:
        assert wait_for_answer(host, correlation_id).outcome == "served"


@pytest.mark.parametrize("tenant", [7.5, True, {"name": "shop"}])
def test_a_tenant_that_is_no_text_is_an_error_to_its_sender(consuming_host, tenant):
    info = make_platform_info()
    info["Parties"] = []
    host = consuming_host(tenant="", info=info)
    invalid, _ = put_request(host.broker, "bad", "book", reply_to=None, headers={"customer": tenant})
    wait_until(lambda: invalid.settlement == "reject", "the rejection")
    assert not host.executor.runs


@pytest.mark.parametrize(
    "malformed_frame",
    [
        lambda channel: codec.encode_frame(FrameType.BODY, channel, b"early"),
        lambda channel: codec.encode_frame(FrameType.HEADER, channel, b"\x00"),
        lambda channel: codec.encode_frame(FrameType.HEADER, 9000, b"\x00" * 14),
        lambda channel: codec.encode_frame(FrameType.METHOD, channel, b"\xff\xff\xff\xff"),
        lambda channel: codec.encode_frame(FrameType.HEARTBEAT, 0, b"")[:-1] + b"\x00",
        lambda channel: codec.FRAME_HEADER.pack(FrameType.METHOD, channel, 1 << 31),
        lambda channel: b"\x77" * 50,
    ],
)
def test_a_malformed_frame_ends_the_connection_and_a_new_one_is_opened(consuming_host, malformed_frame):
    host = consuming_host()
    host.broker.put("jobs", "broken", encode_first_content=malformed_frame)
    wait_until(
        lambda: "event=connection-closed" in host.log() or "event=connection-lost" in host.log(),
        "the end of the connection",
    )
    _, correlation_id = put_request(host.broker, "good")
    assert wait_for_answer(host, correlation_id).outcome == "served"
    assert host.broker.methods.count("connection.open") == 2


def test_the_close_after_an_invalid_frame_reaches_a_broker_that_is_still_sending(consuming_host):
    host = consuming_host()
    with host.suspended(), host.broker.lock:
        host.broker.put(
            "jobs",
            "x",
            encode_first_content=lambda channel: codec.encode_frame(FrameType.BODY, channel, b"early") + b"x" * 150_000,
        )
    wait_until(lambda: "connection.close" in host.broker.methods, "the close")
    wait_until(lambda: host.log().count("event=connected") == 2, "a new connection")
    assert host.broker.reset_count == 0


def test_malformed_properties_affect_only_their_message(consuming_host):
    host = consuming_host()
    malformed = host.broker.put(
        "jobs",
        "x",
        encode_first_content=lambda channel: (
            codec.encode_frame(FrameType.HEADER, channel, struct.pack(">HHQH", 60, 0, 1, 0x2000) + b"\x00\x00\xff\xff")
            + codec.encode_frame(FrameType.BODY, channel, b"x")
        ),
    )
    _, correlation_id = put_request(host.broker, "good")
    assert wait_for_answer(host, correlation_id).outcome == "served"
    assert malformed.settlement == "reject"
    assert malformed.delivery_count == 1


LATIN_2 = "Florăria".encode("iso8859_2")


def put_with_content(broker, body, replaced=(), flags=(), **properties):
    """Put a message with a reply queue whose encoded content is changed; return it and its correlation id.

    ``replaced`` holds pairs of bytes of the same length; ``flags`` holds words that follow the first word of flags.
    """
    correlation_id = f"c{len(broker.messages)}"
    properties = {"type": "track", "correlation_id": correlation_id, "reply_to": "answers", **properties}

    def encode(channel):
        header = payload_of(content.encode_header(channel, len(body), Properties(**properties)))
        for old, new in replaced:
            assert old in header
            assert len(old) == len(new)
            header = header.replace(old, new)
        flags_end = content.CONTENT_HEADER.size
        if flags:
            first_word = header[flags_end - 2] << 8 | header[flags_end - 1] | content.CONTINUATION_FLAG
            words = struct.pack(f">{1 + len(flags)}H", first_word, *flags)
            header = header[: flags_end - 2] + words + header[flags_end:]
        frames = codec.encode_frame(FrameType.HEADER, channel, header)
        return frames + codec.encode_frame(FrameType.BODY, channel, body.encode())

    return broker.put("jobs", body, encode_first_content=encode, **properties), correlation_id


@pytest.mark.parametrize(
    "content_change",
    [
        {"headers": {"shop-name": "########"}, "replaced": [(b"########", LATIN_2)]},
        {"headers": {"########": 1}, "replaced": [(b"########", LATIN_2)]},
        {"headers": {"in": {"name": "########"}}, "replaced": [(b"########", LATIN_2)]},
        {"headers": {"n": 7}, "replaced": [(b"\x01nl" + bytes(7) + b"\x07", b"\x01nU\xff\xfe\x01mb\x01\x00V")]},
        {"app_id": "########", "replaced": [(b"########", LATIN_2)]},
        {"flags": [0]},
        {"flags": [content.CONTINUATION_FLAG, 0]},
    ],
)
def test_a_message_is_served_whatever_its_other_properties_hold(consuming_host, content_change):
    # Guards against a property that says nothing about the request and whose text or type makes the message unreadable.
    host = consuming_host()
    message, correlation_id = put_with_content(host.broker, "x", **content_change)
    assert wait_for_answer(host, correlation_id).outcome == "served"
    wait_until(lambda: message.settlement == "ack", "the acknowledgement")


@pytest.mark.parametrize(
    "content_change",
    [
        {"headers": {"n": 7}, "replaced": [(b"\x01nl", b"\x01n?")]},  # no type of the specification
        {
            "headers": {"n": "text"},
            "replaced": [(b"\x00\x00\x00\x04text", b"\x00\x00\x00\x09text")],
        },  # length beyond the table
        {"headers": {"customer": "########"}, "replaced": [(b"########", LATIN_2)]},
        {"type": "########", "replaced": [(b"########", LATIN_2)]},
        {"type": "book", "message_id": "########", "replaced": [(b"########", LATIN_2)]},
        {"flags": [0x8000]},
    ],
)
def test_a_message_that_cannot_be_read_in_full_gets_a_reply(consuming_host, content_change):
    # Guards against a decoder whose failure in one property drops ``reply-to``, so that the client waits in vain.
    host = consuming_host()
    message, correlation_id = put_with_content(host.broker, "x", **content_change)
    assert wait_for_answer(host, correlation_id).outcome == "failed"
    wait_until(lambda: message.settlement == "ack", "the acknowledgement")
    assert not host.executor.runs


def test_a_reply_reaches_a_queue_and_has_a_correlation_id_that_are_not_utf_8(consuming_host):
    # Guards against texts that are not encoded as the bytes from which they were decoded.
    host = consuming_host()
    replaced = [(b"########", LATIN_2), (b"++++++++", LATIN_2)]
    put_with_content(host.broker, "x", replaced, correlation_id="########", reply_to="++++++++")
    text = LATIN_2.decode(errors=codec.TEXT_ERRORS)
    assert wait_until(lambda: host.broker.reply(text), "the reply").outcome == "served"
    assert [reply.queue.encode(errors=codec.TEXT_ERRORS) for reply in host.broker.replies] == [LATIN_2]


def test_headers_of_very_many_short_fields_stay_within_the_memory_limit(consuming_host):
    # Guards against decoding and retaining fields that say nothing about the request; they took megabytes a message.
    limits = {"memory_mb": 64}
    host = consuming_host(broker=Broker(frame_max_bytes=131_072), prefetch=1000, limits=limits)
    host.broker.withholds_confirms = True
    headers = {f"{number:x}": number for number in range(8000)}
    properties = Properties(type="track", headers=headers, reply_to="answers", correlation_id="many")
    frames = content.encode_content(0, properties, b"x", 131_072)
    for _ in range(150):
        host.broker.put("jobs", "x", encode_first_content=lambda channel: on_channel(frames, channel))
    wait_until(lambda: len(host.broker.answers("many")) == 150, "all replies")
    assert host.peak_memory_mb() < limits["memory_mb"]


def on_channel(frames, channel):
    """Return encoded frames with another channel number."""
    changed, position = bytearray(frames), 0
    while position < len(frames):
        _, _, size = codec.FRAME_HEADER.unpack_from(frames, position)
        struct.pack_into(">H", changed, position + 1, channel)
        position += codec.FRAME_HEADER.size + size + 1
    return bytes(changed)


@pytest.mark.parametrize("seed", range(20))
def test_the_fields_of_some_names_are_decoded_as_in_the_whole_table(seed):
    # Guards against a skipped value that ends elsewhere than where its decoder ends.
    rng = random.Random(seed)
    values = [True, -5, 1.5, "é", "", {"x": {"size": 3}}, {}]
    encoded = codec.encode_table({f"{number:x}": rng.choice(values) for number in range(rng.randrange(40))})[4:]
    encoded += b"\x01pb\xff\x01qA\x00\x00\x00\x04t\x01t\x00\x01rV\x01sD\x02\x00\x00\x01\x00\x01uU\xff\xfe\x00V"
    table = codec.decode_table(encoded)
    names = rng.sample(sorted(table), rng.randrange(len(table)))
    assert codec.decode_fields(encoded, names) == {name: table[name] for name in names}
    for end in range(len(encoded)):
        with contextlib.suppress(CodecError):
            assert codec.decode_fields(encoded[:end], ()) == {}


def test_a_customer_of_unlimited_length_becomes_no_key(consuming_host):
    # Guards against keys of any size, which are retained: ever new names filled the memory.
    info = make_platform_info()
    info["Parties"] = []
    host = consuming_host(tenant="", info=info)
    _, long_id = put_request(host.broker, "x", "book", headers={"customer": "n" * 256})
    _, short_id = put_request(host.broker, "y", "book", headers={"customer": "n" * 255})
    assert wait_for_answer(host, long_id).outcome == "failed"
    assert wait_for_answer(host, short_id).outcome == "served"
    assert [run.body for run in host.executor.runs] == ["y"]


def test_a_routing_key_that_is_not_utf_8_does_not_end_the_connection(consuming_host):
    # Guards against one message that ends the connection of its queue each time that it is delivered.
    host = consuming_host()
    host.broker.routing_key = LATIN_2.decode(errors=codec.TEXT_ERRORS)
    _, correlation_id = put_request(host.broker, "x")
    assert wait_for_answer(host, correlation_id).outcome == "served"
    assert host.log().count("event=connected") == 1


def test_a_channel_that_the_broker_closed_is_opened_again(consuming_host):
    host = consuming_host()
    with host.broker.lock:
        connection = host.broker.links[0]
        connection.channels.clear()
        connection.send_method(1, methods.ChannelClose(404, "NOT_FOUND", class_id=60, method_id=20))
    _, correlation_id = put_request(host.broker, "good")
    assert wait_for_answer(host, correlation_id).outcome == "served"
    assert "event=channel-closed" in host.log()


def test_a_nacked_reply_is_published_again_and_an_unroutable_one_settles_its_message(consuming_host):
    host = consuming_host()
    host.broker.nacks_left = 2
    message, correlation_id = put_request(host.broker, "nacked")
    assert wait_for_answer(host, correlation_id).outcome == "served"
    wait_until(lambda: message.settlement == "ack", "the acknowledgement")
    host.broker.returns_unroutable = True
    served, _ = put_request(host.broker, "unroutable")
    failed, _ = put_request(host.broker, "error", class_name="book")
    wait_until(lambda: (served.settlement, failed.settlement) == ("ack", "reject"), "both settlements")


def test_heartbeats_are_sent_and_a_broker_that_sends_none_is_reconnected(consuming_host):
    host = consuming_host(broker=Broker(heartbeat=1), heartbeat=1)
    wait_until(lambda: host.broker.heartbeat_count >= 2, "two heartbeats")
    wait_until(lambda: host.broker.methods.count("connection.open") >= 2, "a new connection after the time-out")


def test_the_prefetch_limits_unacknowledged_messages(consuming_host):
    host = consuming_host(prefetch=3)
    for _ in range(10):
        put_request(host.broker, "hold")
    wait_until(lambda: len(host.executor.runs) >= 2, "the runs")
    assert host.broker.max_unacked == 3


def test_a_shutdown_cancels_the_consumer_and_answers_accepted_messages(consuming_host):
    host = consuming_host(stop_ms=2500)
    accepted, correlation_id = put_request(host.broker, "hold", class_name="book")
    wait_until(lambda: host.executor.runs, "the run")
    started_at = time.monotonic()
    host.broker.message_during_cancel = {"type": "book", "message_id": "x"}
    host.terminate()
    wait_until(lambda: host.broker.cancel_count == 1, "the cancel")
    undelivered, _ = put_request(host.broker, "undelivered", class_name="book")
    host.executor.end_run(host.executor.runs[0].task, result="booked")
    answer = wait_for_answer(host, correlation_id)
    assert answer.outcome == "served"
    assert answer.body == "booked"
    assert host.process.wait(5) == 0
    assert time.monotonic() - started_at < 2.5
    assert accepted.settlement == "ack"
    assert undelivered.settlement is None
    assert undelivered.delivery_count == 0
    assert host.broker.close_count == 1
    sent_during_cancel = next(m for m in host.broker.messages if m.body == b"crossing")
    assert sent_during_cancel.delivery_count == 1
    assert sent_during_cancel.settlement == "requeue"  # so that another host may execute it
    assert not host.executor.runs_of("undelivered")
    assert not host.executor.runs_of("crossing")


def test_overload_with_lost_acknowledgements_executes_no_keyed_message_twice(consuming_host):
    work_s = 0.02
    cores = 2
    seconds = 3.0
    info = {**PLATFORM_INFO, "FamilyInfo": {**PLATFORM_INFO["FamilyInfo"], "CallsOut": 50.0}}
    host = consuming_host(prefetch=60, executor=Executor(work_s, cores), info=info)
    interval_s = work_s / cores / 1.1  # 110% of the capacity of the cores
    requests = {}

    def send_requests():
        for i in range(int(seconds / interval_s)):
            class_name = "book" if i % 3 == 0 else "track"
            body = f"body-{i}"
            requests[body] = (class_name, *put_request(host.broker, body, class_name, correlation=f"s{i}"))
            time.sleep(interval_s)

    thread = threading.Thread(target=send_requests)
    thread.start()
    # Two acknowledgements are lost; each time the broker redelivers all unacknowledged messages.
    for fraction in (0.3, 0.6):
        wait_until(lambda fraction=fraction: len(requests) >= fraction * seconds / interval_s, "part of the requests")
        host.broker.disconnect_on = "basic.ack"
    thread.join()
    wait_until(lambda: all(m.settlement for _, m, _ in requests.values()), "the settlement of every message")
    executions = collections.Counter(body for _, handler, body in host.executor.runs if handler == "book")
    assert max(executions.values()) == 1
    assert host.broker.methods.count("connection.open") >= 3
    outcomes = collections.Counter()
    for body, (class_name, _, correlation_id) in requests.items():
        answers = host.broker.answers(correlation_id)
        assert answers, body
        outcomes[answers[-1].outcome] += 1
        for answer in answers:
            assert answer.outcome != "served" or answer.body == f"did {body}"
            # A rejected message was not executed, not even for another delivery of it.
            assert class_name != "book" or answer.outcome != "refused" or not executions[body]
    assert outcomes["served"] > 0.5 * len(requests)


def test_frames_that_arrive_byte_by_byte_are_decoded(consuming_host):
    broker = Broker()
    broker.byte_by_byte = True
    host = consuming_host(broker=broker)
    messages = [put_request(broker, f"x{i}", class_name="book") for i in range(5)]
    wait_until(lambda: all(m.settlement == "ack" for m, _ in messages), "the acknowledgement of every message")
    assert len(host.executor.runs) == 5
