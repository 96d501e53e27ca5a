"""The state that the steps of a decision share: the requests of this server, the learned estimates and the limits."""

from __future__ import annotations

import random
from collections.abc import Sequence

from lapispick.admission.actions import Action
from lapispick.admission.attempt_history import AttemptHistory
from lapispick.admission.backpressure import Backpressure
from lapispick.admission.concurrency_limit import ConcurrencyLimit, SlowStart
from lapispick.admission.deadlines import DeadlineTimers
from lapispick.admission.downstream_limit import DownstreamLimit
from lapispick.admission.drain import Drain
from lapispick.admission.events import Event
from lapispick.admission.idempotency_keys import IdempotencyTable
from lapispick.admission.idle_timeout import IdleTimeout
from lapispick.admission.memory_budget import MemoryBudget
from lapispick.admission.request_queue import RequestQueue
from lapispick.admission.request_state import TrackedRequest
from lapispick.admission.run_estimates import RunEstimates
from lapispick.admission.settings import Settings
from lapispick.admission.shadow_prices import ShadowPrices


class ServerState:
    """State of one server. Each component updates only its own data; the event handlers combine the components."""

    __slots__ = (
        "actions",
        "attempt_history",
        "backpressure",
        "concurrency_limit",
        "deadlines",
        "downstream",
        "drain",
        "events",
        "generator",
        "idempotency",
        "idle_timeout",
        "memory",
        "now",
        "queue",
        "requests",
        "run_estimates",
        "settings",
        "shadow_prices",
        "slow_start",
    )

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.generator = random.Random(seed)
        self.now = now
        self.events: Sequence[Event] = ()  # events of the present step
        self.actions: list[Action] = []  # actions of the present step
        self.requests: dict[int, TrackedRequest] = {}  # by id, until they are completed
        self.run_estimates = RunEstimates(settings.classes)
        self.shadow_prices = ShadowPrices()
        self.concurrency_limit = ConcurrencyLimit(settings)
        self.slow_start = SlowStart(settings, now)
        self.downstream = DownstreamLimit(settings, now)
        self.backpressure = Backpressure(settings)
        self.attempt_history = AttemptHistory()
        self.idle_timeout = IdleTimeout(settings)
        self.idempotency = IdempotencyTable()
        self.memory = MemoryBudget(settings, self.idempotency)
        self.queue = RequestQueue(settings, self.run_estimates)
        self.deadlines = DeadlineTimers()
        self.drain = Drain(settings)
