"""An emulated fleet for a test: worker hosts with executors, a store, a registry, gateways, and faults between them.

Every link goes through a proxy (``fault_proxy.py``), every peer records the events that it observes
(``rule_checker.py``), and one seed determines all random choices. The names of the endpoints are ``g0``, ``g1`` and so
on for gateways, the names of the hosts, ``store``, ``registry`` and ``controllers``.
"""

import contextlib
import os
import random
import signal
import threading
import time

from lapispick.fakes.fault_proxy import FaultProxy
from lapispick.fakes.fleet_gateway import Gateway
from lapispick.fakes.fleet_host import REGISTRY, ROOT, FleetHost
from lapispick.fakes.fleet_peers import STORE, SharedStore
from lapispick.fakes.host_pauses import PauseMonitor
from lapispick.fakes.registry import ServiceRegistry
from lapispick.fakes.rule_checker import FleetRecord, check
from lapispick.fakes.start_settings import make_platform_info
from lapispick.fakes.waiting import wait_until

__all__ = ["CONTROLLERS", "FLEET_PLATFORM_INFO", "REGISTRY", "ROOT", "STORE", "Fleet"]

CONTROLLERS = "controllers"
LISTING_LIFETIME_S = 3.0  # a registry entry expires after this time without a report
MAX_READ_REPORTS_PER_HOST = 200
IDEMPOTENCY_WINDOW_MS = 14_286.0
SETTLE_SLACK_S = 1
CALLS_OUT = 50.0
FLEET_PLATFORM_INFO = make_platform_info(({}, {"Window": IDEMPOTENCY_WINDOW_MS}), CallsOut=CALLS_OUT)


class Fleet:
    """Worker hosts with all their peers, as a context manager."""

    def __init__(
        self,
        folder,
        seed,
        hosts=3,
        zones=("pipera",),
        gateways=2,
        rate=20.0,
        calls=0.2,
        info=FLEET_PLATFORM_INFO,
        executor_options=None,
        stop_ms=2500,
        memory_limit_mb=192,
        request_timeout_s=3.0,
        slowdowns=None,
    ):
        print("seed", seed)
        self.folder = folder
        self.seed = seed
        self.random = random.Random(seed)
        self.record = FleetRecord()
        self.info = info
        self.stop_ms = stop_ms
        self.memory_limit_mb = memory_limit_mb
        self.request_timeout_s = request_timeout_s
        self.executor_options = executor_options or {}
        self.slowdowns = slowdowns or {}
        self.net = FaultProxy(seed)
        self.store = SharedStore(self.record)
        self.registry = ServiceRegistry()
        self.hosts = [FleetHost(self, f"disp-{n + 1:02}", zones[n % len(zones)]) for n in range(hosts)]
        self._pauses = PauseMonitor(self.hosts)
        self.record.paused_s = self._pauses.paused_s
        self._pauses.start()
        self.gateways = [Gateway(self, n, rate, calls) for n in range(gateways)]
        self._proxied_addresses = {
            (gateway.name, host.name): self.net.tcp(gateway.name, host.name, host.address)
            for gateway in self.gateways
            for host in self.hosts
        }

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def __getitem__(self, name):
        return next(host for host in self.hosts if host.name == name)

    def proxied_address(self, gateway, host):
        """Return the proxied address at which a gateway reaches a host."""
        return self._proxied_addresses[gateway, host.name]

    def listed_hosts(self, _gateway):
        """Return the hosts whose last report is recent and says "on"; all gateways get the same list."""
        earliest = time.monotonic() - LISTING_LIFETIME_S
        last_reports = {}
        for at, report in self.registry.reports[-MAX_READ_REPORTS_PER_HOST * len(self.hosts) :]:
            last_reports[report.split()[1]] = (at, report.endswith(" on"))
        listed = []
        for host in self.hosts:
            at, is_on = last_reports.get(host.name, (0.0, False))
            if at >= earliest and is_on:
                listed.append(host)
        return listed

    # The load.

    def start(self, **options):
        """Start all hosts in parallel and wait until each accepts clients."""
        threads = [threading.Thread(target=host.start, kwargs=options) for host in self.hosts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def start_load(self):
        """Start sending requests from all gateways."""
        for gateway in self.gateways:
            gateway.start()

    def _result_count(self):
        return sum(len(gateway.results) for gateway in self.gateways)

    def wait_for_results(self, more):
        """Wait until ``more`` further requests were answered or abandoned."""
        goal = self._result_count() + more
        return wait_until(lambda: self._result_count() >= goal, f"{more} more results")

    def settle(self):
        """Stop the load and wait until every attempt is answered, disconnected or past its deadline."""
        for gateway in self.gateways:
            gateway.stop()
        end = time.time() + self.request_timeout_s + SETTLE_SLACK_S
        while time.time() < end:
            attempts = list(self.record.attempts.values())
            if all(attempt.answers or attempt.broken_at for attempt in attempts):
                return
            time.sleep(0.02)

    def broken_rules(self):
        """Settle and return every rule violation as (rule, text)."""
        self.settle()
        for host in self.hosts:
            for used_mb in host.peak_memory_mb():
                self.record.add_memory(host.name, used_mb, self.memory_limit_mb)
        keyed = [service for service in self.info["Services"] if service["Idempotency"] == "deduplicated"]
        window_ms = max((service["Window"] for service in keyed), default=0.0)
        grace_ms = self.info["Guarantees"]["DrainGrace"]
        return list(check(self.record, window_s=window_ms / 1000, grace_s=grace_ms / 1000))

    def served_weight_fraction(self, since=0.0, until=float("inf")):
        """Return the served fraction of the priority weight of the requests that began in a span."""
        results = [result for gateway in self.gateways for result in list(gateway.results)]
        in_span = [result for result in results if since <= result.request.began_at < until]
        total = sum(result.request.weight for result in in_span)
        served = sum(result.request.weight for result in in_span if result.is_served)
        return served / total if total else 0.0

    # Faults, which are recorded.

    def endpoints(self):
        """Return the names of all endpoints."""
        gateways = [gateway.name for gateway in self.gateways]
        return [*gateways, *(host.name for host in self.hosts), STORE, REGISTRY, CONTROLLERS]

    def partition(self, group, other_group, one_way=False):
        """Block the links between two groups of endpoints; return a function that heals the partition."""
        fault = self.record.begin_fault("partition", [*group, *other_group])
        self.net.partition(group, other_group, one_way)

        def heal():
            self.net.heal()
            self.record.end_fault(fault)

        return heal

    def suspend(self, host):
        """Stop a host's processes by SIGSTOP; return a function that resumes them."""
        fault = self.record.begin_fault("stopped", [host.name])
        pids = host.serving_pids()
        for pid in pids:
            os.kill(pid, signal.SIGSTOP)

        def resume():
            for pid in pids:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGCONT)
            self.record.end_fault(fault)

        return resume

    def close(self):
        """Stop the load, kill all processes and close all peers."""
        self._pauses.stop()
        for gateway in self.gateways:
            gateway.stop()
        for host in self.hosts:
            if host.agent is not None:
                host.agent.close()
            host.close()
        for gateway in self.gateways:
            for pool in list(gateway.pools.values()):
                pool.close()
        self.net.close()
        self.store.close()
        self.registry.close()
