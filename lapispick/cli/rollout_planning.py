"""Prepares a rollout from the settings, the list of hosts and a program folder."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from lapispick.agent import generation_store, line_client
from lapispick.agent.errors import InvalidGenerationError
from lapispick.cli.config import load_settings
from lapispick.cli.inventory import ListFiles, resolve_list_source
from lapispick.cli.output import ExitCode
from lapispick.cli.rollout_common import fail
from lapispick.conf.sections import RolloutSettings
from lapispick.fleet import hosts
from lapispick.fleet.hosts import WorkerHost
from lapispick.rollout import compat, generations, messages, pacing, stages
from lapispick.rollout.compat import FormatSupport
from lapispick.rollout.rollout_plan import Plan, baseline_duration_s

MAX_SHOWN_FAULTS = 20


class Candidate(NamedTuple):
    """Generation that a rollout would install; its digest is empty if the generation could not be read."""

    digest: str
    formats: dict[str, FormatSupport]
    faults: list[str]


class Fleet(NamedTuple):
    """Host list, and the stages that result from it and the settings."""

    settings: RolloutSettings
    workers: tuple[WorkerHost, ...]
    stages: list[list[str]]
    remarks: list[str]
    faults: list[str]
    source: Any  # of the host list; a ``ListSource``


def read_candidate(program: Path, settings: Path | None, config: Path | None) -> Candidate:
    """Return the generation with the digest that agents compute for it, and its faults."""
    try:
        changes = msgspec.json.decode(config.read_bytes(), type=dict[str, Any]) if config else {}
        faults = generations.config_faults(changes)
        program_digest = generations.files_digest(generation_store.program_files(program))
        formats = generation_store.reported_formats(program)
    except (InvalidGenerationError, OSError, msgspec.MsgspecError, subprocess.SubprocessError) as err:
        return Candidate("", {}, [str(err)])
    settings_bytes = settings.read_bytes() if settings is not None else b""
    if settings is not None:
        faults += _settings_faults(program, settings)
    settings_digest = generation_store.settings_digest(settings_bytes)
    return Candidate(generations.generation_digest(program_digest, settings_digest, changes), formats, faults)


def _settings_faults(program: Path, settings: Path) -> list[str]:
    """Return the faults of a settings file; the program that will read it checks it."""
    completed = subprocess.run(
        [sys.executable, "-m", "lapispick", "config", "check", "--conf", str(settings.absolute())],
        cwd=program,
        capture_output=True,
        text=True,
        timeout=generation_store.PROGRAM_TIMEOUT_S,
        env=generation_store.program_environment(program.absolute()),
    )
    return [line for line in completed.stderr.splitlines() if line] if completed.returncode else []


def read_fleet(conf_file: Path | None, rollout: str) -> Fleet:
    """Return the fleet that the settings name, and the stages of a rollout with this name."""
    settings = load_settings(conf_file)
    if not settings.fleet.group:
        fail(ExitCode.INVALID, "section fleet of the settings: group is missing")
    list_source = resolve_list_source(conf_file, None, settings.fleet.group)
    reading = ListFiles(list_source).read()
    faults = [str(fault) for fault in reading.faults]
    workers, _ = hosts.worker_hosts_of(reading.hosts.values())
    limits = stages.Limits(settings.rollout.max_zone_fraction)
    planned_stages: list[list[str]] = []
    remarks: list[str] = []
    try:
        pacing.parse_hours(settings.rollout.hours)
        sizes = [stages.parse_size(size) for size in settings.rollout.stages]
        planned_stages = stages.assign(workers, sizes, rollout, limits)
        remarks = stages.remarks(workers, planned_stages, limits)
    except ValueError as err:
        faults.append(f"section rollout: {err}")
    return Fleet(settings.rollout, workers, planned_stages, remarks, faults, list_source)


def make_plan(fleet: Fleet, generation: str, default_memory_limit_mb: float) -> Plan:
    """Return the plan of a rollout of a generation."""
    settings = fleet.settings
    return Plan(
        generation=generation,
        stages=tuple(tuple(stage) for stage in fleet.stages),
        hold_after_stages=tuple(int(number) for number in settings.hold_after_stages),
        host_kinds={worker.name: worker.kind for worker in fleet.workers},
        warm_up_s=settings.warm_up_s,
        min_bake_s=settings.min_bake_s,
        max_bake_s=settings.max_bake_s,
        confirm_timeout_s=settings.confirm_timeout_s,
        baseline_s=baseline_duration_s(settings.warm_up_s, settings.min_bake_s),
        pace=pacing.Limits(settings.max_changing, settings.min_serving_fraction),
        max_concurrent_rollbacks=settings.max_concurrent_rollbacks,
        unreachable_after_s=settings.unreachable_after_s,
        max_down_fraction=settings.max_down_fraction,
        use_controls=settings.use_controls,
        max_memory_fraction=settings.max_memory_fraction,
        default_memory_limit_mb=default_memory_limit_mb,
    )


def agent_objections(fleet: Fleet, candidate: Candidate) -> list[str]:
    """Return why a candidate cannot run on the hosts, from the status that their agents report.

    This is checked before the first host is changed. For example, a candidate may need an intermediate generation
    because it does not read a format that the running generation writes.
    """
    faults: list[str] = []
    answered = 0
    for worker in fleet.workers:
        status = _agent_status(worker)
        if status is None:  # asked again in its stage, where the agent makes the same checks
            continue
        answered += 1
        running = {name: FormatSupport(*support) for name, support in status.formats.items()}
        faults += [f"{worker.name}: {reason}" for reason in compat.incompatibilities(running, candidate.formats)]
        if candidate.digest not in status.generations:
            faults.append(f"{worker.name}: generation {candidate.digest} is not stored there; run lapispick agent add")
    return faults[:MAX_SHOWN_FAULTS] if answered else ["no agent answered"]


def _agent_status(worker: WorkerHost) -> messages.Status | None:
    from lapispick.cli.ops import NoAnswerError, call

    try:
        return messages.decode_status(call(line_client.parse_address(worker.agent_address), "status"))
    except (NoAnswerError, ValueError):
        return None
