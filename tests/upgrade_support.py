"""Helpers for tests of two processes of one worker host."""

import datetime
import json
import random

from lapispick.fakes.peers import INFO, until

REJECTED = -32050
LONG_WINDOW_INFO = json.loads(json.dumps(INFO))
LONG_WINDOW_INFO["Services"][1]["Window"] = 60_000.0  # so that no key's window ends during a test on a slow machine


def served(h):
    return sum(n for name, n in h.figures().items() if name.startswith("success"))


def nonce(rng=random):
    return f"{rng.getrandbits(128):032x}"


def connection_to(h, other):
    """Return a connection that this process reads, by whose figures it moved."""
    while True:
        g, before = h.gateway(), served(h)
        g.result(g.request("track", "whose"))
        if until(lambda: (served(h), True), "the figures")[0] > before:
            return g


def wait_until_ready(new):
    return until(lambda: new.call() == ["OK"], "yes from the new process")


def executions_of(body, *hosts):
    return sum(len(h.executor.ran(body)) for h in hosts)


def lock_path(folder):
    (path,) = folder.glob("lapispick-*.lock")
    return path


def operators_address(h):
    found = [line for line in h.log().splitlines() if "event=started" in line]
    return found[0].split("ops=")[1].split()[0] if found else None


def logged_at(h, event):
    line = next(line for line in h.log().splitlines() if f"event={event}" in line)
    return datetime.datetime.fromisoformat(line.split()[0].removeprefix("ts=")).timestamp()
