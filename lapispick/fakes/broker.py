"""A fake AMQP 0-9-1 broker: queues, prefetch, redelivery, confirms, and what became of each message."""

import contextlib
import enum
from collections import deque
from typing import Any, NamedTuple

from lapispick.fakes.fake_server import FakeServer
from lapispick.host.amqp import codec, content, methods
from lapispick.host.amqp.codec import FrameType
from lapispick.host.amqp.content import Properties

MAX_FRAME_BYTES = 4096
MAX_CHANNELS = 100
FRAME_END = b"\xce"
LOGIN = b"\0guest\0guest"


class Fate(enum.StrEnum):
    """How a consumer settled a message; one that was requeued is delivered again."""

    ACKED = "ack"
    REJECTED = "reject"
    REQUEUED = "requeue"


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


class Reply(NamedTuple):
    """A message that was published to the broker."""

    queue: str
    properties: Properties
    body: str


class Answer(NamedTuple):
    """What a requester reads from the reply to its request."""

    outcome: str
    body: str
    headers: dict[str, Any]


class Publication:
    """A message that is being published; ``left_bytes`` of its body are not received yet."""

    def __init__(self, queue):
        self.queue = queue
        self.properties = None
        self.body = b""
        self.left_bytes = 0


class Channel:
    """One channel of a connection."""

    def __init__(self):
        self.unacked = {}  # delivery tag -> message
        self.last_delivery_tag = 0
        self.publish_count = 0
        self.publication = None
        self.queue = ""
        self.consumer_tag = None
        self.prefetch = 0


class Broker(FakeServer):
    """Serves consumers of queues.

    ``disconnect_on`` names a method of theirs on which the connection breaks, once; ``nacks_left`` publications are not
    confirmed; ``message_during_cancel`` holds the properties of a message that comes while a consumer cancels.
    """

    def __init__(self, heartbeat=10):
        self.heartbeat = heartbeat  # s
        self.queues = {}
        self.channels = {}  # connection -> number -> channel
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
        super().__init__()

    def put(self, queue, body, raw=None, redelivered=False, **properties):
        """Put a message into a queue."""
        with self.lock:
            message = Message(Properties(**properties), body.encode(), raw, redelivered)
            self.messages.append(message)
            self._queue(queue).append(message)
            for connection in list(self.connections):
                with contextlib.suppress(OSError):  # a connection that is just ending returns all
                    self._deliver(connection)
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
        tags = []
        for connection in list(self.connections):
            for channel in list(self.channels.get(connection, {}).values()):
                if channel.consumer_tag:
                    tags.append(channel.consumer_tag)
        return tags

    def send_method(self, connection, channel_number, method):
        """Send a method."""
        connection.sendall(methods.encode_method(channel_number, method))

    def serve(self, connection):
        file = connection.makefile("rb")
        assert file.read(8) == codec.PROTOCOL_HEADER
        channels = self.channels[connection] = {}
        self.send_method(
            connection,
            0,
            methods.ConnectionStart(
                version_major=0,
                version_minor=9,
                server_properties={"product": "fake"},
                mechanisms=b"PLAIN AMQPLAIN",
                locales=b"en_US",
            ),
        )
        try:
            while head := file.read(codec.FRAME_HEADER.size):
                kind, channel_number, size = codec.FRAME_HEADER.unpack(head)
                payload = file.read(size)
                assert file.read(1) == FRAME_END
                with self.lock:
                    if not self._take_frame(connection, kind, channel_number, payload):
                        return
        finally:
            with self.lock:
                self.channels.pop(connection)
                for channel in channels.values():
                    self._return_unacked(channel)

    def _take_frame(self, connection, kind, channel_number, payload):
        """Handle a frame; False where the connection breaks on it."""
        if kind == FrameType.HEARTBEAT:
            self.heartbeat_count += 1
        elif kind == FrameType.METHOD:
            method = methods.decode_method(payload)
            self.methods.append(method.name)
            if method.name == self.disconnect_on:
                self.disconnect_on = None
                return False
            handler = getattr(self, "on_" + method.name.replace(".", "_").replace("-", "_"))
            handler(connection, channel_number, method)
        else:
            self._take_content(connection, channel_number, kind, payload)
        return True

    def _queue(self, name):
        return self.queues.setdefault(name, deque())

    def _return_unacked(self, channel):
        """Put what a channel did not settle in front of its queue again."""
        for message in reversed(channel.unacked.values()):
            message.redelivered = True
            self._queue(channel.queue).appendleft(message)

    def _deliver(self, connection):
        """Deliver to consumers of a connection as much as the prefetch allows."""
        for number, channel in self.channels.get(connection, {}).items():
            if not channel.consumer_tag:
                continue
            queue = self._queue(channel.queue)
            while queue and len(channel.unacked) < channel.prefetch:
                self._deliver_message(connection, number, channel, queue.popleft())

    def _deliver_message(self, connection, number, channel, message):
        channel.last_delivery_tag += 1
        channel.unacked[channel.last_delivery_tag] = message
        message.delivery_count += 1
        self.max_unacked = max(self.max_unacked, len(channel.unacked))
        self.send_method(
            connection,
            number,
            methods.BasicDeliver(
                consumer_tag=channel.consumer_tag,
                delivery_tag=channel.last_delivery_tag,
                exchange="",
                redelivered=message.redelivered,
                routing_key=channel.queue,
            ),
        )
        connection.sendall(message.content_frames(number))

    def on_connection_start_ok(self, connection, number, method):
        if method.response != LOGIN:
            raise ValueError(f"a wrong login: {method.response!r}")
        self.send_method(
            connection,
            0,
            methods.ConnectionTune(channel_max=MAX_CHANNELS, frame_max=MAX_FRAME_BYTES, heartbeat=self.heartbeat),
        )

    def on_connection_tune_ok(self, connection, number, method):
        assert method.frame_max == MAX_FRAME_BYTES
        assert method.heartbeat <= self.heartbeat

    def on_connection_open(self, connection, number, method):
        self.send_method(connection, 0, methods.ConnectionOpenOk())

    def on_connection_close(self, connection, number, method):
        self.close_count += 1
        self.send_method(connection, 0, methods.ConnectionCloseOk())

    def on_connection_close_ok(self, connection, number, method):
        pass

    def on_channel_open(self, connection, number, method):
        self.channels[connection][number] = Channel()
        self.send_method(connection, number, methods.ChannelOpenOk())

    def on_channel_close(self, connection, number, method):
        self._return_unacked(self.channels[connection].pop(number))
        self.send_method(connection, number, methods.ChannelCloseOk())

    def on_channel_close_ok(self, connection, number, method):
        pass

    def on_confirm_select(self, connection, number, method):
        self.send_method(connection, number, methods.ConfirmSelectOk())

    def on_basic_qos(self, connection, number, method):
        self.channels[connection][number].prefetch = method.prefetch_count
        self.send_method(connection, number, methods.BasicQosOk())

    def on_basic_consume(self, connection, number, method):
        channel = self.channels[connection][number]
        channel.queue = method.queue
        channel.consumer_tag = method.consumer_tag
        self.send_method(connection, number, methods.BasicConsumeOk(consumer_tag=method.consumer_tag))
        self._deliver(connection)

    def on_basic_cancel(self, connection, number, method):
        self.cancel_count += 1
        channel = self.channels[connection][number]
        if self.message_during_cancel:
            self.put(channel.queue, "crossing", **self.message_during_cancel)
        channel.consumer_tag = None
        self.send_method(connection, number, methods.BasicCancelOk(consumer_tag=method.consumer_tag))

    def on_basic_ack(self, connection, number, method):
        self._settle(connection, number, method.delivery_tag, Fate.ACKED)

    def on_basic_reject(self, connection, number, method):
        fate = Fate.REQUEUED if method.requeue else Fate.REJECTED
        self._settle(connection, number, method.delivery_tag, fate)

    def _settle(self, connection, number, delivery_tag, fate):
        message = self.channels[connection][number].unacked.pop(delivery_tag)
        assert message.fate is None
        message.fate = fate
        self._deliver(connection)

    def on_basic_publish(self, connection, number, method):
        self.channels[connection][number].publication = Publication(method.routing_key)

    def _take_content(self, connection, number, kind, payload):
        """Take the header or a part of the body of a publication."""
        channel = self.channels[connection][number]
        publication = channel.publication
        if kind == FrameType.HEADER:
            publication.properties = content.decode_properties(payload)
            publication.left_bytes = content.decode_body_size(payload)
        else:
            publication.body += payload
            publication.left_bytes -= len(payload)
        if not publication.left_bytes:
            channel.publish_count += 1
            self._confirm(connection, number, publication, channel.publish_count)

    def _confirm(self, connection, number, publication, delivery_tag):
        """Keep a publication that is complete and confirm it, or do neither."""
        if self.nacks_left:
            self.nacks_left -= 1
            self.send_method(
                connection, number, methods.BasicNack(delivery_tag=delivery_tag, multiple=False, requeue=False)
            )
            return
        if self.returns_unroutable:
            self._return_publication(connection, number, publication)
        else:
            self.replies.append(Reply(publication.queue, publication.properties, publication.body.decode()))
        self.send_method(connection, number, methods.BasicAck(delivery_tag=delivery_tag, multiple=False))

    def _return_publication(self, connection, number, publication):
        self.send_method(
            connection,
            number,
            methods.BasicReturn(reply_code=312, reply_text="NO_ROUTE", exchange="", routing_key=publication.queue),
        )
        frames = content.encode_content(number, publication.properties, publication.body, MAX_FRAME_BYTES)
        connection.sendall(frames)
