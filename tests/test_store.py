"""Calls of a store that sends unusable replies or closes connections.

A call with an unusable reply counts as made, and no byte of its reply reaches another call.
"""

import itertools
import json
import time

import pytest

from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.store import UNUSABLE_REPLIES, LateNoise
from lapispick.host import store_replies
from tests.host_support import FAILED_CODE

TIME_WAIT = "06"


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


def assert_one_call_per_connection(worker):
    assert len({call.connection for call in worker.store.calls}) == len(worker.store.calls)


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
    assert_one_call_per_connection(worker)


REPLY_BYTES = len(b"HTTP/1.1 200 Said\r\nContent-Length: 8\r\n\r\nreply 10")


@pytest.mark.parametrize("delay_ms", [0, 1, 30, 80, 500])
def test_late_noise_that_is_cut_at_any_byte_reaches_no_run(host, delay_ms):
    """Guards against a reply that is made of noise after the last one and of the bytes of the next one."""
    worker = host()
    gateway = worker.gateway()
    for missing_bytes in range(REPLY_BYTES):
        worker.store.late_noise = LateNoise(delay_ms / 1000, missing_bytes)
        body = f"200#{missing_bytes}"
        assert served_call(worker, gateway, body) == body
        time.sleep(delay_ms / 1000 / 10)  # the noise of up to ten calls is under way
    assert worker.store.noise_count > 0
    assert_one_call_per_connection(worker)


def test_noise_in_the_middle_of_the_next_call_reaches_no_run(host):
    """The connection of a call that has ended is closed, also while the next call lasts longer than the noise."""
    worker = host()
    gateway = worker.gateway()
    for missing_bytes in (0, 1, 2, 20):
        worker.store.late_noise = LateNoise(0.08, missing_bytes)
        assert served_call(worker, gateway, f"200#{missing_bytes}") == f"200#{missing_bytes}"
        time.sleep(0.045)
        assert served_call(worker, gateway, "late") == "late"
    assert_one_call_per_connection(worker)


def test_store_with_equal_replies_is_called_once_a_request_on_new_connections(host):
    worker = host()
    gateway = worker.gateway()
    worker.store.equal_replies = True
    for number in range(12):
        assert gateway.result(gateway.request("track", f"call:200#{number}")) == "equal"
    assert len(worker.store.calls) == 12
    assert_one_call_per_connection(worker)


def test_ended_calls_leave_no_port_in_use(host):
    """Guards against connections in TIME_WAIT, which would use up all ports at some hundred calls a second."""
    worker = host()
    gateway = worker.gateway()
    for number in range(20):
        assert served_call(worker, gateway, f"200#{number}") == f"200#{number}"
    port = int(worker.store.address.rpartition(":")[2])
    assert [state for state in connection_states(port) if state == TIME_WAIT] == []


def connection_states(remote_port):
    """Return the states of this system's IPv4 connections to a port, as in ``/proc/net/tcp``."""
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return [row[3] for row in rows if int(row[2].partition(":")[2], 16) == remote_port]


def test_replies_without_a_result_end_their_connection(host):
    worker = host()
    gateway = worker.gateway()
    for number in range(4):
        gateway.answer(gateway.request("track", f"call:503 n#{number}"))
    assert_one_call_per_connection(worker)


@pytest.mark.parametrize("body", ["forget", "hang up"])
def test_a_store_that_ends_used_connections_breaks_no_call(host, body):
    """Guards against calls on connections that the store closes or resets as they are used again."""
    worker = host(info=make_platform_info(ClassSkipWorth=[0.0, 0.0]))
    gateway = worker.gateway()
    for _ in range(20):
        assert gateway.result(gateway.request("track", f"call:{body}")).startswith("reply")
    assert gateway.result(gateway.request("book", "call:200", make_idempotency_key())).startswith("reply")
    assert len(worker.store.calls) == len(worker.executor.runs) == 21
    assert [line for line in worker.log().splitlines() if "level=warning" in line] == []
    assert_one_call_per_connection(worker)


def test_calls_of_many_requests_at_once_have_a_connection_each(host):
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Cores=40, CallsOut=200.0)
    worker = host(info=info)
    batch_size = 28  # fewer than the connections for calls, which are a quarter of 256 sockets
    for _ in range(3):
        gateway = worker.gateway()
        request_ids = [gateway.request("track", "call:late") for _ in range(batch_size)]
        assert all(gateway.result(request_id).startswith("reply") for request_id in request_ids)
    assert len(worker.store.calls) == 3 * batch_size
    assert_one_call_per_connection(worker)


def test_truncated_reply_fails_a_keyed_request_without_a_second_call(host):
    worker = host()
    gateway = worker.gateway()
    reply_bytes = len(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
    for size in range(reply_bytes):
        assert gateway.error_code(gateway.request("book", f"call:cut {size}", make_idempotency_key())) == FAILED_CODE
    assert gateway.result(gateway.request("book", f"call:cut {reply_bytes}", make_idempotency_key())) == "reply"
    assert [call.body for call in worker.store.calls] == [f"cut {size}" for size in range(reply_bytes + 1)]
