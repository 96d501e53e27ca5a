"""The adaptive limit of downstream calls in flight, and the durations of calls."""

from __future__ import annotations

import random
from collections import deque
from heapq import heappop, heappush
from math import exp, inf

from lapispick.admission.concurrency_limit import MIN_OWN_QUOTA_FRACTION
from lapispick.admission.events import CallTimes, Outcome
from lapispick.admission.request_state import WAITING_FOR_CALL, TrackedRequest
from lapispick.admission.settings import Settings

MAX_LIMIT_FRACTION = 0.6  # of the quota; the rest is reserved for calls that hang
MIN_LIMIT_FRACTION = 0.2  # of the quota
MAX_LATENCY_RATIO = 3.0  # of recent to usual call time; above it the limit is lowered
BACKOFF_RATIO = 0.95  # of the limit, for each slow or failed call
GROWTH_CALLS = 0.1  # added to the limit for each call that completes while requests wait for one
RECENT_SMOOTHING_FRACTION = 0.1  # weight of one call in the recent call time
USUAL_SMOOTHING_FRACTION = 0.005  # weight of one call in the usual call time
LOST_SMOOTHING_FRACTION = 0.05  # weight of one call in the fraction of lost replies
MEAN_WINDOW_FRACTION = 0.25  # of the quota's window; the window of the mean of calls in flight
MAX_CALL_FRACTION = 0.3  # of the quota times its window, for all calls in flight; a longer call is cancelled
MAX_SINGLE_LOST_FRACTION = 0.25  # of the calls; a smaller fraction of lost replies does not indicate overload
MIN_LOST_FRACTION = 0.0005  # of the calls; with a smaller fraction of lost replies no call is cancelled early
CALL_TIMEOUT_RATIO = 8.0  # of a skippable call's timeout to the usual or recent call time
MIN_CALL_TIMEOUT_MS = 60.0  # long enough for replies that a busy host reads late
MAX_CAPACITY_WAIT_RATIO = 2.0  # of the wait for capacity to the usual call time
MAX_BURST_LATENCY_RATIO = 1.5  # of recent to usual call time; above it calls don't wait for capacity

LOST_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


class DownstreamLimit:
    """Counts calls in flight and, with a shared dependency, limits them to well below the quota of this server.

    The limit protects a dependency that is slow or overloaded for any reason. If calls become permanently slower, the
    limit stays at its minimum until the usual call time has caught up.
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
        "_usual_call_ms",
        "degradable_waiting",
        "in_flight",
        "limit",
        "peer_calls",
        "recent_call_ms",
        "waiting",
    )

    def __init__(self, settings: Settings, now: float) -> None:
        quota = settings.call_quota
        self._quota = quota
        self._max_limit = quota * MAX_LIMIT_FRACTION
        self._min_limit = quota * MIN_LIMIT_FRACTION
        self._max_total_call_ms = MAX_CALL_FRACTION * quota * settings.call_quota_window_ms  # for all calls in flight
        self._updated_at = now
        self._mean_in_flight = 0.0
        # The window is longer if one call is a large part of the quota.
        window_fraction = MEAN_WINDOW_FRACTION / min(1.0, quota or 1.0)
        self._mean_window_ms = max(1.0, settings.call_quota_window_ms * window_fraction)
        self._lost_fraction = 0.0
        self.limit = self._max_limit
        self.in_flight = 0
        self.peer_calls = 0.0  # calls in flight of another process of this server
        self.recent_call_ms = 0.0  # moving average of the call time
        self._usual_call_ms = 0.0  # moving average of the call time over many more calls
        # Heap of (not_before, request id, request): requests whose call is required or retried.
        self.waiting: list[tuple[float, int, TrackedRequest]] = []
        self.degradable_waiting: deque[TrackedRequest] = deque()  # requests that can continue without their call

    @property
    def call_times(self) -> CallTimes:
        """Return the usual and the recent time of a call."""
        return CallTimes(self._usual_call_ms, self.recent_call_ms)

    def advance(self, now: float) -> None:
        """Update the mean of calls in flight to the given time."""
        remaining = exp(-(now - self._updated_at) / self._mean_window_ms)
        self._mean_in_flight += (self.in_flight - self._mean_in_flight) * (1 - remaining)
        self._updated_at = now

    def adopt(self, call_times: CallTimes, limit: float) -> None:
        """Start with the call times and the limit that another process learned."""
        self._usual_call_ms, self.recent_call_ms = call_times
        self.limit = limit

    def wait(self, request: TrackedRequest, not_before: float) -> None:
        """Let a request whose call is required or retried wait for capacity, at least until ``not_before``."""
        heappush(self.waiting, (not_before, request.id, request))

    def wait_degradable(self, request: TrackedRequest) -> None:
        """Let a request that can continue without its call wait for capacity while ``should_wait`` holds."""
        self.degradable_waiting.append(request)

    def pop_ready(self, now: float) -> TrackedRequest | None:
        """Return the next request whose wait has ended, or None; required and retried calls go first.

        A wait ends if there is capacity for the call, if the request no longer needs a call, or if a request that can
        continue without its call should not wait any longer.
        """
        waiting = self.waiting
        if waiting and waiting[0][0] <= now:
            request = waiting[0][2]
            if request.state is not WAITING_FOR_CALL or request.answered or self.has_capacity():
                return heappop(waiting)[2]
        degradable = self.degradable_waiting
        if degradable and (self.has_capacity() or not self.should_wait(degradable[0].call_needed_at, now)):
            return degradable.popleft()
        return None

    def start_call(self) -> None:
        """Count a call as in flight."""
        self.in_flight += 1

    def abandon_call(self) -> None:
        """Stop counting a call whose reply is no longer needed."""
        self.in_flight -= 1

    def finish_call(self, duration_ms: float, outcome: Outcome, generator: random.Random) -> bool:
        """Stop counting a call, and adapt the call times and the limit to its duration and outcome.

        Returns True if its reply was lost while few others were. This does not indicate an overloaded dependency, so
        the call times and the limit stay as they are.
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
        self.recent_call_ms += (duration_ms - self.recent_call_ms) * (
            RECENT_SMOOTHING_FRACTION if self._usual_call_ms else 1.0
        )
        self._usual_call_ms += (duration_ms - self._usual_call_ms) * (
            USUAL_SMOOTHING_FRACTION if self._usual_call_ms else 1.0
        )
        if duration_ms >= self.max_call_ms():
            self.limit = 0.0  # raised to the minimum below
        elif outcome is not Outcome.OK or self.recent_call_ms > MAX_LATENCY_RATIO * self._usual_call_ms:
            self.limit *= BACKOFF_RATIO
        elif self.waiting:
            self.limit += GROWTH_CALLS
        self.limit = min(self._max_limit, max(self._min_limit, self.limit))
        return False

    def _delay_next_call(self, generator: random.Random) -> None:
        """Delay the next call by a random time, as the dependency is down for all servers.

        With a quota under one call each, the servers must not all call at the instant when the dependency returns, so
        each counts its quota as used up. The limit is not lowered: all servers would raise it at the first replies and
        use the additional calls at the same time.
        """
        spread = self._quota * MAX_CALL_FRACTION / (MAX_LIMIT_FRACTION * MEAN_WINDOW_FRACTION)
        self._mean_in_flight = max(self._mean_in_flight, self.limit * exp(generator.random() * spread))

    def skippable_call_timeout_ms(self) -> float:
        """Return the timeout of a skippable call, as a lost reply never arrives; infinite if hardly any are lost."""
        if self._lost_fraction > MIN_LOST_FRACTION:
            return max(MIN_CALL_TIMEOUT_MS, CALL_TIMEOUT_RATIO * max(self._usual_call_ms, self.recent_call_ms))
        return inf

    def should_wait(self, waiting_since: float, now: float) -> bool:
        """Return True if a skippable call should still wait for capacity, which a burst frees as its calls complete.

        If calls are slower than usual, the dependency is overloaded and waiting would only delay the request.
        """
        return (
            self.recent_call_ms <= MAX_BURST_LATENCY_RATIO * self._usual_call_ms
            and now - waiting_since < MAX_CAPACITY_WAIT_RATIO * self._usual_call_ms
        )

    def max_call_ms(self) -> float:
        """Return the maximum duration of a call, as a call that hangs would far exceed a quota under one call."""
        return self._max_total_call_ms / max(1, self.in_flight) or inf

    def has_capacity(self) -> bool:
        """Return True if one more call stays within the limit; a limit under one call is enforced on the mean."""
        if self._quota <= 0:
            return True
        limit = max(MIN_OWN_QUOTA_FRACTION * self.limit, self.limit - self.peer_calls)
        return self.in_flight < limit and self._mean_in_flight <= self.limit
