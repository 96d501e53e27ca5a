"""Inventory files: reading and applying, the loop's longest stall, and what a host pays that has them off.

    python -m benchmarks.inventory [read] [helper] [loop] [off] [log]

``off`` compares with an earlier version of the project, by default the last one without this subsystem.
"""

from __future__ import annotations

import gc
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.common import against, main_thread_cpu_s, peak_memory_mb, ratio, show
from lapispick.conf.sections import InventorySettings
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fleet import snapshot
from lapispick.fleet.messages import Begin, FromHelper, Poll
from lapispick.fleet.reading import File, Options, Reader
from lapispick.fleet.reconciler import Bounds
from lapispick.host.amqp import inventory_schema
from lapispick.host.amqp.front import AmqpFront
from lapispick.host.dns_resolver import DnsResolver
from lapispick.host.inventory import Inventory
from lapispick.host.scheduler import EventLoop
from lapispick.platform_settings import StartSettings, admission_settings

SIZES = (14, 500, 5000)
BEFORE = "8ba3416"  # the last version without inventory files
PLAIN = inventory_schema.schema(None)
MIN_TURN_S = 0.0002  # a shorter turn is followed by a sleep, or the loop would never idle
IDLE_SLEEP_S = 0.0005
MAX_DURATION_S = 60.0


def csv_list(count: int, other: int = -1) -> str:
    """Return a list in CSV; the host with the number ``other`` has another port."""
    rows = [
        f"disp-{n:04d}.pipera.example.org,shops,127.{n // 62500}.{n // 250 % 250}.{n % 250 + 1},"
        f"{5 if n == other else 4},bookings,book,pipera\n"
        for n in range(1, count + 1)
    ]
    return "host,group,ansible_host,amqp_port,amqp_queue,amqp_class,site\n" + "".join(rows)


def yaml_list(count: int, other: int = -1) -> str:
    """Return the same list in YAML."""
    made = ["all:\n  children:\n    shops:\n      vars: {amqp_user: shop}\n      hosts:\n"]
    for n in range(1, count + 1):
        made.append(
            f"        disp-{n:04d}.pipera.example.org:\n"
            f"          ansible_host: 127.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}\n"
            f"          amqp_port: {5 if n == other else 4}\n"
            f"          amqp_queues:\n            - amqp_queue: bookings\n"
            f"              amqp_class: book\n          site: pipera\n"
        )
    return "".join(made)


FORMATS = {"csv": csv_list, "yml": yaml_list}


def _timed(reader: Reader, base: snapshot.Snapshot, form: str, text: str) -> tuple[float, snapshot.Snapshot]:
    files = [File(f"list.{form}", text.encode())]
    gc.collect()
    gc.disable()
    began = time.perf_counter()
    hosts = reader.read(files).hosts
    known = base.hosts
    updated = [host for name, host in hosts.items() if known.get(name) is not host]
    made = base.with_changes(updated, [name for name in known if name not in hosts])
    snapshot.difference(base, made)
    took = time.perf_counter() - began
    gc.enable()
    return took * 1000, made


def read(rounds: int = 5) -> None:
    """Read a list first, then with one host changed; medians."""
    rows = []
    for form, make in FORMATS.items():
        for size in SIZES:
            first, change = [], []
            for number in range(rounds):
                reader = Reader(Options("shops", PLAIN), {})
                took, base = _timed(reader, snapshot.EMPTY, form, make(size))
                first.append(took)
                took, _ = _timed(reader, base, form, make(size, 1 + (size * number) // rounds))
                change.append(took)
            one, two = statistics.median(first), statistics.median(change)
            rows.append((form, size, f"{one:.1f}", f"{two:.2f}", f"{two / one:.3f}"))
    show("reading and applying, ms (medians)", ("form", "hosts", "first load", "one host changed", "ratio"), rows)


def helper(rounds: int = 5) -> None:
    """Let a real helper process read a list first, from its start on, and then with one host changed."""
    rows = []
    for form, make in FORMATS.items():
        for size in SIZES:
            first, change = [], []
            for _ in range(rounds):
                one, two = _helper(form, make(size), make(size, 1 + size // 2))
                first.append(one)
                change.append(two)
            one, two = statistics.median(first), statistics.median(change)
            rows.append((form, size, f"{one:.0f}", f"{two:.2f}", f"{two / one:.3f}"))
    show(
        "the helper process, ms (medians)", ("form", "hosts", "start and first load", "one host changed", "ratio"), rows
    )


def _helper(form: str, old: str, new: str) -> tuple[float, float]:
    decode = msgspec.json.Decoder(FromHelper).decode
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"list.{form}"
        path.write_text(old)
        began = time.perf_counter()
        ours, theirs = socket.socketpair()
        process = subprocess.Popen([sys.executable, "-m", "lapispick.fleet.helper"], stdin=theirs)
        theirs.close()
        lines = ours.makefile("rb")

        def request(message: msgspec.Struct) -> None:
            ours.sendall(msgspec.json.encode(message) + b"\n")
            head = decode(lines.readline())
            for _ in range(head.chunk_count):  # type: ignore[union-attr]
                decode(lines.readline())

        request(Begin(str(path), 64 << 20, Options("shops", PLAIN)))
        request(Poll())
        first = time.perf_counter() - began
        path.write_text(new)
        began = time.perf_counter()
        request(Poll())
        took = time.perf_counter() - began
        lines.close()
        ours.close()
        process.wait()
    return first * 1000, took * 1000


class _GapMeter:
    """The longest gap between two turns of a loop, in s, by the phase of the measurement."""

    def __init__(self, loop: EventLoop) -> None:
        self.phase = "idle"
        self.longest_s = {"idle": 0.0, "first": 0.0, "change": 0.0}
        self._loop = loop

    def run(self) -> None:
        """Yield to the loop again and again, and take the time."""
        last = time.perf_counter()
        while True:
            self._loop.yield_control()
            now = time.perf_counter()
            self.longest_s[self.phase] = max(self.longest_s[self.phase], now - last)
            last = now
            if time.perf_counter() - now < MIN_TURN_S:
                self._loop.sleep(IDLE_SLEEP_S)
                last = time.perf_counter()


def _load_and_change(loop: EventLoop, meter: _GapMeter, inventory: Inventory, path: Path, lists: list[Path]) -> None:
    """Let the inventory load its list, then replace it by each of ``lists``; ends the loop."""
    loop.sleep(0.5)
    meter.phase = "first"
    loop.spawn(inventory.serve)
    while inventory.acceptance.accepted is None:
        loop.sleep(0.01)
    loop.sleep(0.3)
    meter.phase = "change"
    for each in lists:
        known = inventory.acceptance.accepted
        each.replace(path)
        while inventory.acceptance.accepted is known:
            loop.sleep(0.01)
    loop.sleep(0.2)
    loop.stop()


def _amqp_front(loop: EventLoop, info: StartSettings) -> AmqpFront:
    resolver = DnsResolver(loop, 1.0, None)
    bounds = Bounds(max_instances=8)
    return AmqpFront(loop, bounds, info, admission_settings(info), lambda item: None, resolver, 60.0)


def _stalls(size: int, form: str, rounds: int) -> tuple[float, float, float, float, float]:
    """Return (idle, first load, change) longest gaps between turns in ms, helper's and own memory in MB."""
    info = msgspec.convert(PLATFORM_INFO, StartSettings)
    loop = EventLoop()
    meter = _GapMeter(loop)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"list.{form}"
        path.write_text(FORMATS[form](size))
        lists = [path.with_name(f"spare{number}") for number in range(rounds)]  # written ahead, not by the loop
        for number, each in enumerate(lists):
            each.write_text(FORMATS[form](size, 1 + number * size // rounds))
        settings = InventorySettings(path=path, group="shops", poll_interval_s=0.05, settle_s=0.1, max_settle_s=1.0)
        inventory = Inventory(loop, settings, inventory_schema.schema(info), _amqp_front(loop, info).apply)
        loop.spawn(meter.run)
        loop.spawn(_load_and_change, loop, meter, inventory, path, lists)
        loop.call_later(MAX_DURATION_S, loop.stop)  # a list that is never accepted must not keep this running
        loop.run()
        assert inventory.helper.process is not None, "the list was not accepted"
        assert meter.phase == "change", "the list was not accepted"
        helper_mb = peak_memory_mb(inventory.helper.process.pid)
        inventory.helper.process.kill()
        inventory.helper.process.wait()
    gaps_ms = [meter.longest_s[phase] * 1000 for phase in ("idle", "first", "change")]
    return gaps_ms[0], gaps_ms[1], gaps_ms[2], helper_mb, peak_memory_mb(os.getpid())


def loop(rounds: int = 5) -> None:
    """Follow a list on a real loop with a real helper, and measure the longest gap between turns."""
    rows: list[tuple[Any, ...]] = []
    for form in FORMATS:
        for size in SIZES:
            done = subprocess.run(
                [sys.executable, "-m", "benchmarks.inventory", "stalls", form, str(size), str(rounds)],
                capture_output=True,
                text=True,
                check=True,
                timeout=90,
            )
            rows.append((form, size, *done.stdout.split()))
    show(
        "longest gap between two turns of the loop, ms; memory at the peak, MB",
        ("form", "hosts", "idle", "first load", "one host changed", "helper", "host and front"),
        rows,
    )


def off(rounds: int = 5, requests: int = 1200) -> None:
    """Compare a host that has all of it off with an earlier version: memory at start, CPU for a request."""
    from lapispick.fakes.host_process import HostProcess

    found: dict[str, list[tuple[float, float]]] = {"before": [], "now": []}
    with against(BEFORE) as old, tempfile.TemporaryDirectory() as folder:
        for number in range(rounds):
            order = [("before", old), ("now", Path.cwd())]
            for name, tree in order if number % 2 else order[::-1]:
                host = HostProcess(Path(folder), cwd=tree)
                memory, gateway = host.peak_memory_mb(), host.gateway()
                began = main_thread_cpu_s(host.process.pid)
                for _ in range(requests // 10):
                    numbers = [gateway.request("track", "x") for _ in range(10)]
                    for number in numbers:
                        gateway.answer(number)
                found[name].append((memory, (main_thread_cpu_s(host.process.pid) - began) / requests * 1e6))
                host.close()
    rows = []
    for at, what in enumerate(("memory at start, MB", "CPU for a request, us")):
        before, now = ([values[at] for values in found[name]] for name in ("before", "now"))
        rows.append((what, f"{statistics.median(before):.2f}", f"{statistics.median(now):.2f}", ratio(before, now)))
    show(
        f"a host with all of it off against {BEFORE} (medians of {rounds} runs each)",
        ("", "before", "now", "ratio"),
        rows,
    )


LOG_SCRIPT = """
import resource, sys, time
def mb():
    with open("/proc/self/status") as f:
        return next(int(l.split()[1]) / 1024 for l in f if l.startswith("VmRSS"))
import greenlet, msgspec, logging
sys.stderr = open("/dev/null", "w")
before = mb()
from lapispick.host import logs
logs.MAX_LINES_PER_SECOND = 1 << 30
if {tool}:
    from lapispick.cli.output import setup_logs
    log = setup_logs()
    call = lambda n: log.info("event", tag="abc", n=n, text="two words")
else:
    logs.configure_logging()
    call = lambda n: logs.log("x", logging.INFO, "event", tag="abc", n=n, text="two words")
loaded = mb()
began = time.perf_counter()
for n in range(20000):
    call(n)
print(loaded - before, (time.perf_counter() - began) / 20000 * 1e6)
"""


def log(rounds: int = 5) -> None:
    """Compare the host's formatter with structlog: memory of the import, cost of a line."""
    rows = []
    for name, tool in (("the host's formatter", False), ("structlog, as the tools use it", True)):
        made = [
            subprocess.run(
                [sys.executable, "-c", LOG_SCRIPT.replace("{tool}", str(tool))],
                capture_output=True,
                text=True,
                check=True,
            ).stdout.split()
            for _ in range(rounds)
        ]
        rows.append((name, *(f"{statistics.median(float(m[at]) for m in made):.1f}" for at in (0, 1))))
    show("log lines (medians)", ("", "memory of the import, MB", "a line, us"), rows)


def main() -> None:
    """Run the parts that are named, by default all."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["stalls"]:
        print(*(f"{value:.2f}" for value in _stalls(int(arguments[2]), arguments[1], int(arguments[3]))))
        return
    for name, measure in (("read", read), ("helper", helper), ("loop", loop), ("off", off), ("log", log)):
        if not arguments or name in arguments:
            measure()


if __name__ == "__main__":
    main()
