"""Calls of a store that sends unusable replies or closes connections.

A call with an unusable reply counts as made, and no byte of its reply reaches another call.
"""

import itertools
import json
import time

import pytest

from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.store import UNUSABLE_REPLIES
from lapispick.fakes.waiting import wait_until
from lapispick.host import store, store_replies
from lapispick.host.store import SETTLE_S
from tests.host_support import FAILED_CODE


@pytest.mark.parametrize("reply", UNUSABLE_REPLIES)
def test_unusable_reply_closes_its_connection_and_only_idempotent_calls_are_repeated(host, reply):
    worker = host()
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", f"call:{reply}")) == "poorer"
    assert gateway.error_code(gateway.request("book", f"call:{reply}", make_idempotency_key())) != REJECTED_CODE
    assert [call.body for call in worker.store.calls] == [reply] * 3  # only the call of "track" was repeated
    assert gateway.result(gateway.request("track", "call:200")) == "reply 4"
    assert len({call.connection for call in worker.store.calls}) == 4
    assert worker.peak_memory_mb() < 64


@pytest.mark.parametrize("head", [[], [b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked", b"", b"0"]])
def test_endless_headers_are_rejected_at_the_line_limit(head):
    """Endless headers, or trailers after the chunks, would keep the host busy until the call's timeout."""
    lines = itertools.chain(head, itertools.repeat(b"X-More: of it", 2 * store_replies.MAX_HEADER_LINES))

    class EndlessStream:
        def read_line(self, _):
            return next(lines)

    reader = store_replies.ReplyReader(EndlessStream(), time.monotonic() + 10)
    with pytest.raises(store_replies.MalformedReplyError):
        if head:
            reader.read()
        else:
            reader.read_headers()
    assert sum(1 for _ in lines) >= store_replies.MAX_HEADER_LINES - 1


@pytest.mark.parametrize("reply", ["early", "double", "trail"])
def test_bytes_around_a_good_reply_reach_no_run(host, reply):
    worker = host()
    gateway = worker.gateway()
    for number in range(1, 40):
        assert gateway.result(gateway.request("track", f"call:{reply}")) == f"reply {number}"


def settle():
    """Wait until idle connections of a host are used again."""
    idle_since = time.monotonic()
    wait_until(lambda: time.monotonic() - idle_since > 2 * SETTLE_S, "the end of the settling time")


def served_call(worker, gateway, body):
    """Make a request with a call of this body and return the body of the call whose reply its run was given."""
    result = gateway.result(gateway.request("track", f"call:{body}"))
    return worker.store.calls[int(result.removeprefix("reply ")) - 1].body


@pytest.mark.parametrize("piece_count", [1, 2, 40])
def test_copy_of_an_earlier_reply_that_arrives_during_the_next_call_reaches_no_run(host, piece_count):
    """Guards against the reply to one tenant's call that is served to another tenant."""
    worker = host()
    gateway = worker.gateway()
    worker.store.copied_reply_pieces = piece_count
    for number in range(12):
        assert served_call(worker, gateway, f"200#{number}") == f"200#{number}"
        settle()
    assert len({call.connection for call in worker.store.calls}) > 6
    assert "event=reply-equal" in worker.log()


def test_store_with_equal_replies_is_called_once_a_request_on_new_connections(host):
    worker = host()
    gateway = worker.gateway()
    worker.store.equal_replies = True
    for number in range(12):
        assert gateway.result(gateway.request("track", f"call:200#{number}")) == "equal"
        settle()
    assert len(worker.store.calls) == 13  # one reply was not trusted; no connection is reused after it
    assert len({call.connection for call in worker.store.calls}) == 12


def test_connection_that_brought_many_replies_is_closed():
    """The replies that are remembered of a connection must not take up memory without a bound."""

    class IdleStream:
        def is_idle(self):
            return True

    connection = store.StoreConnection(IdleStream())
    replies = [store_replies.Reply(200, {}, str(number).encode()) for number in range(store.MAX_CALLS_PER_CONNECTION)]
    for reply in replies[:-1]:
        assert connection.add_reply(reply)
        assert connection.is_reusable(reply)
    assert connection.add_reply(replies[-1])
    assert not connection.is_reusable(replies[-1])


def test_replies_without_a_result_end_their_connection(host):
    worker = host()
    gateway = worker.gateway()
    for number in range(4):
        gateway.answer(gateway.request("track", f"call:503 n#{number}"))
        settle()
    assert len({call.connection for call in worker.store.calls}) == len(worker.store.calls)


def test_idempotent_call_on_a_reset_idle_connection_is_repeated(host):
    worker = host()
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "call:200")) == "reply 1"

    def call_was_repeated():
        assert gateway.result(gateway.request("track", "call:forget")).startswith("reply")
        return len(worker.store.calls) > len(worker.executor.runs)  # a call was reset and repeated

    wait_until(call_was_repeated, "the reset of an idle connection")
    assert [line for line in worker.log().splitlines() if "level=warning" in line] == []
    assert gateway.result(gateway.request("book", "call:200", make_idempotency_key())).startswith("reply")
    connections = [call.connection for call in worker.store.calls]
    assert connections.count(connections[-1]) == 1  # the call of a keyed request has a new connection


def test_up_to_half_of_the_connections_for_calls_are_kept_idle(host):
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Cores=40, CallsOut=200.0)
    worker = host(info=info)
    # More than 16, an earlier limit of idle connections; fewer than 32, half of the connections for calls, which are a
    # quarter of 256 sockets.
    batch_size = 28
    for _ in range(3):
        gateway = worker.gateway()
        request_ids = [gateway.request("track", "call:late") for _ in range(batch_size)]
        assert all(gateway.result(request_id).startswith("reply") for request_id in request_ids)
        answered_at = time.monotonic()  # the connections were idle before the answers arrived, and settle for SETTLE_S
        wait_until(lambda answered_at=answered_at: time.monotonic() - answered_at > SETTLE_S, "settled connections")
    assert len(worker.store.calls) == 3 * batch_size
    assert 16 < len({call.connection for call in worker.store.calls}) <= batch_size


def test_truncated_reply_fails_a_keyed_request_without_a_second_call(host):
    worker = host()
    gateway = worker.gateway()
    reply_bytes = len(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
    for size in range(reply_bytes):
        assert gateway.error_code(gateway.request("book", f"call:cut {size}", make_idempotency_key())) == FAILED_CODE
    assert gateway.result(gateway.request("book", f"call:cut {reply_bytes}", make_idempotency_key())) == "reply"
    assert [call.body for call in worker.store.calls] == [f"cut {size}" for size in range(reply_bytes + 1)]


def test_pooled_connection_that_closes_as_a_call_is_written_loses_no_call(host):
    worker = host(info=make_platform_info(ClassSkipWorth=[0.0, 0.0]))
    gateway = worker.gateway()
    results = []

    def call_was_repeated():
        results.append(gateway.result(gateway.request("track", "call:hang up")))
        return len(worker.store.calls) > len(results)

    wait_until(call_was_repeated, "a call whose connection was closed and that was repeated")
    assert all(result.startswith("reply") for result in results)
