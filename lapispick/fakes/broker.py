"""A fake AMQP 0-9-1 broker with queues, prefetch, redelivery and publisher confirms.

It records how each message was settled.
"""

import contextlib
from collections import deque
from typing import Any, NamedTuple

from lapispick.fakes.broker_connection import MAX_FRAME_BYTES, BrokerConnection
from lapispick.fakes.fake_server import FakeServer
from lapispick.host.amqp import content
from lapispick.host.amqp.content import Properties


class Message:
    """A message in a queue.

    ``settlement`` is None until the message is settled. ``encode_first_content`` returns the content frames of the
    first delivery, given the channel number.
    """

    def __init__(self, properties, body, encode_first_content=None, redelivered=False):
        self.properties = properties
        self.body = body
        self.encode_first_content = encode_first_content
        self.redelivered = redelivered
        self.settlement = None
        self.delivery_count = 0

    def content_frames(self, channel_number, frame_max_bytes):
        """Return the content frames of the current delivery."""
        if self.encode_first_content and self.delivery_count == 1:
            return self.encode_first_content(channel_number)
        return content.encode_content(channel_number, self.properties, self.body, frame_max_bytes)


class Answer(NamedTuple):
    """The parts of a reply that a requester reads."""

    outcome: str
    body: str
    headers: dict[str, Any]


class Broker(FakeServer):
    """A fake broker that serves the consumers of queues.

    - ``disconnect_on``: the name of a consumer's method; the broker breaks the connection on the next such method;
    - ``nacks_left``: how many of the next publications are refused with a nack;
    - ``returns_unroutable``: return all publications to their publisher as unroutable;
    - ``prefers_newest``: deliver to the connection that was opened last if it has capacity, not to the first one;
    - ``withholds_confirms``: confirm no publication, so that the messages that they answer stay unsettled;
    - ``routing_key``: the one that deliveries name in place of the queue;
    - ``message_during_cancel``: properties of a message that is delivered while a consumer cancels.
    """

    def __init__(self, heartbeat=10, frame_max_bytes=MAX_FRAME_BYTES):
        self.heartbeat = heartbeat  # s
        self.frame_max_bytes = frame_max_bytes
        self.links = []  # one ``BrokerConnection`` for each open connection
        self.messages = []
        self.replies = []
        self.methods = []
        self.disconnect_on = None
        self.nacks_left = 0
        self.returns_unroutable = False
        self.prefers_newest = False
        self.routing_key = ""
        self.withholds_confirms = False
        self.message_during_cancel = None
        self.max_unacked = 0
        self.cancel_count = 0
        self.close_count = 0
        self.heartbeat_count = 0
        self._queues = {}
        super().__init__()

    def queue(self, name):
        """Return the waiting messages of a queue; the queue is created if it does not exist."""
        return self._queues.setdefault(name, deque())

    def put(self, queue, body, encode_first_content=None, redelivered=False, **properties):
        """Put a message into a queue, deliver it if a consumer has capacity, and return it."""
        with self.lock:
            message = Message(Properties(**properties), body.encode(), encode_first_content, redelivered)
            self.messages.append(message)
            self.queue(queue).append(message)
            for link in self._open_links():
                with contextlib.suppress(OSError):  # a connection that ends returns its messages to the queues
                    link.deliver()
        return message

    def reply(self, correlation_id):
        """Return the answer to a request, or None if there is none; fails if there are several."""
        answers = self.answers(correlation_id)
        assert len(answers) <= 1, f"request {correlation_id} was answered {len(answers)} times"
        return answers[0] if answers else None

    def answers(self, correlation_id):
        """Return all answers to a request; there may be several if its message was redelivered."""
        replies = [reply for reply in list(self.replies) if reply.properties.correlation_id == correlation_id]
        return [Answer(reply.properties.type, reply.body, reply.properties.headers) for reply in replies]

    def consumer_tags(self):
        """Return the tags of the current consumers on all connections."""
        channels = [channel for link in self._open_links() for channel in list(link.channels.values())]
        return [channel.consumer_tag for channel in channels if channel.consumer_tag]

    def _open_links(self):
        links = [link for link in list(self.links) if link.sock in self.connections]
        return links[::-1] if self.prefers_newest else links

    def serve(self, connection):
        link = BrokerConnection(self, connection)
        self.links.append(link)
        link.serve()
