"""The AMQP 0-9-1 front: keeps sessions with the brokers of the accepted inventory and follows its changes in place."""

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
HOSTS_PER_YIELD = 100  # that are read before other greenlets run
MAX_LOOKUP_MISSES = 2  # look-ups in a row without the present address; then a broker counts as moved


class BrokerSpec(NamedTuple):
    """What the reconciler compares; any difference needs a new session."""

    broker: Broker
    move_count: int  # how often the broker's name has moved to other addresses


class AmqpFront:
    """The sessions with all brokers of the inventory."""

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
        self._sessions: dict[int, Session] = {}  # by their number at the reconciler
        self._move_counts: dict[str, int] = {}
        self._caller_numbers = CallerNumbers()
        self._step_timer: Timer | None = None
        self._logged_left_out = 0

    def start(self) -> None:
        """Resolve names periodically; sessions begin with the first inventory."""
        self.loop.spawn(self._resolve_periodically)

    # What sessions need.

    def caller_number(self, broker_key: str, queue_name: str) -> int:
        """Return the number that a queue has as a caller."""
        return self._caller_numbers.get(broker_key, queue_name)

    def lookup(self, name: str) -> list[str]:
        """Return the addresses of a broker's name; raises ``NameNotResolvedError``."""
        return self._resolver.lookup(name)

    def on_session_opened(self, session: Session) -> None:
        """Take note that a broker is consumed; an older session with it may end."""
        self._reconciler.record_opened(time.monotonic(), session.instance)
        self.loop.call_soon(self._step)

    def on_session_lost(self, session: Session) -> None:
        """Take note that a connection broke; the session connects again."""
        self._reconciler.record_lost(time.monotonic(), session.instance)

    def on_session_ended(self, session: Session) -> None:
        """Forget a session."""
        self._sessions.pop(session.instance, None)
        self._reconciler.record_ended(session.instance)
        key = session.broker_key
        if key not in self._queues and all(other.broker_key != key for other in self._sessions.values()):
            self._caller_numbers.release(key)
        log(LOG, logging.INFO, "broker-ended", broker=session.name)
        self.loop.call_soon(self._step)

    # The inventory.

    def apply(self, snapshot: Snapshot, difference: Difference) -> None:
        """Apply a changed inventory; called by one greenlet, and others run meanwhile."""
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
        """Carry out the reconciler's actions, and step again when time alone changes them."""
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
        if left_out == self._logged_left_out:
            return
        self._logged_left_out = left_out
        max_brokers = self._reconciler.bounds.max_instances
        log(LOG, logging.ERROR, "brokers-left-out", brokers=left_out, most=max_brokers)

    # Names that move.

    def _resolve_periodically(self) -> None:
        """Resolve the names of connected brokers again; sessions with moved ones are opened anew."""
        misses: dict[int, int] = {}  # look-ups in a row without the present address, by session
        while True:
            self.loop.sleep(jitter.period(self._resolve_interval_s, random.random()))
            for session in list(self._sessions.values()):
                if session.is_draining or session.address in ("", session.broker.host):
                    continue
                is_found = self._is_address_found(session)
                if is_found is None:
                    continue
                count = 0 if is_found else misses.get(session.instance, 0) + 1
                if count >= MAX_LOOKUP_MISSES and session.broker_key in self._queues and not session.is_draining:
                    count = 0
                    self._move(session)
                misses[session.instance] = count
            misses = {instance: count for instance, count in misses.items() if instance in self._sessions}

    def _is_address_found(self, session: Session) -> bool | None:
        """Tell whether a broker's name still has the address in use; None where the name can't be resolved."""
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

    # As for every front.

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Do nothing: this host opens the connections to brokers itself."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown: consume nothing more."""
        self.is_shutting_down = True
        for session in list(self._sessions.values()):
            session.drain()

    def is_flushed(self) -> bool:
        """Tell whether all that was accepted is answered and handed to the operating system."""
        return all(session.is_flushed() for session in self._sessions.values())
