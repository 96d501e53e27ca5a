"""The broker's side of one AMQP 0-9-1 connection of a consumer: its channels, deliveries and publications."""

import enum
from typing import NamedTuple

from lapispick.host.amqp import codec, content, methods
from lapispick.host.amqp.codec import FrameType
from lapispick.host.amqp.content import Properties

MAX_FRAME_BYTES = 4096
MAX_CHANNELS = 100
FRAME_END = b"\xce"
LOGIN = b"\0guest\0guest"
NO_ROUTE_CODE = 312


class Fate(enum.StrEnum):
    """How a consumer settled a message; one that was requeued is delivered again."""

    ACKED = "ack"
    REJECTED = "reject"
    REQUEUED = "requeue"


class Reply(NamedTuple):
    """A message that was published to the broker."""

    queue: str
    properties: Properties
    body: str


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


class BrokerConnection:
    """Serves one connection to ``broker``; its lock is held while a frame is handled."""

    def __init__(self, broker, sock):
        self.sock = sock
        self.channels = {}  # by number
        self._broker = broker

    def send_method(self, channel_number, method):
        """Send a method."""
        self.sock.sendall(methods.encode_method(channel_number, method))

    def serve(self):
        """Serve the connection until it ends; what it did not settle is returned to the queues."""
        file = self.sock.makefile("rb")
        assert file.read(8) == codec.PROTOCOL_HEADER
        self.send_method(
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
                with self._broker.lock:
                    if not self._take_frame(kind, channel_number, payload):
                        return
        finally:
            with self._broker.lock:
                self._broker.links.remove(self)
                for channel in self.channels.values():
                    self._return_unacked(channel)

    def _take_frame(self, kind, channel_number, payload):
        """Handle a frame; False where the connection breaks on it."""
        if kind == FrameType.HEARTBEAT:
            self._broker.heartbeat_count += 1
        elif kind == FrameType.METHOD:
            method = methods.decode_method(payload)
            self._broker.methods.append(method.name)
            if method.name == self._broker.disconnect_on:
                self._broker.disconnect_on = None
                return False
            handler = getattr(self, "on_" + method.name.replace(".", "_").replace("-", "_"))
            handler(channel_number, method)
        else:
            self._take_content(channel_number, kind, payload)
        return True

    # The connection and its channels.

    def on_connection_start_ok(self, number, method):
        if method.response != LOGIN:
            raise ValueError(f"a wrong login: {method.response!r}")
        self.send_method(
            0,
            methods.ConnectionTune(
                channel_max=MAX_CHANNELS, frame_max=MAX_FRAME_BYTES, heartbeat=self._broker.heartbeat
            ),
        )

    def on_connection_tune_ok(self, number, method):
        assert method.frame_max == MAX_FRAME_BYTES
        assert method.heartbeat <= self._broker.heartbeat

    def on_connection_open(self, number, method):
        self.send_method(0, methods.ConnectionOpenOk())

    def on_connection_close(self, number, method):
        self._broker.close_count += 1
        self.send_method(0, methods.ConnectionCloseOk())

    def on_connection_close_ok(self, number, method):
        pass

    def on_channel_open(self, number, method):
        self.channels[number] = Channel()
        self.send_method(number, methods.ChannelOpenOk())

    def on_channel_close(self, number, method):
        self._return_unacked(self.channels.pop(number))
        self.send_method(number, methods.ChannelCloseOk())

    def on_channel_close_ok(self, number, method):
        pass

    # Consumers and deliveries.

    def on_basic_qos(self, number, method):
        self.channels[number].prefetch = method.prefetch_count
        self.send_method(number, methods.BasicQosOk())

    def on_basic_consume(self, number, method):
        channel = self.channels[number]
        channel.queue = method.queue
        channel.consumer_tag = method.consumer_tag
        self.send_method(number, methods.BasicConsumeOk(consumer_tag=method.consumer_tag))
        self.deliver()

    def on_basic_cancel(self, number, method):
        self._broker.cancel_count += 1
        channel = self.channels[number]
        if self._broker.message_during_cancel:
            self._broker.put(channel.queue, "crossing", **self._broker.message_during_cancel)
        channel.consumer_tag = None
        self.send_method(number, methods.BasicCancelOk(consumer_tag=method.consumer_tag))

    def on_basic_ack(self, number, method):
        self._settle(number, method.delivery_tag, Fate.ACKED)

    def on_basic_reject(self, number, method):
        fate = Fate.REQUEUED if method.requeue else Fate.REJECTED
        self._settle(number, method.delivery_tag, fate)

    def _settle(self, number, delivery_tag, fate):
        message = self.channels[number].unacked.pop(delivery_tag)
        assert message.fate is None
        message.fate = fate
        self.deliver()

    def _return_unacked(self, channel):
        """Put what a channel did not settle in front of its queue again."""
        for message in reversed(channel.unacked.values()):
            message.redelivered = True
            self._broker.queue(channel.queue).appendleft(message)

    def deliver(self):
        """Deliver to the consumers of this connection as much as their prefetch allows."""
        for number, channel in self.channels.items():
            if not channel.consumer_tag:
                continue
            queue = self._broker.queue(channel.queue)
            while queue and len(channel.unacked) < channel.prefetch:
                self._deliver_message(number, channel, queue.popleft())

    def _deliver_message(self, number, channel, message):
        channel.last_delivery_tag += 1
        channel.unacked[channel.last_delivery_tag] = message
        message.delivery_count += 1
        self._broker.max_unacked = max(self._broker.max_unacked, len(channel.unacked))
        self.send_method(
            number,
            methods.BasicDeliver(
                consumer_tag=channel.consumer_tag,
                delivery_tag=channel.last_delivery_tag,
                exchange="",
                redelivered=message.redelivered,
                routing_key=channel.queue,
            ),
        )
        self.sock.sendall(message.content_frames(number))

    # Publications.

    def on_confirm_select(self, number, method):
        self.send_method(number, methods.ConfirmSelectOk())

    def on_basic_publish(self, number, method):
        self.channels[number].publication = Publication(method.routing_key)

    def _take_content(self, number, kind, payload):
        """Take the header or a part of the body of a publication."""
        channel = self.channels[number]
        publication = channel.publication
        if kind == FrameType.HEADER:
            publication.properties = content.decode_properties(payload)
            publication.left_bytes = content.decode_body_size(payload)
        else:
            publication.body += payload
            publication.left_bytes -= len(payload)
        if not publication.left_bytes:
            channel.publish_count += 1
            self._confirm(number, publication, channel.publish_count)

    def _confirm(self, number, publication, delivery_tag):
        """Keep a publication that is complete and confirm it, or do neither."""
        if self._broker.nacks_left:
            self._broker.nacks_left -= 1
            self.send_method(number, methods.BasicNack(delivery_tag=delivery_tag, multiple=False, requeue=False))
            return
        if self._broker.returns_unroutable:
            self._return_publication(number, publication)
        else:
            reply = Reply(publication.queue, publication.properties, publication.body.decode())
            self._broker.replies.append(reply)
        self.send_method(number, methods.BasicAck(delivery_tag=delivery_tag, multiple=False))

    def _return_publication(self, number, publication):
        self.send_method(
            number,
            methods.BasicReturn(
                reply_code=NO_ROUTE_CODE, reply_text="NO_ROUTE", exchange="", routing_key=publication.queue
            ),
        )
        self.sock.sendall(content.encode_content(number, publication.properties, publication.body, MAX_FRAME_BYTES))
