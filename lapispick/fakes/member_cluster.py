"""Running hosts that are members: their lists, owners of leases, and a resource that checks fencing tokens.

Each host has a list of its own, for it reaches each other host through a proxy of its own. Links are named as in
``fleet.py``, so a partition between two hosts is ``fleet.partition(["disp-01"], ["disp-02"])``.
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

# Where a busy machine delays messages, so that its slowness is not mistaken for a fault of the members.
SLOW_SETTINGS = (
    FAST_SETTINGS.replace("period 200ms", "period 500ms")
    .replace("timeout 80ms", "timeout 250ms")
    .replace("suspicion 4", "suspicion 8")
)

# As in service: a suspicion lasts for at least 5 s.
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
    """Something that a host did to the resource under a lease."""

    at: float
    slot: str
    fencing_token: int
    host: str


class FencedResource:
    """What a lease protects: it rejects actions with a lower fencing token than it has seen for the slot."""

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
        """Return the slots and fencing tokens under which something was done."""
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
        """Note that the owner acts no more from a time on."""
        self.valid_until = min(self.valid_until, at)


class LeaseOwner(threading.Thread):
    """Requests a lease of its host again and again, acts while it holds it, and releases it."""

    def __init__(self, cluster, host, lease="job", hold_s=0.6, rest_s=0.05):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.host = host
        self.lease = lease
        self.hold_s = hold_s
        self.rest_s = rest_s
        self.leases = []
        self._stopped = threading.Event()

    def run(self):
        while not self._stopped.is_set():
            if self._hold_once():
                self._stopped.wait(self.rest_s)

    def stop(self):
        """Release the lease and request it no more."""
        self._stopped.set()

    def _hold_once(self):
        """Wait for the lease once and use it; True if it was held."""
        lease = None
        release_at = 0.0
        while not self._stopped.is_set():
            requested_at = time.monotonic()
            lines = call_ops(self._ops(), f"want {self.lease} worker", CALL_TIMEOUT_S)
            fields = lines[0].split() if lines else []
            if fields[:2] == ["OK", "held"]:
                slot, token = fields[2], int(fields[3])
                if lease is None or (lease.slot, lease.fencing_token) != (slot, token):
                    lease = OwnedLease(slot, token, requested_at, requested_at)
                    release_at = time.monotonic() + self.hold_s
                    self.leases.append(lease)
                lease.valid_until = max(lease.valid_until, requested_at + float(fields[4]))
                if time.monotonic() < lease.valid_until:
                    self.cluster.resource.act(slot, token, self.host.name)
            elif lease is not None and lines:  # the lease was lost, or the host leaves
                return self._release(lease)
            if lease is not None and time.monotonic() >= min(release_at, lease.valid_until):
                return self._release(lease)
            self._stopped.wait(RENEW_INTERVAL_S)
        if lease is not None:
            lease.end(time.monotonic())
        return False

    def _release(self, lease):
        """Do nothing more under the lease, and release it."""
        lease.end(time.monotonic())
        call_ops(self._ops(), f"done {self.lease} worker", CALL_TIMEOUT_S)
        return True

    def _ops(self):
        return self.host.processes[-1].ops


class MemberCluster:
    """The hosts of a fake fleet as members; ``settings`` are directives of ``section members``."""

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
        """Return the address by which each host (first key) reaches each other one, through a proxy."""
        proxies = {host.name: {} for host in self.fleet.hosts}
        for one, other in itertools.combinations(self.names(), 2):
            there, back = self.fleet.net.pair(one, other, self.addresses[one], self.addresses[other])
            proxies[one][other] = there
            proxies[other][one] = back
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
        """Write a list of these members, at all hosts or some."""
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
        """Start hosts in parallel, with offsets of their wall clocks in s where they are given."""
        threads = []
        for host in self.fleet.hosts:
            if names is None or host.name in names:
                options = {"conf": self.config_files[host.name]}
                if clock_offsets is not None:
                    options["skew"] = clock_offsets[host.name]
                threads.append(threading.Thread(target=host.start, kwargs=options))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self

    # Views.

    def view(self, name):
        """Return the membership view of a host; None if it does not answer."""
        host = self.fleet[name]
        lines = call_ops(host.processes[-1].ops, "members", CALL_TIMEOUT_S) if host.processes else None
        return json.loads(lines[1]) if lines and lines[0] == "OK" else None

    def process_epoch(self, observer, name):
        """Return the process epoch of a member as another one knows it."""
        return next(each["life"] for each in self.view(observer)["members"] if each["name"] == name)

    def states(self, observer):
        """Return the states of all other members, as a host sees them."""
        view = self.view(observer)
        return {each["name"]: each["state"] for each in view["members"]} if view else {}

    def believes(self, observer, alive, absent=()):
        """Tell whether a host believes some members alive and some dead or left."""
        states = self.states(observer)
        if any(states.get(name) != "alive" for name in alive if name != observer):
            return False
        return all(states.get(name) in ABSENT_STATES for name in absent)

    def wait_for_agreement(self, names, absent=(), within=25.0):
        """Wait until these hosts believe each other alive and some dead or left; returns the time that it took, s."""
        started_at = time.monotonic()
        wait_until(
            lambda: all(self.believes(observer, names, absent) for observer in names),
            lambda: f"an agreement of { ({name: self.states(name) for name in names}) }",
            within,
            POLL_INTERVAL_S,
        )
        return time.monotonic() - started_at

    def deaths(self):
        """Return who declared whom dead, from the logs."""
        found = []
        for host in self.fleet.hosts:
            for path in sorted(host.folder.glob("config-*.log")):
                for line in path.read_text().splitlines():
                    if "event=member-dead " in line:
                        found.append((host.name, line.split(" host=")[1].split()[0]))
        return found

    # Leases.

    def request_leases(self, lease="job", names=None, hold_s=0.6):
        """Let an owner at each host request a lease from now on."""
        owners = [
            LeaseOwner(self, host, lease, hold_s) for host in self.fleet.hosts if names is None or host.name in names
        ]
        for owner in owners:
            owner.start()
        self.owners += owners
        return owners

    def wait_for_holds(self, count, within=30.0):
        """Wait until leases were held so many more times; returns the time that it took, s."""
        goal = len(self.resource.holds()) + count
        started_at = time.monotonic()
        wait_until(
            lambda: len(self.resource.holds()) >= goal,
            lambda: f"{goal - len(self.resource.holds())} more holds of a lease",
            within,
            POLL_INTERVAL_S,
        )
        return time.monotonic() - started_at

    def overlaps(self):
        """Return pairs of leases whose owners believed to hold one slot at one instant."""
        leases = sorted((lease for owner in self.owners for lease in owner.leases), key=lambda lease: lease.valid_from)
        return [
            (one, other)
            for one, other in itertools.combinations(leases, 2)
            if other.slot == one.slot
            and other.valid_from < one.valid_until
            and other.fencing_token != one.fencing_token
        ]

    def check_invariants(self):
        """Check what must hold whatever fails: one holder a slot, and no action under an outdated lease."""
        assert self.overlaps() == []
        assert self.resource.rejected == []
        holders = {}
        for action in self.resource.accepted:
            holder = holders.setdefault((action.slot, action.fencing_token), action.host)
            assert holder == action.host, f"two hosts have token {action.fencing_token} of {action.slot}"

    def close(self):
        """Stop all owners."""
        for owner in self.owners:
            owner.stop()
        for owner in self.owners:
            owner.join(5)
