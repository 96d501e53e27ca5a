"""Agents and controllers of the emulated fleet as processes that can kill themselves at a named failpoint."""

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

# Runs the command line; the process sends itself SIGKILL when the class reaches a failpoint for the n-th time.
CRASHING_SCRIPT = """
import os, signal, sys
from {module} import {name}
failpoint, remaining = sys.argv.pop(1), [int(sys.argv.pop(1))]
def reach_failpoint(self, name):
    if name == failpoint:
        remaining[0] -= 1
        if not remaining[0]:
            os.kill(os.getpid(), signal.SIGKILL)
{name}.failpoint = reach_failpoint
from lapispick.cli.main import main
main()
"""
CRASHING_AGENT = CRASHING_SCRIPT.format(module="lapispick.agent.service", name="Agent")
CRASHING_CONTROLLER = CRASHING_SCRIPT.format(module="lapispick.agent.controller", name="Controller")
CALL_TIMEOUT_S = 5.0
STAGE_TIMEOUT_S = 90.0  # long enough on a busy machine
NOTE_POLL_INTERVAL_S = 0.05
MAX_SHOWN_LOG_CHARACTERS = 800
STATUS_POLL_INTERVAL_S = 0.4  # each query starts a process, which competes with the tested processes for CPU time
METRICS_SETTINGS = "section figures\n enabled yes\nend\n"
LOG_WARNINGS_SETTINGS = "section log\n level warning\nend\n"
LOG_DEBUG_SETTINGS = "section log\n level debug\nend\n"
LIST_HEADER = "host,lapispick_port,lapispick_ops,lapispick_agent,lapispick_zone,lapispick_machine,ansible_host\n"
AGENT_STARTED = "event=agent-started"
HOST_STARTED = "event=host-started"
CONTROL_TAKEN = "event=control-taken"
_BAKING_NOTE = 'note="baking'
_ASKING_NOTE = 'note="asking'


def python_arguments(script, crash_at, times):
    """Return the Python arguments that run the command line; with ``crash_at`` it kills itself at that failpoint."""
    return ["-c", script, crash_at, str(times)] if crash_at else ["-m", "lapispick"]


class HostAgent:
    """The agent of one host; it starts the host's processes."""

    def __init__(self, host, start_timeout_s=6.0, stop_timeout_s=4.0, poll_interval_s=0.05):
        self.host = host
        self.folder = host.folder / "agent"
        self.folder.mkdir(exist_ok=True)
        self.process = None
        self._start_count = 0
        self.store = GenerationStore(self.folder / "generations")
        slots = [host.slot(), host.slot()]
        self.operator_addresses = [slot["ops"] for slot in slots]
        config = self.folder / "platform.json"
        config.write_bytes(json.dumps(host.config(executor=slots[0]["executor"])).encode())
        self.address = f"127.0.0.1:{free_port()}"
        self.controller_address = host.fleet.net.tcp(CONTROLLERS, host.name, self.address)  # through the proxy
        self.settings_file = self.folder / "agent.conf"
        self.settings_file.write_text(
            f"section agent\n folder {self.folder}\n config {config}\n listen {self.address}\n"
            f" slot-ops {' '.join(self.operator_addresses)}\n"
            f" slot-executors {' '.join(slot['executor'] for slot in slots)}\n"
            f" look {poll_interval_s}s\n start {start_timeout_s}s\n stop {stop_timeout_s}s\nend\n"
        )
        host.agent = self

    def add_generation(self, folder=None, settings=METRICS_SETTINGS, config=None, label=""):
        """Store a generation, by default the unpatched program, and return its digest."""
        path = self.folder / "own.conf"
        path.write_text(settings)
        return self.store.add(folder or unpatched_program_folder(self.host.fleet), path, config or {}, label).digest

    def start(self, adopt="", crash_at="", times=1, wait=True):
        """Start the agent; with ``crash_at`` it kills itself at that failpoint, the ``times``-th time."""
        self._start_count += 1
        self.log_path = self.folder / f"agent-{self._start_count}.log"
        arguments = ["agent", "run", "--conf", str(self.settings_file), *(["--adopt", adopt] if adopt else [])]
        environment = {k: v for k, v in self.host.environ().items() if not k.startswith(("LB_", "LAPISPICK_"))}
        self.process = subprocess.Popen(
            [sys.executable, *python_arguments(CRASHING_AGENT, crash_at, times), *arguments],
            env=environment,
            cwd=ROOT,
            stderr=self.log_path.open("w"),
            start_new_session=True,
        )
        if wait:
            self.wait_started()
        return self

    def wait_started(self):
        """Wait until the agent has started or exited."""
        wait_until(lambda: AGENT_STARTED in self.log() or self.process.poll() is not None, "the start of the agent")

    def log(self):
        """Return what the current process of the agent has logged so far."""
        return self.log_path.read_text()

    def wait_ended(self):
        """Wait until the agent has exited and return its exit code."""
        return wait_until(
            lambda: (self.process.poll(),) if self.process.poll() is not None else None, "the exit of the agent"
        )[0]

    def call(self, line):
        """Call the agent directly and return its answer, or None if it does not answer."""
        return call_ops(self.address, line, CALL_TIMEOUT_S)

    def call_until_serving(self, line):
        """Call the agent and retry while no process of its host serves, as a controller does."""

        def answered():
            lines = self.call(line)
            return lines if lines and lines[0] != host_calls.NOTHING_SERVES else None

        return wait_until(answered, f"an answer to {line}")

    def status(self):
        """Return the status that the agent reports, or None if it does not answer."""
        lines = self.call("status")
        return messages.decode_status(lines) if lines else None

    def wait_for_phase(self, *phases, **values):
        """Wait until the host is in one of these phases with these values in its status, and return the status."""

        def reached():
            status = self.status()
            if status is None or status.phase not in phases:
                return None
            return status if all(getattr(status, name) == value for name, value in values.items()) else None

        return wait_until(reached, f"{self.host.name} in {'/'.join(phases)} {values}, not {self.status()}")

    def wait_serving(self, generation):
        """Wait until the host serves a generation and return the status."""

        def reached():
            status = self.status()
            return status if status is not None and status.serving == generation else None

        return wait_until(reached, f"{self.host.name} serving {generation}")

    def wait_single_generation(self, generation):
        """Wait until exactly one process runs and it belongs to this generation."""
        wait_until(
            lambda: self.running_generations() == [generation], f"exactly one process, of generation {generation}"
        )

    def pids(self):
        """Return the ids of the host's processes, also of those that an earlier agent started."""
        table = ProcessTable(f"{self.host.name}:{self.folder}")
        table.find_marked_processes()
        return [table.pid(number) for number in table.running_numbers()]

    def running_generations(self):
        """Return the generation of each running process, from its environment."""
        generations = []
        for pid in self.pids():
            with contextlib.suppress(OSError), open(f"/proc/{pid}/environ") as file:
                generations += re.findall(r"LAPISPICK_GENERATION=(\w+)", file.read())
        return generations

    def kill(self):
        """Kill the agent only; the processes of the host keep running."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    def close(self):
        """Kill the agent and all processes of its host."""
        self.kill()
        for pid in self.pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)


def unpatched_program_folder(fleet):
    """Return a folder with an unpatched copy of the program only; it is created once per fleet."""
    folder = fleet.folder / "program"
    return folder if folder.exists() else make_program_folder(folder)


class RolloutFleet:
    """A fleet with an agent on each host, an inventory file of the hosts, and controllers as processes."""

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
        self._start_count = 0
        self.controllers = []

    def write_list(self, names):
        """Replace the list of hosts atomically."""
        rows = "".join(
            f"{name},{self.fleet[name].address.rsplit(':')[1]},{self.agents[name].operator_addresses[0]},"
            f"{self.agents[name].controller_address},{self.fleet[name].zone},{self.fleet[name].machine},127.0.0.1\n"
            for name in names
        )
        temporary = self.list_file.with_suffix(".new")
        temporary.write_text(LIST_HEADER + rows)
        temporary.replace(self.list_file)

    def start(self):
        """Start the agents, their hosts and the load, and wait for the first results."""
        for agent in self.agents.values():
            agent.start(adopt=self.good, wait=False)
        for agent in self.agents.values():
            agent.wait_started()
            agent.wait_serving(self.good)
        self.fleet.start_load()
        self.fleet.wait_for_results(40)
        return self

    def add_generation(self, folder=None, settings=METRICS_SETTINGS, config=None, label="new"):
        """Store a generation on all hosts; return its digest and the options of ``rollout start`` that select it."""
        digest = {agent.add_generation(folder, settings, config, label) for agent in self.agents.values()}.pop()
        settings_file = self.folder / f"{digest}.conf"
        settings_file.write_text(settings)
        config_file = self.folder / f"{digest}.json"
        config_file.write_text(json.dumps(config or {}))
        running = [agent for agent in self.agents.values() if agent.process is not None]
        wait_until(
            lambda: all(digest in agent.status().generations for agent in running),
            f"generation {digest} in the status of all agents",
        )
        program_folder = folder or unpatched_program_folder(self.fleet)
        options = ["--program", str(program_folder), "--settings", str(settings_file), "--config", str(config_file)]
        return digest, options

    def _arguments(self, command, *options):
        return ["rollout", command, "--conf", str(self.settings_file), *options]

    def run_command(self, command, *options):
        """Run a command of ``lapispick rollout`` and return its result."""
        return run_lapispick(*self._arguments(command, *options))

    def start_controller(self, command, *options, crash_at="", times=1):
        """Start a controller process; with ``crash_at`` it kills itself at that failpoint, the ``times``-th time."""
        self._start_count += 1
        log = self.folder / f"controller-{self._start_count}.log"
        program_arguments = python_arguments(CRASHING_CONTROLLER, crash_at, times)
        controller = subprocess.Popen(
            [sys.executable, *program_arguments, *self._arguments(command, *options)],
            cwd=ROOT,
            stderr=log.open("w"),
            stdout=subprocess.DEVNULL,
        )
        controller.log = log.read_text
        self.controllers.append(controller)
        return controller

    def status(self):
        """Return the output of ``rollout status --json``, or None if there is no rollout yet."""
        completed = self.run_command("status", "--json")
        return json.loads(completed.stdout) if completed.stdout.startswith("{") else None

    def wait_for_phase(self, *phases, timeout_s=STAGE_TIMEOUT_S):
        """Wait until the newest rollout is in one of these phases and return its status."""

        def reached():
            status = self.status()
            return status if status is not None and status["phase"] in phases else None

        def description():
            status = self.status()
            state = status and (status["phase"], status["reason"])
            return f"one of the phases {phases} (status {state}, log {self._last_log()})"

        return wait_until(reached, description, timeout_s, STATUS_POLL_INTERVAL_S)

    def wait_for_bake(self):
        """Wait until the newest controller logs a bake note; the bake may be over before ``status`` answers."""
        self._wait_for_note(lambda: _BAKING_NOTE in self.controllers[-1].log(), "a bake")

    def resume(self, crashing_controller=None):
        """Run ``rollout go``; wait until the rollout goes on or asks again, or until ``crashing_controller`` exits."""
        questions_before = self._question_count()
        self.run_command("go")

        def resumed():
            if self._question_count() > questions_before or self.status()["phase"] != "asking":
                return True
            return crashing_controller is not None and crashing_controller.poll() is not None

        self._wait_for_note(resumed, "resumption of the rollout")

    def resume_until_done(self):
        """Resume as an operator each time too little load leaves a stage undecided, until the rollout is done."""
        while self.wait_for_phase("done", "asking")["phase"] == "asking":
            assert self.status()["reason"]
            self.resume()

    def _question_count(self):
        return sum(controller.log().count(_ASKING_NOTE) for controller in self.controllers)

    def _wait_for_note(self, condition, description):
        wait_until(condition, lambda: f"{description}: {self._last_log()}", STAGE_TIMEOUT_S, NOTE_POLL_INTERVAL_S)

    def _last_log(self):
        """Return the end of the newest controller's log."""
        return "".join(controller.log()[-MAX_SHOWN_LOG_CHARACTERS:] for controller in self.controllers[-1:])

    def serving(self):
        """Return the generation that each host serves, for the hosts whose agent answers."""
        return {name: status.serving for name, agent in self.agents.items() if (status := agent.status()) is not None}

    def close(self):
        """Kill all controllers."""
        for controller in self.controllers:
            if controller.poll() is None:
                controller.kill()
            controller.wait()
