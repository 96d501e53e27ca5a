"""Check that two checkouts answer the same events with the same actions, byte by byte.

``python -m benchmarks.decision_parity --checkout DIR [--events 200000] [--seed 1] [--json FILE] [--compare FILE]``

It starts the simulator adapter of a checkout with the ``sim`` command of its deploy file, sends events over the wire
and hashes all replies. A seeded model (``benchmarks/parity_server.py``) derives the events from the replies, so equal
behaviour gives equal digests, and the first difference changes all later events and replies.
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
INSTANCES_PER_SCENARIO = 3  # they share one adapter process, as in the simulator
FIRST_CLOCK_MS = 4711.5
STOP_WAIT_S = 20.0


class AdapterError(Exception):
    """The adapter of a checkout can't be started, or exited with an error."""


def adapter_module(checkout: Path) -> str:
    """Return the module that the ``sim`` command of a checkout's deploy file runs."""
    command = tomllib.loads((checkout / DEPLOY_FILE).read_text())["sim"].split()
    if "-m" not in command[:-1]:
        raise AdapterError(f"{DEPLOY_FILE}: expected a sim command with -m MODULE, got {' '.join(command)!r}")
    return command[command.index("-m") + 1]


class Adapter:
    """A running adapter process."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process = process
        self._batch_number = 0

    def exchange(self, clock: float, records: list[bytes]) -> tuple[bytes, list[parity_wire.Action]]:
        """Send one batch; return the encoded reply and its decoded actions."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._batch_number += 1
        self._process.stdin.write(parity_wire.encode_batch(clock, self._batch_number, records))
        self._process.stdin.flush()
        reply = parity_wire.read_reply(self._process.stdout)
        return reply, parity_wire.decode_reply(reply, self._batch_number)


@contextmanager
def running_adapter(checkout: Path) -> Iterator[Adapter]:
    """Run the adapter of a checkout; on leaving, close its input and require exit status 0."""
    command = [sys.executable, "-m", adapter_module(checkout)]
    process = subprocess.Popen(command, cwd=checkout, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        yield Adapter(process)
        assert process.stdin is not None
        process.stdin.close()
        status = process.wait(STOP_WAIT_S)
        if status != 0:
            raise AdapterError(f"expected exit status 0 of the adapter, got {status}")
    finally:
        process.kill()
        process.wait()


def play(checkout: Path, scenario: Scenario, seed: int, events: int) -> parity.ScenarioResult:
    """Play one scenario until at least ``events`` events were sent."""
    recorder = parity.Recorder(scenario.name)
    clock = FIRST_CLOCK_MS
    servers = [Server(scenario, number, seed, clock) for number in range(INSTANCES_PER_SCENARIO)]
    with running_adapter(checkout) as adapter:
        records = [record for server in servers for record in server.first_events()]
        while True:
            reply, actions = adapter.exchange(clock, records)
            recorder.record(reply)
            recorder.events += len(records)
            recorder.inputs.update(parity_wire.event_kind(record) for record in records)
            recorder.counts.update(action.code.name for action in actions)
            if recorder.events >= events:
                return recorder.result()
            for action in actions:
                servers[action.instance].apply(action)
            clock += scenario.resolution_ms
            records = [record for server in servers for record in server.events(clock)]


@click.command()
@click.option(
    "--checkout",
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="root directory of the checkout",
)
@click.option(
    "--events", default=200_000, show_default=True, help="total number of events, divided among the scenarios"
)
@parity.output_options
def main(checkout: Path, events: int, seed: int, json_file: Path | None, compare_file: Path | None) -> None:
    """Hash the replies of a checkout's simulator adapter to a reproducible closed-loop load."""
    events_per_scenario = -(-events // len(SCENARIOS))
    try:
        results = [play(checkout.resolve(), scenario, seed, events_per_scenario) for scenario in SCENARIOS]
    except (AdapterError, parity_wire.ReplyError) as err:
        raise click.ClickException(str(err)) from err
    result = parity.combine("decision_parity", seed, results)
    parity.report_result(result, json_file, compare_file)
    actions = [code.name for code in ActionCode if code is not ActionCode.FATAL]
    parity.require_counts(result, actions + parity_wire.required_event_kinds())


if __name__ == "__main__":
    main()
