"""The AMQP front: the codec against bytes of the specification, and the whole path as a process."""

import collections
import struct
import threading
import time

import pytest

from lapispick.fakes.broker import Broker
from lapispick.fakes.executor import Executor
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fakes.waiting import wait_until
from lapispick.host.amqp import codec
from lapispick.host.amqp.codec import Properties

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
ROW = "host,group,amqp_host,amqp_port,amqp_queue,amqp_prefetch,amqp_customer,amqp_heartbeat\n"


@pytest.fixture
def edge(host, tmp_path):
    """Start a worker host that consumes ``jobs`` from a stand-in broker."""

    def start(prefetch=32, broker=None, heartbeat=10, **over):
        broker = broker or Broker()
        name, port = broker.address.split(":")
        (tmp_path / "shops.csv").write_text(
            f"{ROW}a,shops,{name},{port},jobs,{prefetch},shop,{heartbeat}\nb,others,,,,,,\n"
        )
        (tmp_path / "own.conf").write_text(CONF)
        h = host(environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")}, **over)
        h.broker = broker
        brokers.append(broker)
        h.wait_for_log("consuming")
        return h

    brokers = []
    yield start
    for each in brokers:
        each.close()


def ask(broker, body, class_name="track", correlation=None, reply_to="answers", **over):
    """Put a request; return the message and its correlation id."""
    correlation = correlation or f"c{len(broker.messages)}"
    properties = {
        "type": class_name,
        "correlation_id": correlation,
        "reply_to": reply_to,
        "expiration": "4000",
        "message_id": f"m-{correlation}",
        **over,
    }
    return broker.put("jobs", body, **properties), correlation


def test_the_codec_writes_the_bytes_of_the_specification():
    assert codec.encode_frame(codec.HEARTBEAT, 0, b"") == bytes.fromhex("08 0000 00000000 ce")
    assert codec.encode_method(1, "basic.ack", delivery=2, multiple=True) == bytes.fromhex(
        "01 0001 0000000d 003c 0050 0000000000000002 01 ce"
    )
    assert codec.encode_method(
        1, "basic.consume", queue="q", tag="t", no_local=False, no_ack=True, exclusive=False, nowait=True, arguments={}
    ) == bytes.fromhex("01 0001 0000000f 003c 0014 0000 01 71 01 74 0a 00000000 ce")
    assert codec.encode_header(1, 3, Properties(content_type="a", message_id="m")) == bytes.fromhex(
        "02 0001 00000012 003c 0000 0000000000000003 8080 01 61 01 6d ce"
    )


def test_methods_properties_and_tables_come_back_as_written():
    table = {"t": True, "n": -5, "f": 1.5, "s": "é", "in": {"x": 1}}
    every = Properties("a", "b", table, 2, 3, "c", "d", "9", "e", 1764576000, "f", "g", "h", "i")
    frame = codec.encode_header(7, 99, every)
    assert codec.decode_properties(frame[7:-1]) == every
    assert codec.decode_size(frame[7:-1]) == 99
    for name in codec.IDS:
        args = {
            key: {"s": "text", "S": b"long", "F": table, "t": True}.get(code, 3)
            for key, code in codec.SPECS[name]
            if not key.startswith("*")
        }
        method = codec.decode_method(codec.encode_method(1, name, **args)[7:-1])
        assert method.name == name
        assert method.args.items() >= args.items()
    kinds = b"\x01xb\xff\x01yA\x00\x00\x00\x04t\x01t\x00\x01zV\x01dD\x02\x00\x00\x01\x00"
    assert codec.Reader(struct.pack(">I", len(kinds)) + kinds).table() == {
        "x": -1,
        "y": [True, False],
        "z": None,
        "d": 2.56,
    }


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
    with pytest.raises(codec.CodecError):
        codec.decode_method(payload)


def test_a_message_is_served_and_the_reply_precedes_the_acknowledgement(edge):
    h = edge()
    message, c = ask(h.broker, "hello", headers={"size": 12.5})
    outcome, body, headers = wait_until(lambda: h.broker.reply(c), "the reply")
    assert (outcome, body, headers["outcome"]) == ("served", "did hello", "served")
    assert headers["advice"] >= 0
    assert h.broker.replies[0].queue == "answers"
    wait_until(lambda: message.fate == "ack", "the acknowledgement")
    assert h.broker.methods.index("basic.publish") < h.broker.methods.index("basic.ack")
    assert h.executor.runs[0][1:] == ("track", "hello")


def test_long_results_are_cut_into_frames(edge):
    h = edge()
    _, c = ask(h.broker, "hold", class_name="book")
    wait_until(lambda: h.executor.runs, "the run")
    h.executor.end_run(h.executor.runs[0].task, result="r" * 10_000)
    assert wait_until(lambda: h.broker.reply(c), "the reply")[1] == "r" * 10_000


def test_deadlines_and_errors_are_mapped(edge):
    h = edge()
    _, late = ask(h.broker, "hold", expiration="500")
    _, old = ask(h.broker, "past", timestamp=int(time.time()) - 9)
    _, past = ask(h.broker, "past", headers={"timestamp_in_ms": int(time.time() * 1000) - 4500})
    _, bad = ask(h.broker, "error", class_name="book")
    assert wait_until(lambda: h.broker.reply(late), "the late one's reply")[0] == "failed"
    for c in (past, old):
        outcome, _, headers = wait_until(lambda c=c: h.broker.reply(c), "the refusal")
        assert outcome == "refused"
        assert headers["pause"] > 0
    assert wait_until(lambda: h.broker.reply(bad), "the failure")[0] == "failed"
    assert not h.executor.runs_of("past")


def test_without_reply_to_the_settlement_is_the_answer(edge):
    h = edge()
    served, _ = ask(h.broker, "fine", reply_to=None)
    failed, _ = ask(h.broker, "error", class_name="book", reply_to=None)
    wait_until(lambda: (served.fate, failed.fate) == ("ack", "reject"), "both settlements")
    assert not h.broker.replies


def test_a_lost_acknowledgement_is_answered_from_the_kept_result(edge):
    h = edge()
    h.broker.disconnect_on = "basic.ack"
    message, c = ask(h.broker, "booking", class_name="book")
    wait_until(lambda: message.fate == "ack", "the acknowledgement of the redelivery")
    assert message.delivery_count == 2
    assert len(h.executor.runs_of("booking")) == 1
    assert [r.body for r in h.broker.replies if r.properties.correlation_id == c] == ["did booking"] * 2


def test_a_redelivery_while_it_runs_waits_for_that_run(edge):
    h = edge()
    message, c = ask(h.broker, "hold", class_name="book")
    wait_until(lambda: h.executor.runs, "the run")
    h.broker.disconnect()
    wait_until(lambda: message.delivery_count == 2, "the redelivery")
    h.executor.end_run(h.executor.runs[0].task, result="booked")
    assert wait_until(lambda: h.broker.reply(c), "the reply")[:2] == ("served", "booked")
    wait_until(lambda: message.fate == "ack", "the acknowledgement")
    assert len(h.executor.runs) == 1


def test_a_redelivered_write_of_another_life_is_failed_and_a_read_runs(edge):
    h = edge()
    write, c = ask(h.broker, "elsewhere", class_name="book", redelivered=True)
    _, read = ask(h.broker, "again", redelivered=True)
    assert wait_until(lambda: h.broker.reply(read), "the read")[0] == "served"
    assert wait_until(lambda: h.broker.reply(c), "the write's reply")[0] == "failed"
    wait_until(lambda: write.fate == "ack", "the acknowledgement")
    assert not h.executor.runs_of("elsewhere")


def test_a_message_id_with_another_body_is_failed_and_gets_no_result(edge):
    h = edge()
    _, first = ask(h.broker, "booking", class_name="book", message_id="m-1")
    assert wait_until(lambda: h.broker.reply(first), "the reply")[:2] == ("served", "did booking")
    ask(h.broker, "another", class_name="book", message_id="m-1", correlation="c-other")
    assert wait_until(lambda: h.broker.reply("c-other"), "the other reply")[:2] == ("failed", "")
    ask(h.broker, "booking", class_name="book", message_id="m-1", correlation="c-same")
    assert wait_until(lambda: h.broker.reply("c-same"), "the repeat")[1] == "did booking"
    assert len(h.executor.runs) == 1


@pytest.mark.parametrize("what", ["unknown", "never", "over"])
def test_runs_that_bring_no_result_are_failed_and_free_their_slot(edge, what):
    h = edge()
    for _ in range(20):  # more than may ever run at once
        _, c = ask(h.broker, what)
        assert wait_until(lambda c=c: h.broker.reply(c), "the reply")[0] == "failed"
    _, c = ask(h.broker, "next")
    assert wait_until(lambda: h.broker.reply(c), "the next one")[0] == "served"


def test_a_reload_moves_the_peers_of_messages_too(edge):
    h = edge()
    for peer in (h.executor, h.store, h.registry):
        peer.relocate()
    h.reload()
    _, c = ask(h.broker, "call:200")
    assert wait_until(lambda: h.broker.reply(c), "the reply")[0] == "served"


def test_a_write_without_message_id_never_runs(edge):
    h = edge()
    silent, _ = ask(h.broker, "nokey", class_name="book", message_id=None, reply_to=None)
    _, c = ask(h.broker, "nokey", class_name="book", message_id=None)
    wait_until(lambda: silent.fate == "reject", "the rejection")
    assert wait_until(lambda: h.broker.reply(c), "the reply")[0] == "failed"
    assert not h.executor.runs


@pytest.mark.parametrize(
    "over",
    [
        {"class_name": "nothing"},
        {"headers": {"customer": "nobody"}},
        {"expiration": "soon"},
        {"headers": {"size": -1}},
        {"headers": {"size": True}},
        {"body": "x" * 5000},
    ],
)
def test_a_malformed_message_costs_itself_only(edge, over):
    h = edge()
    bad, _ = ask(h.broker, over.pop("body", "bad"), reply_to=None, **over)
    _, c = ask(h.broker, "good")
    assert wait_until(lambda: h.broker.reply(c), "the next one")[0] == "served"
    wait_until(lambda: bad.fate == "reject", "the rejection")
    assert len(h.executor.runs) == 1


@pytest.mark.parametrize(
    "raw",
    [
        lambda n: codec.encode_frame(codec.BODY, n, b"early"),
        lambda n: codec.encode_frame(codec.HEADER, n, b"\x00"),
        lambda n: codec.encode_frame(codec.HEADER, 9000, b"\x00" * 14),
        lambda n: codec.encode_frame(codec.METHOD, n, b"\xff\xff\xff\xff"),
        lambda n: codec.encode_frame(codec.HEARTBEAT, 0, b"")[:-1] + b"\x00",
        lambda n: codec.FRAME_HEAD.pack(codec.METHOD, n, 1 << 31),
        lambda n: b"\x77" * 50,
    ],
)
def test_malformed_frames_cost_the_connection_and_a_new_one_follows(edge, raw):
    h = edge()
    h.broker.put("jobs", "broken", raw=raw)
    wait_until(lambda: "event=connection-closed" in h.log() or "event=connection-lost" in h.log(), "the end of it")
    _, c = ask(h.broker, "good")
    assert wait_until(lambda: h.broker.reply(c), "service on a new connection")[0] == "served"
    assert h.broker.methods.count("connection.open") == 2


def test_the_last_word_to_a_broker_is_not_reset_away_by_what_it_still_sends(edge):
    h = edge()
    with h.suspended(), h.broker.lock:
        h.broker.put("jobs", "x", raw=lambda n: codec.encode_frame(codec.BODY, n, b"early") + b"x" * 150_000)
    wait_until(lambda: "connection.close" in h.broker.methods, "the last word")
    wait_until(lambda: h.log().count("event=connected") == 2, "a new connection")
    assert h.broker.reset_count == 0


def test_malformed_properties_cost_the_message_only(edge):
    h = edge()
    bad = h.broker.put(
        "jobs",
        "x",
        raw=lambda n: (
            codec.encode_frame(codec.HEADER, n, struct.pack(">HHQH", 60, 0, 1, 0x2000) + b"\x00\x00\xff\xff")
            + codec.encode_frame(codec.BODY, n, b"x")
        ),
    )
    _, c = ask(h.broker, "good")
    assert wait_until(lambda: h.broker.reply(c), "the next one")[0] == "served"
    assert bad.fate == "reject"
    assert bad.delivery_count == 1


def test_a_channel_error_opens_a_new_channel(edge):
    h = edge()
    with h.broker.lock:
        link = h.broker.links[0]
        link.channels.clear()
        link.send_method(1, "channel.close", code=404, text="NOT_FOUND", class_id=60, method_id=20)
    _, c = ask(h.broker, "good")
    assert wait_until(lambda: h.broker.reply(c), "service on the new channel")[0] == "served"
    assert "event=channel-closed" in h.log()


def test_refused_confirms_are_tried_again_and_lost_replies_settle(edge):
    h = edge()
    h.broker.nacks_left = 2
    message, c = ask(h.broker, "stubborn")
    assert wait_until(lambda: h.broker.reply(c), "the third try")[0] == "served"
    wait_until(lambda: message.fate == "ack", "the acknowledgement")
    h.broker.returns_unroutable = True
    served, _ = ask(h.broker, "nobody asks")
    failed, _ = ask(h.broker, "error", class_name="book")
    wait_until(lambda: (served.fate, failed.fate) == ("ack", "reject"), "both settlements")


def test_heartbeats_go_out_and_silence_ends_the_connection(edge):
    h = edge(broker=Broker(heartbeat=1), heartbeat=1)
    wait_until(lambda: h.broker.heartbeat_count >= 2, "two heartbeats")
    wait_until(lambda: h.broker.methods.count("connection.open") >= 2, "a new connection after the silence")


def test_prefetch_bounds_what_is_held(edge):
    h = edge(prefetch=3)
    for _ in range(10):
        ask(h.broker, "hold")
    wait_until(lambda: len(h.executor.runs) >= 2, "the runs")
    assert h.broker.max_unacked == 3


def test_the_drain_cancels_and_answers_what_was_taken(edge):
    h = edge(stop_ms=2500)
    taken, c = ask(h.broker, "hold", class_name="book")
    wait_until(lambda: h.executor.runs, "the run")
    began = time.monotonic()
    h.broker.message_during_cancel = {"type": "book", "message_id": "x"}
    h.terminate()
    wait_until(lambda: h.broker.cancel_count == 1, "the cancel")
    left, _ = ask(h.broker, "left", class_name="book")
    h.executor.end_run(h.executor.runs[0].task, result="booked")
    assert wait_until(lambda: h.broker.reply(c), "the reply")[:2] == ("served", "booked")
    assert h.process.wait(5) == 0
    assert time.monotonic() - began < 2.5
    assert (taken.fate, left.fate, left.delivery_count, h.broker.close_count) == ("ack", None, 0, 1)
    crossed = next(m for m in h.broker.messages if m.body == b"crossing")
    assert (crossed.delivery_count, crossed.fate) == (1, "requeue")  # not taken: another box may have it
    assert not h.executor.runs_of("left")
    assert not h.executor.runs_of("crossing")


def test_a_flood_over_capacity_with_lost_acks_has_no_double_effect(edge):
    work_s, cores, seconds = 0.02, 2, 3.0
    info = {**PLATFORM_INFO, "FamilyInfo": {**PLATFORM_INFO["FamilyInfo"], "CallsOut": 50.0}}
    h = edge(prefetch=60, executor=Executor(work_s, cores), info=info)
    gap = work_s / cores / 1.1  # 110% of what the cores can do
    asked = {}

    def flood():
        for i in range(int(seconds / gap)):
            class_name = "book" if i % 3 == 0 else "track"
            asked[f"subject-{i}"] = (class_name, *ask(h.broker, f"subject-{i}", class_name, correlation=f"s{i}"))
            time.sleep(gap)

    thread = threading.Thread(target=flood)
    thread.start()
    for share in (0.3, 0.6):  # two acknowledgements are lost, with all that is unacknowledged redelivered
        wait_until(lambda share=share: len(asked) >= share * seconds / gap, "part of the flood")
        h.broker.disconnect_on = "basic.ack"
    thread.join()
    wait_until(lambda: all(m.fate for _, m, _ in asked.values()), "an end of every message")
    effects = collections.Counter(body for _, handler, body in h.executor.runs if handler == "book")
    assert max(effects.values()) == 1
    assert h.broker.methods.count("connection.open") >= 3
    outcomes = collections.Counter()
    for subject, (class_name, _, c) in asked.items():
        answers = [r for r in h.broker.replies if r.properties.correlation_id == c]
        assert answers, subject
        outcomes[answers[-1][1].type] += 1
        for _, p, body in answers:
            assert p.type != "served" or body == f"did {subject}"
            # What is turned away has never run, not even for the sake of another copy.
            assert class_name != "book" or p.type != "refused" or not effects[subject]
    assert outcomes["served"] > 0.5 * len(asked)


def test_frames_may_come_byte_by_byte(edge):
    broker = Broker()
    broker.byte_by_byte = True
    h = edge(broker=broker)
    messages = [ask(broker, f"x{n}", class_name="book") for n in range(5)]
    wait_until(lambda: all(m.fate == "ack" for m, _ in messages), "all acknowledged")
    assert len(h.executor.runs) == 5
