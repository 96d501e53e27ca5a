"""Measures what the connections to the store cost a running worker host.

python -m benchmarks.store_connections --before REVISION [--rounds 7] [--requests 3000] [--store equal]

Each round runs an earlier version and this one in turn, with emulated peers. Four clients send one request after the
other, each with one call to the store. The table shows CPU for a request in the host's main thread, the latency of
requests and the connections that the store accepted.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

from benchmarks.common import comparison_row, main_thread_cpu_s, show, temporary_checkout
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.store import Store

CLIENTS = 4
WARM_UP_REQUESTS = 50  # of each client
STORES = ("different", "equal")


class Measurement(NamedTuple):
    """Result of one run of one version."""

    cpu_us: float  # for a request, in the host's main thread
    median_ms: float
    p99_ms: float
    served_fraction: float
    connections: int


def _send_requests(address: str, count: int, latencies_ms: list[float]) -> None:
    """Send one request after the other; append the latency of each that is served."""
    gateway = GatewayConnection.connect(address)
    for number in range(count):
        sent_at = time.monotonic()
        answer = gateway.answer(gateway.request("track", f"call:200#{number}"))
        if "result" in answer:
            latencies_ms.append((time.monotonic() - sent_at) * 1000)
    gateway.sock.close()


def _send_from_all_clients(address: str, count: int) -> list[float]:
    latencies_ms: list[float] = []
    clients = [
        threading.Thread(target=_send_requests, args=(address, count // CLIENTS, latencies_ms)) for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    return latencies_ms


def measure(program: Path, requests: int, store_kind: str) -> Measurement:
    """Run one version of the program under load."""
    store = Store()
    store.equal_replies = store_kind == "equal"
    with tempfile.TemporaryDirectory() as folder:
        host = HostProcess(Path(folder), cwd=program, store=store)
        try:
            _send_from_all_clients(host.address, WARM_UP_REQUESTS * CLIENTS)
            calls_before = len(store.calls)
            cpu_before_s = main_thread_cpu_s(host.process.pid)
            latencies_ms = sorted(_send_from_all_clients(host.address, requests))
            cpu_s = main_thread_cpu_s(host.process.pid) - cpu_before_s
        finally:
            host.close()
    calls = store.calls[calls_before:]
    return Measurement(
        cpu_s * 1e6 / requests,
        statistics.median(latencies_ms),
        latencies_ms[int(len(latencies_ms) * 0.99)],
        len(latencies_ms) / requests,
        len({call.connection for call in calls}),
    )


def main() -> int:
    """Compare an earlier version with this one, and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--before", required=True, help="revision of the earlier version")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=3000, help="in each run")
    parser.add_argument("--store", choices=STORES, default="different", help="whether the store's replies are equal")
    options = parser.parse_args()
    before: list[Measurement] = []
    now: list[Measurement] = []
    with temporary_checkout(options.before) as checkout:
        for _ in range(options.rounds):
            before.append(measure(checkout, options.requests, options.store))
            now.append(measure(Path.cwd(), options.requests, options.store))
    rows = [
        comparison_row(name, [run[index] for run in before], [run[index] for run in now], 3)
        for index, name in enumerate(("CPU, us", "latency, ms", "latency at 99 %, ms", "served", "connections"))
    ]
    title = f"{options.rounds} rounds of {options.requests} requests with a call, replies {options.store}"
    show(title, ("", "before", "now", "ratio (pairs)"), rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
