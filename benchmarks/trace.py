"""Traces: a long one made by the real module, its size and speed against gzipped JSON lines, and the recorder's cost.

    python -m benchmarks.trace [file] [recorder] [clocks]

``file`` drives the module with seeded arrivals on a clock of its own (aim: an hour at 130 a second; MINUTES sets
less). ``recorder`` compares a host with the recorder on and off in turns.
"""

from __future__ import annotations

import gzip
import os
import random
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from itertools import chain
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from benchmarks import plainfold
from benchmarks.common import cpu_s, show
from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.platform_settings import StartSettings, admission_settings
from lapispick.trace import aggregation, files, lines, merging, replaying
from lapispick.trace import clock_skew as clocking
from lapispick.trace.anonymising import Anonymiser
from lapispick.trace.clock_skew import Clock, estimate_clocks, transits_by_hosts
from lapispick.trace.record_types import Answered, Arrival, Step

SEED, RATE = 7, 130.0  # requests a second
SETTINGS = admission_settings(msgspec.convert(make_platform_info(Cores=3, CallsOut=30.0), StartSettings))
NAMES = [s["Name"] for s in PLATFORM_INFO["Services"]]


class Try(NamedTuple):
    """One try of a request that is made up."""

    class_index: int
    subject: bytes
    born: int
    retry_of: int
    account: int


def drive(minutes: float, box: int = 0) -> Iterator[Step]:
    """Yield the steps of the real module under seeded arrivals and an executor that takes its time.

    Figures are as the platform's protocol and executor write them: ``born`` and ``patience`` in whole ms, four decimals
    of a rank, one of a size, runs to the us; the clock has the steps that the system's has. Writes name a subject, and
    one refused or failed in five comes again.
    """
    rng, start = random.Random(SEED + box), 1_764_576_000_000.0
    control = Controller(SETTINGS, SEED, start)
    due: list[tuple[float, int, str, Any]] = [(start + 1, 0, "arrive", None)]
    last, count, tries = 0, 0, {}
    yield Step(start, (), tuple(control.step(start, [])))
    heappush(due, (start, -1, "timer", 0))
    while due:
        now, _, what, told = heappop(due)
        now = round(now * 4096) / 4096
        events: list[Any] = []
        notes: list[Any] = []
        if what in ("arrive", "again"):
            if now > start + minutes * 60_000:
                continue
            last += 1
            if what == "arrive":
                class_index = int(rng.random() < 0.2)
                told = Try(
                    class_index,
                    rng.randbytes(8) if class_index else b"",
                    int(now - rng.uniform(0, 3)),
                    0,
                    rng.randrange(6),
                )
                heappush(due, (now + rng.expovariate(RATE) * 1000, count, "arrive", None))
            tries[last] = told
            deadline_at = told.born + rng.choice((2900, 3000, 4000))
            events.append(
                admission.RequestReceived(
                    last,
                    float(deadline_at),
                    rng.randrange(10_000) / 10_000,
                    now - told.born,
                    told.retry_of,
                    0.0,
                    rng.randrange(100, 560) / 10,
                    told.class_index,
                    rng.randrange(4),
                )
            )
            notes.append(Arrival(last, f"account-{told.account}", told.subject, float(told.born)))
        elif what == "timer":
            events.append(
                admission.TimerFired(told, (round(rng.uniform(0.2, 1), 3), float(rng.randrange(30)), 0.1, 3.0))
            )
        elif what == "called" and told in tries:
            events.append(admission.CallCompleted(told, admission.Outcome.OK, round(rng.uniform(3, 40), 3)))
            heappush(due, (now + rng.expovariate(1 / 30.0), count, "end", told))
        elif what == "call" and told in tries:
            events.append(admission.CallRequested(told))
        elif what == "end" and told in tries:
            events.append(admission.RunCompleted(told, admission.Outcome.OK, round(rng.uniform(20, 90), 3)))
            notes.append(Answered(told, "served", now - tries.pop(told).born))
        else:
            continue
        actions = control.step(now, events)
        for action in actions:
            count += 1
            kind = type(action)
            if kind is admission.StartRun:
                heappush(due, (now + rng.expovariate(1 / 30.0), count, "call", action.id))
            elif kind in (admission.StartCall, admission.SkipCall):
                heappush(
                    due,
                    (now + rng.uniform(3, 40), count, "called" if kind is admission.StartCall else "end", action.id),
                )
            elif kind is admission.SetTimer and now < start + minutes * 60_000 + 10_000:
                heappush(due, (now + action.delay_ms, count, "timer", action.token))
            elif kind in (admission.Reject, admission.Fail) and (one := tries.pop(action.id, None)):
                notes.append(Answered(action.id, "refused" if kind is admission.Reject else "failed", now - one.born))
                if rng.random() < 0.2:
                    heappush(
                        due,
                        (
                            now + rng.expovariate(1 / 200),
                            count,
                            "again",
                            one._replace(retry_of=action.id, born=int(now)),
                        ),
                    )
        yield Step(now, tuple(events), tuple(actions), tuple(notes))


def _timed(what: Callable[[], Any]) -> tuple[float, Any]:
    began = time.perf_counter()
    made = what()
    return time.perf_counter() - began, made


def _summary(path: Path) -> Any:
    with files.TraceReader(path) as reader:
        return aggregation.summarise(reader.sources, (reader.read_block(place) for place in reader.blocks))


def _plain(path: Path) -> Any:
    """Sum up JSON lines, as a short script would."""
    with gzip.open(path, "rb") as file:
        header = lines.decode_header(file.readline())
        return plainfold.fold(
            [aggregation.source_info(s) for s in header.sources], (lines.decode_step(line, 0) for line in file)
        )


def _decoded(path: Path) -> int:
    with gzip.open(path, "rb") as file:
        return sum(1 for line in file if msgspec.json.decode(line))


def _nameless(summary: Any) -> Any:
    """Return a summary without accounts' names: their figures in order."""
    accounts = sorted(map(msgspec.json.encode, summary.accounts.values()))
    return msgspec.structs.replace(summary, accounts=accounts)


def file(minutes: float) -> None:
    """Take a long trace through cut, merge, anonymise and replay; the same records as gzipped JSON lines beside it."""
    header = files.make_header(
        box="n3",
        incarnation="1",
        seed=SEED,
        module_now=1_764_576_000_000.0,
        classes=NAMES,
        settings=msgspec.json.encode(SETTINGS),
        accounts=[f"account-{n}" for n in range(6)],
    )
    with tempfile.TemporaryDirectory() as folder:
        path, beside, part, other, back = (
            Path(folder) / name for name in ("x.lptrace", "x.jsonl.gz", "a.lptrace", "b.lptrace", "c.lptrace")
        )
        writing, count = _timed(lambda: files.write_trace(path, header, drive(minutes)))
        with files.TraceReader(path) as reader, gzip.open(beside, "wb", compresslevel=6) as out:
            for line in lines.encode_trace(header, reader.steps()):
                out.write(line + b"\n")
        ours, before = _timed(lambda: _summary(path))
        theirs, plain = _timed(lambda: _plain(beside))
        only, _ = _timed(lambda: _decoded(beside))
        with files.TraceReader(path) as reader:
            middle = (reader.blocks[0].first + reader.blocks[-1].last) / 2
            cutting, _ = _timed(lambda: files.write_trace(part, header, reader.steps(middle, middle + 60_000)))
            share = reader.read_bytes / reader.size
        with files.TraceReader(path) as reader:
            files.write_trace(part, header, reader.steps(until=middle))
            files.write_trace(other, header, reader.steps(since=middle))
        with files.TraceReader(part) as left, files.TraceReader(other) as right:
            files.write_trace(back, header, merging.merge([chain(left.steps(), right.steps())], lambda step: step.now))
        merged = _summary(back) == before
        with files.TraceReader(back) as reader:
            result = replaying.replay(
                reader.first_source.settings, SEED, reader.first_source.module_now, reader.steps()
            )
            made = Anonymiser(bytes(range(32)))
            made.replace_header(header)
            files.write_trace(part, header, made.replace_steps(reader.steps()))
        hidden = _nameless(_summary(part)) == _nameless(before)
        show(
            f"a trace of {minutes:g} minutes at {RATE:g} requests a second",
            ("", "value"),
            (
                ("requests, tries, steps", f"{before.total.requests}, {before.total.attempts}, {count}"),
                ("bytes", path.stat().st_size),
                ("bytes of gzipped JSON lines", beside.stat().st_size),
                ("size ratio", f"{path.stat().st_size / beside.stat().st_size:.3f}"),
                ("made and written, s", f"{writing:.0f}"),
                ("summarise, s", f"{ours:.2f}"),
                ("summarise the JSON lines, s", f"{theirs:.1f}, {theirs / ours:.1f} times ours"),
                ("only decode the JSON lines, s", f"{only:.1f}, {only / ours:.1f} times ours"),
                ("both summaries agree", plain["whole"] == before.total and plain["accounts"] == before.accounts),
                ("a minute's cut", f"{cutting:.2f} s, reads {share:.2%}"),
                ("cut in two and merged: the same summary", merged),
                ("anonymised: the same summary", hidden),
                ("replay: steps, that differ", f"{result.steps}, {result.differing}"),
            ),
        )


WAVE = 30  # requests at once on one connection


def recorder(turns: int = 300) -> None:
    """Compare two hosts side by side, one with a recorder: CPU of the host's own process for a request, in turns.

    Turns of some milliseconds on one core: what else the machine does meets both alike.
    """
    from lapispick.fakes.host_process import HostProcess

    core = min(os.sched_getaffinity(0))
    with tempfile.TemporaryDirectory() as folder:
        hosts, gateways, found = {}, {}, {"off": [], "on": []}
        for name in found:
            (Path(folder) / name).mkdir()
            conf = Path(folder) / name / "own.conf"
            conf.write_text(f"section trace\n enabled {'yes' if name == 'on' else 'no'}\n folder t\nend\n")
            hosts[name] = HostProcess(Path(folder) / name, environ={**os.environ, "LAPISPICK_CONF": str(conf)})
            gateways[name] = hosts[name].gateway()
            gateways[name].sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            os.sched_setaffinity(hosts[name].process.pid, {core})
        rest = os.sched_getaffinity(0) - {core}
        os.sched_setaffinity(0, rest)
        writer = int(Path(f"/proc/{hosts['on'].process.pid}/task/{hosts['on'].process.pid}/children").read_text())
        os.sched_setaffinity(writer, rest)
        for turn in range(turns + 20):
            for name in ("off", "on") if turn % 2 else ("on", "off"):
                gateway, pid = gateways[name], hosts[name].process.pid
                began = cpu_s(pid)
                for number in [gateway.request("track", "call:200") for _ in range(WAVE)]:
                    gateway.answer(number)
                if turn >= 20:  # the first ones warm up
                    found[name].append((cpu_s(pid) - began) / WAVE * 1e6)
        writing = cpu_s(writer) / WAVE / (turns + 20) * 1e6
        for host in hosts.values():
            host.close()
    ratios = sorted(on / off for off, on in zip(found["off"], found["on"], strict=True))
    low, high = ratios[turns // 4], ratios[3 * turns // 4]
    show(
        "CPU of the host for a request, us",
        ("", "off", "on", "ratio"),
        [
            (
                "mean",
                *(f"{statistics.mean(found[n]):.1f}" for n in found),
                f"{statistics.mean(found['on']) / statistics.mean(found['off']):.3f}",
            ),
            (
                "median",
                *(f"{statistics.median(found[n]):.1f}" for n in found),
                f"{statistics.median(ratios):.3f} (half of the turns: {low:.3f} to {high:.3f})",
            ),
            ("the writer's process", "", f"{writing:.1f}", ""),
        ],
    )


def clocks(seeds: int = 50, apart: float = 1000.0, drift: float = 50e-6) -> None:
    """Compare the estimate of a clock with the plain mean of both ways, by the number of shared retries in an hour."""
    rows = []
    for count in (20, 50, 200, 1000):
        ours, plain, held = [], [], 0
        for seed in range(seeds):
            rng, tries = random.Random(seed), []
            for n in range(count):
                at = rng.uniform(0, 3_600_000)
                # One way in five is slow: the gateway paused, or went to another box in between.
                took = 1 + rng.expovariate(1 / 4) + (rng.uniform(0, 2000) if rng.random() < 0.2 else 0)
                shown = {"a": lambda t: t, "b": lambda t: t * (1 + drift) + apart}
                first, then = rng.sample(sorted(shown), 2)
                subject = b"%06d" % n
                tries += [
                    clocking.Attempt(subject, first, shown[first](at - 20), shown[first](at), False),
                    clocking.Attempt(subject, then, shown[then](at + took), shown[then](at + took + 30), True),
                ]
            reference, found = estimate_clocks(tries, shown)
            other = "b" if reference == "a" else "a"
            clock, middle = found[other], 1_800_000.0
            truth = shown[other](middle) - shown[reference](middle)
            if isinstance(clock, Clock):
                ours.append(abs(clock.ahead(shown[reference](middle)) - truth))
                held += ours[-1] <= clock.error + 1
            met = transits_by_hosts(tries)
            both = [statistics.mean(d for _, d in met[a, b]) for a, b in ((reference, other), (other, reference))]
            plain.append(abs((both[0] - both[1]) / 2 - truth))
        rows.append(
            (
                count,
                f"{len(ours)} of {seeds}",
                f"{statistics.median(ours):.1f}",
                f"{max(ours):.1f}",
                f"{held} of {len(ours)}",
                f"{statistics.median(plain):.1f}",
                f"{statistics.median(ours) / statistics.median(plain):.3f}",
            )
        )
    show(
        "clocks a second apart that drift by 50 parts in a million: how far the estimate is off, ms",
        ("retries", "told", "median", "worst", "within its error", "mean of both ways", "ratio"),
        rows,
    )


def main() -> None:
    """Run the parts that are named, by default all."""
    words = sys.argv[1:]
    if not words or "clocks" in words:
        clocks()
    if not words or "file" in words:
        file(float(os.environ.get("MINUTES", "60")))
    if not words or "recorder" in words:
        recorder()


if __name__ == "__main__":
    main()
