"""Emulated hosts that are cluster members: their member lists, lease owners, and a resource that checks fencing tokens.

Each host has its own member list, because it reaches every other host through a separate proxy. Endpoints are named as
in ``fleet.py``, so a partition between two hosts is ``fleet.partition(["disp-01"], ["disp-02"])``.
"""

import itertools
import json
import threading
import time
from dataclasses import dataclass
from typing import NamedTuple

from lapispick.fakes.ports import call_ops, free_port
from lapispick.fakes.waiting import wait_until

LIST_HEADER = "host,lapispick_port,lapispick_members,ansible_host\n"
FAST_SETTINGS = """ period 200ms
 timeout 80ms
 suspicion 4
 sync 2s
 lease 1500ms
 answer 250ms
 lists 3s
 keep 1s
 turns job:1 pair:2
"""

# For tests in which a busy machine delays messages and the members must not count the delay as a fault.
SLOW_SETTINGS = (
    FAST_SETTINGS.replace("period 200ms", "period 500ms")
    .replace("timeout 80ms", "timeout 250ms")
    .replace("suspicion 4", "suspicion 8")
)

# Timing as in production: a suspicion lasts for at least 5 s.
SERVICE_SETTINGS = (
    FAST_SETTINGS.replace("period 200ms", "period 1s")
    .replace("timeout 80ms", "timeout 300ms")
    .replace("suspicion 4", "suspicion 5")
)

CALL_TIMEOUT_S = 1.0
RENEW_INTERVAL_S = 0.03
POLL_INTERVAL_S = 0.02
ABSENT_STATES = ("dead", "left")


class Action(NamedTuple):
    """An action of a host on the resource under a lease."""

    at: float
    slot: str
    fencing_token: int
    host: str


class FencedResource:
    """Resource that a lease protects; it rejects actions whose fencing token is lower than one seen for the slot."""

    def __init__(self):
        self.accepted = []
        self.rejected = []
        self._highest = {}
        self._lock = threading.Lock()

    def act(self, slot, fencing_token, host):
        """Accept or reject an action of a host."""
        with self._lock:
            action = Action(time.monotonic(), slot, fencing_token, host)
            if fencing_token < self._highest.get(slot, 0):
                self.rejected.append(action)
            else:
                self._highest[slot] = fencing_token
                self.accepted.append(action)

    def holds(self):
        """Return the (slot, fencing token) pairs of all accepted actions."""
        with self._lock:
            return {(action.slot, action.fencing_token) for action in self.accepted}

    def last_holder(self):
        """Return the host whose action was accepted last."""
        return self.accepted[-1].host


@dataclass
class OwnedLease:
    """A lease as its owner knows it, by the owner's clock."""

    slot: str
    fencing_token: int
    valid_from: float
    valid_until: float

    def end(self, at):
        """Record that the owner stops acting at a time."""
        self.valid_until = min(self.valid_until, at)


class LeaseOwner(threading.Thread):
    """Repeatedly requests a lease through its host, acts on the resource while holding it, and releases it."""

    def __init__(self, cluster, host, lease="job", hold_s=0.6, pause_s=0.05):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.host = host
        self.lease = lease
        self.hold_s = hold_s
        self.pause_s = pause_s
        self.leases = []
        self._stopped = threading.Event()

    def run(self):
        while not self._stopped.is_set():
            if self._hold_once():
                self._stopped.wait(self.pause_s)

    def stop(self):
        """Stop acting under the lease and requesting it."""
        self._stopped.set()

    def _hold_once(self):
        """Wait for the lease, hold it once and release it; return True if it was held and released."""
        lease = None
        release_at = 0.0
        while not self._stopped.is_set():
            requested_at = time.monotonic()
            lines = call_ops(self._operator_address(), f"want {self.lease} worker", CALL_TIMEOUT_S)
            fields = lines[0].split() if lines else []
            if fields[:2] == ["OK", "held"]:
                slot, token = fields[2], int(fields[3])
                if lease is None or (lease.slot, lease.fencing_token) != (slot, token):
                    # The owner holds it from the answer on; the host may have waited for the last holder's release.
                    answered_at = time.monotonic()
                    lease = OwnedLease(slot, token, answered_at, requested_at)
                    release_at = answered_at + self.hold_s
                    self.leases.append(lease)
                lease.valid_until = max(lease.valid_until, requested_at + float(fields[4]))
                if time.monotonic() < lease.valid_until:
                    self.cluster.resource.act(slot, token, self.host.name)
            elif lease is not None and lines:  # the lease was lost or the host is leaving
                return self._release(lease)
            if lease is not None and time.monotonic() >= min(release_at, lease.valid_until):
                return self._release(lease)
            self._stopped.wait(RENEW_INTERVAL_S)
        if lease is not None:
            lease.end(time.monotonic())
        return False

    def _release(self, lease):
        """Stop acting under the lease and release it."""
        lease.end(time.monotonic())
        call_ops(self._operator_address(), f"done {self.lease} worker", CALL_TIMEOUT_S)
        return True

    def _operator_address(self):
        return self.host.processes[-1].ops


class MemberCluster:
    """The hosts of an emulated fleet as members; ``settings`` are directives of ``section members``."""

    def __init__(self, fleet, settings=FAST_SETTINGS, names=None):
        self.fleet = fleet
        self.settings = settings
        self.resource = FencedResource()
        self.owners = []
        self.addresses = {host.name: f"127.0.0.1:{free_port()}" for host in fleet.hosts}
        self.config_files = {host.name: host.folder / "members.conf" for host in fleet.hosts}
        self._list_files = {host.name: host.folder / "boxes.csv" for host in fleet.hosts}
        self._proxies = self._connect_all()
        for host in fleet.hosts:
            self.set_list(names or self.names(), [host.name])
            self.config_files[host.name].write_text(self._config(host))

    def _connect_all(self):
        """Return the proxied address at which each host (first key) reaches each other host (second key)."""
        proxies = {host.name: {} for host in self.fleet.hosts}
        for first, second in itertools.combinations(self.names(), 2):
            address_of_second, address_of_first = self.fleet.net.pair(
                first, second, self.addresses[first], self.addresses[second]
            )
            proxies[first][second] = address_of_second
            proxies[second][first] = address_of_first
        return proxies

    def _config(self, host):
        return (
            f"section inventory\n path {self._list_files[host.name]}\n settle 0s\n look 100ms\n loss 100%\n"
            " turnover 100%\nend\nsection fleet\n group all\nend\n"
            f"section members\n enabled yes\n listen {self.addresses[host.name]}\n"
            f" state-folder {host.folder}/members\n{self.settings}end\n"
        )

    def names(self):
        """Return the names of all hosts."""
        return [host.name for host in self.fleet.hosts]

    def set_list(self, names, at=None):
        """Write a list of these members on all hosts, or on the hosts ``at``."""
        for reader in at or self.names():
            rows = "".join(
                f"{name},{self.fleet[name].address.rsplit(':')[1]},"
                f"{self.addresses[name] if name == reader else self._proxies[reader][name]},127.0.0.1\n"
                for name in names
            )
            temporary = self._list_files[reader].with_suffix(".new")
            temporary.write_text(LIST_HEADER + rows)
            temporary.replace(self._list_files[reader])

    def start(self, names=None, clock_offsets=None):
        """Start hosts in parallel; ``clock_offsets`` are the skews of their wall clocks by host name, in s."""
        threads = []
        for host in self.fleet.hosts:
            if names is None or host.name in names:
                options = {"conf": self.config_files[host.name]}
                if clock_offsets is not None:
                    options["clock_skew_s"] = clock_offsets[host.name]
                threads.append(threading.Thread(target=host.start, kwargs=options))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self

    # Membership views.

    def view(self, name):
        """Return the membership view of a host, or None if it does not answer."""
        host = self.fleet[name]
        lines = call_ops(host.processes[-1].ops, "members", CALL_TIMEOUT_S) if host.processes else None
        return json.loads(lines[1]) if lines and lines[0] == "OK" else None

    def process_epoch(self, observer, name):
        """Return the process epoch of a member as the observer knows it."""
        return next(member["life"] for member in self.view(observer)["members"] if member["name"] == name)

    def states(self, observer):
        """Return the states of all other members in the view of a host."""
        view = self.view(observer)
        return {member["name"]: member["state"] for member in view["members"]} if view else {}

    def has_states(self, observer, alive, absent=()):
        """Return True if the view of a host has the members ``alive`` as alive and ``absent`` as dead or left."""
        states = self.states(observer)
        if any(states.get(name) != "alive" for name in alive if name != observer):
            return False
        return all(states.get(name) in ABSENT_STATES for name in absent)

    def wait_for_agreement(self, names, absent=(), timeout_s=25.0):
        """Wait until these hosts see each other as alive and ``absent`` as dead or left; return the duration in s."""
        started_at = time.monotonic()
        wait_until(
            lambda: all(self.has_states(observer, names, absent) for observer in names),
            lambda: f"agreement of the views { ({name: self.states(name) for name in names}) }",
            timeout_s,
            POLL_INTERVAL_S,
        )
        return time.monotonic() - started_at

    def deaths(self):
        """Return (observer, member) for each member declared dead in the logs."""
        declared = []
        for host in self.fleet.hosts:
            for path in sorted(host.folder.glob("config-*.log")):
                for line in path.read_text().splitlines():
                    if "event=member-dead " in line:
                        declared.append((host.name, line.split(" host=")[1].split()[0]))
        return declared

    # Leases.

    def request_leases(self, lease="job", names=None, hold_s=0.6):
        """Start a lease owner at each host, or at the hosts ``names``."""
        owners = [
            LeaseOwner(self, host, lease, hold_s) for host in self.fleet.hosts if names is None or host.name in names
        ]
        for owner in owners:
            owner.start()
        self.owners += owners
        return owners

    def wait_for_holds(self, count, timeout_s=30.0):
        """Wait until leases were held ``count`` more times; return the duration in s."""
        goal = len(self.resource.holds()) + count
        started_at = time.monotonic()
        wait_until(
            lambda: len(self.resource.holds()) >= goal,
            lambda: f"{goal - len(self.resource.holds())} more holds of a lease",
            timeout_s,
            POLL_INTERVAL_S,
        )
        return time.monotonic() - started_at

    def overlaps(self):
        """Return pairs of leases whose owners considered themselves holders of one slot at the same time."""
        leases = sorted((lease for owner in self.owners for lease in owner.leases), key=lambda lease: lease.valid_from)
        return [
            (earlier, later)
            for earlier, later in itertools.combinations(leases, 2)
            if later.slot == earlier.slot
            and later.valid_from < earlier.valid_until
            and later.fencing_token != earlier.fencing_token
        ]

    def check_invariants(self):
        """Check what must hold under any fault: one holder per slot, and no action under an outdated lease."""
        overlaps = self.overlaps()
        assert overlaps == [], f"two owners held one slot at the same time: {overlaps}"
        assert self.resource.rejected == []
        holders = {}
        for action in self.resource.accepted:
            holder = holders.setdefault((action.slot, action.fencing_token), action.host)
            assert holder == action.host, (
                f"{holder} and {action.host} both hold fencing token {action.fencing_token} of {action.slot}"
            )

    def close(self):
        """Stop all owners."""
        for owner in self.owners:
            owner.stop()
        for owner in self.owners:
            owner.join(5)
