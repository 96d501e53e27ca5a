"""The scheduler by itself: what one part does wrong costs that part only."""

import socket
import time

from lapispick.host.events import HealthCheckCompleted
from lapispick.host.executor import ExecutorLink
from lapispick.host.scheduler import READ, EventLoop, Queue


def test_faults_of_greenlets_and_timers_leave_the_rest_running():
    loop, seen = EventLoop(), []
    loop.spawn(lambda: 1 / 0)
    loop.call_later(0.0, lambda: 1 / 0)
    loop.call_later(0.01, seen.append, "later")
    loop.call_later(0.02, loop.stop)
    loop.run()
    assert seen == ["later"]


def test_cancelled_timers_and_killed_greenlets_do_nothing_more():
    loop, seen = EventLoop(), []

    def sleeper():
        try:
            loop.sleep(60)
            seen.append("woke")
        finally:
            seen.append("ended")

    task = loop.spawn(sleeper)
    loop.call_later(0.0, seen.append, "never").cancel()
    loop.call_later(0.01, loop.kill, task)
    loop.call_later(0.02, loop.stop)
    began = time.monotonic()
    loop.run()
    assert seen == ["ended"]
    assert task.dead
    assert time.monotonic() - began < 5


def test_a_queue_hands_over_all_that_waits_in_order():
    loop, got = EventLoop(), []
    queue = Queue(loop)

    def taker():
        while len(got) < 2:
            got.append(queue.take_all())
        loop.stop()

    loop.spawn(taker)
    loop.call_later(0.0, lambda: [queue.put(i) for i in (1, 2, 3)])
    loop.call_later(0.01, queue.put, 4)
    loop.run()
    assert got == [[1, 2, 3], [4]]


def test_a_deep_check_without_a_link_fails_at_once():
    loop, posted = EventLoop(), []
    link = ExecutorLink(loop, ("127.0.0.1", 1), posted.append)
    nonce = link.commands.start_health_check()
    assert posted == [HealthCheckCompleted(nonce, False)]


def test_urgent_sockets_wait_for_one_call_and_not_for_the_round():
    loop, done, seen = EventLoop(), [], []
    ours, theirs = socket.socketpair()

    def urgent():
        loop.wait_for_io(ours.fileno(), READ, urgent=True)
        seen.append(len(done))

    def busy():
        time.sleep(0.002)
        done.append(1)

    def all_at_once():
        theirs.send(b"x")
        for _ in range(200):
            loop.call_soon(busy)

    loop.spawn(urgent)
    loop.call_later(0.01, all_at_once)
    loop.call_later(1.0, loop.stop)
    loop.run()
    ours.close()
    theirs.close()
    assert len(done) == 200
    assert seen[0] < 50
