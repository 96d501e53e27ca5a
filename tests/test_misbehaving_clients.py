"""Clients that break the protocol: each gets an error or a close, none is served, and no other is affected."""

import contextlib
import socket
import threading
import time

from lapispick.fakes.gateway import CLOSED
from lapispick.fakes.messages import REJECTED_CODE, encode_base64, make_idempotency_key
from lapispick.fakes.waiting import wait_until


def is_rejected(messages):
    """Tell whether a client was answered by errors or closed, and was not served."""
    return bool(messages) and all(message == CLOSED or "error" in message for message in messages)


INVALID_FIELDS = [
    dict(born="now"),
    dict(born=1),
    dict(born=1e300),
    dict(born=-5),
    dict(born=None),
    dict(patience=-1),
    dict(patience=0),
    dict(patience=1e12),
    dict(patience=None),
    dict(size=0),
    dict(size=-3),
    dict(size=2000),
    dict(size="x"),
    dict(size=None),
    dict(order=1),
    dict(order=-0.1),
    dict(order=None),
    dict(client=-1),
    dict(client=1.5),
    dict(customer="nobody"),
    dict(customer=None),
    dict(trace="short"),
    dict(trace=None),
    dict(redo=7),
    dict(doc=None),
    dict(doc="***"),
    dict(doc=encode_base64("x" * 3000)),
    dict(number=None),
    dict(number="one"),
    dict(number=0),
    dict(number=-4),
    dict(number=10**22),
    dict(method="nothing"),
    dict(method="book"),
    dict(method="book", nonce="abc"),
]
INVALID_LINES = [
    b"\xff\xfe{",
    b"[]",
    b"7",
    b'{"method":7,"id":1}',
    b"{" * 5000,
    b"x" * 100_000,
    b"Length: -5",
    b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":5}}',
    b'{"jsonrpc":"2.0","id":1,"method":"track","params":{"born":NaN}}',
]


def test_invalid_messages_are_answered_with_errors_or_closed_and_never_executed(host):
    started = host()
    valid = started.gateway()
    invalid = []
    for fields in INVALID_FIELDS:
        invalid.append(started.gateway())
        line = invalid[-1].request_line(**{"method": "track", **fields})
        invalid[-1].send_line(line)
    for line in INVALID_LINES:
        invalid.append(started.gateway())
        with contextlib.suppress(OSError):
            invalid[-1].send_line(line)
    assert valid.result(valid.request("track", "fine")) == "did fine"
    received = [gateway.read_until_quiet(0.3) for gateway in invalid]
    pairs = zip(INVALID_FIELDS + INVALID_LINES, received, strict=True)
    assert not [(sent, messages) for sent, messages in pairs if not is_rejected(messages)]
    assert len(started.executor.runs) == 1
    assert started.process.poll() is None
    repeating = started.gateway()
    with contextlib.suppress(OSError):
        for _ in range(50):
            repeating.send_line(b'{"id":1}')
    assert repeating.read_until_quiet(3)[-1] == CLOSED


def test_requests_under_a_used_id_and_too_many_open_requests_are_never_served(host):
    started = host()
    valid = started.gateway()
    same_id = started.gateway()
    used_id = started.gateway()
    too_many = started.gateway()
    same_id.send_line(same_id.request_line("track", "one") + b"\n" + same_id.request_line("track", "two"))
    used_id.send_line(used_id.request_line("track", "hold"))
    started.executor.wait_for_run("hold")
    used_id.send_line(used_id.request_line("track", "other"))
    with contextlib.suppress(OSError):
        too_many.send_line(b"\n".join(too_many.request_line("track", "many", number=n) for n in range(1, 300)))
    received = [gateway.read_until_quiet(1) for gateway in (same_id, used_id, too_many)]
    assert [is_rejected(messages) for messages in received] == [True] * 3, received
    assert valid.result(valid.request("track", "fine")) == "did fine"
    assert not started.executor.runs_of("one")
    assert not started.executor.runs_of("two")
    assert not started.executor.runs_of("other")
    assert not started.executor.runs_of("many")


def test_an_idempotency_key_with_another_body_gets_no_result_and_does_not_affect_its_owner(host):
    started = host()
    owner = started.gateway()
    key = make_idempotency_key()
    first = owner.request("book", "hold", key)
    wait_until(lambda: started.executor.runs, "the run")
    during_the_run = started.gateway()
    during_the_run.send_line(during_the_run.request_line("book", "other", nonce=key))
    assert is_rejected(during_the_run.read_until_quiet(0.5))
    started.executor.end_run(started.executor.runs[0].task, result="booked")
    assert owner.result(first) == "booked"
    after_the_run = started.gateway()
    after_the_run.send_line(after_the_run.request_line("book", "other", nonce=key))
    assert is_rejected(after_the_run.read_until_quiet(0.5))
    assert len(started.executor.runs) == 1
    retry = started.gateway()
    assert retry.result(retry.request("book", "hold", key, redo=1)) == "booked"


def test_requests_that_are_cancelled_at_once_are_answered_and_no_other_loses_its_answer(host):
    started = host()
    valid = started.gateway()
    cancelling = started.gateway()
    key = make_idempotency_key()
    lines = []
    for number in range(1, 201):
        lines += [
            cancelling.request_line("book", "cancelled", number=number, nonce=key),
            b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}' % number,
        ]
    with contextlib.suppress(OSError):
        cancelling.send_line(b"\n".join(lines))
    assert valid.result(valid.request("book", "cancelled", key)) == "did cancelled"
    assert is_rejected(cancelling.read_until_quiet(1))
    assert "event-handler-failed" not in started.log()


def test_requests_unknown_to_the_executor_keep_no_slot_and_no_key(host):
    started = host()
    key = make_idempotency_key()
    for _ in range(30):
        gateway = started.gateway()
        keyed = gateway.request_line("book", "unknown", nonce=key)
        idempotent = gateway.request_line("track", "unknown", number=2)
        gateway.send_line(keyed + b"\n" + idempotent)
        assert is_rejected(gateway.read_until_quiet(0.05))
    gateway = started.gateway()
    assert gateway.result(gateway.request("book", "known", key)) == "did known"
    assert gateway.result(gateway.request("track", "known")) == "did known"


def test_runs_that_the_executor_ends_as_abandoned_free_their_slots(host):
    started = host()
    gateway = started.gateway()
    for number in range(1, 30):  # more than may ever run at once
        message_id = gateway.request("track", "over" if number % 2 else "never")
        assert gateway.error_code(message_id) != REJECTED_CODE
    assert gateway.result(gateway.request("track", "next")) == "did next"


def test_silent_and_incomplete_connections_are_closed_and_other_clients_are_accepted(host):
    started = host()
    name, port = started.address.split(":")
    silent = [socket.create_connection((name, int(port))) for _ in range(256 * 5 // 8 + 40)]
    incomplete = started.gateway()
    endless = started.gateway()
    served = started.gateway()
    started_at = time.monotonic()
    incomplete.sock.sendall(incomplete.request_line("track")[:50])
    assert served.result(served.request("track", "once")) == "did once"
    late = started.gateway()
    assert late.result(late.request("track", "still")) == "did still"
    assert time.monotonic() - started_at < 1

    def send_without_end_of_line():
        with contextlib.suppress(OSError):
            for _ in range(60):
                endless.sock.sendall(b"x" * (1 << 20))

    thread = threading.Thread(target=send_without_end_of_line)
    thread.start()
    for sock in silent:
        sock.settimeout(3)
        with contextlib.suppress(ConnectionError):
            assert sock.recv(10) == b""
    assert incomplete.read_until_quiet(3) == [CLOSED]
    assert time.monotonic() - started_at < 3
    thread.join()
    assert endless.read_until_quiet(3)[-1] == CLOSED
    assert served.result(served.request("track", "again")) == "did again"  # a connection that was served may stay
    assert started.peak_memory_mb() < 64
