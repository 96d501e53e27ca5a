"""How long the machine held up the rig and the hosts, so that no rule is laid at a host's door for it.

A thread that wants its turn every few ms notes each one that came late; of each host's processes the system tells how
long they could run and had no core (``/proc/PID/schedstat``). The platform's rules leave out the time in which the
machine pauses; here it is as much as was measured while a request was open, and nothing on a quiet machine.
"""

import contextlib
import threading
import time
import types

TURN_S = 0.01  # s; between two turns
LEAST_S = 0.02  # s; less than this in a turn is what any machine does
LOOK = 5  # turns between two looks at the hosts
FIND_S = 1.0  # s; between two looks for their processes


class Pauses(threading.Thread):
    """Spans in which somebody was held up: (from, to, whom or "" for the rig itself, for how long)."""

    def __init__(self, boxes):
        super().__init__(daemon=True)
        self.spans, self._boxes, self._over, self._waited = [], boxes, threading.Event(), {}

    def run(self):
        last, turn, looked, found, pids = time.time(), 0, time.time(), 0.0, []
        while not self._over.wait(TURN_S):
            now = time.time()
            self.note(last, now, "", now - last - TURN_S)
            last, turn = now, turn + 1
            if turn % LOOK == 0:
                if now - found >= FIND_S:
                    found, pids = now, [(box.name, pid) for box in list(self._boxes) for pid in self._serving(box)]
                for name, pid in pids:
                    self._look(name, pid, looked, now)
                looked = now

    def _serving(self, box):
        with contextlib.suppress(OSError):  # it may end at any moment
            return box.serving_pids()
        return []

    def _look(self, name, pid, since, now):
        with contextlib.suppress(OSError, IndexError, ValueError):
            with open(f"/proc/{pid}/schedstat") as file:
                waited = int(file.read().split()[1]) / 1e9
            before = self._waited.get(pid, waited)
            self._waited[pid] = waited
            self.note(since, now, name, waited - before)

    def note(self, since, until, whom, held):
        if held >= LEAST_S:
            self.spans.append((since, until, whom, held))

    def held(self, box, since, until):
        """Return for how long the rig and this box were held up in a span, s."""
        return sum(
            held for start, end, whom, held in list(self.spans) if whom in ("", box) and start < until and end > since
        )

    def stop(self):
        self._over.set()


@contextlib.contextmanager
def watched(host):
    """Return what tells for how long the machine has held up a host or the test itself since here, s."""
    since, pauses = time.time(), Pauses([types.SimpleNamespace(name="it", serving_pids=lambda: [host.process.pid])])
    pauses.start()
    try:
        yield lambda: pauses.held("it", since, time.time())
    finally:
        pauses.stop()
