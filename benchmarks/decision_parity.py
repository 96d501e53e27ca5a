"""Proves that two checkouts answer the same events with the same actions, byte by byte.

``python -m benchmarks.decision_parity --checkout DIR [--events 200000] [--seed 1] [--json FILE] [--compare FILE]``

It starts the simulator adapter of a checkout by the ``sim`` command of its deploy file, plays events over the wire and
hashes all replies. The events follow from the replies through a seeded model (``benchmarks/parity_server.py``), so
equal behaviour gives equal digests and the first difference spreads to all that follows.
"""

from __future__ import annotations

import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from benchmarks import parity, parity_wire
from benchmarks.parity_scenarios import SCENARIOS, Scenario
from benchmarks.parity_server import Server
from benchmarks.parity_wire import ActionCode

DEPLOY_FILE = Path("deploy", "balancer.toml")
INSTANCES = 3  # of each scenario; they share one process, as in the simulator
FIRST_CLOCK = 4711.5
STOP_WAIT_S = 20.0


class AdapterError(Exception):
    """The adapter of a checkout can't be started or did not end well."""


def adapter_module(checkout: Path) -> str:
    """Return the module that the ``sim`` command of a checkout's deploy file runs."""
    command = tomllib.loads((checkout / DEPLOY_FILE).read_text())["sim"].split()
    if "-m" not in command[:-1]:
        raise AdapterError(f"{DEPLOY_FILE}: the sim command has no -m MODULE: {' '.join(command)}")
    return command[command.index("-m") + 1]


class Adapter:
    """A running adapter process."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process = process
        self._number = 0

    def exchange(self, clock: float, records: list[bytes]) -> tuple[bytes, list[parity_wire.Action]]:
        """Send one batch; return its reply as it came, and decoded."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._number += 1
        self._process.stdin.write(parity_wire.encode_batch(clock, self._number, records))
        self._process.stdin.flush()
        reply = parity_wire.read_reply(self._process.stdout)
        return reply, parity_wire.decode_reply(reply, self._number)


@contextmanager
def running_adapter(checkout: Path) -> Iterator[Adapter]:
    """Start the adapter of a checkout; at the end its input is closed and it has to exit with 0."""
    command = [sys.executable, "-m", adapter_module(checkout)]
    process = subprocess.Popen(command, cwd=checkout, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        yield Adapter(process)
        assert process.stdin is not None
        process.stdin.close()
        status = process.wait(STOP_WAIT_S)
        if status != 0:
            raise AdapterError(f"the adapter exited with {status}")
    finally:
        process.kill()
        process.wait()


def play(checkout: Path, scenario: Scenario, seed: int, events: int) -> parity.ScenarioResult:
    """Play one scenario until this number of events was sent."""
    recorder = parity.Recorder(scenario.name)
    clock = FIRST_CLOCK
    servers = [Server(scenario, number, seed, clock) for number in range(INSTANCES)]
    with running_adapter(checkout) as adapter:
        records = [record for server in servers for record in server.first_events()]
        while True:
            reply, actions = adapter.exchange(clock, records)
            recorder.record(reply)
            recorder.events += len(records)
            recorder.inputs.update(parity_wire.event_name(record) for record in records)
            recorder.counts.update(action.code.name for action in actions)
            if recorder.events >= events:
                return recorder.result()
            for action in actions:
                servers[action.instance].apply(action)
            clock += scenario.resolution
            records = [record for server in servers for record in server.events(clock)]


@click.command()
@click.option(
    "--checkout", required=True, type=click.Path(exists=True, file_okay=False, path_type=Path), help="root of the code"
)
@click.option("--events", default=200_000, show_default=True, help="events in total, spread over the scenarios")
@parity.output_options
def main(checkout: Path, events: int, seed: int, json_file: Path | None, compare_file: Path | None) -> None:
    """Hash the replies of a checkout's simulator adapter to a fixed closed-loop load."""
    events_per_scenario = -(-events // len(SCENARIOS))
    try:
        results = [play(checkout.resolve(), scenario, seed, events_per_scenario) for scenario in SCENARIOS]
    except (AdapterError, parity_wire.ReplyError) as err:
        raise click.ClickException(str(err)) from err
    result = parity.combine("decision_parity", seed, results)
    parity.finish(result, json_file, compare_file)
    actions = [code.name for code in ActionCode if code is not ActionCode.FATAL]
    parity.require_counts(result, actions + parity_wire.event_names())


if __name__ == "__main__":
    main()
