"""Agents of the rig's boxes as processes, which can be killed at the points that the program names."""

import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import time

from lapispick.agent.generation_store import Shelf
from lapispick.agent.processes import Processes
from lapispick.fakes.fleet import ROOT, STEER, call, free_port, program
from lapispick.fakes.peers import until
from lapispick.rollout import messages

# Runs an agent that ends itself, as SIGKILL does, when it comes to a point for the n-th time.
DYING = """
import os, signal, sys
from lapispick.agent.service import Agent
point, left = sys.argv.pop(1), [int(sys.argv.pop(1))]
def passed(self, name):
    if name == point:
        left[0] -= 1
        if not left[0]:
            os.kill(os.getpid(), signal.SIGKILL)
Agent.point = passed
from lapispick.cli.main import main
main()
"""
STEERED_S = 90.0  # s; how long a stage may take on a busy machine
FIGURES = "section figures\n enabled yes\nend\n"


class BoxAgent:
    """One box's agent; the box's host is started by it."""

    def __init__(self, box, start=6.0, stop=4.0, look=0.05):
        self.box, self.folder, self.process, self._runs = box, box.folder / "agent", None, 0
        self.folder.mkdir(exist_ok=True)
        self.shelf = Shelf(self.folder / "generations")
        slots = [box.slot(), box.slot()]
        self.slots = [slot["ops"] for slot in slots]
        config = self.folder / "platform.json"
        config.write_bytes(json.dumps(box.config(executor=slots[0]["executor"])).encode())
        self.listens = f"127.0.0.1:{free_port()}"
        self.at = box.fleet.net.tcp(STEER, box.name, self.listens)  # controllers come through here
        self.conf = self.folder / "agent.conf"
        self.conf.write_text(
            f"section agent\n folder {self.folder}\n config {config}\n listen {self.listens}\n"
            f" slot-ops {' '.join(self.slots)}\n"
            f" slot-executors {' '.join(slot['executor'] for slot in slots)}\n"
            f" look {look}s\n start {start}s\n stop {stop}s\nend\n"
        )
        box.agent = self

    def add(self, folder=None, conf=FIGURES, config=None, label=""):
        """Put a generation on the shelf; by default this very program."""
        path = self.folder / "own.conf"
        path.write_text(conf)
        return self.shelf.add(folder or this_program(self.box.fleet), path, config or {}, label).digest

    def start(self, adopt="", dies_at="", times=1, wait=True):
        """Start the agent; with ``dies_at`` it kills itself at that point."""
        self._runs += 1
        self.log_path = self.folder / f"agent-{self._runs}.log"
        words_ = ["agent", "run", "--conf", str(self.conf), *(["--adopt", adopt] if adopt else [])]
        head = ["-c", DYING, dies_at, str(times)] if dies_at else ["-m", "lapispick"]
        environ = {k: v for k, v in self.box.environ().items() if not k.startswith(("LB_", "LAPISPICK_"))}
        self.process = subprocess.Popen(
            [sys.executable, *head, *words_],
            env=environ,
            cwd=ROOT,
            stderr=self.log_path.open("w"),
            start_new_session=True,
        )
        if wait:
            self.started()
        return self

    def started(self):
        until(lambda: "event=agent-started" in self.log() or self.process.poll() is not None, "the agent's start")

    def log(self):
        return self.log_path.read_text()

    def ended(self):
        """Wait until the agent has ended."""
        return until(lambda: (self.process.poll(),) if self.process.poll() is not None else None, "the agent's end")

    def call(self, line):
        """Call the agent directly; None where it does not answer."""
        return call(self.listens, line, 5.0)

    def order(self, line):
        """Call the agent, and again while its host is held up and does not answer it: a controller does the same."""

        def said():
            lines = self.call(line)
            return lines if lines and lines[0] != "ERR nothing serves here" else None

        return until(said, f"an answer to {line}")

    def status(self):
        """Return what the agent says; None where it says nothing."""
        lines = self.call("status")
        return messages.heard(lines) if lines else None

    def phase(self, *phases, **told):
        """Wait until the box is in one of these phases, with these values."""

        def there():
            found = self.status()
            good = found is not None and found.phase in phases
            return found if good and all(getattr(found, k) == v for k, v in told.items()) else None

        return until(there, f"{self.box.name} in {'/'.join(phases)} {told}, not {self.status()}")

    def serves(self, generation):
        """Wait until a generation takes clients."""

        def there():
            found = self.status()
            return found if found is not None and found.serving == generation else None

        return until(there, f"{self.box.name} serving {generation}")

    def pids(self):
        """Return the processes of the box's host, whoever started them."""
        found = Processes(f"{self.box.name}:{self.folder}")
        found.find()
        return [found.pid(life) for life in found.alive()]

    def generations(self):
        """Return the generations that run, as the processes themselves were told."""
        made = []
        for pid in self.pids():
            with contextlib.suppress(OSError), open(f"/proc/{pid}/environ") as file:
                made += re.findall(r"LAPISPICK_GENERATION=(\w+)", file.read())
        return made

    def kill(self):
        """Kill the agent; the host goes on."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    def close(self):
        self.kill()
        for pid in self.pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)


def this_program(fleet):
    """Return a folder that holds this very program and nothing else, one for a fleet."""
    folder = fleet.folder / "program"
    return folder if folder.exists() else program(folder)


CONTROLLER_DYING = DYING.replace("service import Agent", "controller import Controller").replace("Agent", "Controller")
LIST = "host,lapispick_port,lapispick_ops,lapispick_agent,lapispick_zone,lapispick_machine,ansible_host\n"


class Steering:
    """A rig's fleet with agents on all boxes, a list of them, and controllers as processes."""

    def __init__(self, fleet, told, boxes=None):
        self.fleet, self.folder = fleet, fleet.folder / "steering"
        self.folder.mkdir()
        self.agents = {box.name: BoxAgent(box) for box in fleet.boxes}
        self.good = {agent.add(label="good") for agent in self.agents.values()}.pop()
        self.list = self.folder / "boxes.csv"
        self.write(boxes or [box.name for box in fleet.boxes])
        self.conf = self.folder / "steering.conf"
        self.conf.write_text(
            f"section inventory\n path {self.list}\n settle 0s\n look 100ms\n loss 100%\nend\n"
            "section fleet\n group all\nend\n"
            f"section rollout\n state-folder {self.folder}/ledger\n{told}\nend\n"
        )
        self._runs, self.controllers = 0, []

    def write(self, names):
        rows = "".join(
            f"{name},{self.fleet[name].at.rsplit(':')[1]},{self.agents[name].slots[0]},"
            f"{self.agents[name].at},{self.fleet[name].zone},{self.fleet[name].machine},127.0.0.1\n"
            for name in names
        )
        fresh = self.list.with_suffix(".new")
        fresh.write_text(LIST + rows)
        fresh.replace(self.list)

    def up(self, names=None):
        """Start agents and hosts, and the load."""
        for name, agent in self.agents.items():
            if names is None or name in names:
                agent.start(adopt=self.good, wait=False)
        for name, agent in self.agents.items():
            if names is None or name in names:
                agent.started()
                agent.serves(self.good)
        self.fleet.load()
        self.fleet.answered(40)
        return self

    def shelve(self, folder=None, conf=FIGURES, config=None, label="new"):
        """Put a generation on all shelves; returns its digest and what ``start`` takes to name it."""
        made = {agent.add(folder, conf, config, label) for agent in self.agents.values()}.pop()
        own, changes = self.folder / f"{made}.conf", self.folder / f"{made}.json"
        own.write_text(conf)
        changes.write_text(json.dumps(config or {}))
        running = [agent for agent in self.agents.values() if agent.process is not None]
        until(lambda: all(made in agent.status().shelf for agent in running), "that the agents see it")
        program_ = folder or this_program(self.fleet)
        return made, ["--program", str(program_), "--settings", str(own), "--config", str(changes)]

    def tool(self, *words_):
        """Run a command; returns its result."""
        command = [sys.executable, "-m", "lapispick", "rollout", words_[0], "--conf", str(self.conf), *words_[1:]]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)

    def steer(self, *words_, dies_at="", times=1):
        """Start a controller as a process."""
        self._runs += 1
        log = self.folder / f"controller-{self._runs}.log"
        head = ["-c", CONTROLLER_DYING, dies_at, str(times)] if dies_at else ["-m", "lapispick"]
        made = subprocess.Popen(
            [sys.executable, *head, "rollout", words_[0], "--conf", str(self.conf), *words_[1:]],
            cwd=ROOT,
            stderr=log.open("w"),
            stdout=subprocess.DEVNULL,
        )
        made.log = log.read_text
        self.controllers.append(made)
        return made

    def told(self):
        """Return what ``status`` says; None before there is a rollout."""
        done = self.tool("status", "--json")
        return json.loads(done.stdout) if done.stdout.startswith("{") else None

    def phase(self, *phases, within=STEERED_S):
        """Wait until the newest rollout is in one of these phases."""
        end = time.monotonic() + within
        while (found := self.told()) is None or found["phase"] not in phases:
            logs = "".join(c.log()[-800:] for c in self.controllers[-1:])
            assert time.monotonic() < end, f"not {phases}: {found and (found['phase'], found['reason'])} {logs}"
            time.sleep(0.4)  # each look is a process of its own, beside those that are judged
        return found

    def baking(self):
        """Wait until the newest controller notes a bake, which may be over before ``status`` has answered."""
        self._noted(lambda: 'note="baking' in self.controllers[-1].log(), "a bake")

    def go(self, dying=None):
        """Say go, and wait until it goes on: it may ask again before ``status`` has answered, or its controller end."""
        asked = self._asked()
        self.tool("go")
        self._noted(
            lambda: (
                self._asked() > asked
                or self.told()["phase"] != "asking"
                or (dying is not None and dying.poll() is not None)
            ),
            "that it goes on",
        )

    def _asked(self):
        return sum(c.log().count('note="asking') for c in self.controllers)

    def _noted(self, condition, what):
        end = time.monotonic() + STEERED_S
        while not condition():
            assert time.monotonic() < end, f"{what} did not happen: {self.controllers[-1].log()[-800:]}"
            time.sleep(0.05)

    def serving(self):
        """Return what each box serves, by its agent."""
        return {name: status.serving for name, agent in self.agents.items() if (status := agent.status()) is not None}

    def close(self):
        for each in self.controllers:
            if each.poll() is None:
                each.kill()
            each.wait()
