"""The channels of one broker connection, by number."""

from __future__ import annotations

import logging

from lapispick.host.amqp.channel import Channel, ChannelOwner
from lapispick.host.amqp.connection import MAX_CHANNELS
from lapispick.host.amqp.inventory_schema import Queue
from lapispick.host.logs import log

LOG = "amqp"


class ChannelTable:
    """The open channels of a connection by number; at most one channel of each queue is not retired."""

    def __init__(self, owner: ChannelOwner) -> None:
        self._owner = owner
        self._by_number: dict[int, Channel] = {}

    def __contains__(self, channel: Channel) -> bool:
        return self._by_number.get(channel.number) is channel

    def get(self, number: int) -> Channel | None:
        """Return the channel with this number, or None."""
        return self._by_number.get(number)

    def open(self, queue: Queue, max_channels: int, is_cancelled: bool) -> None:
        """Open a channel for a queue with the lowest free number; if ``is_cancelled``, it does not consume."""
        number = next(number for number in range(1, MAX_CHANNELS + 1) if number not in self._by_number)
        if number > max_channels:
            log(LOG, logging.ERROR, "queue-left-out", broker=self._owner.name, queue=queue.name, channels=max_channels)
            return
        channel = Channel(self._owner, number, queue)
        channel.is_cancelled = is_cancelled
        self._by_number[number] = channel
        channel.open()

    def remove(self, channel: Channel) -> None:
        """Remove a closed channel; do nothing if its number belongs to another channel by now."""
        if channel in self:
            del self._by_number[channel.number]

    def consumes(self, queue: Queue) -> bool:
        """Return True if a channel that is not retired consumes this queue with these settings."""
        return any(channel.queue == queue and not channel.is_retired for channel in self._by_number.values())

    def retire_changed(self, queues: dict[str, Queue]) -> None:
        """Retire the channels of queues that are no longer listed or have changed settings."""
        for channel in list(self._by_number.values()):
            if not channel.is_retired and queues.get(channel.queue.name) != channel.queue:
                channel.retire()

    def cancel_all(self) -> None:
        """Cancel the consumers of all channels."""
        for channel in self._by_number.values():
            channel.cancel()

    def are_ready(self) -> bool:
        """Return True if the broker has confirmed the consumer, or closed the channel, of every queue."""
        return all(channel.is_ready for channel in self._by_number.values())

    def are_idle(self) -> bool:
        """Return True if no message is in flight on any channel and none can arrive."""
        return all(channel.is_idle for channel in self._by_number.values())

    def have_in_flight(self) -> bool:
        """Return True if an accepted message is not settled yet."""
        return any(channel.in_flight for channel in self._by_number.values())
