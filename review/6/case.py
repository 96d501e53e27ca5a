"""Case 6: in an upgrade, a booking that waited in its queue and the same booking sent again reach both processes."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import harness_2 as harness  # noqa: E402

from lapispick.fakes.broker import Broker  # noqa: E402

BOOKINGS = 3  # odd, so that the broker's turns give each repeat to the other process
QUEUE_WAIT_S = 13.0  # for which the bookings wait in their queue
CLIENT_PATIENCE_S = 15.2  # after which a client without a reply sends its booking once more
EXPIRATION_MS = 60_000
RUN_S = 3.0
UPGRADE_AT_S = 10.0
SAYS_YES_WITHIN_S = 6.0  # the pages: then the old process gets SIGTERM
STOP_S = 3.0 + 0.7  # the pages: the longest deadline, counted as 3 s where it is longer, and 0.7 s
WINDOW_S = 14.286
CONF = """section inventory
    path brokers.csv
    group shops
    look 50ms
    settle 100ms
end
section amqp
    enabled yes
end
"""


class TurnsBroker(Broker):
    """A broker that gives each message to the next of its consumers, in turns."""

    turn = 0

    def _open_links(self):
        links = super()._open_links()
        if not links:
            return links
        start = self.turn % len(links)
        return links[start:] + links[:start]

    def put(self, *args, **properties):
        """Put a message into a queue, and let the next consumer have the next one."""
        message = super().put(*args, **properties)
        self.turn += 1
        return message


async def consumers(broker, count):
    """Wait until the queue has so many consumers."""
    for _ in range(100):
        if len(broker.consumer_tags()) >= count:
            return
        await asyncio.sleep(0.05)
    raise harness.NotRunError(f"the queue has no {count} consumers")


async def until(at):
    """Wait until a time."""
    await asyncio.sleep(max(0.0, at - time.time()))


async def run(setup, trouble):
    """Let bookings wait in their queue, upgrade the worker host, and send each booking again."""
    broker = TurnsBroker()
    address, port = broker.address.split(":")
    header = "host,group,amqp_host,amqp_port,amqp_queue,amqp_customer\n"
    (setup.folder / "brokers.csv").write_text(f"{header}disp-07,shops,{address},{port},bookings,acme\n")
    (setup.folder / "own.conf").write_text(CONF)
    os.environ["LAPISPICK_CONF"] = str(setup.folder / "own.conf")
    began = time.time()
    published = {number: int(time.time()) for number in range(1, BOOKINGS + 1)}
    for number in published:
        setup.record.add(f"a client publishes booking {number}, which waits behind others")
    successor_executor = harness.Executor(setup.record, "executor of the new process")
    try:
        host = await setup.start()
        await consumers(broker, 1)
        await successor_executor.start()
        successor = setup.make_host("new", successor_executor.address)
        if trouble:
            await until(began + UPGRADE_AT_S)
            await successor.start()
            await consumers(broker, 2)
            if not await successor.says_yes():
                raise harness.NotRunError("the new process does not say yes")
            setup.record.add("the new process says yes and consumes the queue beside the old one")
        await until(began + QUEUE_WAIT_S)
        for number, timestamp in published.items():
            setup.record.add(f"the broker delivers booking {number}")
            put(broker, number, timestamp)
        await until(began + CLIENT_PATIENCE_S)
        for number in published:
            if broker.answers(f"booking-{number}"):
                raise harness.NotRunError("a client has its reply already and would not send its booking again")
            setup.record.add(f"its client has no reply and publishes booking {number} once more, which is delivered")
            put(broker, number, int(time.time()))
        if trouble:
            await until(began + UPGRADE_AT_S + SAYS_YES_WITHIN_S)
            host.signal(signal.SIGTERM)
            await asyncio.sleep(STOP_S)
            await host.kill()
        await asyncio.sleep(RUN_S + 2.0)
        return check(setup, broker, published, [setup.executor, successor_executor])
    finally:
        broker.close()


def put(broker, number, timestamp):
    """Put a booking into the queue; a repeat has the same message-id and body, and a timestamp of its own."""
    broker.put(
        "bookings",
        json.dumps({"run_s": RUN_S, "booking": number}),
        headers={"class": "book"},
        message_id=f"booking-{number}",
        correlation_id=f"booking-{number}",
        reply_to="replies",
        timestamp=timestamp,
        expiration=str(EXPIRATION_MS),
    )


def check(setup, broker, published, executors):
    """Return the bookings that ran more than once within the window."""
    faults = []
    for number in published:
        body = harness.encoded(json.dumps({"run_s": RUN_S, "booking": number}).encode())
        runs = [run for executor in executors for run in executor.runs if run["body"] == body]
        outcomes = [reply.outcome for reply in broker.answers(f"booking-{number}")]
        setup.record.add(f"booking {number}: run {len(runs)} times, replies {outcomes}")
        span_s = max((run["at"] for run in runs), default=0.0) - min((run["at"] for run in runs), default=0.0)
        if len(runs) > 1 and span_s < WINDOW_S:
            faults.append(f"booking {number} ran {len(runs)} times, {span_s:.1f} s apart")
    return faults


sys.exit(harness.main(HERE, run))
