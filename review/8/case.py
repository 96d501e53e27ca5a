"""Case 8: bookings on an AMQP queue, some with a header whose text is not UTF-8; each is owed one reply."""

import asyncio
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import harness_2 as harness  # noqa: E402

from lapispick.fakes.broker import Broker  # noqa: E402
from lapispick.host.amqp import content  # noqa: E402

SHOP = "Florăria Ştefănescu"
BOOKINGS = 6
CLIENT_PATIENCE_S = 4.8
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


def booking_content(number, shop):
    """Return a function that encodes the content of a booking whose header ``shop-name`` has these bytes.

    The header is a long string of a field table: a length and octets. The codec of the project only encodes text, so a
    placeholder of the same length is replaced.
    """
    placeholder = "#" * len(shop)
    properties = content.Properties(
        headers={"class": "book", "shop-name": placeholder},
        correlation_id=f"booking-{number}",
        reply_to="replies",
        message_id=f"booking-{number}",
    )

    def encode(channel):
        body = json.dumps({"run_s": 0.05, "booking": number}).encode()
        frames = content.encode_content(channel, properties, body, 4096)
        assert placeholder.encode() in frames
        return frames.replace(placeholder.encode(), shop)

    return properties, encode


async def run(setup, trouble):
    """Start the worker host as a consumer, put the bookings into its queue and wait for the replies."""
    broker = Broker()
    address, port = broker.address.split(":")
    folder = setup.folder
    header = "host,group,amqp_host,amqp_port,amqp_queue,amqp_customer\n"
    (folder / "brokers.csv").write_text(f"{header}disp-07,shops,{address},{port},bookings,acme\n")
    (folder / "own.conf").write_text(CONF)
    os.environ["LAPISPICK_CONF"] = str(folder / "own.conf")
    try:
        await setup.start()
        for _ in range(100):
            if broker.consumer_tags():
                break
            await asyncio.sleep(0.1)
        else:
            raise harness.NotRunError("the worker host does not consume the queue")
        messages = []
        for number in range(1, BOOKINGS + 1):
            # Every other booking comes from a till that writes its shop's name in Latin-2, as its country's tills do.
            shop = SHOP.encode("iso8859_2" if trouble and number % 2 else "utf-8")
            properties, encode = booking_content(number, shop)
            setup.record.add(f"a client puts booking {number} into the queue; the shop's name is {shop!r}")
            body = json.dumps({"run_s": 0.05, "booking": number})
            message = broker.put("bookings", body, encode_first_content=encode, **_fields(properties))
            messages.append(message)
            await asyncio.sleep(0.2)
        await asyncio.sleep(CLIENT_PATIENCE_S + harness.ANSWER_SLACK_S)
        faults = []
        for number, message in enumerate(messages, 1):
            replies = broker.answers(f"booking-{number}")
            outcomes = [reply.outcome for reply in replies]
            setup.record.add(
                f"booking {number}: delivered {message.delivery_count} times, settled by {message.settlement}, "
                f"replies {outcomes}"
            )
            if message.delivery_count and len(replies) != 1:
                faults.append(
                    f"booking {number} was taken from its queue ({message.settlement}) and got {len(replies)} replies"
                )
        return faults
    finally:
        broker.close()


def _fields(properties):
    names = ("headers", "correlation_id", "reply_to", "message_id")
    return {name: getattr(properties, name) for name in names}


sys.exit(harness.main(HERE, run))
