"""A fleet in one test: real worker hosts with their executors, one store and roster, gateways, and faults between them.

Every link goes through a proxy (``net.py``), every party notes what it saw (``account.py``), and one seed draws all
that is random. Ends are named: gateways ``g0``.., boxes by their names, ``store``, ``roster``, ``steer`` (controllers).
"""

import base64
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from lapispick.fakes import peers
from lapispick.fakes.fault_proxy import Net
from lapispick.fakes.host_pauses import Pauses
from lapispick.fakes.peers import Executor, Roster, Store, asked, until
from lapispick.fakes.pool import Pool
from lapispick.fakes.rule_checker import SERVED, TURNED, Account, Try, check, kind

ROOT = Path(peers.__file__).resolve().parents[2]
STORE, ROSTER, STEER = "store", "roster", "steer"
LISTED_S = 3.0  # s; an entry lapses so long after its last report
WINDOW_MS = 14_286.0
INFO = json.loads(json.dumps(peers.INFO))
INFO["Services"][1]["Window"] = WINDOW_MS
INFO["FamilyInfo"]["CallsOut"] = 50.0


class RigExecutor(Executor):
    """An executor that notes what it ran; ``pace`` makes its work so many times longer."""

    def __init__(self, account, box, process, work_s=0.004, cores=2):
        self.account, self.box, self.process, self.pace, self.life = account, box, process, 1.0, 0
        super().__init__(work_s, cores)

    def on_join(self, link, command):
        if command["index"] == 0 and self.notices:  # another process of the host: notices count from 1 again
            self.notices, self.life = [], self.life + 1
        super().on_join(link, command)

    def on_exec(self, link, command):
        body = base64.b64decode(command["bytes"]).decode()
        self.account.ran(self.box, self.process, command["task"], body)
        super().on_exec(link, command)

    def _work(self, task, body):
        life = self.life
        with self.slots:
            time.sleep(self.work_s * self.pace)
        if life == self.life:
            self.end(task, result=f"did {body}")


class RigStore(Store):
    """The shared store: ``slots`` calls at once, each ``work_s`` long, slower where it is crowded."""

    def __init__(self, account, work_s=0.002, slots=16):
        self.account, self.work_s, self.slots, self.now, self.worst, self.slow = account, work_s, slots, 0, 0, 1.0
        self._count = threading.Lock()
        super().__init__()

    def talk(self, link):
        for headers, body in self.asked(link.makefile("rb")):
            self.account.ran("", "", headers["X-For-Request"], body, STORE)
            with self._count:
                self.now += 1
                self.worst = max(self.worst, self.now)
                crowd = max(1.0, self.now / self.slots)
            time.sleep(self.work_s * crowd * self.slow)
            with self._count:
                self.now -= 1
            reply = f"called {body}"
            link.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n{reply}".encode())


class Box:
    """One box: a folder that its processes share, a serving address, and slots for a process and its successor."""

    def __init__(self, fleet, name, zone="", machine=""):
        self.fleet, self.name, self.zone, self.machine = fleet, name, zone, machine
        self.folder = fleet.folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self._held = socket.socket()  # keeps the port for processes that share it
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._held.bind(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self._held.getsockname()[1]}"
        self.store_at = fleet.net.tcp(name, STORE, fleet.store.at)
        self.roster_at = fleet.net.udp(name, ROSTER, fleet.roster.at)
        self.executors, self.processes, self._starts, self.skew = [], [], 0, 0.0
        self.agent = None

    def slot(self):
        """Return what one more process needs: where operators call, and an executor of its own."""
        made = RigExecutor(self.fleet.account, self.name, f"p{len(self.executors)}", **self.fleet.work)
        made.pace = self.fleet.paces.get(self.name, 1.0)
        self.executors.append(made)
        return {"ops": f"127.0.0.1:{free_port()}", "executor": made.at}

    def config(self, **over):
        return {
            "name": self.name,
            "listen": self.at,
            "executor": "",
            "roster": self.roster_at,
            "store": self.store_at,
            "seed": f"{self.fleet.random.getrandbits(64):016x}",
            "stop_ms": self.fleet.stop_ms,
            "ops": "",
            "limits": {"cores": 1.0, "memory_mb": self.fleet.memory_mb, "sockets": 256},
            "settings": self.fleet.info,
            **over,
        }

    def environ(self, **over):
        return {**os.environ, "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": str(ROOT), **over}

    def start(self, program=None, conf=None, skew=0.0):
        """Start the program without an agent; returns the process once it takes clients. ``skew``: its clock's, s."""
        slot = self.slot()
        self._starts += 1
        path = self.folder / f"config-{self._starts}.json"
        path.write_text(json.dumps(self.config(**slot)))
        environ = self.environ(LB_CONFIG=str(path), **({"LAPISPICK_CONF": str(conf)} if conf else {}))
        environ["PYTHONPATH"] = str(program or ROOT)
        self.skew = skew
        if skew:
            environ["PYTHONPATH"] = f"{self._skewed(skew)}{os.pathsep}{environ['PYTHONPATH']}"
        process = subprocess.Popen(
            [sys.executable, "-m", "lapispick.host"],
            env=environ,
            cwd=program or ROOT,
            stderr=path.with_suffix(".log").open("w"),
        )
        self.processes.append(process)
        process.ops, process.name = slot["ops"], self.executors[-1].process
        self.yes(process.ops)
        return process

    def _skewed(self, skew):
        """Return a folder that lets a process begin with another wall clock; its monotonic one is left alone."""
        folder = self.folder / "skew"
        folder.mkdir(exist_ok=True)
        (folder / "sitecustomize.py").write_text(
            f"import time\n_true = time.time\ntime.time = lambda: _true() + {skew!r}\n"
        )
        return folder

    def yes(self, ops):
        return until(lambda: call(ops, "check") == ["OK"], f"yes from {self.name}")

    def serving(self):
        """Return the process id of whatever serves this box: its own, or its agent's."""
        if self.agent is not None:
            return self.agent.pids()
        return [p.pid for p in self.processes if p.poll() is None]

    def kill(self, lose_disk=False):
        """Kill all processes of the box at once, as a power cut does; its disk is kept or lost."""
        self.fleet.account.fault("killed", [self.name])
        if self.agent is not None:
            self.agent.kill()
            for pid in self.agent.pids():
                os.kill(pid, signal.SIGKILL)
            until(lambda: not self.agent.pids(), "the end of all processes")
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        if lose_disk:
            shutil.rmtree(self.folder / "tmp")
            (self.folder / "tmp").mkdir()

    def memory_mb(self, pid):
        with open(f"/proc/{pid}/status") as file:
            return int(re.search(r"VmHWM:\s+(\d+)", file.read()).group(1)) / 1024

    def close(self):
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        for executor in self.executors:
            executor.close()
        self._held.close()


class Gateway(threading.Thread):
    """Asks at a rate of boxes that the roster lists, repeats as the protocol allows, and notes all of it."""

    def __init__(self, fleet, number, rate, calls):
        super().__init__(daemon=True)
        self.fleet, self.name, self.rate, self.calls = fleet, f"g{number}", rate, calls
        self.random = random.Random(f"{fleet.seed} {number}")
        self.pools, self.over, self.asked, self.away = {}, threading.Event(), 0, {}
        self.wanted, self.got = 0.0, 0.0  # worth
        self.outcomes = []  # (asked at, class, served, seconds)

    def run(self):
        due = time.monotonic()
        while not self.over.is_set():
            due += self.random.expovariate(self.rate)
            if self.over.wait(max(0.0, due - time.monotonic())):
                return
            due = max(due, time.monotonic() - 0.5)
            self._first()

    def _first(self):
        self.asked += 1
        cls = "book" if self.random.random() < 0.3 else "track"
        body = f"{self.name}-{self.asked}"
        if self.random.random() < self.calls:
            body = f"call:{body}"
        key = f"{self.random.getrandbits(128):032x}" if cls == "book" else ""
        self.wanted += 5.0 if key else 1.0
        self._try(cls, body, key, time.time(), time.time() + self.fleet.patience, None, 3)

    def _try(self, cls, body, key, began, due, box, left, redo=False):
        now = time.time()
        boxes = self.fleet.listed(self.name)
        boxes = [b for b in boxes if self.away.get(b.name, 0.0) < now] or boxes
        if box is None:
            if not boxes:
                return self.outcomes.append((began, cls, False, now - began))
            box = self.random.choice(boxes)
        made = Try(f"{self.random.getrandbits(64):016x}", self.name, box.name, cls, body, key, now, due, redo)
        params = asked(
            body,
            trace=made.trace,
            born=now * 1000,
            patience=(due - now) * 1000,
            client=int(self.name[1:]),
            **({"nonce": key} if key else {}),
            **({"redo": 1} if redo else {}),
        )
        again = (cls, body, key, began, due, left)
        self.fleet.account.wrote(made)
        try:
            pool = self.pools.setdefault(box.name, Pool(self.fleet.path(self.name, box), self._heard))
            pool.ask(cls, (made, box, again), params)
        except OSError:  # refused: nothing of it was read
            del self.fleet.account.tries[made.trace]
            self._again(again, None if not redo else box, redo)
        return None

    def _heard(self, token, message):
        if token is None:
            return self.fleet.account.answered(None, message, None)
        made, box, again = token
        result = base64.b64decode(message["result"]["doc"]).decode() if message and "result" in message else None
        self.fleet.account.answered(made.trace, message, result)
        what = kind(message) if message else None
        if what == SERVED:
            self.got += 5.0 if made.key else 1.0
            return self.outcomes.append((again[3], made.cls, True, time.time() - again[3]))
        if what == TURNED:
            data = message["error"].get("data", {})
            self.away[box.name] = time.time() + data.get("pause", 0.0) / 1000
            return self._again(again, box if made.redo else None, made.redo)
        # It failed or its connection broke: a keyed try may have run, so it goes to that box only, marked.
        return self._again(again, box if made.key else None, True)

    def _again(self, again, box, redo):
        cls, body, key, began, due, left = again
        if left <= 1 or time.time() > due - 0.2 or self.over.is_set():
            return self.outcomes.append((began, cls, False, time.time() - began))
        pause = self.random.uniform(0.02, 0.1)
        timer = threading.Timer(pause, self._try, (cls, body, key, began, due, box, left - 1, redo))
        timer.daemon = True
        timer.start()
        return None

    def stop(self):
        self.over.set()


class Fleet:
    """N boxes with all their peers; use it as a context."""

    def __init__(
        self,
        folder,
        seed,
        boxes=3,
        zones=("pipera",),
        gateways=2,
        rate=20.0,
        calls=0.2,
        info=INFO,
        work=None,
        stop_ms=2500,
        memory_mb=192,
        patience=3.0,
        paces=None,
    ):
        print("seed", seed)
        self.folder, self.seed, self.random, self.account = folder, seed, random.Random(seed), Account()
        self.info, self.stop_ms, self.memory_mb, self.patience = info, stop_ms, memory_mb, patience
        self.work, self.paces = work or {}, paces or {}
        self.net, self.store, self.roster = Net(seed), RigStore(self.account), Roster()
        self.boxes = [Box(self, f"disp-{n + 1:02}", zones[n % len(zones)]) for n in range(boxes)]
        self._pauses = Pauses(self.boxes)
        self.account.held_up = self._pauses.held
        self._pauses.start()
        self._paths = {}
        self.gateways = [Gateway(self, n, rate, calls) for n in range(gateways)]
        for gateway in self.gateways:
            for box in self.boxes:
                self._paths[gateway.name, box.name] = self.net.tcp(gateway.name, box.name, box.at)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def __getitem__(self, name):
        return next(box for box in self.boxes if box.name == name)

    def path(self, gateway, box):
        return self._paths[gateway, box.name]

    def listed(self, _gateway):
        """Return the boxes that report in time, as all gateways learn them."""
        now, last = time.monotonic(), {}
        for at, word in self.roster.reports[-200 * len(self.boxes) :]:
            last[word.split()[1]] = (at, word.endswith(" on"))
        return [box for box in self.boxes if last.get(box.name, (0.0, False)) > (now - LISTED_S,) and last[box.name][1]]

    def start(self, **over):
        """Start all boxes at once and wait until each takes clients."""
        threads = [threading.Thread(target=box.start, kwargs=over) for box in self.boxes]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

    def load(self):
        for gateway in self.gateways:
            gateway.start()

    def answered(self, more):
        """Wait until so many more requests were answered."""
        goal = sum(len(g.outcomes) for g in self.gateways) + more
        return until(lambda: sum(len(g.outcomes) for g in self.gateways) >= goal, f"{more} answers")

    def settle(self):
        """End the load and wait until nothing is owed any more."""
        for gateway in self.gateways:
            gateway.stop()
        end = time.time() + self.patience + 1
        while time.time() < end:
            open_ = [t for t in list(self.account.tries.values()) if not t.answers and not t.broken]
            if not open_:
                return
            time.sleep(0.02)

    def broken_rules(self):
        """Settle, and return every rule that was broken."""
        self.settle()
        for box in self.boxes:
            for pid in box.serving():
                self.account.held(box.name, box.memory_mb(pid), self.memory_mb)
        windows = [s["Window"] for s in self.info["Services"] if s["Idempotency"] == "deduplicated"]
        return list(
            check(
                self.account,
                window_s=max(windows, default=0.0) / 1000,
                grace_s=self.info["Guarantees"]["DrainGrace"] / 1000,
            )
        )

    def worth(self, since=0.0, until=float("inf")):
        """Return worth served over worth asked, of requests asked in a span."""
        asked_, got = 0.0, 0.0
        for gateway in self.gateways:
            for at, cls, served, _ in list(gateway.outcomes):
                if since <= at < until:
                    worth = 5.0 if cls == "book" else 1.0
                    asked_ += worth
                    got += worth * served
        return got / asked_ if asked_ else 0.0

    # Faults that the account knows of.

    def names(self):
        return [*(g.name for g in self.gateways), *(b.name for b in self.boxes), STORE, ROSTER, STEER]

    def part(self, ones, others, one_way=False):
        """Let nothing pass between two groups; returns what ends it."""
        number = self.account.fault("partition", [*ones, *others])
        self.net.part(ones, others, one_way)
        return lambda: (self.net.heal(), self.account.over(number))

    def stop(self, box):
        """Stop a box's processes; returns what wakes them."""
        number = self.account.fault("stopped", [box.name])
        pids = box.serving()
        for pid in pids:
            os.kill(pid, signal.SIGSTOP)

        def wake():
            for pid in pids:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGCONT)
            self.account.over(number)

        return wake

    def close(self):
        self._pauses.stop()
        for gateway in self.gateways:
            gateway.stop()
        for box in self.boxes:
            if box.agent is not None:
                box.agent.close()
            box.close()
        for gateway in self.gateways:
            for pool in list(gateway.pools.values()):
                pool.close()
        self.net.close()
        self.store.close()
        self.roster.close()


_numbers = itertools.count()


def free_port():
    """Return a port that stays free until it is used: below those that the system gives to whoever asks for any.

    Each worker of the tests has a range of its own, or a port that is not bound yet could be another test's meanwhile.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")[2:]
    base = 10_000 + 500 * (int(worker) % 40 if worker.isdecimal() else os.getpid() % 40)
    for _ in range(500):
        port = base + next(_numbers) % 500
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no port is free")


def call(at, word, timeout=2.0):
    """Call as operators do; None where nobody answers."""
    host, port = at.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as sock:
            sock.sendall(word.encode() + b"\n")
            return sock.makefile("rb").read().decode().splitlines()
    except OSError:
        return None


def program(folder, patches=()):
    """Make a program folder of this version, changed: patches are (file, old text, new text)."""
    folder.mkdir(parents=True)
    shutil.copytree(ROOT / "lapispick", folder / "lapispick", ignore=shutil.ignore_patterns("__pycache__"))
    for name, old, new in patches:
        path = folder / "lapispick" / name
        text = path.read_text()
        assert old in text, f"{name} has no {old!r}"
        path.write_text(text.replace(old, new, 1))
    return folder
