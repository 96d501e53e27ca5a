"""A fleet in one test: worker hosts with their executors, one store and registry, gateways, and faults between them.

Every link goes through a proxy (``fault_proxy.py``), every peer records what it saw (``rule_checker.py``), and one
seed draws all that is random. Endpoints are named: gateways ``g0``.., hosts by their names, ``store``,
``registry``, and ``controllers``.
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
LISTED_S = 3.0  # an entry of the registry expires so long after its last report
MAX_READ_REPORTS = 200  # per host
IDEMPOTENCY_WINDOW_MS = 14_286.0
SETTLE_SLACK_S = 1
CALLS_OUT = 50.0
FLEET_PLATFORM_INFO = make_platform_info(({}, {"Window": IDEMPOTENCY_WINDOW_MS}), CallsOut=CALLS_OUT)


class Fleet:
    """Worker hosts with all their peers; use it as a context."""

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
        patience_s=3.0,
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
        self.patience_s = patience_s
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
        self._paths = {
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

    def path(self, gateway, host):
        """Return the address at which a gateway reaches a host."""
        return self._paths[gateway, host.name]

    def listed_hosts(self, _gateway):
        """Return the hosts that report in time, as all gateways learn them."""
        earliest = time.monotonic() - LISTED_S
        last_reports = {}
        for at, report in self.registry.reports[-MAX_READ_REPORTS * len(self.hosts) :]:
            last_reports[report.split()[1]] = (at, report.endswith(" on"))
        listed = []
        for host in self.hosts:
            at, is_on = last_reports.get(host.name, (0.0, False))
            if at >= earliest and is_on:
                listed.append(host)
        return listed

    # The load.

    def start(self, **options):
        """Start all hosts at once and wait until each accepts clients."""
        threads = [threading.Thread(target=host.start, kwargs=options) for host in self.hosts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def start_load(self):
        """Let all gateways send requests from now on."""
        for gateway in self.gateways:
            gateway.start()

    def _result_count(self):
        return sum(len(gateway.results) for gateway in self.gateways)

    def wait_for_results(self, more):
        """Wait until so many more requests were answered or given up."""
        goal = self._result_count() + more
        return wait_until(lambda: self._result_count() >= goal, f"{more} answers")

    def settle(self):
        """End the load and wait until no attempt is open any more."""
        for gateway in self.gateways:
            gateway.stop()
        end = time.time() + self.patience_s + SETTLE_SLACK_S
        while time.time() < end:
            attempts = list(self.record.attempts.values())
            if all(attempt.answers or attempt.broken_at for attempt in attempts):
                return
            time.sleep(0.02)

    def broken_rules(self):
        """Settle, and return every rule that was broken."""
        self.settle()
        for host in self.hosts:
            for used_mb in host.peak_memory_mb():
                self.record.add_memory(host.name, used_mb, self.memory_limit_mb)
        keyed = [service for service in self.info["Services"] if service["Idempotency"] == "deduplicated"]
        window_ms = max((service["Window"] for service in keyed), default=0.0)
        grace_ms = self.info["Guarantees"]["DrainGrace"]
        return list(check(self.record, window_s=window_ms / 1000, grace_s=grace_ms / 1000))

    def served_weight_fraction(self, since=0.0, until=float("inf")):
        """Return the weight served over that of all requests begun in a span."""
        results = [result for gateway in self.gateways for result in list(gateway.results)]
        in_span = [result for result in results if since <= result.request.began_at < until]
        total = sum(result.request.weight for result in in_span)
        served = sum(result.request.weight for result in in_span if result.is_served)
        return served / total if total else 0.0

    # Faults that are recorded.

    def endpoints(self):
        """Return the names of all endpoints."""
        gateways = [gateway.name for gateway in self.gateways]
        return [*gateways, *(host.name for host in self.hosts), STORE, REGISTRY, CONTROLLERS]

    def partition(self, ones, others, one_way=False):
        """Let nothing pass between two groups of endpoints; returns what ends it."""
        fault = self.record.begin_fault("partition", [*ones, *others])
        self.net.partition(ones, others, one_way)

        def heal():
            self.net.heal()
            self.record.end_fault(fault)

        return heal

    def suspend(self, host):
        """Stop a host's processes by SIGSTOP; returns what resumes them."""
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
        """End the load, all processes and all peers."""
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
