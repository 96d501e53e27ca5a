"""The AMQP 0-9-1 front: connections to the brokers of the accepted list, which follow it in place."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from lapispick import admission, jitter
from lapispick.fleet.reconciler import Bounds, Close, Drain, Open, Reconciler, next_due
from lapispick.fleet.snapshot import Difference, Snapshot
from lapispick.host.amqp.consumer import Translator
from lapispick.host.amqp.listing import Broker, Queue, broker, queues
from lapispick.host.amqp.session import Session
from lapispick.host.dns_resolver import DnsResolver, NameNotResolvedError
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.timers import Timer
from lapispick.platform_settings import StartSettings

LOG = "amqp"
CALLERS_FROM = 1_000_000  # queues count as callers from here on, apart from the gateways' numbers
SLICE = 100  # hosts that are taken over before others have their turn
MISSES = 2  # look-ups without the present address before a broker counts as moved


class Callers:
    """Numbers of queues as callers: steady while a queue is there, used again afterwards."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}
        self._free: list[int] = []

    def number(self, key: str, queue: str) -> int:
        """Return the number of a queue."""
        if (known := self._numbers.get((key, queue))) is None:
            known = heappop(self._free) if self._free else CALLERS_FROM + len(self._numbers)
            self._numbers[key, queue] = known
        return known

    def drop(self, key: str) -> None:
        """Let the numbers of a broker be used again."""
        for pair in [pair for pair in self._numbers if pair[0] == key]:
            heappush(self._free, self._numbers.pop(pair))


class AmqpFront:
    """All brokers of the list."""

    def __init__(
        self,
        loop: EventLoop,
        bounds: Bounds,
        info: StartSettings,
        settings: admission.Settings,
        post: Callable[[Any], None],
        names: DnsResolver,
        names_every: float,
    ) -> None:
        self.loop, self.post, self.translator = loop, post, Translator(info, settings)
        self.leaving = False
        self._names, self._names_every = names, names_every
        self._reconciler = Reconciler(bounds)
        self._queues: dict[str, dict[str, Queue]] = {}  # of each broker that is wanted
        self._sessions: dict[int, Session] = {}  # by life
        self._moves: dict[str, int] = {}  # how often a broker's name has moved
        self._callers = Callers()
        self._timer: Timer | None = None
        self._left_out = 0

    def start(self) -> None:
        """Look names up again from time to time; the list opens the connections."""
        self.loop.spawn(self._renew)

    def caller(self, key: str, queue: str) -> int:
        """Return the number under which a queue counts as a caller."""
        return self._callers.number(key, queue)

    def lookup(self, name: str) -> list[str]:
        """Return the addresses of a broker's name; raises ``NameNotResolvedError``, which costs that broker only."""
        return self._names.lookup(name)

    # The list.

    def take(self, snapshot: Snapshot, change: Difference) -> None:
        """Take over a changed list; called by one greenlet, and others have their turn meanwhile."""
        for at, key in enumerate((*change.joined, *change.moved, *change.changed), 1):
            host = snapshot.hosts[key]
            self._queues[key] = queues(host)
            self._want(key, broker(host))
            if not at % SLICE:
                self.loop.yield_control()
        for key in change.left:
            self._reconciler.drop(key)
            self._queues.pop(key, None)
            self._moves.pop(key, None)
        self._step()
        for session in list(self._sessions.values()):
            if not session.leaving and session.key in self._queues:
                session.update(self._queues[session.key])

    def _want(self, key: str, told: Broker) -> None:
        self._reconciler.put(key, (told, self._moves.get(key, 0)))

    def _step(self) -> None:
        """Carry out what the reconciler orders now, and come back when time alone changes it."""
        if self.leaving:
            return
        now = time.monotonic()
        for action in self._reconciler.step(now):
            if isinstance(action, Open):
                self._open(action)
            elif (session := self._sessions.get(action.instance)) is not None:
                told = "broker-drains" if isinstance(action, Drain) else "broker-closed-late"
                log(LOG, logging.INFO, told, broker=session.name)
                if isinstance(action, Close):
                    session.close()
                else:
                    session.leave()
        if self._reconciler.left_out != self._left_out:
            self._left_out = self._reconciler.left_out
            log(
                LOG,
                logging.ERROR,
                "brokers-left-out",
                brokers=self._left_out,
                most=self._reconciler.bounds.max_instances,
            )
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_later(next_due(self._reconciler, now), self._step)

    def _open(self, action: Open) -> None:
        told: Broker = action.spec[0]
        self._sessions[action.instance] = Session(self, action.instance, action.key, told, self._queues[action.key])

    # Word of the sessions.

    def opened(self, session: Session) -> None:
        """Take note that a broker is consumed from; the old life of it may go."""
        self._reconciler.opened(time.monotonic(), session.life)
        self.loop.call_soon(self._step)

    def lost(self, session: Session) -> None:
        """Take note that a connection broke; it is tried again."""
        self._reconciler.lost(time.monotonic(), session.life)

    def over(self, session: Session) -> None:
        """Forget a session that has ended."""
        self._sessions.pop(session.life, None)
        self._reconciler.ended(session.life)
        if session.key not in self._queues and all(s.key != session.key for s in self._sessions.values()):
            self._callers.drop(session.key)
        log(LOG, logging.INFO, "broker-ended", broker=session.name)
        self.loop.call_soon(self._step)

    def _renew(self) -> None:
        """Look the names of connected brokers up again; one that moved for good is opened anew."""
        misses: dict[int, int] = {}
        while True:
            self.loop.sleep(jitter.period(self._names_every, random.random()))
            for life, session in list(self._sessions.items()):
                if session.leaving or session.address in ("", session.broker.host):
                    continue
                try:
                    found = self._names.lookup(session.broker.host)
                except NameNotResolvedError as err:  # what is connected stays so
                    log(LOG, logging.WARNING, "name-lost", broker=session.name, error=err)
                    continue
                misses[life] = 0 if session.address in found else misses.get(life, 0) + 1
                if misses[life] >= MISSES and session.key in self._queues and not session.leaving:
                    log(LOG, logging.INFO, "name-moved", broker=session.name, was=session.address)
                    misses[life] = 0
                    self._moves[session.key] = self._moves.get(session.key, 0) + 1
                    self._want(session.key, session.broker)
                    self._step()
            misses = {life: count for life, count in misses.items() if life in self._sessions}

    # As the core tells every front.

    def limit_idle(self, span_ms: float) -> None:
        """Nothing to do: the connections to brokers are our own."""

    def leave(self) -> None:
        """Take nothing more."""
        self.leaving = True
        for session in list(self._sessions.values()):
            session.leave()

    def flushed(self) -> bool:
        """Tell whether all that was taken is answered and handed over."""
        return all(session.flushed() for session in self._sessions.values())
