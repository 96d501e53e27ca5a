"""Shared parts of the parity tools: digests of recorded output, the comparison of two results, and options.

A parity tool plays fixed scenarios against one checkout and records all output as frames. The result of a scenario has
one digest over all frames, and the running digest after each block of frames, so that the first difference can be
located.
"""

from __future__ import annotations

import os
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from hashlib import blake2b
from pathlib import Path
from typing import Any

import click
import msgspec

DIGEST_BYTES = 16
FRAMES_PER_BLOCK = 50
HASH_SEED_VARIABLE = "PYTHONHASHSEED"


class ScenarioResult(msgspec.Struct, frozen=True):
    """Digests and counts of one scenario; ``blocks`` holds the running digest after each block of frames."""

    name: str
    digest: str
    frames: int
    events: int
    counts: dict[str, int]  # number of outputs by kind
    inputs: dict[str, int]  # number of input events by kind
    blocks: list[str]


class ParityResult(msgspec.Struct, frozen=True):
    """Results of all scenarios of one run of a parity tool."""

    tool: str
    seed: int
    scenarios: list[ScenarioResult]
    total: str


class Difference(msgspec.Struct, frozen=True):
    """First difference between two results; ``frame`` is -1 if the difference is not in a frame."""

    scenario: str
    frame: int
    text: str


class Recorder:
    """Hashes the output of one scenario, frame by frame."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._hash = blake2b(digest_size=DIGEST_BYTES)
        self._blocks: list[str] = []
        self._frames = 0
        self.events = 0
        self.counts: Counter[str] = Counter()
        self.inputs: Counter[str] = Counter()

    def record(self, frame: bytes) -> None:
        """Add one frame; its length is hashed too, so that frame boundaries affect the digest."""
        self._hash.update(len(frame).to_bytes(4, "big"))
        self._hash.update(frame)
        self._frames += 1
        if self._frames % FRAMES_PER_BLOCK == 0:
            self._blocks.append(self._hash.hexdigest())

    def result(self) -> ScenarioResult:
        """Return the result of the frames recorded so far."""
        counts, inputs = dict(sorted(self.counts.items())), dict(sorted(self.inputs.items()))
        digest = self._hash.hexdigest()
        return ScenarioResult(self._name, digest, self._frames, self.events, counts, inputs, self._blocks)


def combine(tool: str, seed: int, scenarios: list[ScenarioResult]) -> ParityResult:
    """Return the result of a run, with a total digest over all scenarios."""
    total = blake2b(digest_size=DIGEST_BYTES)
    for scenario in scenarios:
        total.update(f"{scenario.name} {scenario.digest}\n".encode())
    return ParityResult(tool, seed, scenarios, total.hexdigest())


def first_difference(expected: ParityResult, actual: ParityResult) -> Difference | None:
    """Return the first difference between two results, or None if they are equal."""
    if (expected.tool, expected.seed) != (actual.tool, actual.seed):
        return Difference(
            "-", -1, f"expected {expected.tool} with seed {expected.seed}, got {actual.tool} with seed {actual.seed}"
        )
    names = [scenario.name for scenario in expected.scenarios]
    if names != [scenario.name for scenario in actual.scenarios]:
        return Difference("-", -1, "the results have different lists of scenarios")
    for old, new in zip(expected.scenarios, actual.scenarios, strict=True):
        difference = _scenario_difference(old, new)
        if difference is not None:
            return difference
    if expected.total != actual.total:
        return Difference("-", -1, "the total digests differ, but all scenarios are equal")
    return None


def _scenario_difference(old: ScenarioResult, new: ScenarioResult) -> Difference | None:
    if old == new:
        return None
    pairs = zip(old.blocks, new.blocks, strict=False)
    block = next((i for i, (a, b) in enumerate(pairs) if a != b), min(len(old.blocks), len(new.blocks)))
    first = block * FRAMES_PER_BLOCK
    last = first + FRAMES_PER_BLOCK - 1
    return Difference(old.name, first, f"first difference in frames {first} to {last} (of {old.frames})")


def print_result(result: ParityResult) -> None:
    """Print the digest, number of events and counts of each scenario, and the totals."""
    totals, inputs = Counter[str](), Counter[str]()
    for scenario in result.scenarios:
        click.echo(f"{scenario.name:24} {scenario.digest} {scenario.events:7} events {scenario.frames:7} frames")
        click.echo(f"    {_counts_text(scenario.counts)}")
        totals.update(scenario.counts)
        inputs.update(scenario.inputs)
    events = sum(scenario.events for scenario in result.scenarios)
    click.echo(f"total {result.total} {events} events")
    click.echo(f"    out: {_counts_text(totals)}")
    if inputs:
        click.echo(f"    in: {_counts_text(inputs)}")


def _counts_text(counts: dict[str, int]) -> str:
    return " ".join(f"{name}={counts[name]}" for name in sorted(counts))


def require_counts(result: ParityResult, names: Iterable[str]) -> None:
    """Exit with 1 unless the run has at least one output or input of each of these kinds."""
    totals = Counter[str]()
    for scenario in result.scenarios:
        totals.update(scenario.counts)
        totals.update(scenario.inputs)
    missing = [name for name in names if not totals[name]]
    if missing:
        click.echo(f"never seen in this run: {', '.join(missing)}", err=True)
        sys.exit(1)


def pin_hash_seed(module: str) -> None:
    """Restart ``module`` with a fixed hash seed, unless the environment sets one."""
    if os.environ.get(HASH_SEED_VARIABLE, "random") != "random":
        return
    command = [sys.executable, "-m", module, *sys.argv[1:]]
    os.execve(sys.executable, command, {**os.environ, HASH_SEED_VARIABLE: "0"})


def output_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options common to all parity tools: ``--seed``, ``--json`` and ``--compare``."""
    output_path = click.Path(dir_okay=False, path_type=Path)
    existing_path = click.Path(exists=True, dir_okay=False, path_type=Path)
    command = click.option(
        "--compare", "compare_file", type=existing_path, help="exit with 1 if the result differs from this file"
    )(command)
    command = click.option("--json", "json_file", type=output_path, help="write the result to this file")(command)
    return click.option("--seed", default=1, show_default=True)(command)


def report_result(result: ParityResult, json_file: Path | None, compare_file: Path | None) -> None:
    """Print a result and optionally store and compare it; exit with 1 if it differs."""
    print_result(result)
    if json_file is not None:
        encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
        json_file.write_bytes(encoded + b"\n")
    if compare_file is None:
        return
    expected = msgspec.json.decode(compare_file.read_bytes(), type=ParityResult)
    difference = first_difference(expected, result)
    if difference is not None:
        click.echo(f"DIFFERENT: scenario {difference.scenario}, frame {difference.frame}: {difference.text}", err=True)
        sys.exit(1)
    click.echo("equal")
