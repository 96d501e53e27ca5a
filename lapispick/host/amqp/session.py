"""Session with one broker: connects, consumes its queues, and reconnects after the connection broke."""

from __future__ import annotations

import logging
import random
from typing import Protocol

from lapispick import jitter
from lapispick.host import events
from lapispick.host.amqp.channel import REOPEN_DELAY_S, Channel
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
CONNECT_TIMEOUT_S = 3.0  # for each attempt
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 10.0


class SessionOwner(Protocol):
    """Interface of the front for its sessions."""

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
    """Session with one broker: one connection at a time, with a channel for each queue."""

    def __init__(
        self, owner: SessionOwner, instance: int, broker_key: str, broker: Broker, queues: dict[str, Queue]
    ) -> None:
        self.loop = owner.loop
        self.request_builder = owner.request_builder
        self.post = owner.post
        self.instance = instance  # number assigned by the reconciler
        self.broker_key = broker_key
        self.broker = broker
        self.name = broker.display_name
        self.address = ""  # of the current or the last connection attempt
        self.is_draining = False
        self._owner = owner
        self._queues = dict(queues)
        self._channels = ChannelTable(self)  # of the current connection
        self._connection: BrokerConnection | None = None
        self._addresses: list[str] = []  # of the broker's name, not tried yet
        self._is_reported_open = False  # the front was notified that the session is open
        self._is_close_requested = False  # also set when the session has ended
        self._greenlet = self.loop.spawn(self._serve)

    # The interface for channels.

    @property
    def frame_max_bytes(self) -> int:
        """Return the negotiated maximum frame size."""
        return self._connection.frame_max_bytes if self._connection is not None else MIN_FRAME_MAX_BYTES

    @property
    def host_is_shutting_down(self) -> bool:
        """Return True if the host is shutting down, not only this session draining."""
        return self._owner.is_shutting_down

    def caller_number(self, channel: Channel) -> int:
        """Return the caller number of a channel's queue."""
        return self._owner.caller_number(self.broker_key, channel.queue.name)

    def is_current(self, channel: Channel) -> bool:
        """Return True if a channel belongs to the current connection and is not closed."""
        return self._connection is not None and channel in self._channels

    def send(self, data: bytes) -> None:
        """Send encoded frames; drop them if there is no connection."""
        if self._connection is not None:
            self._connection.send(data)

    def on_channel_ready(self) -> None:
        """Report the session as open once each channel has its consumer confirmed or was closed by the broker."""
        if not self._is_reported_open and self._channels.are_ready():
            self._is_reported_open = True
            self._owner.on_session_opened(self)

    def on_channel_closed(self, channel: Channel) -> None:
        """Remove a channel after the broker confirmed its close."""
        self._channels.remove(channel)
        self.close_if_done()

    def on_channel_closed_by_broker(self, channel: Channel) -> None:
        """Remove a channel that the broker closed, and open a new one after a delay unless it was retired."""
        self._channels.remove(channel)
        if not channel.is_retired:
            self.loop.call_later(REOPEN_DELAY_S, self._reopen, self._connection, channel.queue)
        self.close_if_done()

    def _reopen(self, connection: BrokerConnection | None, queue: Queue) -> None:
        if connection is None or self._connection is not connection or self.is_draining:
            return
        is_listed = self._queues.get(queue.name) == queue
        if is_listed and not self._channels.consumes(queue):
            self._open_channel(queue)

    # The connection.

    def _serve(self) -> None:
        """Connect, and reconnect with exponential backoff, until the session drains."""
        backoff_s = MIN_BACKOFF_S
        try:
            while not self.is_draining:
                if self._connect_and_consume():
                    backoff_s = MIN_BACKOFF_S
                if not self.is_draining:
                    self.loop.sleep(jitter.backoff(backoff_s, random.random()))
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        finally:
            self._is_close_requested = True
            self._owner.on_session_ended(self)

    def _connect_and_consume(self) -> bool:
        """Connect and consume until the connection ends; return True if it was opened."""
        was_open = False
        try:
            connection = self._connect()
            was_open = True
            self._consume(connection)
        except (OSError, StreamClosedError) as err:  # OSError includes time-outs
            event = "connection-lost" if was_open else "connect-failed"
            log(LOG, logging.WARNING, event, broker=self.name, error=err)
        except (CodecError, ConnectionClosedError) as err:
            self._abort(str(err), err.reply_code)
        finally:
            self._end_connection()
        return was_open

    def _connect(self) -> BrokerConnection:
        """Connect to the next address of the broker's name; resolve the name once all addresses were tried."""
        if not self._addresses:
            self._addresses = self._owner.lookup(self.broker.host)
        self.address = self._addresses.pop(0)
        stream = connect(self.loop, (self.address, self.broker.port), CONNECT_TIMEOUT_S)
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
            self._connection.close_gracefully()
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
            elif frame.channel > connection.max_channels:  # lower numbers may be late frames of a closed channel
                raise ConnectionClosedError(f"a frame on channel {frame.channel}", ReplyCode.CHANNEL_ERROR)

    def _open_channel(self, queue: Queue) -> None:
        assert self._connection is not None
        self._channels.open(queue, self._connection.max_channels, is_cancelled=self.is_draining)

    # Inventory changes and shutdown.

    def update(self, queues: dict[str, Queue]) -> None:
        """Consume these queues from now on; keep the channels of unchanged queues."""
        old_queues = self._queues
        self._queues = dict(queues)
        if self._connection is None or self.is_draining or not self._connection.is_open:
            return  # the next connection opens the channels
        self._channels.retire_changed(queues)
        for name, queue in queues.items():
            if old_queues.get(name) != queue:
                self._open_channel(queue)

    def drain(self) -> None:
        """Cancel all consumers; close the connection once all accepted messages are settled."""
        self.is_draining = True
        if self._connection is None:
            self.loop.kill(self._greenlet)  # it is connecting, resolving the name or waiting for the next attempt
            return
        self._channels.cancel_all()
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close the connection if the session is draining and has no message in flight."""
        if not self.is_draining or self._connection is None:
            return
        if not self._connection.is_open:
            self._connection.close()
        elif not self._is_close_requested and self._channels.are_idle():
            self._is_close_requested = True
            self._connection.request_close(ReplyCode.SUCCESS, "leaving")

    def close(self) -> None:
        """Close the connection now; the broker redelivers the messages in flight."""
        self.is_draining = True
        if self._connection is not None:
            self._connection.close()

    def is_flushed(self) -> bool:
        """Return True if all accepted messages are settled and all bytes are handed to the operating system."""
        if self._channels.have_in_flight():
            return False
        return self._connection is None or not self._connection.stream.unsent_bytes
