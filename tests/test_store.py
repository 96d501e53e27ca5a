"""A store with unusable replies: their calls count as made, and no byte of them reaches another call."""

import itertools
import json
import time

import pytest

from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.store import UNUSABLE_REPLIES
from lapispick.fakes.waiting import wait_until
from lapispick.host import store
from lapispick.host.store import SETTLE_S
from tests.host_support import FAILED_CODE


@pytest.mark.parametrize("reply", UNUSABLE_REPLIES)
def test_unusable_reply_closes_its_connection_and_only_idempotent_calls_are_repeated(host, reply):
    worker = host()
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", f"call:{reply}")) == "poorer"
    assert gateway.error_code(gateway.request("book", f"call:{reply}", make_idempotency_key())) != REJECTED_CODE
    assert [call.body for call in worker.store.calls] == [reply] * 3  # the call of "track" was made once more
    assert gateway.result(gateway.request("track", "call:200")) == "reply 4"
    assert len({call.connection for call in worker.store.calls}) == 4
    assert worker.peak_memory_mb() < 64


@pytest.mark.parametrize("head", [[], [b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked", b"", b"0"]])
def test_endless_headers_are_rejected_at_the_line_limit(head):
    """Headers, and trailers after the chunks: either would keep the host busy for as long as the call may last."""
    lines = itertools.chain(head, itertools.repeat(b"X-More: of it", 2 * store.MAX_HEADER_LINES))

    class EndlessStream:
        def read_line(self, _):
            return next(lines)

    reader = store.ReplyReader(EndlessStream(), time.monotonic() + 10)
    with pytest.raises(store.MalformedReplyError):
        if head:
            reader.read()
        else:
            reader.read_headers()
    assert sum(1 for _ in lines) >= store.MAX_HEADER_LINES - 1


@pytest.mark.parametrize("reply", ["early", "double", "trail"])
def test_bytes_around_a_good_reply_reach_no_run(host, reply):
    worker = host()
    gateway = worker.gateway()
    for number in range(1, 40):
        assert gateway.result(gateway.request("track", f"call:{reply}")) == f"reply {number}"


def test_a_forgotten_connection_costs_no_call(host):
    worker = host()
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "call:200")) == "reply 1"

    def again():
        assert gateway.result(gateway.request("track", "call:forget")).startswith("reply")
        return len(worker.store.calls) > len(worker.executor.runs)  # one was reset and made again

    wait_until(again, "the reset of a connection that was idle")
    assert [line for line in worker.log().splitlines() if "level=warning" in line] == []
    assert gateway.result(gateway.request("book", "call:200", make_idempotency_key())).startswith("reply")
    links = [call.connection for call in worker.store.calls]
    assert links.count(links[-1]) == 1  # a write's call has a connection of its own


def test_as_many_connections_lie_idle_as_half_of_those_for_calls(host):
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Cores=40, CallsOut=200.0)
    worker = host(info=info)
    wave = 28  # over the 16 that were kept once, under half of a quarter of 256
    for _ in range(3):
        gateway = worker.gateway()
        numbers = [gateway.request("track", "call:late") for _ in range(wave)]
        assert all(gateway.result(n).startswith("reply") for n in numbers)
        answered = time.monotonic()  # a connection went idle before its answer came, and settles for SETTLE_S
        wait_until(lambda answered=answered: time.monotonic() - answered > SETTLE_S, "the end of the settling")
    assert len(worker.store.calls) == 3 * wave
    assert 16 < len({call.connection for call in worker.store.calls}) <= wave


def test_truncated_reply_fails_a_keyed_request_without_a_second_call(host):
    worker = host()
    gateway = worker.gateway()
    complete = len(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
    for size in range(complete):
        assert gateway.error_code(gateway.request("book", f"call:cut {size}", make_idempotency_key())) == FAILED_CODE
    assert gateway.result(gateway.request("book", f"call:cut {complete}", make_idempotency_key())) == "reply"
    assert [call.body for call in worker.store.calls] == [f"cut {size}" for size in range(complete + 1)]


def test_pooled_connection_that_closes_as_a_call_is_written_loses_no_call(host):
    worker = host(info=make_platform_info(ClassSkipWorth=[0.0, 0.0]))
    gateway = worker.gateway()
    results = []

    def call_was_repeated():
        results.append(gateway.result(gateway.request("track", "call:hang up")))
        return len(worker.store.calls) > len(results)

    wait_until(call_was_repeated, "a call that met the end of its connection, and was made once more")
    assert all(result.startswith("reply") for result in results)
