"""Measures inventory files: loading, the longest stall of the event loop, and the cost to a host without them.

    python -m benchmarks.inventory [read] [helper] [loop] [off] [log]

``read`` loads a list in this process, ``helper`` in a helper process. ``loop`` measures the event loop's stalls.
``off`` compares a host that has inventory files switched off with the last version of the project that lacked them.
``log`` compares the host's log formatter with structlog.
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
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from benchmarks.common import comparison_row, main_thread_cpu_s, peak_memory_mb, show, temporary_checkout
from lapispick.conf.sections import InventorySettings
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fleet import snapshot
from lapispick.fleet.messages import Begin, FromHelper, Poll
from lapispick.fleet.reading import InventoryFile, InventoryReader, ReadOptions
from lapispick.fleet.reconciler import Bounds
from lapispick.host.amqp import inventory_schema
from lapispick.host.amqp.front import AmqpFront
from lapispick.host.dns_resolver import DnsResolver
from lapispick.host.inventory import Inventory
from lapispick.host.scheduler import EventLoop
from lapispick.platform_settings import StartSettings, admission_settings

SIZES = (14, 500, 5000)
REVISION_BEFORE = "8ba3416"  # the last version without inventory files
PLAIN = inventory_schema.schema(None)
MIN_ROUND_S = 0.0002  # the gap meter sleeps after a shorter round, since the loop would otherwise never be idle
IDLE_SLEEP_S = 0.0005
MAX_DURATION_S = 60.0
REQUESTS_PER_BATCH = 10


def csv_list(count: int, changed: int = -1) -> str:
    """Return an inventory as CSV; the host with the number ``changed`` has a different port."""
    rows = [
        f"{_host_name(number)},shops,{_address(number)},{_port(number, changed)},bookings,book,pipera\n"
        for number in range(1, count + 1)
    ]
    return "host,group,ansible_host,amqp_port,amqp_queue,amqp_class,site\n" + "".join(rows)


def yaml_list(count: int, changed: int = -1) -> str:
    """Return the same inventory as YAML."""
    entries = ["all:\n  children:\n    shops:\n      vars: {amqp_user: shop}\n      hosts:\n"]
    for number in range(1, count + 1):
        entries.append(
            f"        {_host_name(number)}:\n"
            f"          ansible_host: {_address(number)}\n"
            f"          amqp_port: {_port(number, changed)}\n"
            f"          amqp_queues:\n            - amqp_queue: bookings\n"
            f"              amqp_class: book\n          site: pipera\n"
        )
    return "".join(entries)


def _host_name(number: int) -> str:
    return f"disp-{number:04d}.pipera.example.org"


def _address(number: int) -> str:
    return f"127.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}"


def _port(number: int, changed: int) -> int:
    return 5 if number == changed else 4


LIST_MAKERS = {"csv": csv_list, "yml": yaml_list}


class LoadTimes(NamedTuple):
    """Duration of the first load of a list, and of the load after one host changed."""

    first_ms: float
    change_ms: float


def _read_list(
    reader: InventoryReader, base: snapshot.Snapshot, form: str, text: str
) -> tuple[float, snapshot.Snapshot]:
    """Read a list and apply its differences from ``base``; return the duration in ms and the new snapshot."""
    files = [InventoryFile(f"list.{form}", text.encode())]
    gc.collect()
    gc.disable()
    started_at = time.perf_counter()
    hosts = reader.read(files).hosts
    known = base.hosts
    updated = [host for name, host in hosts.items() if known.get(name) is not host]
    applied = base.with_changes(updated, [name for name in known if name not in hosts])
    snapshot.difference(base, applied)
    duration_s = time.perf_counter() - started_at
    gc.enable()
    return duration_s * 1000, applied


LoadList = Callable[[str, str, str], LoadTimes]  # takes a format, a list, and the list with one host changed


def _load_in_process(form: str, old: str, new: str) -> LoadTimes:
    reader = InventoryReader(ReadOptions("shops", PLAIN), {})
    first_ms, base = _read_list(reader, snapshot.EMPTY, form, old)
    change_ms, _ = _read_list(reader, base, form, new)
    return LoadTimes(first_ms, change_ms)


def _load_rows(load: LoadList, rounds: int) -> Iterator[tuple[str, int, LoadTimes]]:
    """Yield the format, the size and the median load times of each list."""
    for form, make_list in LIST_MAKERS.items():
        for size in SIZES:
            times = [
                load(form, make_list(size), make_list(size, 1 + (size * number) // rounds)) for number in range(rounds)
            ]
            first_ms = statistics.median(load_times.first_ms for load_times in times)
            change_ms = statistics.median(load_times.change_ms for load_times in times)
            yield form, size, LoadTimes(first_ms, change_ms)


def measure_reading(rounds: int = 5) -> None:
    """Measure the first load of a list, and the load after one host changed, in this process."""
    rows = [
        (form, size, f"{times.first_ms:.1f}", f"{times.change_ms:.2f}", f"{times.change_ms / times.first_ms:.3f}")
        for form, size, times in _load_rows(_load_in_process, rounds)
    ]
    show("reading and applying, ms (medians)", ("form", "hosts", "first load", "one host changed", "ratio"), rows)


def measure_helper(rounds: int = 5) -> None:
    """Measure the same loads in a real helper process; the first load includes the start of the process."""
    rows = [
        (form, size, f"{times.first_ms:.0f}", f"{times.change_ms:.2f}", f"{times.change_ms / times.first_ms:.3f}")
        for form, size, times in _load_rows(_load_in_helper, rounds)
    ]
    show(
        "the helper process, ms (medians)", ("form", "hosts", "start and first load", "one host changed", "ratio"), rows
    )


def _load_in_helper(form: str, old: str, new: str) -> LoadTimes:
    decode = msgspec.json.Decoder(FromHelper).decode
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"list.{form}"
        path.write_text(old)
        started_at = time.perf_counter()
        ours, theirs = socket.socketpair()
        process = subprocess.Popen([sys.executable, "-m", "lapispick.fleet.helper"], stdin=theirs)
        theirs.close()
        lines = ours.makefile("rb")

        def request(message: msgspec.Struct) -> None:
            ours.sendall(msgspec.json.encode(message) + b"\n")
            head = decode(lines.readline())
            for _ in range(head.chunk_count):  # type: ignore[union-attr]
                decode(lines.readline())

        request(Begin(str(path), 64 << 20, ReadOptions("shops", PLAIN)))
        request(Poll())
        first_s = time.perf_counter() - started_at
        path.write_text(new)
        started_at = time.perf_counter()
        request(Poll())
        change_s = time.perf_counter() - started_at
        lines.close()
        ours.close()
        process.wait()
    return LoadTimes(first_s * 1000, change_s * 1000)


class _GapMeter:
    """Meter of the longest gap between two rounds of a loop in each phase of the measurement."""

    def __init__(self, loop: EventLoop) -> None:
        self.phase = "idle"
        self.longest_s = {"idle": 0.0, "first": 0.0, "change": 0.0}
        self._loop = loop

    def run(self) -> None:
        """Yield to the loop repeatedly and record the longest gap."""
        last = time.perf_counter()
        while True:
            self._loop.yield_control()
            now = time.perf_counter()
            self.longest_s[self.phase] = max(self.longest_s[self.phase], now - last)
            last = now
            if time.perf_counter() - now < MIN_ROUND_S:
                self._loop.sleep(IDLE_SLEEP_S)
                last = time.perf_counter()


def _load_and_change(loop: EventLoop, meter: _GapMeter, inventory: Inventory, path: Path, lists: list[Path]) -> None:
    """Start the inventory, replace its list by each of ``lists`` in turn, then stop the loop."""
    loop.sleep(0.5)
    meter.phase = "first"
    loop.spawn(inventory.serve)
    while inventory.acceptance.accepted is None:
        loop.sleep(0.01)
    loop.sleep(0.3)
    meter.phase = "change"
    for replacement in lists:
        known = inventory.acceptance.accepted
        replacement.replace(path)
        while inventory.acceptance.accepted is known:
            loop.sleep(0.01)
    loop.sleep(0.2)
    loop.stop()


def _amqp_front(loop: EventLoop, info: StartSettings) -> AmqpFront:
    resolver = DnsResolver(loop, 1.0, None)
    bounds = Bounds(max_instances=8)
    return AmqpFront(loop, bounds, info, admission_settings(info), lambda item: None, resolver, 60.0)


class Stalls(NamedTuple):
    """Longest gaps between two rounds of a loop, and the peak memory of both processes."""

    idle_ms: float
    first_load_ms: float
    change_ms: float
    helper_mb: float
    host_mb: float


def _measure_stalls(size: int, form: str, rounds: int) -> Stalls:
    """Watch a list with a real loop and a real helper process, and replace the list ``rounds`` times."""
    info = msgspec.convert(PLATFORM_INFO, StartSettings)
    loop = EventLoop()
    meter = _GapMeter(loop)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"list.{form}"
        path.write_text(LIST_MAKERS[form](size))
        lists = [path.with_name(f"spare{number}") for number in range(rounds)]  # written before the loop runs
        for number, replacement in enumerate(lists):
            replacement.write_text(LIST_MAKERS[form](size, 1 + number * size // rounds))
        settings = InventorySettings(path=path, group="shops", poll_interval_s=0.05, settle_s=0.1, max_settle_s=1.0)
        inventory = Inventory(loop, settings, inventory_schema.schema(info), _amqp_front(loop, info).apply)
        loop.spawn(meter.run)
        loop.spawn(_load_and_change, loop, meter, inventory, path, lists)
        loop.call_later(MAX_DURATION_S, loop.stop)  # limits the run if a list is never accepted
        loop.run()
        assert inventory.helper.process is not None, "expected a running helper process after the list was accepted"
        assert meter.phase == "change", f"the first list was not accepted within {MAX_DURATION_S:g} s"
        helper_mb = peak_memory_mb(inventory.helper.process.pid)
        inventory.helper.process.kill()
        inventory.helper.process.wait()
    idle_ms, first_load_ms, change_ms = (meter.longest_s[phase] * 1000 for phase in ("idle", "first", "change"))
    return Stalls(idle_ms, first_load_ms, change_ms, helper_mb, peak_memory_mb(os.getpid()))


def measure_loop(rounds: int = 5) -> None:
    """Measure the longest gaps of a real loop and the peak memory, each list in a process of its own."""
    rows: list[tuple[Any, ...]] = []
    for form in LIST_MAKERS:
        for size in SIZES:
            completed = subprocess.run(
                [sys.executable, "-m", "benchmarks.inventory", "stalls", form, str(size), str(rounds)],
                capture_output=True,
                text=True,
                check=True,
                timeout=90,
            )
            rows.append((form, size, *completed.stdout.split()))
    show(
        "longest gap between two rounds of the loop, ms; memory at the peak, MB",
        ("form", "hosts", "idle", "first load", "one host changed", "helper", "host and front"),
        rows,
    )


class HostCost(NamedTuple):
    """Memory and CPU cost of one run of a host."""

    memory_mb: float  # peak until the host is ready
    cpu_us_per_request: float


def _measure_host(folder: Path, tree: Path, requests: int) -> HostCost:
    """Run the host of a checkout and send it requests in batches."""
    from lapispick.fakes.host_process import HostProcess

    host = HostProcess(folder, cwd=tree)
    peak_mb, gateway = host.peak_memory_mb(), host.gateway()
    cpu_before_s = main_thread_cpu_s(host.process.pid)
    for _ in range(requests // REQUESTS_PER_BATCH):
        numbers = [gateway.request("track", "x") for _ in range(REQUESTS_PER_BATCH)]
        for number in numbers:
            gateway.answer(number)
    cost = HostCost(peak_mb, (main_thread_cpu_s(host.process.pid) - cpu_before_s) / requests * 1e6)
    host.close()
    return cost


def measure_disabled(rounds: int = 5, requests: int = 1200) -> None:
    """Compare a host without inventory files with the earlier version: memory at start and CPU per request."""
    costs: dict[str, list[HostCost]] = {"before": [], "now": []}
    with temporary_checkout(REVISION_BEFORE) as old, tempfile.TemporaryDirectory() as folder:
        for round_number in range(rounds):
            order = [("before", old), ("now", Path.cwd())]
            for name, tree in order if round_number % 2 else order[::-1]:
                costs[name].append(_measure_host(Path(folder), tree, requests))
    before, now = costs["before"], costs["now"]
    show(
        f"a host with all of it off against {REVISION_BEFORE} (medians of {rounds} runs each)",
        ("", "before", "now", "ratio"),
        [
            comparison_row(
                "memory at start, MB", [cost.memory_mb for cost in before], [cost.memory_mb for cost in now], 2
            ),
            comparison_row(
                "CPU for a request, us",
                [cost.cpu_us_per_request for cost in before],
                [cost.cpu_us_per_request for cost in now],
                2,
            ),
        ],
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


def measure_logging(rounds: int = 5) -> None:
    """Compare the host's log formatter with structlog: memory of the import and CPU time per line."""
    rows = []
    for name, tool in (("the host's formatter", False), ("structlog, as the tools use it", True)):
        outputs = [
            subprocess.run(
                [sys.executable, "-c", LOG_SCRIPT.replace("{tool}", str(tool))],
                capture_output=True,
                text=True,
                check=True,
            ).stdout.split()
            for _ in range(rounds)
        ]
        medians = (statistics.median(float(values[index]) for values in outputs) for index in (0, 1))
        rows.append((name, *(f"{median:.1f}" for median in medians)))
    show("log lines (medians)", ("", "memory of the import, MB", "a line, us"), rows)


MEASUREMENTS: dict[str, Callable[[], None]] = {
    "read": measure_reading,
    "helper": measure_helper,
    "loop": measure_loop,
    "off": measure_disabled,
    "log": measure_logging,
}


def main() -> None:
    """Run the measurements that are named, by default all."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["stalls"]:
        print(*(f"{value:.2f}" for value in _measure_stalls(int(arguments[2]), arguments[1], int(arguments[3]))))
        return
    for name, measure in MEASUREMENTS.items():
        if not arguments or name in arguments:
            measure()


if __name__ == "__main__":
    main()
