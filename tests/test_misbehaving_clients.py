"""Clients that keep to no protocol: each gets a word or a close soon, none is served, nobody else pays."""

import contextlib
import socket
import threading
import time
import uuid

from lapispick.fakes.messages import encode_base64
from lapispick.fakes.waiting import wait_until


def is_word(got):
    """Tell whether a bad client got its refusal, error or close, and was not served."""
    return bool(got) and all(m == "closed" or "error" in m for m in got)


ODD = [
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
LINES = [
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


def test_what_is_odd_is_answered_or_closed_and_never_runs(host):
    h = host()
    good = h.gateway()
    bad = []
    for odd in ODD:
        bad.append(h.gateway())
        line = bad[-1].request_line(**{"method": "track", **odd})
        bad[-1].send_line(line)
    for line in LINES:
        bad.append(h.gateway())
        with contextlib.suppress(OSError):
            bad[-1].send_line(line)
    assert good.result(good.request("track", "fine")) == "did fine"
    words = [b.read_until_quiet(0.3) for b in bad]
    assert not [(what, got) for what, got in zip(ODD + LINES, words, strict=True) if not is_word(got)]
    assert len(h.executor.runs) == 1
    assert h.process.poll() is None
    again = h.gateway()
    with contextlib.suppress(OSError):
        for _ in range(50):
            again.send_line(b'{"id":1}')
    assert again.read_until_quiet(3)[-1] == "closed"  # the same again and again


def test_two_requests_under_one_number_or_too_many_at_once_are_never_served(host):
    h = host()
    good = h.gateway()
    twice, used, crowd = h.gateway(), h.gateway(), h.gateway()
    twice.send_line(twice.request_line("track", "one") + b"\n" + twice.request_line("track", "two"))
    used.send_line(used.request_line("track", "hold"))
    wait_until(lambda: h.executor.runs_of("hold"), "the run")
    used.send_line(used.request_line("track", "other"))
    with contextlib.suppress(OSError):
        crowd.send_line(b"\n".join(crowd.request_line("track", "many", number=n) for n in range(1, 300)))
    words = [b.read_until_quiet(1) for b in (twice, used, crowd)]
    assert [is_word(got) for got in words] == [True] * 3, words
    assert good.result(good.request("track", "fine")) == "did fine"
    assert not (h.executor.runs_of("one"))
    assert not (h.executor.runs_of("two"))
    assert not (h.executor.runs_of("other"))
    assert not h.executor.runs_of("many")


def test_a_key_with_another_body_gets_no_result_and_harms_none(host):
    h = host()
    g, key = h.gateway(), uuid.uuid4().hex
    first = g.request("book", "hold", key)
    wait_until(lambda: h.executor.runs, "the run")
    thief = h.gateway()
    thief.send_line(thief.request_line("book", "other", nonce=key))
    assert is_word(thief.read_until_quiet(0.5))
    h.executor.end_run(h.executor.runs[0].task, result="booked")
    assert g.result(first) == "booked"
    thief = h.gateway()
    thief.send_line(thief.request_line("book", "other", nonce=key))
    assert is_word(thief.read_until_quiet(0.5))
    assert len(h.executor.runs) == 1
    other = h.gateway()
    assert other.result(other.request("book", "hold", key, redo=1)) == "booked"


def test_requests_taken_back_at_once_get_a_word_and_cost_nobody_an_answer(host):
    h = host()
    g, bad, key = h.gateway(), h.gateway(), uuid.uuid4().hex
    lines = []
    for n in range(1, 201):
        lines += [
            bad.request_line("book", "gone", number=n, nonce=key),
            b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":%d}}' % n,
        ]
    with contextlib.suppress(OSError):
        bad.send_line(b"\n".join(lines))
    assert g.result(g.request("book", "gone", key)) == "did gone"
    assert is_word(bad.read_until_quiet(1))
    assert "event-handler-failed" not in h.log()


def test_requests_that_the_executor_does_not_know_cost_no_slot_and_no_key(host):
    h = host()
    key = uuid.uuid4().hex
    for _ in range(30):
        bad = h.gateway()
        bad.send_line(
            bad.request_line("book", "unknown", nonce=key) + b"\n" + bad.request_line("track", "unknown", number=2)
        )
        assert is_word(bad.read_until_quiet(0.05))
    g = h.gateway()
    assert g.result(g.request("book", "known", key)) == "did known"
    assert g.result(g.request("track", "known")) == "did known"


def test_runs_that_end_as_nobody_waits_free_their_slots(host):
    h = host()
    g = h.gateway()
    for n in range(1, 30):  # more than may ever run at once
        number = g.request("track", "over" if n % 2 else "never")
        assert g.error_code(number) != -32050
    assert g.result(g.request("track", "next")) == "did next"


def test_who_says_nothing_or_half_of_it_is_shown_out_and_others_get_in(host):
    h = host()
    name, port = h.address.split(":")
    crowd = [socket.create_connection((name, int(port))) for _ in range(256 * 5 // 8 + 40)]
    half, endless, stayed = h.gateway(), h.gateway(), h.gateway()
    began = time.monotonic()
    half.sock.sendall(half.request_line("track")[:50])
    assert stayed.result(stayed.request("track", "once")) == "did once"
    g = h.gateway()
    assert g.result(g.request("track", "still")) == "did still"
    assert time.monotonic() - began < 1

    def pour():
        with contextlib.suppress(OSError):
            for _ in range(60):
                endless.sock.sendall(b"x" * (1 << 20))

    thread = threading.Thread(target=pour)
    thread.start()
    for each in crowd:
        each.settimeout(3)
        with contextlib.suppress(ConnectionError):
            assert each.recv(10) == b""
    assert half.read_until_quiet(3) == ["closed"]
    assert time.monotonic() - began < 3
    thread.join()
    assert endless.read_until_quiet(3)[-1] == "closed"
    assert stayed.result(stayed.request("track", "again")) == "did again"  # who asked once may stay
    assert h.peak_memory_mb() < 64
