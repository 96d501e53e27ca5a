"""Measures what publishers that misbehave on an AMQP queue cost a running worker host and its other clients.

python -m benchmarks.misbehaving_publishers [--seconds 8] [--only NAME ...]

Each scenario starts a worker host that consumes a queue of an emulated broker, and publishes to it at full speed.
Meanwhile other clients send one small request after the other over JSON-RPC. The exit code is 1 if an answer to them is
missing or the memory limit is exceeded.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.common import peak_memory_mb, resident_mb
from benchmarks.misbehaving_clients import LIMITS, OTHER_CLIENTS, OtherClient, Outcome, show_outcomes
from lapispick.fakes.broker import Broker
from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.start_settings import make_platform_info
from lapispick.host.amqp.codec import FRAME_OVERHEAD_BYTES

FRAME_MAX_BYTES = 131_072
HEADER_FIELDS = 8000  # of about 14 bytes each
LONG_NAME_BYTES = 100_000
PREFETCH = 1000
MAX_WAITING = 2000  # messages in the queue
CONF = """
section inventory
    path shops.csv
    group shops
    look 50ms
    settle 100ms
end
section amqp
    enabled yes
end
"""
CSV_HEADER = "host,group,amqp_host,amqp_port,amqp_queue,amqp_prefetch,amqp_heartbeat\n"

Properties = dict[str, Any]


def many_short_fields(number: int) -> Properties:
    """Return the properties of a message whose headers are very many short fields."""
    fields: dict[str, object] = {f"{field:x}": field for field in range(HEADER_FIELDS)}
    return {"type": "track", "headers": {"customer": "shop", **fields}}


def new_keys(number: int) -> Properties:
    """Return the properties of a booking under a new message id."""
    return {"type": "book", "message_id": f"m{number}", "headers": {"customer": "shop"}}


def new_long_customers(number: int) -> Properties:
    """Return the properties of a booking under a new customer's name, which is very long."""
    return {"type": "book", "message_id": "m", "headers": {"customer": f"{number:0{LONG_NAME_BYTES}d}"}}


def new_long_classes(number: int) -> Properties:
    """Return the properties of a message of a class that does not exist and whose name is very long."""
    return {"headers": {"customer": "shop", "class": f"{number:0{LONG_NAME_BYTES}d}"}}


SCENARIOS: dict[str, Callable[[int], Properties]] = {
    "many short fields": many_short_fields,
    "new keys": new_keys,
    "new long customers": new_long_customers,
    "new long classes": new_long_classes,
}


def play(name: str, body: str, seconds: float) -> Outcome:
    """Run one scenario; with the body ``hold``, the executor ends no run."""
    make_properties = SCENARIOS[name]
    broker = Broker(frame_max_bytes=FRAME_MAX_BYTES)
    host, port = broker.address.split(":")
    info = make_platform_info()
    info["Parties"] = []
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        os.environ["TMPDIR"] = folder_name
        (folder / "shops.csv").write_text(f"{CSV_HEADER}a,shops,{host},{port},jobs,{PREFETCH},10\n")
        (folder / "own.conf").write_text(CONF)
        worker = HostProcess(folder, environ={"LAPISPICK_CONF": str(folder / "own.conf")}, limits=LIMITS, info=info)
        worker.wait_for_log("consuming")
        stop = threading.Event()
        others = [OtherClient(worker, stop) for _ in range(OTHER_CLIENTS)]
        before_mb = resident_mb(worker.process.pid)
        for other in others:
            other.start()
        number = 0
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number += 1
            broker.put(
                "jobs", body, reply_to="answers", correlation_id="c", expiration="60000", **make_properties(number)
            )
            while len(broker.queue("jobs")) > MAX_WAITING and time.monotonic() < end:
                time.sleep(0.001)
        stop.set()
        for other in others:
            other.join(10)
        latencies = [latency for other in others for latency in other.latencies_ms]
        outcome = Outcome(
            f"{name}, {body}",
            number,
            len(latencies),
            sum(other.served for other in others),
            max(latencies, default=0.0),
            sum(other.unanswered for other in others),
            before_mb,
            peak_memory_mb(worker.process.pid),
            resident_mb(worker.process.pid),
        )
        worker.close()
        broker.close()
        return outcome


def main() -> int:
    """Run the scenarios and print a table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--only", nargs="*", default=[])
    arguments = parser.parse_args()
    assert LONG_NAME_BYTES < FRAME_MAX_BYTES - FRAME_OVERHEAD_BYTES
    outcomes = []
    for name in SCENARIOS:
        for body in ("x", "hold"):
            if not arguments.only or name in arguments.only:
                outcomes.append(play(name, body, arguments.seconds))
                print(outcomes[-1], file=sys.stderr, flush=True)
    show_outcomes(f"{arguments.seconds:g} s", outcomes)
    return 0 if all(outcome.is_good() for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
