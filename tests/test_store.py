"""A store whose replies can't be trusted: what is spoilt counts as a call that ran, and nothing leaks on."""

import itertools
import json
import time
import uuid

import pytest

from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fakes.store import UNUSABLE_REPLIES
from lapispick.fakes.waiting import wait_until
from lapispick.host import store
from lapispick.host.store import SETTLE_S

REFUSED = -32050


@pytest.mark.parametrize("what", UNUSABLE_REPLIES)
def test_a_spoilt_reply_ends_its_call_and_connection_and_a_write_is_not_called_again(host, what):
    h = host()
    g = h.gateway()
    assert g.result(g.request("track", f"call:{what}")) == "poorer"
    assert g.error_code(g.request("book", f"call:{what}", uuid.uuid4().hex)) != REFUSED
    assert [call.body for call in h.store.calls] == [what] * 3  # the read's call was made once more
    assert g.result(g.request("track", "call:200")) == "reply 4"
    assert len({call.connection for call in h.store.calls}) == 4
    assert h.peak_memory_mb() < 64


@pytest.mark.parametrize("lead", [[], [b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked", b"", b"0"]])
def test_a_head_that_repeats_one_line_for_ever_is_given_up_at_its_bound(lead):
    """It kept the whole host busy for as long as the call could last; the same for what stands behind the chunks."""
    taken = itertools.chain(lead, itertools.repeat(b"X-More: of it", 2 * store.MAX_HEADER_LINES))

    class Lines:
        def read_line(self, _):
            return next(taken)

    with pytest.raises(store.MalformedReplyError):
        if lead:
            store.ReplyReader(Lines(), time.monotonic() + 10).read()
        else:
            store.ReplyReader(Lines(), time.monotonic() + 10).read_headers()
    assert sum(1 for _ in taken) >= store.MAX_HEADER_LINES - 1


@pytest.mark.parametrize("what", ["early", "double", "trail"])
def test_what_stands_around_a_good_reply_reaches_no_run(host, what):
    h = host()
    g = h.gateway()
    for n in range(1, 40):
        assert g.result(g.request("track", f"call:{what}")) == f"reply {n}"


def test_a_forgotten_connection_costs_no_call(host):
    h = host()
    g = h.gateway()
    assert g.result(g.request("track", "call:200")) == "reply 1"

    def again():
        assert g.result(g.request("track", "call:forget")).startswith("reply")
        return len(h.store.calls) > len(h.executor.runs)  # one was reset and made again

    wait_until(again, "the reset of a connection that was idle")
    assert [line for line in h.log().splitlines() if "level=warning" in line] == []
    assert g.result(g.request("book", "call:200", uuid.uuid4().hex)).startswith("reply")
    links = [call.connection for call in h.store.calls]
    assert links.count(links[-1]) == 1  # a write's call has a connection of its own


def test_as_many_connections_lie_idle_as_half_of_those_for_calls(host):
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Cores=40, CallsOut=200.0)
    h = host(info=info)
    wave = 28  # over the 16 that were kept once, under half of a quarter of 256
    for _ in range(3):
        g = h.gateway()
        numbers = [g.request("track", "call:late") for _ in range(wave)]
        assert all(g.result(n).startswith("reply") for n in numbers)
        answered = time.monotonic()  # a connection went idle before its answer came, and settles for SETTLE_S
        wait_until(lambda answered=answered: time.monotonic() - answered > SETTLE_S, "the end of the settling")
    assert len(h.store.calls) == 3 * wave
    assert 16 < len({call.connection for call in h.store.calls}) <= wave
