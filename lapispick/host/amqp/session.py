"""One broker of the AMQP 0-9-1 front: connects, consumes its queues, and connects again when the connection breaks."""

from __future__ import annotations

import logging
import random
from typing import Protocol

from lapispick import jitter
from lapispick.host import events
from lapispick.host.amqp.channel import REOPEN_S, Channel
from lapispick.host.amqp.channel_table import ChannelTable
from lapispick.host.amqp.codec import MIN_FRAME_MAX_BYTES
from lapispick.host.amqp.connection import CONNECTION_CHANNEL, BrokerConnection
from lapispick.host.amqp.errors import CodecError, ConnectionClosedError, ReplyCode
from lapispick.host.amqp.inventory_schema import Broker, Queue
from lapispick.host.amqp.request_builder import RequestBuilder
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import StreamClosedError, connect

LOG = "amqp"
CONNECT_S = 3.0  # for one attempt to connect
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 10.0


class SessionOwner(Protocol):
    """What a session needs of the front."""

    loop: EventLoop
    request_builder: RequestBuilder
    is_shutting_down: bool

    def post(self, event: events.Event) -> None: ...  # noqa: D102
    def caller_number(self, broker_key: str, queue_name: str) -> int: ...  # noqa: D102
    def lookup(self, name: str) -> list[str]: ...  # noqa: D102
    def on_session_opened(self, session: Session) -> None: ...  # noqa: D102
    def on_session_lost(self, session: Session) -> None: ...  # noqa: D102
    def on_session_ended(self, session: Session) -> None: ...  # noqa: D102


class Session:
    """One broker: a connection at a time, and a channel for each queue."""

    def __init__(
        self, owner: SessionOwner, instance: int, broker_key: str, broker: Broker, queues: dict[str, Queue]
    ) -> None:
        self.loop = owner.loop
        self.request_builder = owner.request_builder
        self.post = owner.post
        self.instance = instance  # its number at the reconciler
        self.broker_key = broker_key
        self.broker = broker
        self.name = broker.display_name
        self.address = ""  # of the current or last connection
        self.is_draining = False
        self._owner = owner
        self._queues = dict(queues)
        self._channels = ChannelTable(self)  # of the present connection
        self._connection: BrokerConnection | None = None
        self._addresses: list[str] = []  # of the broker's name, not tried so far
        self._is_reported_open = False  # every queue is consumed, or the broker has said why not
        self._has_ended = False  # or the close was requested
        self._greenlet = self.loop.spawn(self._serve)

    # What channels need.

    @property
    def frame_max_bytes(self) -> int:
        """Return the longest frame that was negotiated."""
        return self._connection.frame_max_bytes if self._connection is not None else MIN_FRAME_MAX_BYTES

    @property
    def host_is_shutting_down(self) -> bool:
        """Tell whether the host shuts down, and not only this session."""
        return self._owner.is_shutting_down

    def caller_number(self, channel: Channel) -> int:
        """Return the number that a queue has as a caller."""
        return self._owner.caller_number(self.broker_key, channel.queue.name)

    def is_current(self, channel: Channel) -> bool:
        """Tell whether a channel belongs to the present connection and is not closed."""
        return self._connection is not None and channel in self._channels

    def send(self, data: bytes) -> None:
        """Send frames."""
        if self._connection is not None:
            self._connection.send(data)

    def on_channel_ready(self) -> None:
        """Report the session as open once every queue is consumed, or the broker has said why not."""
        if not self._is_reported_open and self._channels.are_ready():
            self._is_reported_open = True
            self._owner.on_session_opened(self)

    def on_channel_closed(self, channel: Channel) -> None:
        """Forget a channel that was closed as requested."""
        self._channels.remove(channel)
        self.close_if_done()

    def on_channel_closed_by_broker(self, channel: Channel) -> None:
        """Open a channel again a while after the broker closed it."""
        self._channels.remove(channel)
        if not channel.is_retired:
            self.loop.call_later(REOPEN_S, self._reopen, self._connection, channel.queue)
        self.close_if_done()

    def _reopen(self, connection: BrokerConnection | None, queue: Queue) -> None:
        if connection is None or self._connection is not connection or self.is_draining:
            return
        is_listed = self._queues.get(queue.name) == queue
        if is_listed and not self._channels.consumes(queue):
            self._open_channel(queue)

    # The connection.

    def _serve(self) -> None:
        """Keep a connection until the session drains."""
        backoff_s = MIN_BACKOFF_S
        try:
            while not self.is_draining:
                if self._connect_and_consume():
                    backoff_s = MIN_BACKOFF_S
                if not self.is_draining:
                    self.loop.sleep(jitter.backoff(backoff_s, random.random()))
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        finally:
            self._has_ended = True
            self._owner.on_session_ended(self)

    def _connect_and_consume(self) -> bool:
        """Connect and consume until the connection ends; tell whether it was open."""
        was_open = False
        try:
            connection = self._connect()
            was_open = True
            self._consume(connection)
        except (OSError, StreamClosedError) as err:  # includes time-outs
            event = "connection-lost" if was_open else "connect-failed"
            log(LOG, logging.WARNING, event, broker=self.name, error=err)
        except (CodecError, ConnectionClosedError) as err:
            self._abort(str(err), err.reply_code)
        finally:
            self._end_connection()
        return was_open

    def _connect(self) -> BrokerConnection:
        """Connect to the next address of the broker's name."""
        if not self._addresses:
            self._addresses = self._owner.lookup(self.broker.host)
        self.address = self._addresses.pop(0)
        stream = connect(self.loop, (self.address, self.broker.port), CONNECT_S)
        connection = BrokerConnection(self.loop, stream)
        self._connection = connection
        connection.open(self.broker)
        log(LOG, logging.INFO, "connected", broker=self.name, heartbeat_s=int(connection.heartbeat_s))
        self._addresses = []
        return connection

    def _abort(self, text: str, reply_code: ReplyCode | None) -> None:
        log(LOG, logging.WARNING, "connection-closed", broker=self.name, error=text)
        if reply_code is not None and self._connection is not None:
            self._connection.request_close(reply_code, text)

    def _end_connection(self) -> None:
        if self._connection is not None:
            self._connection.end()
        self._connection = None
        self._channels = ChannelTable(self)
        if self._is_reported_open:
            self._is_reported_open = False
            self._owner.on_session_lost(self)

    def _consume(self, connection: BrokerConnection) -> None:
        """Consume all queues until the broker confirms the close."""
        connection.start_heartbeats()
        for queue in list(self._queues.values()):
            self._open_channel(queue)
        if self.is_draining:
            self.drain()
        while True:
            frame = connection.read_frame()
            if frame.channel == CONNECTION_CHANNEL:
                if connection.on_frame(frame):
                    return
            elif (channel := self._channels.get(frame.channel)) is not None:
                channel.on_frame(frame)
            elif frame.channel > connection.max_channels:  # others may be late frames of a closed channel
                raise ConnectionClosedError(f"a frame on channel {frame.channel}", ReplyCode.CHANNEL_ERROR)

    def _open_channel(self, queue: Queue) -> None:
        assert self._connection is not None
        self._channels.open(queue, self._connection.max_channels, is_cancelled=self.is_draining)

    # Changes of the inventory, and the end.

    def update(self, queues: dict[str, Queue]) -> None:
        """Consume these queues from now on; channels of unchanged queues are not touched."""
        old = self._queues
        self._queues = dict(queues)
        if self._connection is None or self.is_draining or not self._connection.is_open:
            return  # the next connection opens the channels
        self._channels.retire_changed(queues)
        for name, queue in queues.items():
            if old.get(name) != queue:
                self._open_channel(queue)

    def drain(self) -> None:
        """Consume nothing more; the connection is closed once all that was accepted is answered."""
        self.is_draining = True
        if self._connection is None:
            self.loop.kill(self._greenlet)  # it connects, looks the name up or waits for its next attempt
            return
        self._channels.cancel_all()
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close the connection of a draining session that has nothing in flight."""
        if not self.is_draining or self._connection is None:
            return
        if not self._connection.is_open:
            self._connection.close()
        elif not self._has_ended and self._channels.are_idle():
            self._has_ended = True
            self._connection.request_close(ReplyCode.SUCCESS, "leaving")

    def close(self) -> None:
        """End the connection now; the broker redelivers what is in flight."""
        self.is_draining = True
        if self._connection is not None:
            self._connection.close()

    def is_flushed(self) -> bool:
        """Tell whether all that was accepted is answered and handed to the operating system."""
        if self._channels.have_in_flight():
            return False
        return self._connection is None or not self._connection.stream.unsent_bytes
