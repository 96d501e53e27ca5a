"""The adaptive limit of downstream calls in flight, and the times that calls take."""

from __future__ import annotations

import random
from collections import deque
from heapq import heappop, heappush
from math import exp, inf

from lapispick.admission.concurrency_limit import MIN_OWN_QUOTA_FRACTION
from lapispick.admission.events import CallTimes, Outcome
from lapispick.admission.request_state import WAITING_FOR_CALL, TrackedRequest
from lapispick.admission.settings import Settings

MAX_LIMIT_FRACTION = 0.6  # of the quota; the rest is for calls that hang
MIN_LIMIT_FRACTION = 0.2  # of the quota
MAX_LATENCY_RATIO = 3.0  # recent over usual call time; above it the limit falls
BACKOFF_RATIO = 0.95  # for a slow or failed call
GROWTH_CALLS = 0.1  # for a call that ends while requests wait for one
RECENT_SMOOTHING_FRACTION = 0.1  # weight of one call in the recent call time
USUAL_SMOOTHING_FRACTION = 0.005  # weight of one call in the usual call time
LOST_SMOOTHING_FRACTION = 0.05  # weight of one call in the fraction of lost replies
MEAN_WINDOW_FRACTION = 0.25  # of the quota's window; over this the mean of calls in flight is kept
MAX_CALL_FRACTION = 0.3  # of the quota times its window; a call that lasts longer is cancelled
MAX_SINGLE_LOST_FRACTION = 0.25  # of the calls; fewer lost replies are no sign of an overloaded dependency
MIN_LOST_FRACTION = 0.0005  # of the calls; with fewer lost replies no call is cancelled early
CALL_TIMEOUT_RATIO = 8.0  # of the usual or recent call time, for calls that can be skipped
MIN_CALL_TIMEOUT_MS = 60.0  # replies that a busy host reads late are still in time
MAX_CAPACITY_WAIT_RATIO = 2.0  # of the usual call time
MAX_BURST_LATENCY_RATIO = 1.5  # recent over usual call time; above it calls don't wait for capacity

LOST_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


class DownstreamLimit:
    """Calls in flight; with a shared dependency, an adaptive limit well inside the quota of this server.

    It protects a slow or overloaded dependency whatever the cause. A lasting step in the call time keeps the limit at
    its minimum until the usual call time has followed.
    """

    __slots__ = (
        "_lost_fraction",
        "_max_limit",
        "_max_total_call_ms",
        "_mean_in_flight",
        "_mean_window_ms",
        "_min_limit",
        "_quota",
        "_updated_at",
        "_usual_ms",
        "degradable_waiting",
        "in_flight",
        "limit",
        "peer_calls",
        "recent_ms",
        "waiting",
    )

    def __init__(self, settings: Settings, now: float) -> None:
        quota = settings.call_quota
        self._quota = quota
        self._max_limit = quota * MAX_LIMIT_FRACTION
        self._min_limit = quota * MIN_LIMIT_FRACTION
        self._max_total_call_ms = MAX_CALL_FRACTION * quota * settings.call_quota_window_ms  # of all calls in flight
        self._updated_at = now
        self._mean_in_flight = 0.0
        window_fraction = MEAN_WINDOW_FRACTION / min(1.0, quota or 1.0)  # longer where one call is a lot
        self._mean_window_ms = max(1.0, settings.call_quota_window_ms * window_fraction)
        self._lost_fraction = 0.0
        self.limit = self._max_limit
        self.in_flight = 0
        self.peer_calls = 0.0  # of another process of this server
        self.recent_ms = 0.0  # time of a call
        self._usual_ms = 0.0  # the same over many more calls
        self.waiting: list[tuple[float, int, TrackedRequest]] = []  # heap of not before, id: those that need a call
        self.degradable_waiting: deque[TrackedRequest] = deque()  # those that can go on without one

    @property
    def call_times(self) -> CallTimes:
        """Return the usual and the recent time of a call."""
        return CallTimes(self._usual_ms, self.recent_ms)

    def advance(self, now: float) -> None:
        """Carry the mean of calls in flight forward."""
        remaining = exp(-(now - self._updated_at) / self._mean_window_ms)
        self._mean_in_flight += (self.in_flight - self._mean_in_flight) * (1 - remaining)
        self._updated_at = now

    def adopt(self, call_times: CallTimes, limit: float) -> None:
        """Begin with the call times and the limit that another process learned."""
        self._usual_ms, self.recent_ms = call_times
        self.limit = limit

    def wait(self, request: TrackedRequest, not_before: float) -> None:
        """Let a request that needs a call wait for capacity, and at least until ``not_before``."""
        heappush(self.waiting, (not_before, request.id, request))

    def wait_degradable(self, request: TrackedRequest) -> None:
        """Let a request that can go on without its call wait for capacity, as long as that is worth it."""
        self.degradable_waiting.append(request)

    def pop_ready(self, now: float) -> TrackedRequest | None:
        """Return the next request whose wait is over, those that can't go on without a call first.

        There is capacity for its call, it needs none any more, or it has waited for as long as it may.
        """
        waiting = self.waiting
        if waiting and waiting[0][0] <= now:
            request = waiting[0][2]
            if request.state is not WAITING_FOR_CALL or request.answered or self.has_capacity():
                return heappop(waiting)[2]
        degradable = self.degradable_waiting
        if degradable and (self.has_capacity() or not self.worth_waiting(degradable[0].call_needed_at, now)):
            return degradable.popleft()
        return None

    def start_call(self) -> None:
        """Count a call as in flight."""
        self.in_flight += 1

    def abandon_call(self) -> None:
        """Stop counting a call whose reply nobody waits for."""
        self.in_flight -= 1

    def finish_call(self, duration_ms: float, outcome: Outcome, generator: random.Random) -> bool:
        """Stop counting a call and learn from it.

        Returns True where a single reply was lost, which is no sign of an overloaded dependency.
        """
        self.in_flight -= 1
        quota = self._quota
        if outcome is Outcome.CONNECT_FAILED and 0 < quota < 1:
            self._delay_next_call(generator)
            return False
        lost = outcome in LOST_OUTCOMES
        self._lost_fraction += (lost - self._lost_fraction) * LOST_SMOOTHING_FRACTION
        if lost and self._lost_fraction < MAX_SINGLE_LOST_FRACTION and quota >= 1:
            return True
        self.recent_ms += (duration_ms - self.recent_ms) * (RECENT_SMOOTHING_FRACTION if self._usual_ms else 1.0)
        self._usual_ms += (duration_ms - self._usual_ms) * (USUAL_SMOOTHING_FRACTION if self._usual_ms else 1.0)
        if duration_ms >= self.max_call_ms():
            self.limit = 0.0  # down to the minimum
        elif outcome is not Outcome.OK or self.recent_ms > MAX_LATENCY_RATIO * self._usual_ms:
            self.limit *= BACKOFF_RATIO
        elif self.waiting:
            self.limit += GROWTH_CALLS
        self.limit = min(self._max_limit, max(self._min_limit, self.limit))
        return False

    def _delay_next_call(self, generator: random.Random) -> None:
        """Draw when the next call is free: the dependency is down for all servers.

        With a quota under one call each, they must not all call in the instant of its return, so each counts its
        quota as used. The limit stays: what it would regain at the first replies, all would use at one time.
        """
        spread = self._quota * MAX_CALL_FRACTION / (MAX_LIMIT_FRACTION * MEAN_WINDOW_FRACTION)
        self._mean_in_flight = max(self._mean_in_flight, self.limit * exp(generator.random() * spread))

    def skippable_call_timeout_ms(self) -> float:
        """Return how long a call that can be skipped is waited for: a reply that was lost never comes."""
        if self._lost_fraction > MIN_LOST_FRACTION:
            return max(MIN_CALL_TIMEOUT_MS, CALL_TIMEOUT_RATIO * max(self._usual_ms, self.recent_ms))
        return inf

    def worth_waiting(self, since: float, now: float) -> bool:
        """Tell whether a call that can be skipped still waits for capacity: a burst ends as soon as its calls do.

        Where calls are slower than usual the dependency is overloaded, and waiting only delays.
        """
        return (
            self.recent_ms <= MAX_BURST_LATENCY_RATIO * self._usual_ms
            and now - since < MAX_CAPACITY_WAIT_RATIO * self._usual_ms
        )

    def max_call_ms(self) -> float:
        """Return how long a call may last: one that hangs would go far past a quota under one call."""
        return self._max_total_call_ms / max(1, self.in_flight) or inf

    def has_capacity(self) -> bool:
        """Tell whether one more call stays within the limit; a fraction of a call is kept in the mean."""
        if self._quota <= 0:
            return True
        limit = max(MIN_OWN_QUOTA_FRACTION * self.limit, self.limit - self.peer_calls)
        return self.in_flight < limit and self._mean_in_flight <= self.limit
