"""Agents and controllers of the emulated fleet as processes, which can end themselves at the program's named points."""

import contextlib
import json
import os
import re
import signal
import subprocess
import sys

from lapispick.agent.generation_store import GenerationStore
from lapispick.agent.processes import ProcessTable
from lapispick.fakes.commands import run_lapispick
from lapispick.fakes.fleet import CONTROLLERS, ROOT
from lapispick.fakes.ports import call_ops, free_port
from lapispick.fakes.program_patches import make_program_folder
from lapispick.fakes.waiting import wait_until
from lapispick.rollout import host_calls, messages

# Runs a class of the program that ends itself, as SIGKILL does, when it comes to a point for the n-th time.
DYING_SCRIPT = """
import os, signal, sys
from {module} import {name}
point, left = sys.argv.pop(1), [int(sys.argv.pop(1))]
def passed(self, name):
    if name == point:
        left[0] -= 1
        if not left[0]:
            os.kill(os.getpid(), signal.SIGKILL)
{name}.failpoint = passed
from lapispick.cli.main import main
main()
"""
DYING_AGENT = DYING_SCRIPT.format(module="lapispick.agent.service", name="Agent")
DYING_CONTROLLER = DYING_SCRIPT.format(module="lapispick.agent.controller", name="Controller")
CALL_TIMEOUT_S = 5.0
STAGE_TIMEOUT_S = 90.0  # on a busy machine
NOTE_PAUSE_S = 0.05
MAX_SHOWN_LOG = 800  # characters
STATUS_PAUSE_S = 0.4  # each status is a process of its own, beside those that are tested
METRICS_SETTINGS = "section figures\n enabled yes\nend\n"
LOG_WARNINGS_SETTINGS = "section log\n level warning\nend\n"
LOG_DEBUG_SETTINGS = "section log\n level debug\nend\n"
LIST_HEADER = "host,lapispick_port,lapispick_ops,lapispick_agent,lapispick_zone,lapispick_machine,ansible_host\n"
AGENT_STARTED = "event=agent-started"
HOST_STARTED = "event=host-started"
CONTROL_TAKEN = "event=control-taken"
_BAKING_NOTE = 'note="baking'
_ASKING_NOTE = 'note="asking'


def point_arguments(script, dies_at, times):
    """Return the arguments of Python that run the command line, with ``dies_at`` until a point of the program."""
    return ["-c", script, dies_at, str(times)] if dies_at else ["-m", "lapispick"]


class HostAgent:
    """One host's agent; the host is started by it."""

    def __init__(self, host, start_timeout_s=6.0, stop_timeout_s=4.0, poll_interval_s=0.05):
        self.host = host
        self.folder = host.folder / "agent"
        self.folder.mkdir(exist_ok=True)
        self.process = None
        self._runs = 0
        self.store = GenerationStore(self.folder / "generations")
        slots = [host.slot(), host.slot()]
        self.operator_addresses = [slot["ops"] for slot in slots]
        config = self.folder / "platform.json"
        config.write_bytes(json.dumps(host.config(executor=slots[0]["executor"])).encode())
        self.address = f"127.0.0.1:{free_port()}"
        self.controller_address = host.fleet.net.tcp(CONTROLLERS, host.name, self.address)  # as controllers reach it
        self.settings_file = self.folder / "agent.conf"
        self.settings_file.write_text(
            f"section agent\n folder {self.folder}\n config {config}\n listen {self.address}\n"
            f" slot-ops {' '.join(self.operator_addresses)}\n"
            f" slot-executors {' '.join(slot['executor'] for slot in slots)}\n"
            f" look {poll_interval_s}s\n start {start_timeout_s}s\n stop {stop_timeout_s}s\nend\n"
        )
        host.agent = self

    def add_generation(self, folder=None, settings=METRICS_SETTINGS, config=None, label=""):
        """Store a generation, by default this very program; returns its digest."""
        path = self.folder / "own.conf"
        path.write_text(settings)
        return self.store.add(folder or this_program(self.host.fleet), path, config or {}, label).digest

    def start(self, adopt="", dies_at="", times=1, wait=True):
        """Start the agent; with ``dies_at`` it kills itself at that point."""
        self._runs += 1
        self.log_path = self.folder / f"agent-{self._runs}.log"
        arguments = ["agent", "run", "--conf", str(self.settings_file), *(["--adopt", adopt] if adopt else [])]
        environment = {k: v for k, v in self.host.environ().items() if not k.startswith(("LB_", "LAPISPICK_"))}
        self.process = subprocess.Popen(
            [sys.executable, *point_arguments(DYING_AGENT, dies_at, times), *arguments],
            env=environment,
            cwd=ROOT,
            stderr=self.log_path.open("w"),
            start_new_session=True,
        )
        if wait:
            self.wait_started()
        return self

    def wait_started(self):
        """Wait until the agent is at work, or has ended."""
        wait_until(lambda: AGENT_STARTED in self.log() or self.process.poll() is not None, "the agent's start")

    def log(self):
        """Return what the present process of the agent logged so far."""
        return self.log_path.read_text()

    def wait_ended(self):
        """Wait until the agent has ended; returns its exit code."""
        return wait_until(
            lambda: (self.process.poll(),) if self.process.poll() is not None else None, "the agent's end"
        )[0]

    def call(self, line):
        """Call the agent directly; None where it does not answer."""
        return call_ops(self.address, line, CALL_TIMEOUT_S)

    def call_until_serving(self, line):
        """Call the agent, and again while its host does not serve, as a controller does."""

        def answered():
            lines = self.call(line)
            return lines if lines and lines[0] != host_calls.NOTHING_SERVES else None

        return wait_until(answered, f"an answer to {line}")

    def status(self):
        """Return what the agent reports; None where it does not answer."""
        lines = self.call("status")
        return messages.decode_status(lines) if lines else None

    def wait_for_phase(self, *phases, **values):
        """Wait until the host is in one of these phases, with these values in its status."""

        def reached():
            status = self.status()
            if status is None or status.phase not in phases:
                return None
            return status if all(getattr(status, name) == value for name, value in values.items()) else None

        return wait_until(reached, f"{self.host.name} in {'/'.join(phases)} {values}, not {self.status()}")

    def wait_serving(self, generation):
        """Wait until a generation accepts clients."""

        def reached():
            status = self.status()
            return status if status is not None and status.serving == generation else None

        return wait_until(reached, f"{self.host.name} serving {generation}")

    def wait_single_generation(self, generation):
        """Wait until one process runs, and it is of this generation."""
        wait_until(lambda: self.running_generations() == [generation], f"one process of {generation}")

    def pids(self):
        """Return the processes of the host, whoever started them."""
        found = ProcessTable(f"{self.host.name}:{self.folder}")
        found.find_marked_processes()
        return [found.pid(number) for number in found.running_numbers()]

    def running_generations(self):
        """Return the generations that run, as the processes themselves were told."""
        found = []
        for pid in self.pids():
            with contextlib.suppress(OSError), open(f"/proc/{pid}/environ") as file:
                found += re.findall(r"LAPISPICK_GENERATION=(\w+)", file.read())
        return found

    def kill(self):
        """Kill the agent; the host goes on."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    def close(self):
        """Kill the agent and its host."""
        self.kill()
        for pid in self.pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)


def this_program(fleet):
    """Return a folder that holds this very program and nothing else, one for a fleet."""
    folder = fleet.folder / "program"
    return folder if folder.exists() else make_program_folder(folder)


class RolloutFleet:
    """A fleet with agents on all hosts, a list of them, and controllers as processes."""

    def __init__(self, fleet, rollout_settings, listed=None):
        self.fleet = fleet
        self.folder = fleet.folder / "rollout"
        self.folder.mkdir()
        self.agents = {host.name: HostAgent(host) for host in fleet.hosts}
        self.good = {agent.add_generation(label="good") for agent in self.agents.values()}.pop()
        self.list_file = self.folder / "boxes.csv"
        self.write_list(listed or [host.name for host in fleet.hosts])
        self.settings_file = self.folder / "rollout.conf"
        self.settings_file.write_text(
            f"section inventory\n path {self.list_file}\n settle 0s\n look 100ms\n loss 100%\nend\n"
            "section fleet\n group all\nend\n"
            f"section rollout\n state-folder {self.folder}/ledger\n{rollout_settings}\nend\n"
        )
        self._runs = 0
        self.controllers = []

    def write_list(self, names):
        """Replace the list of hosts."""
        rows = "".join(
            f"{name},{self.fleet[name].address.rsplit(':')[1]},{self.agents[name].operator_addresses[0]},"
            f"{self.agents[name].controller_address},{self.fleet[name].zone},{self.fleet[name].machine},127.0.0.1\n"
            for name in names
        )
        fresh = self.list_file.with_suffix(".new")
        fresh.write_text(LIST_HEADER + rows)
        fresh.replace(self.list_file)

    def start(self):
        """Start agents, hosts and the load."""
        for agent in self.agents.values():
            agent.start(adopt=self.good, wait=False)
        for agent in self.agents.values():
            agent.wait_started()
            agent.wait_serving(self.good)
        self.fleet.start_load()
        self.fleet.wait_for_results(40)
        return self

    def add_generation(self, folder=None, settings=METRICS_SETTINGS, config=None, label="new"):
        """Store a generation on all hosts; returns its digest and the options of ``start`` that name it."""
        digest = {agent.add_generation(folder, settings, config, label) for agent in self.agents.values()}.pop()
        settings_file = self.folder / f"{digest}.conf"
        settings_file.write_text(settings)
        config_file = self.folder / f"{digest}.json"
        config_file.write_text(json.dumps(config or {}))
        running = [agent for agent in self.agents.values() if agent.process is not None]
        wait_until(lambda: all(digest in agent.status().generations for agent in running), "that the agents see it")
        program_folder = folder or this_program(self.fleet)
        options = ["--program", str(program_folder), "--settings", str(settings_file), "--config", str(config_file)]
        return digest, options

    def _arguments(self, command, *options):
        return ["rollout", command, "--conf", str(self.settings_file), *options]

    def run_command(self, command, *options):
        """Run a command of ``lapispick rollout``; returns its result."""
        return run_lapispick(*self._arguments(command, *options))

    def start_controller(self, command, *options, dies_at="", times=1):
        """Start a controller as a process; with ``dies_at`` it kills itself at that point."""
        self._runs += 1
        log = self.folder / f"controller-{self._runs}.log"
        head = point_arguments(DYING_CONTROLLER, dies_at, times)
        controller = subprocess.Popen(
            [sys.executable, *head, *self._arguments(command, *options)],
            cwd=ROOT,
            stderr=log.open("w"),
            stdout=subprocess.DEVNULL,
        )
        controller.log = log.read_text
        self.controllers.append(controller)
        return controller

    def status(self):
        """Return what ``status`` says; None before there is a rollout."""
        done = self.run_command("status", "--json")
        return json.loads(done.stdout) if done.stdout.startswith("{") else None

    def wait_for_phase(self, *phases, within=STAGE_TIMEOUT_S):
        """Wait until the newest rollout is in one of these phases; returns its status."""

        def reached():
            status = self.status()
            return status if status is not None and status["phase"] in phases else None

        def description():
            status = self.status()
            state = status and (status["phase"], status["reason"])
            return f"one of {phases}, instead of {state} {self._last_log()},"

        return wait_until(reached, description, within, STATUS_PAUSE_S)

    def wait_for_bake(self):
        """Wait until the newest controller notes a bake, which may be over before ``status`` has answered."""
        self._wait_noted(lambda: _BAKING_NOTE in self.controllers[-1].log(), "a bake")

    def resume(self, dying=None):
        """Say go, and wait until the rollout goes on, asks again, or a controller that is to die ends."""
        questions_before = self._question_count()
        self.run_command("go")

        def goes_on():
            if self._question_count() > questions_before or self.status()["phase"] != "asking":
                return True
            return dying is not None and dying.poll() is not None

        self._wait_noted(goes_on, "that it goes on")

    def resume_until_done(self):
        """Let an operator resume wherever too little load decides nothing, until the rollout is done."""
        while self.wait_for_phase("done", "asking")["phase"] == "asking":
            assert self.status()["reason"]
            self.resume()

    def _question_count(self):
        return sum(controller.log().count(_ASKING_NOTE) for controller in self.controllers)

    def _wait_noted(self, condition, what):
        wait_until(condition, lambda: f"{what}: {self._last_log()}", STAGE_TIMEOUT_S, NOTE_PAUSE_S)

    def _last_log(self):
        """Return the end of the newest controller's log."""
        return "".join(controller.log()[-MAX_SHOWN_LOG:] for controller in self.controllers[-1:])

    def serving(self):
        """Return what each host serves, by its agent."""
        return {name: status.serving for name, agent in self.agents.items() if (status := agent.status()) is not None}

    def close(self):
        """Kill all controllers."""
        for controller in self.controllers:
            if controller.poll() is None:
                controller.kill()
            controller.wait()
