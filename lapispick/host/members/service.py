"""Membership service of a worker host: composes the parts, owns the sockets and runs the greenlets."""

from __future__ import annotations

import errno
import logging
import random
import socket
import time
from collections.abc import Callable, Iterable

from lapispick import jitter
from lapispick.conf.sections import InventorySettings, MembersSettings
from lapispick.host.addresses import parse_address
from lapispick.host.logs import log
from lapispick.host.members.anti_entropy import AntiEntropy
from lapispick.host.members.directory import AcceptedList, MemberDirectory
from lapispick.host.members.local_member import LocalMember
from lapispick.host.members.operator_calls import OperatorCalls
from lapispick.host.members.process_epoch import next_process_epoch
from lapispick.host.members.transport import DatagramTransport, TransportCounters
from lapispick.host.scheduler import EventLoop
from lapispick.host.worker_threads import WorkerThreads
from lapispick.members.messages import MAX_TEXT_LENGTH

LOG = "members"
BIND_RETRY_S = 0.3  # while another process of this host uses the address
BIND_ERROR_RETRY_S = 2.0  # added to ``BIND_RETRY_S`` after any other error
LISTEN_BACKLOG = 16
MIN_TICK_INTERVAL_S = 0.005
MAX_TICK_INTERVAL_S = 0.1
FACT_INTERVAL_S = 1.0

# Returns this host's facts as tuples of kind, subject, value, sample count and text.
FactSource = Callable[[], Iterable[tuple[str, str, float, int, str]]]


class MembersService:
    """Takes part in the cluster of the worker hosts on the accepted list."""

    def __init__(
        self,
        loop: EventLoop,
        settings: MembersSettings,
        inventory: InventorySettings,
        name: str,
        seed: int,
        fact_source: FactSource,
        max_state_bytes: int,
    ) -> None:
        """Create the service; raises ``OSError`` or ``ValueError`` for an invalid address.

        ``max_state_bytes`` is the limit of a complete state in anti-entropy.
        """
        self.settings = settings
        self._loop = loop
        self._fact_source = fact_source
        self._address = parse_address(settings.listen)
        self._rng = random.Random(seed)
        self._worker_threads = WorkerThreads(loop)
        self.directory = MemberDirectory(loop, inventory, name, self._accept_list)
        self.local = LocalMember(settings, self.directory, self._rng)
        counters = TransportCounters()
        self.transport = DatagramTransport(loop, self.local, counters, settings.max_messages_per_s)
        self._anti_entropy = AntiEntropy(loop, self.local, counters, settings.sync_interval_s, max_state_bytes)
        self.calls = OperatorCalls(self.local, self.transport, counters)

    def serve(self) -> None:
        """Follow the accepted list, bind the address once it is free, and start the tasks of the member."""
        self.local.process_epoch = self._worker_threads.run(lambda: next_process_epoch(self.settings.state_folder))
        self._loop.spawn(self.directory.serve)
        while not self._bind():
            self._loop.sleep(BIND_RETRY_S)
        for task in (
            self.transport.serve,
            self._anti_entropy.serve,
            self._tick,
            self._anti_entropy.sync_periodically,
            self._publish_facts,
        ):
            self._loop.spawn(task)
        epoch = self.local.process_epoch
        log(LOG, logging.INFO, "members-started", listen=self.settings.listen, process_epoch=epoch)

    def _bind(self) -> bool:
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        datagrams = socket.socket(family, socket.SOCK_DGRAM)
        listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            for new_socket in (datagrams, listener):
                new_socket.setblocking(False)
                new_socket.bind(self._address)
            listener.listen(LISTEN_BACKLOG)
        except OSError as err:
            datagrams.close()
            listener.close()
            if err.errno != errno.EADDRINUSE:
                log(LOG, logging.ERROR, "members-bind-failed", listen=self.settings.listen, error=err)
                self._loop.sleep(BIND_ERROR_RETRY_S)
            return False
        self.transport.attach(datagrams)
        self._anti_entropy.attach(listener)
        return True

    def _accept_list(self, accepted: AcceptedList) -> None:
        self.local.set_configuration(accepted)
        self.local.forget_unlisted()  # else the names of replaced hosts would accumulate
        self.transport.limiter.forget_except(accepted.names)

    def _tick(self) -> None:
        while True:
            member = self.local.active_member()
            if member is None:
                self._loop.sleep(MAX_TICK_INTERVAL_S)
                continue
            now = time.monotonic()
            self.transport.send(member.tick(now))
            self.local.log_events(member, now)
            wait = member.next_tick_at() - time.monotonic()
            self._loop.sleep(min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, wait)))

    def _publish_facts(self) -> None:
        while True:
            self._loop.sleep(jitter.period(FACT_INTERVAL_S, self._rng.random()))
            member = self.local.member
            if member is None or self.local.has_left:
                continue
            now = time.monotonic()
            for kind, subject, value, count, text in self._fact_source():
                member.publish_fact(now, kind, subject[:MAX_TEXT_LENGTH], value, count, text[:MAX_TEXT_LENGTH])

    def leave(self) -> None:
        """Announce that this host leaves. Its leases expire, unless their owners, which may still run, release them."""
        member = self.local.member
        if member is None or self.local.has_left:
            return
        self.transport.send(member.leave())
        self.local.log_events(member, time.monotonic())
        self.local.has_left = True
        log(LOG, logging.INFO, "members-left")
