"""Boxes that talk to each other: their lists, who wants turns, and a resource that checks fencing numbers.

Each box has a list of its own, for it reaches each other box through a proxy of its own. Ends are named as in
``fleet.py``, so a partition between boxes is ``fleet.partition(["disp-01"], ["disp-02"])``.
"""

import json
import threading
import time

from lapispick.fakes.ports import call_operators, free_port

LIST = "host,lapispick_port,lapispick_members,ansible_host\n"
QUICK = """ period 200ms
 timeout 80ms
 suspicion 4
 sync 2s
 lease 1500ms
 answer 250ms
 lists 3s
 keep 1s
 turns job:1 pair:2
"""

# Ten times slower than QUICK where words are late: a machine that is busy otherwise is no fault of the members.
STEADY = (
    QUICK.replace("period 200ms", "period 500ms")
    .replace("timeout 80ms", "timeout 250ms")
    .replace("suspicion 4", "suspicion 8")
)


class Resource:
    """What a turn guards: it takes no act under a lower fence than it has seen of the slot."""

    def __init__(self):
        self._lock, self.top, self.acts, self.refused = threading.Lock(), {}, [], []

    def act(self, slot, fence, box):
        with self._lock:
            good = fence >= self.top.get(slot, 0)
            (self.acts if good else self.refused).append((time.monotonic(), slot, fence, box))
            if good:
                self.top[slot] = fence
            return good

    def top_fences(self):
        """Return the slots and fences under which something was done."""
        with self._lock:
            return {(slot, fence) for _, slot, fence, _ in self.acts}


class Owner(threading.Thread):
    """Wants a turn of its box again and again, acts while it holds it, and gives it back."""

    def __init__(self, talk, box, turn="job", hold=0.6, rest=0.05):
        super().__init__(daemon=True)
        self.talk, self.box, self.turn, self.hold, self.rest = talk, box, turn, hold, rest
        self.over, self.held, self.calls = threading.Event(), [], 0

    def run(self):
        while not self.over.is_set():
            if self._turned():
                self.over.wait(self.rest)

    def _turned(self):
        """Wait for the turn once and use it; True where it was held."""
        got, end = None, 0.0
        while not self.over.is_set():
            asked = time.monotonic()
            lines = call_operators(self.ops(), f"want {self.turn} worker", 1.0)
            self.calls += 1
            told = (lines or ["ERR"])[0].split()
            if told[:2] == ["OK", "held"]:
                slot, fence, until_ = told[2], int(told[3]), asked + float(told[4])
                if got is None or got[:2] != [slot, fence]:
                    got, end = [slot, fence, asked, until_], time.monotonic() + self.hold
                    self.held.append(got)
                got[3] = max(got[3], until_)
                if time.monotonic() < got[3]:
                    self.talk.resource.act(slot, fence, self.box.name)
            elif got is not None and lines:  # the lease was lost on the way, or the box leaves
                got[3] = min(got[3], time.monotonic())
                call_operators(self.ops(), f"done {self.turn} worker", 1.0)
                return True
            if got is not None and time.monotonic() >= min(end, got[3]):
                got[3] = min(got[3], time.monotonic())  # from here on it does nothing more under this turn
                call_operators(self.ops(), f"done {self.turn} worker", 1.0)
                return True
            self.over.wait(0.03)
        if got is not None:
            got[3] = min(got[3], time.monotonic())
        return False

    def ops(self):
        return self.box.processes[-1].ops

    def stop(self):
        self.over.set()


class Talk:
    """A rig's fleet whose boxes are members; ``told`` are the directives of the section."""

    def __init__(self, fleet, told=QUICK, names=None):
        self.fleet, self.resource, self.owners, self.told = fleet, Resource(), [], told
        self.at = {box.name: f"127.0.0.1:{free_port()}" for box in fleet.hosts}
        self.reach = {box.name: {} for box in fleet.hosts}  # who -> whom -> the address that it knows
        for n, one in enumerate(fleet.hosts):
            for other in fleet.hosts[n + 1 :]:
                there, back = fleet.net.pair(one.name, other.name, self.at[one.name], self.at[other.name])
                self.reach[one.name][other.name], self.reach[other.name][one.name] = there, back
        self.conf, self.csv = {}, {}
        self.listed = {}
        for box in fleet.hosts:
            self.csv[box.name] = box.folder / "boxes.csv"
            self.conf[box.name] = box.folder / "members.conf"
            self.list(names or [b.name for b in fleet.hosts], [box.name])
            self.conf[box.name].write_text(
                f"section inventory\n path {self.csv[box.name]}\n settle 0s\n look 100ms\n loss 100%\n"
                " turnover 100%\nend\nsection fleet\n group all\nend\n"
                f"section members\n enabled yes\n listen {self.at[box.name]}\n state-folder {box.folder}/members\n"
                f"{self.told}end\n"
            )

    def list(self, names, at=None):
        """Let these boxes be the list, at all boxes or some."""
        for who in at or [b.name for b in self.fleet.hosts]:
            rows = "".join(
                f"{name},{self.fleet[name].address.rsplit(':')[1]},"
                f"{self.at[name] if name == who else self.reach[who][name]},127.0.0.1\n"
                for name in names
            )
            fresh = self.csv[who].with_suffix(".new")
            fresh.write_text(LIST + rows)
            fresh.replace(self.csv[who])
            self.listed[who] = list(names)

    def start(self, names=None, **over):
        """Start boxes side by side."""
        boxes = [box for box in self.fleet.hosts if names is None or box.name in names]
        threads = [threading.Thread(target=box.start, kwargs={"conf": self.conf[box.name], **over}) for box in boxes]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        return self

    def view(self, name):
        """Return what a box says of its view; None where it says nothing."""
        box = self.fleet[name]
        lines = call_operators(box.processes[-1].ops, "members", 1.0) if box.processes else None
        return json.loads(lines[1]) if lines and lines[0] == "OK" else None

    def states(self, name):
        """Return the states of all others, as a box sees them."""
        found = self.view(name)
        return {each["name"]: each["state"] for each in found["members"]} if found else {}

    def sees(self, at, alive, gone=()):
        """Tell whether some boxes see some alive and some dead or left."""
        for name in at:
            found = self.states(name)
            if any(found.get(other) != "alive" for other in alive if other != name) or any(
                found.get(other) not in ("dead", "left") for other in gone
            ):
                return False
        return True

    def agree(self, names, gone=(), within=25.0):
        """Wait until these boxes see each other alive and the others gone; returns how long it took, s."""
        began = time.monotonic()
        while not self.sees(names, names, gone):
            assert time.monotonic() - began < within, {name: self.states(name) for name in names}
            time.sleep(0.05)
        return time.monotonic() - began

    def deaths(self):
        """Return who called whom dead, from the logs."""
        found = []
        for box in self.fleet.hosts:
            for path in sorted(box.folder.glob("config-*.log")):
                found += [
                    (box.name, line.split(" name=")[1].split()[0])
                    for line in path.read_text().splitlines()
                    if "event=member-dead " in line
                ]
        return found

    def want(self, turn="job", names=None, hold=0.6):
        """Let an owner at each box want a turn from now on."""
        made = [Owner(self, box, turn, hold) for box in self.fleet.hosts if names is None or box.name in names]
        for each in made:
            each.start()
        self.owners += made
        return made

    def turned(self, more, within=30.0):
        """Wait until so many more turns were held; returns how long it took, s."""
        goal, began = len(self.resource.top_fences()) + more, time.monotonic()
        while len(self.resource.top_fences()) < goal:
            assert time.monotonic() - began < within, f"{goal - len(self.resource.top_fences())} turns are missing"
            time.sleep(0.02)
        return time.monotonic() - began

    def close(self):
        for each in self.owners:
            each.stop()
        for each in self.owners:
            each.join(5)

    def overlaps(self, slots=1):
        """Return pairs of owners of different boxes that believed to hold one slot at one instant."""
        spans = sorted(
            (from_, to, slot, fence, owner.box.name) for owner in self.owners for slot, fence, from_, to in owner.held
        )
        found = []
        for n, one in enumerate(spans):
            found += [
                (one, other)
                for other in spans[n + 1 :]
                if other[2] == one[2] and other[0] < one[1] and other[3] != one[3]
            ]
        return found

    def kept(self):
        """Check what must hold whatever was broken: one holder a slot, and no act by an old one."""
        assert self.overlaps() == []
        assert self.resource.refused == []
        by_slot = {}
        for _, slot, fence, box in self.resource.acts:
            assert by_slot.setdefault((slot, fence), box) == box, f"two boxes have fence {fence} of {slot}"
