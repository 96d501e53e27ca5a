"""A fake AMQP 0-9-1 broker: queues, prefetch, redelivery, confirms, and what became of each message."""

import contextlib
from collections import deque
from typing import Any, NamedTuple

from lapispick.fakes.broker_connection import MAX_FRAME_BYTES, BrokerConnection
from lapispick.fakes.fake_server import FakeServer
from lapispick.host.amqp import content
from lapispick.host.amqp.content import Properties


class Message:
    """One message; ``fate`` is None until it is settled, ``raw`` makes the frames of its first delivery's content."""

    def __init__(self, properties, body, raw=None, redelivered=False):
        self.properties = properties
        self.body = body
        self.raw = raw
        self.redelivered = redelivered
        self.fate = None
        self.delivery_count = 0

    def content_frames(self, channel_number):
        """Return the frames of the content for the present delivery."""
        if self.raw and self.delivery_count == 1:
            return self.raw(channel_number)
        return content.encode_content(channel_number, self.properties, self.body, MAX_FRAME_BYTES)


class Answer(NamedTuple):
    """What a requester reads from the reply to its request."""

    outcome: str
    body: str
    headers: dict[str, Any]


class Broker(FakeServer):
    """Serves consumers of queues.

    ``disconnect_on`` names a method of theirs on which the connection breaks, once; ``nacks_left`` publications are not
    confirmed; ``message_during_cancel`` holds the properties of a message that comes while a consumer cancels.
    """

    def __init__(self, heartbeat=10):
        self.heartbeat = heartbeat  # s
        self.links = []  # a ``BrokerConnection`` for each connection that is served
        self.messages = []
        self.replies = []
        self.methods = []
        self.disconnect_on = None
        self.nacks_left = 0
        self.returns_unroutable = False
        self.message_during_cancel = None
        self.max_unacked = 0
        self.cancel_count = 0
        self.close_count = 0
        self.heartbeat_count = 0
        self._queues = {}
        super().__init__()

    def queue(self, name):
        """Return the waiting messages of a queue, which exists from then on."""
        return self._queues.setdefault(name, deque())

    def put(self, queue, body, raw=None, redelivered=False, **properties):
        """Put a message into a queue."""
        with self.lock:
            message = Message(Properties(**properties), body.encode(), raw, redelivered)
            self.messages.append(message)
            self.queue(queue).append(message)
            for link in self._open_links():
                with contextlib.suppress(OSError):  # a connection that is just ending returns all
                    link.deliver()
        return message

    def reply(self, correlation_id):
        """Return the answer to a request; None where there is none, and a failure where there are several."""
        found = self.answers(correlation_id)
        assert len(found) <= 1, "answered twice"
        return found[0] if found else None

    def answers(self, correlation_id):
        """Return all answers to a request; there are several where a message was delivered again."""
        replies = [reply for reply in list(self.replies) if reply.properties.correlation_id == correlation_id]
        return [Answer(reply.properties.type, reply.body, reply.properties.headers) for reply in replies]

    def consumer_tags(self):
        """Return the tags that consume now, over all connections."""
        channels = [channel for link in self._open_links() for channel in list(link.channels.values())]
        return [channel.consumer_tag for channel in channels if channel.consumer_tag]

    def _open_links(self):
        return [link for link in list(self.links) if link.sock in self.connections]

    def serve(self, connection):
        link = BrokerConnection(self, connection)
        self.links.append(link)
        link.serve()
