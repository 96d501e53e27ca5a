"""The AMQP 0-9-1 front: keeps a session with each broker of the accepted inventory and applies its changes."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from lapispick import admission, jitter
from lapispick.fleet.reconciler import Bounds, Close, Drain, Open, Reconciler, next_step_delay_s
from lapispick.fleet.snapshot import Difference, Snapshot
from lapispick.host import events
from lapispick.host.amqp.caller_numbers import CallerNumbers
from lapispick.host.amqp.inventory_schema import Broker, Queue, broker_of, queues_of
from lapispick.host.amqp.request_builder import RequestBuilder
from lapispick.host.amqp.session import Session
from lapispick.host.dns_resolver import DnsResolver, NameNotResolvedError
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.timers import Timer
from lapispick.platform_settings import StartSettings

LOG = "amqp"
HOSTS_PER_YIELD = 100  # inventory hosts that are read before other greenlets run
MAX_LOOKUP_MISSES = 2  # consecutive look-ups without the current address, after which a broker counts as moved


class BrokerSpec(NamedTuple):
    """Desired state of a session, compared by the reconciler; any difference needs a new session."""

    broker: Broker
    move_count: int  # how often the broker's name was found to have moved to other addresses


class AmqpFront:
    """Front that keeps a session with each broker of the inventory."""

    def __init__(
        self,
        loop: EventLoop,
        bounds: Bounds,
        start_settings: StartSettings,
        settings: admission.Settings,
        post: Callable[[events.Event], None],
        resolver: DnsResolver,
        resolve_interval_s: float,
    ) -> None:
        self.loop = loop
        self.post = post
        self.request_builder = RequestBuilder(start_settings, settings)
        self.is_shutting_down = False
        self._resolver = resolver
        self._resolve_interval_s = resolve_interval_s
        self._reconciler = Reconciler(bounds)
        self._queues: dict[str, dict[str, Queue]] = {}  # by the key of each listed broker
        self._sessions: dict[int, Session] = {}  # by instance, the number assigned by the reconciler
        self._move_counts: dict[str, int] = {}  # by the key of each listed broker
        self._caller_numbers = CallerNumbers()
        self._step_timer: Timer | None = None
        self._last_logged_left_out_count = 0

    def start(self) -> None:
        """Start to resolve names periodically; the first inventory opens the sessions."""
        self.loop.spawn(self._resolve_periodically)

    # The interface for sessions.

    def caller_number(self, broker_key: str, queue_name: str) -> int:
        """Return the caller number of a queue."""
        return self._caller_numbers.get(broker_key, queue_name)

    def lookup(self, name: str) -> list[str]:
        """Return the addresses of a broker's name; raise ``NameNotResolvedError`` if it can't be resolved."""
        return self._resolver.lookup(name)

    def on_session_opened(self, session: Session) -> None:
        """Record that a session is open, so that an older session with the same broker can be drained."""
        self._reconciler.record_opened(time.monotonic(), session.instance)
        self.loop.call_soon(self._step)

    def on_session_lost(self, session: Session) -> None:
        """Record that a connection broke; the session reconnects by itself."""
        self._reconciler.record_lost(time.monotonic(), session.instance)

    def on_session_ended(self, session: Session) -> None:
        """Remove a session that has ended."""
        self._sessions.pop(session.instance, None)
        self._reconciler.record_ended(session.instance)
        key = session.broker_key
        if key not in self._queues and all(other.broker_key != key for other in self._sessions.values()):
            self._caller_numbers.release(key)
        log(LOG, logging.INFO, "broker-ended", broker=session.name)
        self.loop.call_soon(self._step)

    # The inventory.

    def apply(self, snapshot: Snapshot, difference: Difference) -> None:
        """Apply a changed inventory; only one greenlet calls this, but others run during its yields."""
        for count, key in enumerate((*difference.joined, *difference.moved, *difference.changed), 1):
            host = snapshot.hosts[key]
            self._queues[key] = queues_of(host)
            self._put(key, broker_of(host))
            if count % HOSTS_PER_YIELD == 0:
                self.loop.yield_control()
        for key in difference.left:
            self._reconciler.remove_unit(key)
            self._queues.pop(key, None)
            self._move_counts.pop(key, None)
        self._step()
        for session in list(self._sessions.values()):
            if not session.is_draining and session.broker_key in self._queues:
                session.update(self._queues[session.broker_key])

    def _put(self, key: str, broker: Broker) -> None:
        self._reconciler.set_unit(key, BrokerSpec(broker, self._move_counts.get(key, 0)))

    def _step(self) -> None:
        """Execute the actions of the reconciler, and schedule the next step for the time when new ones may be due."""
        if self.is_shutting_down:
            return
        now = time.monotonic()
        for action in self._reconciler.step(now):
            if isinstance(action, Open):
                self._open_session(action)
            elif (session := self._sessions.get(action.instance)) is not None:
                self._end_session(session, action)
        self._log_left_out()
        if self._step_timer is not None:
            self._step_timer.cancel()
        self._step_timer = self.loop.call_later(next_step_delay_s(self._reconciler, now), self._step)

    def _open_session(self, action: Open) -> None:
        spec: BrokerSpec = action.spec
        session = Session(self, action.instance, action.key, spec.broker, self._queues[action.key])
        self._sessions[action.instance] = session

    def _end_session(self, session: Session, action: Drain | Close) -> None:
        if isinstance(action, Close):
            log(LOG, logging.INFO, "broker-closed-late", broker=session.name)
            session.close()
        else:
            log(LOG, logging.INFO, "broker-drains", broker=session.name)
            session.drain()

    def _log_left_out(self) -> None:
        left_out = self._reconciler.omitted_count
        if left_out == self._last_logged_left_out_count:
            return
        self._last_logged_left_out_count = left_out
        max_brokers = self._reconciler.bounds.max_instances
        log(LOG, logging.ERROR, "brokers-left-out", brokers=left_out, most=max_brokers)

    # Broker names that move to other addresses.

    def _resolve_periodically(self) -> None:
        """Resolve the names of connected brokers periodically; replace the sessions of brokers that have moved."""
        misses: dict[int, int] = {}  # consecutive look-ups without the current address, by session
        while True:
            self.loop.sleep(jitter.period(self._resolve_interval_s, random.random()))
            for session in list(self._sessions.values()):
                if session.is_draining or session.address in ("", session.broker.host):
                    continue
                is_address_found = self._is_address_found(session)
                if is_address_found is None:
                    continue
                count = 0 if is_address_found else misses.get(session.instance, 0) + 1
                if count >= MAX_LOOKUP_MISSES and session.broker_key in self._queues and not session.is_draining:
                    count = 0
                    self._move(session)
                misses[session.instance] = count
            misses = {instance: count for instance, count in misses.items() if instance in self._sessions}

    def _is_address_found(self, session: Session) -> bool | None:
        """Return True if a broker's name still resolves to the address in use; None if it can't be resolved."""
        try:
            return session.address in self._resolver.lookup(session.broker.host)
        except NameNotResolvedError as err:
            log(LOG, logging.WARNING, "name-lost", broker=session.name, error=err)
            return None

    def _move(self, session: Session) -> None:
        log(LOG, logging.INFO, "name-moved", broker=session.name, was=session.address)
        key = session.broker_key
        self._move_counts[key] = self._move_counts.get(key, 0) + 1
        self._put(key, session.broker)
        self._step()

    # The interface for the core.

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Do nothing: idle time-outs are for connections that clients open, and this host connects to the brokers."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown: drain all sessions."""
        self.is_shutting_down = True
        for session in list(self._sessions.values()):
            session.drain()

    def is_flushed(self) -> bool:
        """Return True if all accepted messages are answered and all bytes are handed to the operating system."""
        return all(session.is_flushed() for session in self._sessions.values())
