"""Measures the cost of membership to running hosts: ``python -m benchmarks.members_host [--hosts N] [--seconds S]``.

Runs hosts without load, with and without ``section members``. Prints the CPU time of a host's process from the system's
counters, its memory, the messages that the hosts count, and, after a simultaneous start, the time until all hosts see
each other.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

from benchmarks.common import process_cpu_s, resident_mb
from lapispick.fakes.fleet import Fleet
from lapispick.fakes.member_cluster import MemberCluster

DEFAULT_SETTINGS = ""  # no directives in section members
SEED = 3


def _sent_messages(cluster: MemberCluster | None) -> int:
    if cluster is None:
        return 0
    return sum((cluster.view(name) or {"sent": 0})["sent"] for name in cluster.names())


def measure(hosts: int, seconds: float, enabled: bool) -> dict[str, float]:
    """Return the mean costs of one host."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), SEED, hosts, gateways=1, rate=1.0) as fleet:
        cluster = MemberCluster(fleet, DEFAULT_SETTINGS) if enabled else None
        started_at = time.monotonic()
        if cluster is not None:
            cluster.start()
        else:
            fleet.start()
        result = {"start_s": time.monotonic() - started_at}
        if cluster is not None:
            result["agree_s"] = cluster.wait_for_agreement(cluster.names(), timeout_s=60.0)
        pids = [host.processes[-1].pid for host in fleet.hosts]
        cpu_before = sum(map(process_cpu_s, pids))
        sent_before = _sent_messages(cluster)
        time.sleep(seconds)
        result["cpu_of_a_core"] = (sum(map(process_cpu_s, pids)) - cpu_before) / hosts / seconds
        result["messages_per_s"] = (_sent_messages(cluster) - sent_before) / hosts / seconds
        result["rss_mb"] = sum(map(resident_mb, pids)) / hosts
        return result


def main() -> None:
    """Measure hosts without and with membership twice each, alternately, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hosts", "--boxes", type=int, default=14, help="number of hosts")
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of each measurement")
    options = parser.parse_args()
    for enabled in (False, True, False, True):
        result = measure(options.hosts, options.seconds, enabled)
        label = "on " if enabled else "off"
        print(label, {name: round(value, 4) for name, value in result.items()}, flush=True)


if __name__ == "__main__":
    main()
