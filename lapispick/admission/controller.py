"""Every decision of lapispick. Its settings, events and actions are modules of ``lapispick.admission``.

A request is admitted under pressure only if its worth clears the shadow prices on the hold and cost it uses,
and runs only under the limit L. Around that path stand the guards of the four rules. ``Controller`` is last.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from heapq import heappop, heappush
from itertools import combinations
from math import exp, inf

from lapispick.admission import (
    Action,
    Advertise,
    BackpressureSignal,
    CallCompleted,
    CallRequested,
    CancelMode,
    CancelRun,
    ClassSettings,
    ClientCancelled,
    Coalesce,
    Event,
    Fail,
    Idempotency,
    LearnedEstimates,
    Log,
    Outcome,
    Reject,
    ReleaseKey,
    RequestReceived,
    RetainKey,
    RunCompleted,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    Settings,
    ShutdownRequested,
    SkipCall,
    StartCall,
    StartRun,
    TimerFired,
)
from lapispick.admission.request_state import CALLING, HELD, JOINED, OVER, PAUSED, RUNNING, WANTS_CALL, Entry

# Tuned values: unit, then the reason.
TICK_MS = 40.0  # ms; the one timer: under the slack of the due time, few enough to be cheap
ANSWER_LEAD_MS = 30.0  # ms; a due answer goes out this much early, so that a tick late is still in time
STOP_LEAD_MS = 120.0  # ms; the same for the time when the process is stopped
DRAIN_PART = 0.9  # of the grace; callers hear late of a host that leaves, so it serves them as long as it may
HELD_PART = 0.1  # of the time a request came with; a held one is refused when no more than this is left
SAMPLE_SIZE = 24  # requests under pressure; a server sees few a second, and the prices freeze for its life
LEAST_FREE = 0.3  # of the slots; what is held already is taken from the hold budget, down to this
SAMPLE_SPAN_MS = 1000.0  # ms; T of the linear program
LINE_PART = 0.25  # of a request's spare time; at a wait ahead of this the frozen prices bind in full
WINDOW_MS = 240.0  # ms; one step of the limit and of the advertised value
LATENCY_ROOM = 1.5  # times the lowest window; above it the limit does not grow
LIMIT_START = 1.5  # of the cores; runs may wait for disk, which no event tells
WINDOW_RUNS = 8  # runs; fewer say little about their time
CROWDED = 1.6  # of the cores; with more than this on them runs only slow each other
LIMIT_BACKOFF = 0.9  # factor of the limit on an error or a departed caller
SHARED_LEAST = 0.5  # of a limit that two processes of one server share; neither waits for the other's half
THIN_PART = 1.3  # of the slots; with more than this back from calls some are paused, where work can be
CROWD_FADE = 0.1  # part of a tick; memory of what is on the cores
BUSY_CORES = 0.95  # of the cores; with cores this busy one more run adds no throughput
CROWD_PART = 0.5  # of the crowd a server survives; the survivable crowd is no target
MEMORY_PART = 0.92  # of the memory; counted before acting, the rest is room for what is read meanwhile
ESTIMATE_STEPS = 30  # runs; memory of a class's run estimate
EXPECT_MOST = 0.7  # of the aim; a request with more left is tried, however slow the runs of its class were
FIRST_RUN_PART = 0.15  # of the aim; a class's run until one was seen
UNREAD_FREE = 0.15  # of the aim; a request that lay unread longer shows that reading is behind
BEHIND_PART = 0.5  # of L; what runs while reading is behind
UNREAD_PART = 0.5  # of the aim; lying unread this long counts like a refusal
REFUSED_FADE = 0.75  # factor a window; memory of the share refused
RANKS_SEEN = 60  # requests; their ranks turn a share refused into a level
TELL_STEP = 0.01  # smaller changes of the advertised value are not told
CREDIT_MOST = 100.0  # requests for each caller; a credit that keeps nothing back
REFUSED_ROOM = 0.05  # of the requests read; fewer refusals than this leave the advertised value alone
ADVERT_GAIN = 0.15  # of the share refused that the next advertised value keeps from being sent
LEVEL_RELAX = 0.06  # rank a window; how fast a level falls when little is refused
CREDIT_RELAX = 1.12  # factor a window; how fast a credit grows when little is refused
TRIES_SEEN = 200.0  # tries; memory of the times that tries come with
TRY_BINS = 100  # of the deadline; how finely these times are told apart, jitter stays within two bins
FIRST_TRIES = 0.1  # of the tries; a time that fewer come with is what a further try has left
KEEP_PART = 0.2  # of the time idle connections last; what keeping one longer costs is a new one's work
BACK_SEEN = 40  # requests; memory of how many came from a caller seen within that span
BACK_LEAST = 0.5  # of the requests; with fewer an idle connection costs more than it saves
VALVE_START = 0.6  # of the time idle connections last; the limit of a server that knows no caller yet
VALVE_SHED = 0.3  # of the requests read; with more shed a full table costs less than reading them
VALVE_STEP = 1.03  # factor a window of the idle limit
IDLE_LEAST_MS = 10.0  # ms; the wire's least limit
LOG_GAP_MS = 20000.0  # ms; between two log lines on one axis
REST_PART = 0.3  # of a run's time on the cores; what is left of it after a call
CALL_LEAST = 0.5  # of the usual time of a call; with less to spare it is left out
CALL_TRIES = 4  # calls for one need, as long as the ones before are known not to have run (or are safe)
CALLS_PART = 0.6  # of the share of calls in hand; the most calls out, the rest is for those that linger
CALLS_FLOOR = 0.2  # of the share of calls in hand; the least limit
CALL_ROOM = 3.0  # times the usual; recent calls slower than this lowers the limit
CALLS_BACKOFF = 0.95  # factor of the limit for a slow or failed call
CALLS_RECENT = 0.1  # part of a call; how fast the recent time of a call moves
CALLS_STEP = 0.1  # calls; how fast the limit grows while requests wait for one
CALLS_MEAN_PART = 0.25  # of the dependency's window; over this the mean of calls in hand is kept
CALL_MOST = 0.3  # of the share of calls in hand times that window; a call that lasts longer is given up
CALLS_LEARN = 0.005  # part of a call; how fast the usual time of a call moves
CALL_PATIENCE = 8.0  # times the usual or recent time of a call; later a read's call is made again or left out
CALL_PATIENCE_MS = 60.0  # ms; the least of that, for replies that a busy host reads late
LOST_RECENT = 0.05  # part of a call; memory of the share of calls with no usable reply
LOST_LEAST = 0.0005  # of the calls; ninety calls after a lost reply none is given up early any more
LOST_ROOM = 0.25  # of the calls; fewer lost replies say nothing about how crowded the dependency is
ROOM_WAIT = 2.0  # times the usual time of a call; a burst ends with the calls that it made
CROWD_ROOM = 1.5  # times the usual; with recent calls slower than this nobody waits for room
CALL_PAUSE_MS = 60.0  # ms; before a call that was turned away is made again


def solve_prices(
    types: Sequence[tuple[float, float, float, float]], hold_budget: float, cost_budget: float
) -> tuple[float, float]:
    """Find the duals of: maximise sum w*v*x, sum w*h*x <= hold_budget, sum w*c*x <= cost_budget, 0 <= x <= 1.

    ``types`` holds (weight, value, hold, cost). The dual is piecewise linear and convex in the prices, so
    its least value lies where two of the lines v = p_h*h + p_c*c, p_h = 0 and p_c = 0 meet; all are tried.
    """
    lines = [(h, c, v) for _, v, h, c in types] + [(1.0, 0.0, 0.0), (0.0, 1.0, 0.0)]
    best, prices = inf, (0.0, 0.0)
    for (h1, c1, v1), (h2, c2, v2) in combinations(lines, 2):
        det = h1 * c2 - h2 * c1
        if abs(det) < 1e-12:
            continue
        ph, pc = (v1 * c2 - v2 * c1) / det, (h1 * v2 - h2 * v1) / det
        if ph >= -1e-12 and pc >= -1e-12:
            ph, pc = max(0.0, ph), max(0.0, pc)
            dual = ph * hold_budget + pc * cost_budget
            dual += sum(w * max(0.0, v - ph * h - pc * c) for w, v, h, c in types)
            if dual < best - 1e-9:
                best, prices = dual, (ph, pc)
    return prices


class ShadowPrices:
    """The prices of hold and cost: zero at first, learned once from a sample under pressure, then frozen."""

    __slots__ = ("admitted_cost", "cost_price", "frozen", "hold_price", "sample", "since", "span", "waits")

    def __init__(self) -> None:
        self.hold_price = self.cost_price = 0.0
        self.frozen = False
        self.sample: list[tuple[int, float, float, float]] = []  # class, value, hold, cost
        self.span = self.waits = self.admitted_cost = 0.0  # span: the sample's time under pressure
        self.since: float | None = None  # the last request under the present pressure

    def observe(self, now: float, wait: float, seen: tuple[int, float, float, float]) -> None:
        """Note the class, value, hold and cost of a request that came under pressure, and the wait it met."""
        self.span += now - self.since if self.since is not None else 0.0
        self.since = now
        self.waits += wait
        self.sample.append(seen)

    def settle(self, slots: float) -> str | None:
        """Price a full sample, adopt the result only if it admits more worth on that sample, and freeze."""
        if self.frozen or len(self.sample) < SAMPLE_SIZE or self.span <= 0:
            return None
        spans, count = self.span / SAMPLE_SPAN_MS, len(self.sample)
        slots *= max(LEAST_FREE, 1 - self.waits / count / SAMPLE_SPAN_MS)  # the rest is spoken for
        cost_budget = self.admitted_cost / spans
        types = []
        for cls in sorted({s[0] for s in self.sample}):
            rows = [s for s in self.sample if s[0] == cls]
            types.append((len(rows) / spans, *(sum(r[i] for r in rows) / len(rows) for i in (1, 2, 3))))
        learned = solve_prices(types, slots * SAMPLE_SPAN_MS, cost_budget)
        old = (self.hold_price, self.cost_price)
        gain = self._replay(learned, slots, cost_budget) - self._replay(old, slots, cost_budget)
        self.frozen, self.sample = True, []
        self.hold_price, self.cost_price = learned if gain > 0 else old
        said = "adopted" if gain > 0 else "kept"
        return f"prices {said}: hold {self.hold_price:.3g} cost {self.cost_price:.3g}"

    def _replay(self, prices: tuple[float, float], slots: float, cost_budget: float) -> float:
        """Worth admitted when the sample arrives evenly and each budget refills evenly."""
        full = slots * SAMPLE_SPAN_MS
        part = self.span / len(self.sample) / SAMPLE_SPAN_MS
        hold_room = cost_room = got = 0.0
        for _, value, hold, cost in self.sample:
            hold_room = min(full, hold_room + full * part)
            cost_room = min(cost_budget, cost_room + cost_budget * part)
            clears = value >= (prices[0] * hold + prices[1] * cost) * (1 - 1e-9)
            if clears and hold <= hold_room and cost <= cost_room:
                hold_room, cost_room, got = hold_room - hold, cost_room - cost, got + value
        return got


class ConcurrencyLimit:
    """L: how many requests may hold a core's slot, from the cores to a part of the survivable crowd."""

    __slots__ = ("bound", "count", "crowd", "lowest", "settings", "total", "troubled", "value")

    def __init__(self, settings: Settings) -> None:
        self.settings, self.value = settings, LIMIT_START * settings.cores
        self.lowest, self.total, self.count, self.crowd = inf, 0.0, 0, 0.0
        self.troubled = self.bound = False

    def ended(self, pace: float) -> None:
        """Note a run's time over what its class leads to expect."""
        self.total += pace
        self.count += 1

    def close_window(self, speed: float, core_use: float, on_cores: float) -> None:
        """Take one step: +1 while runs are quick and cores idle, less on errors, departures and crowding."""
        s, quick = self.settings, True
        ceiling = s.cores * max(1.0, CROWD_PART * (1 + (s.overload_runs_per_core - 1) * speed))
        if self.count >= WINDOW_RUNS:
            mean = self.total / self.count
            self.lowest = min(self.lowest, mean)
            quick = mean < LATENCY_ROOM * self.lowest
            self.total, self.count = 0.0, 0
        if self.troubled:
            self.value *= LIMIT_BACKOFF
        elif on_cores > CROWDED * s.cores:
            self.value -= 1
        elif self.bound and quick and core_use < BUSY_CORES:
            self.value += 1
        self.value = min(ceiling, max(float(s.cores), self.value))
        self.troubled = self.bound = False


class RunEstimates:
    """Learned run times by class: on the cores (by unit of hinted work, if hinted), at calls, and hold."""

    __slots__ = ("calls", "cores", "counts", "holds", "in_call", "ratio", "ratio_count")

    def __init__(self, classes: Sequence[ClassSettings]) -> None:
        self.cores = [c.latency_objective_ms * FIRST_RUN_PART for c in classes]
        self.holds = list(self.cores)
        self.calls = [0.0] * len(classes)  # from needing a call to going on
        self.in_call = [0.0] * len(classes)  # the part of it with a call out
        self.counts = [0] * len(classes)
        self.ratio, self.ratio_count = 1.0, 0

    def core(self, r: Entry) -> float:
        """Return the expected time on the cores and on disk."""
        return r.cost * self.ratio if r.cost > 0 else self.cores[r.cls]

    def learn(self, r: Entry, took: float) -> float:
        """Take in a finished run; return its time over what was expected."""
        on_core = max(0.0, took - r.call_ms)
        pace = on_core / max(1.0, self.core(r))
        self.counts[r.cls] = n = min(ESTIMATE_STEPS, self.counts[r.cls] + 1)
        for table, seen in (
            (self.cores, on_core),
            (self.holds, took),
            (self.calls, r.call_ms),
            (self.in_call, r.in_call_ms),
        ):
            table[r.cls] += (seen - table[r.cls]) / n
        if r.cost > 0:
            self.ratio_count = min(2 * ESTIMATE_STEPS, self.ratio_count + 1)
            self.ratio += (on_core / r.cost - self.ratio) / self.ratio_count
        return pace


class Downstream:
    """Calls in hand; with a shared dependency, an adaptive limit well inside the share that it survives.

    It guards against a slow or crowded dependency whatever the cause; a lasting step in the time of calls
    would keep it at its floor until the usual time has followed.
    """

    __slots__ = ("hopeful", "limit", "lost", "mean", "others", "out", "recent", "settings", "since", "usual", "waiting")

    def __init__(self, settings: Settings, now: float) -> None:
        self.settings, self.since, self.limit = settings, now, settings.call_quota * CALLS_PART
        self.out, self.mean, self.recent, self.usual = 0, 0.0, 0.0, 0.0  # the last two: times of a call
        self.lost = self.others = 0.0  # others: calls of another process of this server
        self.waiting: list[tuple[float, int, Entry]] = []  # not before, id
        self.hopeful: deque[Entry] = deque()  # those that can go without one and wait for room a little

    def advance(self, now: float) -> None:
        """Carry the mean of calls in hand forward."""
        part = CALLS_MEAN_PART / min(1.0, self.settings.call_quota or 1.0)  # longer where one call is a lot
        fade = exp(-(now - self.since) / max(1.0, self.settings.call_quota_window_ms * part))
        self.mean += (self.out - self.mean) * (1 - fade)
        self.since = now

    def ended(self, took: float, outcome: Outcome, rng: random.Random) -> bool:
        """Learn from a call's time; True where just a single reply was lost, which is no sign of a crowd."""
        if outcome is Outcome.CONNECT_FAILED and 0 < self.settings.call_quota < 1:
            # The dependency is down for all servers. With a share under one call each, they must not all
            # call in the instant of its return: each counts its share as used, and draws when it is free.
            # The limit stays: what it would regain at the first replies, all would use at one time.
            span = self.settings.call_quota * CALL_MOST / (CALLS_PART * CALLS_MEAN_PART)
            self.mean = max(self.mean, self.limit * exp(rng.random() * span))
            return False
        lost = outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)
        self.lost += (lost - self.lost) * LOST_RECENT
        if lost and self.lost < LOST_ROOM and self.settings.call_quota >= 1:
            return True
        share = self.settings.call_quota
        self.recent += (took - self.recent) * (CALLS_RECENT if self.usual else 1.0)
        self.usual += (took - self.usual) * (CALLS_LEARN if self.usual else 1.0)
        if took >= self.longest():
            self.limit = 0.0  # down to the floor
        elif outcome is not Outcome.OK or self.recent > CALL_ROOM * self.usual:
            self.limit *= CALLS_BACKOFF
        elif self.waiting:
            self.limit += CALLS_STEP
        self.limit = min(share * CALLS_PART, max(share * CALLS_FLOOR, self.limit))
        return False

    def patience(self) -> float:
        """How long a call that can be left out is waited for: a reply that was lost never comes."""
        usual = max(CALL_PATIENCE_MS, CALL_PATIENCE * max(self.usual, self.recent))
        return usual if self.lost > LOST_LEAST else inf

    def worth_waiting(self, since: float, now: float) -> bool:
        """Tell whether a call that can be left out still waits for room: a burst ends as soon as calls do.

        Where calls are slower than usual it is no burst: the dependency is crowded, and waiting only delays.
        """
        return self.recent <= CROWD_ROOM * self.usual and now - since < ROOM_WAIT * self.usual

    def longest(self) -> float:
        """How long a call may last: one that hangs would go far past a share under one call."""
        return CALL_MOST * self.settings.call_quota * self.settings.call_quota_window_ms / max(1, self.out) or inf

    def room(self) -> bool:
        """Tell whether one more call stays within the limit; a fraction is kept in the mean."""
        limit = max(SHARED_LEAST * self.limit, self.limit - self.others)
        return self.settings.call_quota <= 0 or (self.out < limit and self.mean <= self.limit)


class KeyTable:
    """Keyed requests of the last window: which key's request ran, and which one stands for it now."""

    __slots__ = ("by_id", "count", "expiry")

    def __init__(self) -> None:
        self.by_id: dict[int, list[int]] = {}  # id -> the key's shared record [standing id, ran]
        self.expiry: deque[tuple[float, int]] = deque()
        self.count = 0  # entries that take memory

    def keep(self, rid: int, until: float, record: list[int] | None) -> None:
        """Let a request stand for its key from now on."""
        self.count += record is None
        record = record or [rid, 0]
        record[0] = rid
        self.by_id[rid] = record
        self.expiry.append((until, rid))

    def expire(self, now: float) -> None:
        """Drop entries whose time is over."""
        while self.expiry and self.expiry[0][0] <= now:
            rid = self.expiry.popleft()[1]
            record = self.by_id.pop(rid, None)
            self.count -= record is not None and record[0] == rid


class AdvertisedValue:
    """What callers are told: the price test's refusals turned into a level, a credit or a weight."""

    __slots__ = ("credit", "level", "offered", "out", "ranks", "refused", "settings", "share", "told")

    def __init__(self, settings: Settings) -> None:
        self.settings, self.level, self.credit, self.told = settings, 0.0, CREDIT_MOST, -1.0
        self.offered = self.refused = self.share = 0.0
        self.ranks: deque[float] = deque(maxlen=RANKS_SEEN)
        self.out: dict[int, int] = {}  # by caller, only those with something out

    def note(self, r: Entry, unread: float) -> None:
        """Count a request that was read, after it lay unread for this part of its aim."""
        self.offered += 1
        self.ranks.append(r.rank)
        self.out[r.caller] = self.out.get(r.caller, 0) + 1
        if unread > UNREAD_FREE:  # reading is behind, though the hold may be empty
            self.refused += min(1.0, unread / UNREAD_PART)

    def close_window(self, leaving: bool) -> float | None:
        """Return the next value to send, or None where it stays as it is."""
        self.share = share = min(1.0, self.refused / self.offered) if self.offered >= 1 else 0.0
        self.offered, self.refused = self.offered * REFUSED_FADE, self.refused * REFUSED_FADE
        if share > REFUSED_ROOM:
            if passing := sorted(x for x in self.ranks if x >= self.level):
                self.level = max(self.level, passing[int(len(passing) * share * ADVERT_GAIN)])
            most_out = min(self.credit, max(1.0, *self.out.values(), 0.0))
            least = self.settings.cores / max(1, self.settings.callers)  # with less the cores would idle
            self.credit = max(least, most_out * (1 - ADVERT_GAIN * share))
        else:
            self.level = max(0.0, self.level - LEVEL_RELAX)
            self.credit = min(CREDIT_MOST, self.credit * CREDIT_RELAX)
        kind, level = self.settings.backpressure_signal, 1.0 if leaving else self.level
        value = {BackpressureSignal.LEVEL: level, BackpressureSignal.CREDIT: self.credit * (not leaving)}.get(
            kind, 1 - level
        )
        if kind is BackpressureSignal.NONE or abs(value - self.told) < TELL_STEP:
            return None
        self.told = value
        return value


class TryTimes:
    """Which times first tries come with, as parts of the deadline: callers of one habit all give the same.

    Any other time is what was left to a further try, so the client's first try is the rest of the deadline
    ago. It pools all callers and classes, for a pair may meet once. It could harm where callers give times
    that vary by themselves: such tries would pass for older than they are.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts, self.total = [0.0] * (TRY_BINS + 2), 0.0

    def spent(self, left: float, deadline: float) -> float:
        """Note the time that a try came with; return how long ago the client's first try was, 0 if this."""
        at = min(TRY_BINS, max(1, round(left / deadline * TRY_BINS)))
        self.counts[at] += 1
        self.total += 1
        if self.total >= TRIES_SEEN:
            self.counts, self.total = [n / 2 for n in self.counts], self.total / 2
        usual = sum(self.counts[at - 1 : at + 2]) >= FIRST_TRIES * self.total
        return 0.0 if usual else max(0.0, deadline - left)


class Connections:
    """How long idle connections are kept: as long as can be where callers return before that costs a new one.

    Elsewhere the limit is the valve of a flooded server: a full table turns callers away unread and lets in
    its size over the limit. A connection keeps the limit it went idle with, hence the small steps.
    Guards against floods of any cause; it could harm where a full table costs more than the reading it saves.
    """

    __slots__ = ("back", "idle", "last", "span", "told")

    def __init__(self, settings: Settings) -> None:
        self.idle = self.told = settings.idle_timeout_ms
        self.span, self.back = settings.idle_timeout_ms * VALVE_START, 0.0
        self.last: dict[int, float] = {}  # callers seen within the keeping span, the oldest first

    def note(self, now: float, caller: int) -> None:
        """Count whether this request's caller was here within the keeping span."""
        since = now - KEEP_PART * self.idle
        came = self.last.pop(caller, -inf) >= since
        self.last[caller] = now
        while self.last[oldest := next(iter(self.last))] < since:
            del self.last[oldest]
        self.back += (came - self.back) / BACK_SEEN

    def close_window(self, shed: float) -> float | None:
        """Return the next limit, or None where it stays; ``shed`` is the share that was read in vain."""
        self.span *= VALVE_STEP if shed > VALVE_SHED else 1 / VALVE_STEP
        self.span = self.idle if self.back > BACK_LEAST else min(self.idle, max(IDLE_LEAST_MS, self.span))
        if abs(self.span - self.told) <= 0.1 * self.told:
            return None
        self.told = self.span
        return self.span


class Controller:
    """Orders the parts: one step takes events and returns actions, with no clock and no I/O of its own."""

    __slots__ = (
        "advert",
        "alarms",
        "batch",
        "born",
        "calls",
        "entries",
        "est",
        "handlers",
        "keys",
        "late_from",
        "leave_at",
        "limit",
        "links",
        "logged",
        "memory",
        "next_window",
        "now",
        "on_core",
        "order",
        "others",
        "out",
        "prices",
        "queued_ms",
        "queues",
        "rng",
        "s",
        "seq",
        "stop_at",
        "thinned",
        "tries",
        "unread",
    )

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        settings.validate()
        self.s, self.rng, self.now, self.born = settings, random.Random(seed), now, now
        self.late_from = n = len(settings.classes)  # queues from here on hold requests past their aim
        self.prices, self.limit, self.keys = ShadowPrices(), ConcurrencyLimit(settings), KeyTable()
        self.est, self.tries, self.links = RunEstimates(settings.classes), TryTimes(), Connections(settings)
        self.calls, self.advert = Downstream(settings, now), AdvertisedValue(settings)
        self.entries: dict[int, Entry] = {}
        self.queues: list[list[tuple[float, int, Entry]]] = [[] for _ in range(2 * n)]
        self.queued_ms, self.order = [0.0] * (2 * n), list(range(2 * n))  # order: densest worth first
        self.alarms: list[tuple[float, int, Entry]] = []
        self.logged: dict[str, float] = {}
        self.leave_at = self.stop_at = inf
        self.memory, self.unread, self.on_core, self.seq, self.next_window = 0.0, 0.0, 0, 0, -inf
        self.thinned: list[Entry] = []  # paused, or on their way to it
        self.others = (0.0, 0.0)  # runs and KB that another process of this server has in hand
        self.out: list[Action] = []
        self.handlers = {
            RequestReceived: self._request,
            ClientCancelled: self._gone,
            RunCompleted: self._ended,
            CallRequested: self._needs,
            CallCompleted: self._called,
            ShutdownRequested: self._leave,
            TimerFired: self._timer,
        }

    def step(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Take in what happened at ``now`` and return what to do."""
        self.now, self.out, self.batch = now, [], events
        if self.next_window == -inf:
            self.next_window = now
            self.out += [SetHealth(True, True), SetTimer(TICK_MS, 0)]
        self.calls.advance(now)
        for event in events:
            self.handlers[type(event)](event)
        self._alarms()
        self._waiting_calls()
        self._dispatch()
        return self.out

    def learned(self) -> LearnedEstimates:
        """Return what a process that takes this one's place should know; see ``adopt``."""
        e, c, p = self.est, self.calls, self.prices
        return LearnedEstimates(
            tuple(e.cores),
            tuple(e.holds),
            tuple(e.calls),
            tuple(e.in_call),
            tuple(e.counts),
            self.limit.value,
            (c.usual, c.recent),
            c.limit,
            (p.hold_price, p.cost_price),
            p.frozen,
        )

    def adopt(self, known: LearnedEstimates) -> None:
        """Begin with what another process learned at these cores; what was seen here goes before it."""
        e, c, p = self.est, self.calls, self.prices
        if any(e.counts) or len(known.counts) != len(e.counts):
            return
        e.cores, e.holds, e.calls, e.in_call, e.counts = (list(t) for t in known[:5])
        self.limit.value = max(float(self.s.cores), known.limit)
        (c.usual, c.recent), c.limit = known.call_times, known.call_limit
        (p.hold_price, p.cost_price), p.frozen = known.prices, known.frozen

    def _request(self, e: RequestReceived) -> None:
        now, cls = self.now, self.s.classes[e.cls]
        r = Entry(e, now)
        due = e.deadline_at if e.deadline_at > 0 else r.arrived + cls.deadline_ms
        spent = 0.0 if self.s.lower_tier else self.tries.spent(due - r.arrived, cls.deadline_ms)
        r.worth = cls.priority_weight * (r.cost if self.s.weight_by_work and r.cost > 0 else 1.0)
        r.aim_at = (
            r.arrived
            - spent
            + min(cls.deadline_ms, cls.latency_objective_ms + cls.objective_stretch * self.est.core(r))
        )
        r.aim_at = due if self.s.lower_tier and e.deadline_at > 0 else r.aim_at  # a call's time is its aim
        r.deadline_at = min(due - ANSWER_LEAD_MS, self.stop_at)
        self.entries[r.id] = r
        self.memory += r.kb
        self.advert.note(r, e.age_ms / cls.latency_objective_ms)
        self.unread = e.age_ms / cls.latency_objective_ms
        self.links.note(now, r.caller)
        self._alarm(r)
        if e.retry_of and self._repeat(r, e.retry_of):
            return
        if r.arrived > self.leave_at + DRAIN_PART * self.s.drain_grace_ms:
            self._refuse(r, "drain", elsewhere=True)
        elif now >= r.deadline_at:
            self._refuse(r, "late")
        elif self._memory_with(self.s.key_memory_kb) > 1:
            self._refuse(r, "memory", elsewhere=True)
        elif not self._price_test(r):
            self._refuse(r, "price")
        else:
            if cls.idempotency is Idempotency.KEYED:  # before its key can come again, or both could run
                self.keys.keep(r.id, now + cls.idempotency_window_ms, self.keys.by_id.get(e.retry_of))
                self.out.append(RetainKey(r.id, cls.idempotency_window_ms))
            self._push(r)

    def _price_test(self, r: Entry) -> bool:
        """Worth against priced hold and cost; binds only while work waits, as much as the wait presses."""
        late = self.now >= r.aim_at
        wait = self._ahead(r.cls + (self.late_from if late else 0))
        if wait <= 0:
            self.prices.since = None  # the time until the next pressure is no part of the sample
            return True
        value = r.worth * (self.s.classes[r.cls].late_weight if late else 1.0)
        hold = self.est.core(r)
        if not self.prices.frozen and not late and self._speed() >= 1:  # cold prices go stale
            self.prices.observe(self.now, wait, (r.cls, value, hold, r.cost))
            line = self.prices.settle(self.limit.value)
            self.out += [Log(line)] if line else []
        spare = (r.deadline_at if late else r.aim_at) - self.now - self._expected(r)
        pressure = wait / (LINE_PART * spare) if spare > 0 else inf
        price = self.prices.hold_price * hold + self.prices.cost_price * r.cost
        admit = pressure < 1 and value >= pressure * price  # a longer line would answer too late
        self.prices.admitted_cost += r.cost * admit
        return admit

    def _ahead(self, queue: int) -> float:
        """How long the work before a newcomer to this queue keeps the slots, or the calls if it needs one."""
        work = call_work = 0.0
        n, needs = self.late_from, [c.degraded_weight <= 0 for c in self.s.classes]
        for q in self.order:
            work += self.queued_ms[q]
            if needs[q % n]:  # the others go on without a call where there is no room
                call_work += self.queued_ms[q] * self.est.in_call[q % n] / max(1.0, self.est.cores[q % n])
            if q == queue:
                break
        wait = work / self.limit.value
        if self.s.call_quota > 0 and needs[queue % n] and self.est.in_call[queue % n] > 0:
            wait = max(wait, (call_work + len(self.calls.waiting) * self.calls.recent) / self.calls.limit)
        return wait

    def _speed(self) -> float:
        """Return the least share of its speed that this server is sure to have now."""
        if not self.s.warming_up or self.s.warm_up_ms <= 0:
            return 1.0
        warm = (self.now - self.born) / self.s.warm_up_ms
        return min(1.0, self.s.cold_speed_fraction + (1 - self.s.cold_speed_fraction) * warm)

    def _memory_with(self, more_kb: float) -> float:
        held = self.memory + self.others[1] + more_kb
        return (held + self.s.key_memory_kb * self.keys.count) / (MEMORY_PART * self.s.memory_kb)

    def _expected(self, r: Entry) -> float:
        """How long it may take; an estimate near the aim would shut its class out for good."""
        return min(self.est.core(r) + self.est.calls[r.cls], EXPECT_MOST * self.s.classes[r.cls].latency_objective_ms)

    def _push(self, r: Entry) -> None:
        r.queue = r.cls + (self.late_from if self.now >= r.aim_at else 0)
        r.queued_ms = self.est.core(r)
        self.queued_ms[r.queue] += r.queued_ms
        self.seq += 1
        heappush(self.queues[r.queue], (r.aim_at, self.seq, r))

    def _unqueue(self, r: Entry) -> None:
        if r.queue >= 0:
            self.queued_ms[r.queue] -= r.queued_ms
            r.queue = -1

    def _density(self, queue: int) -> float:
        cls = queue % self.late_from
        c = self.s.classes[cls]
        worth = c.priority_weight * (c.late_weight if queue >= self.late_from else 1.0)
        return worth if self.s.weight_by_work else worth / max(1.0, self.est.cores[cls])

    def _dispatch(self) -> None:
        """Start held requests while slots and memory last: densest worth first, then the earliest aim."""
        slots = int(self.limit.value * (BEHIND_PART if self.unread > UNREAD_FREE else 1.0))
        slots = max(int(SHARED_LEAST * slots), slots - int(self.others[0]))
        if self.s.cancel_mode is CancelMode.PAUSE:  # what is behind with reading starts less, and pauses nothing
            self._thin(max(1, int(self.limit.value) - int(self.others[0])))
        for queue in self.order:
            heap = self.queues[queue]
            while heap:
                r = heap[0][2]
                if r.state != HELD or r.queue != queue:
                    heappop(heap)
                    continue
                if self.on_core >= slots:
                    self.limit.bound = True
                    return
                run = self._expected(r)
                if queue < self.late_from and self.now + run > r.aim_at:
                    heappop(heap)
                    self._unqueue(r)
                    if self.s.classes[r.cls].late_weight > 0:
                        r.aim_at = min(r.aim_at, self.now)
                        self._push(r)
                    else:
                        self._refuse(r, "late")
                    continue
                extra = r.kb * (self.s.run_memory_factor - 1)
                if self._memory_with(extra) > 1:
                    return
                heappop(heap)
                self._unqueue(r)
                r.state = RUNNING
                self.memory += extra
                self.on_core += 1
                if r.id in self.keys.by_id:
                    self.keys.by_id[r.id][1] = 1
                self.out.append(StartRun(r.id))

    def _thin(self, slots: int) -> None:
        """Pause runs that crowd the cores behind their calls, latest aim first; they go on first."""
        paused = [r for r in self.thinned if r.state == PAUSED]
        stopping = len(self.thinned) - len(paused)
        for r in paused[: max(0, slots - self.on_core)]:
            self.thinned.remove(r)
            r.state = RUNNING
            self.on_core += 1
            self.out.append(StartRun(r.id))
        over = self.on_core - stopping - int(THIN_PART * slots)
        if over > 0:  # a second start of an effect is never risked
            runs = [
                r
                for r in self.entries.values()
                if r.state == RUNNING
                and not r.answered
                and r not in self.thinned
                and self.s.classes[r.cls].idempotency is Idempotency.IDEMPOTENT
            ]
            for r in sorted(runs, key=lambda r: -r.aim_at)[:over]:
                r.thinned = True
                self.thinned.append(r)
                self.out.append(CancelRun(r.id))

    def _repeat(self, r: Entry, retry_of: int) -> bool:
        """Handle a repeat of a request read before; False if it is to be taken as a request of its own."""
        p = self.entries.get(retry_of)
        record = self.keys.by_id.get(retry_of)
        if self.s.classes[r.cls].idempotency is not Idempotency.KEYED:
            if p is None or p.state == JOINED or p.answered:
                return False
        elif record is None:
            if p is None and any(type(e) is RequestReceived and e.id == retry_of for e in self.batch):
                return False  # both came in this batch and this one is handled first: it stands for the key
        elif not record[1]:
            p = self.entries.get(record[0])
            if p is None or (p.state == HELD and p.deadline_at < r.deadline_at):
                if p is not None:  # never run, and the newer one has more time: it takes over
                    del self.keys.by_id[p.id]
                    self._refuse(p, "repeat")
                    self.keys.by_id[retry_of] = record
                return False
        r.state = JOINED
        self.out.append(Coalesce(r.id))
        return True

    def _gone(self, e: ClientCancelled) -> None:
        r = self.entries.get(e.id)
        if r is None or r.answered:
            return
        self._answered(r, shed=True)
        if r.state in (HELD, JOINED, PAUSED):
            self._over(r)
        else:
            self.limit.troubled |= self.now > r.aim_at
            self._abandon(r)

    def _abandon(self, r: Entry) -> None:
        """Stop a run that nobody waits for; a keyed one goes on, since a repeat can still join its result."""
        if self.s.cancel_mode is not CancelMode.NONE and self.s.classes[r.cls].idempotency is not Idempotency.KEYED:
            self.out.append(CancelRun(r.id))

    def _ended(self, e: RunCompleted) -> None:
        r = self.entries.get(e.id)
        if r is None or e.outcome is Outcome.ABANDONED or (e.outcome is Outcome.CANCELLED and not r.answered):
            # Over already; or not stopped from here: the due-time answer still stands; or it is paused now.
            if r is not None and r in self.thinned and r.state == RUNNING:
                r.state, self.on_core = PAUSED, self.on_core - 1
            return
        if r.state != JOINED and e.outcome is Outcome.OK and not r.thinned:
            self.limit.ended(self.est.learn(r, e.duration_ms))
        self.limit.troubled |= e.outcome is Outcome.ERROR
        if not r.answered:
            self._answered(r, shed=False)
        self._over(r)

    def _answered(self, r: Entry, shed: bool) -> None:
        r.answered = True
        if (left := self.advert.out.pop(r.caller) - 1) > 0:
            self.advert.out[r.caller] = left
        # Guards against spreading silence: late retries at an idle server must not keep callers away.
        if shed and (self.limit.bound or self.calls.waiting):
            self.advert.refused += 1

    def _binds(self, axis: str) -> None:
        if self.now - self.logged.get(axis, -inf) > LOG_GAP_MS:
            self.logged[axis] = self.now
            self.out.append(Log(f"{axis} binds: limit {self.limit.value:.0f}, running {self.on_core}"))

    def _refuse(self, r: Entry, axis: str, elsewhere: bool = False) -> None:
        self._binds(axis)
        away = min(self.est.holds[r.cls], self.s.max_retry_after_ms)
        away = round(away * self.rng.uniform(0.8, 1), 1)  # not all back at once
        self.out.append(Reject(r.id, away, not elsewhere, axis))
        self._answered(r, shed=axis not in ("drain", "repeat"))
        self._over(r)

    def _fail(self, r: Entry) -> None:
        self.out.append(Fail(r.id))
        self._answered(r, shed=True)
        if r.state in (JOINED, PAUSED):
            self._over(r)
        elif r.state == RUNNING:
            self._abandon(r)

    def _over(self, r: Entry) -> None:
        """Forget a request and give its memory back; a key that never ran is free again."""
        self.calls.out -= r.state == CALLING
        self.on_core -= r.state == RUNNING
        self._unqueue(r)
        if r.state == HELD and self.keys.by_id.pop(r.id, None) is not None:
            self.keys.count -= 1
            self.out.append(ReleaseKey(r.id))
        self.memory -= r.kb * (1.0 if r.state in (HELD, JOINED) else self.s.run_memory_factor)
        if r in self.thinned:
            self.thinned.remove(r)
        r.state = OVER
        del self.entries[r.id]

    def _alarm(self, r: Entry) -> None:
        self.seq += 1
        held_until = r.deadline_at - HELD_PART * (r.deadline_at - r.arrived)
        heappush(self.alarms, (held_until if r.state == HELD else r.deadline_at, self.seq, r))

    def _alarms(self) -> None:
        """Every request read has one due-time answer; running work is no excuse."""
        while self.alarms and self.alarms[0][0] <= self.now:
            r = heappop(self.alarms)[2]
            if not r.answered and r.state == HELD:
                self._refuse(r, "limit")
            elif not r.answered:
                (self._fail if self.now >= r.deadline_at else self._alarm)(r)

    def _needs(self, e: CallRequested) -> None:
        r = self.entries.get(e.id)
        if r is not None and r.state == RUNNING:
            self.on_core -= 1
            if r in self.thinned:  # it came to its call first
                self.thinned.remove(r)
            r.state, r.tries, r.needed = WANTS_CALL, 0, self.now
            self._try_call(r)

    def _try_call(self, r: Entry) -> None:
        """Make the call, go on without it, or wait for room."""
        if r.state != WANTS_CALL or r.answered:
            return
        skips = self.s.classes[r.cls].degraded_weight > 0
        spare = (r.aim_at if self.now < r.aim_at else r.deadline_at) - self.now - REST_PART * self.est.core(r)
        late = spare < CALL_LEAST * self.est.calls[r.cls]
        if skips and not late and not self.calls.room() and self.calls.worth_waiting(r.needed, self.now):
            self.calls.hopeful.append(r)
        elif skips and (late or not self.calls.room()):
            self._resume(r, SkipCall(r.id))
        elif not self.calls.room():
            self._binds("calls")
            heappush(self.calls.waiting, (self.now, r.id, r))
        elif (span := min(spare, self.calls.patience()) if skips else r.deadline_at - self.now) > 0:
            r.state, r.since, r.tries = CALLING, self.now, r.tries + 1
            self.calls.out += 1
            self.out.append(StartCall(r.id, round(min(span, self.calls.longest()), 1) or 0.1))  # 0: no end

    def _resume(self, r: Entry, *actions: Action) -> None:
        self.out += actions
        r.call_ms, r.state = r.call_ms + self.now - r.needed, RUNNING
        self.on_core += 1

    def _called(self, e: CallCompleted) -> None:
        r = self.entries.get(e.id)
        if r is None or r.state != CALLING:
            return
        self.calls.out -= 1
        single = self.calls.ended(e.duration_ms, e.outcome, self.rng)
        r.in_call_ms += self.now - r.since
        if e.outcome is Outcome.OK:
            return self._resume(r)
        r.state = WANTS_CALL
        if r.answered:
            return
        c = self.s.classes[r.cls]
        never_ran = e.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ABANDONED)
        again = (never_ran or c.idempotency is Idempotency.IDEMPOTENT) and r.tries < CALL_TRIES
        if single and again and r.tries == 1:
            self._try_call(r)
        elif c.degraded_weight > 0 and not (again and e.outcome is Outcome.CONNECT_FAILED):
            self._resume(r, SkipCall(r.id))
        elif again:
            heappush(self.calls.waiting, (self.now + CALL_PAUSE_MS, r.id, r))
        else:
            self._fail(r)

    def _waiting_calls(self) -> None:
        self._writes_waiting()
        hopeful = self.calls.hopeful
        while hopeful and (self.calls.room() or not self.calls.worth_waiting(hopeful[0].needed, self.now)):
            self._try_call(hopeful.popleft())

    def _writes_waiting(self) -> None:
        waiting = self.calls.waiting
        while waiting and waiting[0][0] <= self.now:
            r = waiting[0][2]
            if r.state == WANTS_CALL and not r.answered and not self.calls.room():
                return
            heappop(waiting)
            self._try_call(r)

    def _leave(self, e: ShutdownRequested) -> None:
        self.stop_at = e.stop_at - STOP_LEAD_MS
        if not e.handed_over:
            self.leave_at = self.now
            self.out += [SetHealth(False, True), Log("drain: leaving, new requests are sent elsewhere")]
        for r in self.entries.values():
            if r.deadline_at > self.stop_at:
                r.deadline_at = self.stop_at
                self._alarm(r)
        self.next_window = self.now

    def _timer(self, e: TimerFired) -> None:
        self.out.append(SetTimer(TICK_MS, 0))
        gauges = dict(zip(self.s.gauges, e.gauges, strict=False))
        self.others = gauges.get("other_runs", 0.0), gauges.get("other_kb", 0.0)
        self.calls.others = gauges.get("other_calls", 0.0)
        self.limit.crowd += (gauges.get("on_cores", 0.0) - self.limit.crowd) * CROWD_FADE
        if self.now < self.next_window:
            return
        self.next_window = self.now + WINDOW_MS
        self.keys.expire(self.now)
        self.limit.close_window(self._speed(), gauges.get("core_use", 0.0), self.limit.crowd)
        self.order.sort(key=lambda q: (-self._density(q), q))
        value = self.advert.close_window(self.now > self.leave_at + self.s.drain_grace_ms / 2)
        if value is not None:
            self.out.append(Advertise(value))
        if (idle := self.links.close_window(self.advert.share)) is not None:
            self.out.append(SetIdleTimeout(idle))
