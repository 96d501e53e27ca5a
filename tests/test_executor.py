"""A link to the executor that breaks in mid-notice, repeats notices and sends remarks between them."""

import itertools
import json
import uuid

from lapispick.fakes.executor import Executor
from lapispick.fakes.waiting import wait_until


class Clumsy(Executor):
    """Sends each notice in pieces and twice, with a remark before; breaks the link within some."""

    def __init__(self):
        self.sent = itertools.count(1)
        super().__init__()

    def send(self, connection, **message):
        raw = json.dumps(message).encode() + b"\n"
        if "index" not in message:
            return super().send(connection, **message)
        if next(self.sent) % 5 == 0:
            connection.sendall(raw[: len(raw) // 2])
            self.disconnect()
            return None
        remark = b'{"verb":"LOG","index":%d,"outcome":"hm"}\n' % (message["index"] - 1)
        for piece in (remark, raw[:7], raw[7:], raw):
            connection.sendall(piece)
        return None


def test_broken_split_and_repeated_notices_lose_and_double_nothing(host):
    h = host(executor=Clumsy())
    g = h.gateway()
    for n in range(20):
        class_name, key = ("book", uuid.uuid4().hex) if n % 2 else ("track", None)
        number = g.request(class_name, f"call:200 {n}", key)
        assert g.result(number).startswith("reply")
    assert len(h.store.calls) == 20
    assert len({run.task for run in h.executor.runs}) == len(h.executor.runs) == 20
    assert h.executor.received_verbs.count("JOIN") > 3


def test_what_was_sent_long_before_a_break_is_not_sent_again(host):
    h = host()
    g = h.gateway()
    n = g.request("track", "stay:200")
    wait_until(lambda: "RETURN" in h.executor.received_verbs, "the reply to the call")
    beats = h.executor.received_verbs.count("METER")
    wait_until(lambda: h.executor.received_verbs.count("METER") > beats + 20, "some time")  # 20 ticks of 40 ms
    h.executor.disconnect()
    wait_until(lambda: h.executor.received_verbs.count("JOIN") == 2, "the new link")
    h.executor.end_run(h.executor.runs[0].task)
    assert g.result(n) == "done"
    assert h.executor.received_verbs.count("RETURN") == 1


def test_a_write_that_the_executor_never_began_frees_its_key(host):
    h = host()
    g, key = h.gateway(), uuid.uuid4().hex
    assert g.error_code(g.request("book", "never", key)) != -32050
    assert g.error_code(g.request("book", "never", key, redo=1)) != -32050  # a try of its own, not the kept end
    assert sum(c["verb"] == "EXEC" for c in h.executor.commands) == 2
