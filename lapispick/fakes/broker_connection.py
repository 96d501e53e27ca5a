"""The broker's side of an AMQP 0-9-1 connection: its channels, deliveries and publications."""

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


class Settlement(enum.StrEnum):
    """How a consumer settled a message."""

    ACKED = "ack"
    REJECTED = "reject"
    REQUEUED = "requeue"  # the broker delivers the message again


class Reply(NamedTuple):
    """A reply that a consumer published to the broker."""

    queue: str
    properties: Properties
    body: str


class Publication:
    """A message that is being published; ``remaining_bytes`` of its body are still to be received."""

    def __init__(self, queue):
        self.queue = queue
        self.properties = None
        self.body = b""
        self.remaining_bytes = 0


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
    """A connection to ``broker``, whose lock is held while a frame is handled."""

    def __init__(self, broker, sock):
        self.sock = sock
        self.channels = {}  # by number
        self._broker = broker

    def send_method(self, channel_number, method):
        """Send a method."""
        self.sock.sendall(methods.encode_method(channel_number, method))

    def serve(self):
        """Serve the connection until it ends, then return its unsettled messages to the queues."""
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
            while frame_header := file.read(codec.FRAME_HEADER.size):
                frame_type, channel_number, size = codec.FRAME_HEADER.unpack(frame_header)
                payload = file.read(size)
                assert file.read(1) == FRAME_END
                with self._broker.lock:
                    if not self._handle_frame(frame_type, channel_number, payload):
                        return
        finally:
            with self._broker.lock:
                self._broker.links.remove(self)
                for channel in self.channels.values():
                    self._return_unacked(channel)

    def _handle_frame(self, frame_type, channel_number, payload):
        """Handle a frame; return False if the connection is to be broken on it."""
        if frame_type == FrameType.HEARTBEAT:
            self._broker.heartbeat_count += 1
        elif frame_type == FrameType.METHOD:
            method = methods.decode_method(payload)
            self._broker.methods.append(method.name)
            if method.name == self._broker.disconnect_on:
                self._broker.disconnect_on = None
                return False
            handler = getattr(self, "on_" + method.name.replace(".", "_").replace("-", "_"))
            handler(channel_number, method)
        else:
            self._handle_content(channel_number, frame_type, payload)
        return True

    # Methods of the connection and its channels.

    def on_connection_start_ok(self, channel_number, method):
        if method.response != LOGIN:
            raise ValueError(f"expected the login {LOGIN!r}, got {method.response!r}")
        self.send_method(
            0,
            methods.ConnectionTune(
                channel_max=MAX_CHANNELS, frame_max=self._broker.frame_max_bytes, heartbeat=self._broker.heartbeat
            ),
        )

    def on_connection_tune_ok(self, channel_number, method):
        assert method.frame_max == self._broker.frame_max_bytes
        assert method.heartbeat <= self._broker.heartbeat

    def on_connection_open(self, channel_number, method):
        self.send_method(0, methods.ConnectionOpenOk())

    def on_connection_close(self, channel_number, method):
        self._broker.close_count += 1
        self.send_method(0, methods.ConnectionCloseOk())

    def on_connection_close_ok(self, channel_number, method):
        pass

    def on_channel_open(self, channel_number, method):
        self.channels[channel_number] = Channel()
        self.send_method(channel_number, methods.ChannelOpenOk())

    def on_channel_close(self, channel_number, method):
        self._return_unacked(self.channels.pop(channel_number))
        self.send_method(channel_number, methods.ChannelCloseOk())

    def on_channel_close_ok(self, channel_number, method):
        pass

    # Consumers and deliveries.

    def on_basic_qos(self, channel_number, method):
        self.channels[channel_number].prefetch = method.prefetch_count
        self.send_method(channel_number, methods.BasicQosOk())

    def on_basic_consume(self, channel_number, method):
        channel = self.channels[channel_number]
        channel.queue = method.queue
        channel.consumer_tag = method.consumer_tag
        self.send_method(channel_number, methods.BasicConsumeOk(consumer_tag=method.consumer_tag))
        self.deliver()

    def on_basic_cancel(self, channel_number, method):
        self._broker.cancel_count += 1
        channel = self.channels[channel_number]
        if self._broker.message_during_cancel:
            self._broker.put(channel.queue, "crossing", **self._broker.message_during_cancel)
        channel.consumer_tag = None
        self.send_method(channel_number, methods.BasicCancelOk(consumer_tag=method.consumer_tag))

    def on_basic_ack(self, channel_number, method):
        self._settle(channel_number, method.delivery_tag, Settlement.ACKED)

    def on_basic_reject(self, channel_number, method):
        settlement = Settlement.REQUEUED if method.requeue else Settlement.REJECTED
        self._settle(channel_number, method.delivery_tag, settlement)

    def _settle(self, channel_number, delivery_tag, settlement):
        message = self.channels[channel_number].unacked.pop(delivery_tag)
        assert message.settlement is None
        message.settlement = settlement
        self.deliver()

    def _return_unacked(self, channel):
        """Put the unsettled messages of a channel back at the front of its queue."""
        for message in reversed(channel.unacked.values()):
            message.redelivered = True
            self._broker.queue(channel.queue).appendleft(message)

    def deliver(self):
        """Deliver messages to the consumers of this connection up to their prefetch limits."""
        for channel_number, channel in self.channels.items():
            if not channel.consumer_tag:
                continue
            queue = self._broker.queue(channel.queue)
            while queue and len(channel.unacked) < channel.prefetch:
                self._deliver_message(channel_number, channel, queue.popleft())

    def _deliver_message(self, channel_number, channel, message):
        channel.last_delivery_tag += 1
        channel.unacked[channel.last_delivery_tag] = message
        message.delivery_count += 1
        self._broker.max_unacked = max(self._broker.max_unacked, len(channel.unacked))
        self.send_method(
            channel_number,
            methods.BasicDeliver(
                consumer_tag=channel.consumer_tag,
                delivery_tag=channel.last_delivery_tag,
                exchange="",
                redelivered=message.redelivered,
                routing_key=self._broker.routing_key or channel.queue,
            ),
        )
        self.sock.sendall(message.content_frames(channel_number, self._broker.frame_max_bytes))

    # Publications.

    def on_confirm_select(self, channel_number, method):
        self.send_method(channel_number, methods.ConfirmSelectOk())

    def on_basic_publish(self, channel_number, method):
        self.channels[channel_number].publication = Publication(method.routing_key)

    def _handle_content(self, channel_number, frame_type, payload):
        """Handle the header or a part of the body of a publication."""
        channel = self.channels[channel_number]
        publication = channel.publication
        if frame_type == FrameType.HEADER:
            publication.properties = content.decode_properties(payload)
            publication.remaining_bytes = content.decode_body_size(payload)
        else:
            publication.body += payload
            publication.remaining_bytes -= len(payload)
        if not publication.remaining_bytes:
            channel.publish_count += 1
            self._confirm(channel_number, publication, channel.publish_count)

    def _confirm(self, channel_number, publication, delivery_tag):
        """Store a complete publication and confirm it; refuse it with a nack, or return it, if the broker is set to."""
        if self._broker.nacks_left:
            self._broker.nacks_left -= 1
            self.send_method(
                channel_number, methods.BasicNack(delivery_tag=delivery_tag, multiple=False, requeue=False)
            )
            return
        if self._broker.returns_unroutable:
            self._return_publication(channel_number, publication)
        else:
            reply = Reply(publication.queue, publication.properties, publication.body.decode())
            self._broker.replies.append(reply)
        if not self._broker.withholds_confirms:
            self.send_method(channel_number, methods.BasicAck(delivery_tag=delivery_tag, multiple=False))

    def _return_publication(self, channel_number, publication):
        self.send_method(
            channel_number,
            methods.BasicReturn(
                reply_code=NO_ROUTE_CODE, reply_text="NO_ROUTE", exchange="", routing_key=publication.queue
            ),
        )
        self.sock.sendall(
            content.encode_content(
                channel_number, publication.properties, publication.body, self._broker.frame_max_bytes
            )
        )
