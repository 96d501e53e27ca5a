"""Checks of settings that involve several directives.

The only I/O is reading the size of the subject key's file.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path

import msgspec

from lapispick.conf.sections import AgentSettings, Settings
from lapispick.file_errors import FaultCollector, SourceLocation

MIN_SUBJECT_KEY_BYTES = 16
MAX_SUBJECT_KEY_BYTES = 64  # the longest key that BLAKE2b accepts
MAX_LEASE_HOLDERS = 1000
AGENT_SLOTS = 2  # one for a process and one for its successor


class _Problem(msgspec.Struct, frozen=True):
    """A directive with an invalid value, and the text that says why."""

    directive: str
    message: str


def check(
    settings: Settings,
    section_locations: Mapping[str, SourceLocation],
    default_location: SourceLocation,
    faults: FaultCollector,
) -> None:
    """Add the faults of the settings.

    ``section_locations`` has the first line of each section in the file; faults of a missing section are reported at
    ``default_location``.
    """
    problems_by_section = {
        "amqp": _amqp_problems(settings),
        "trace": _trace_problems(settings),
        "agent": _agent_problems(settings.agent),
        "rollout": _rollout_problems(settings),
        "members": _members_problems(settings),
        "fleet": _fleet_problems(settings),
        "inventory": _inventory_problems(settings),
    }
    for section, problems in problems_by_section.items():
        for problem in problems:
            faults.add(section_locations.get(section, default_location), problem.directive, problem.message)


def _amqp_problems(settings: Settings) -> Iterator[_Problem]:
    if settings.amqp.enabled and settings.inventory.path is None:
        yield _Problem("enabled", "needs a path in section inventory")


def _trace_problems(settings: Settings) -> Iterator[_Problem]:
    trace = settings.trace
    if not trace.enabled:
        return
    if trace.folder is None:
        yield _Problem("enabled", "needs a folder in section trace")
    if trace.subject_key is None:
        return
    try:
        if not MIN_SUBJECT_KEY_BYTES <= Path(trace.subject_key).stat().st_size <= MAX_SUBJECT_KEY_BYTES:
            yield _Problem("subject-key", f"must hold {MIN_SUBJECT_KEY_BYTES} to {MAX_SUBJECT_KEY_BYTES} bytes")
    except OSError as err:
        yield _Problem("subject-key", f"{trace.subject_key}: {err.strerror}")


def _agent_problems(agent: AgentSettings) -> Iterator[_Problem]:
    if agent.slot_ops and len(set(agent.slot_ops)) != AGENT_SLOTS:
        yield _Problem("slot-ops", "takes two addresses that differ")
    elif agent.slot_executors and len(agent.slot_executors) != AGENT_SLOTS:
        yield _Problem("slot-executors", "takes two addresses")


def _rollout_problems(settings: Settings) -> Iterator[_Problem]:
    """Yield the first problem of the section."""
    rollout = settings.rollout
    stage_numbers = range(1, len(rollout.stages) + 1)
    if rollout.min_bake_s > rollout.max_bake_s:
        yield _Problem("bake-most", "must not be under bake")
    elif rollout.confirm_timeout_s < rollout.warm_up_s + rollout.min_bake_s:
        yield _Problem(
            "confirm", "must not be under warm-up and bake together, or each change is undone while it is watched"
        )
    elif any(not stage.isdecimal() or int(stage) not in stage_numbers for stage in rollout.hold_after_stages):
        yield _Problem("hold", f"takes numbers of stages from 1 to {len(rollout.stages)}")


def _members_problems(settings: Settings) -> Iterator[_Problem]:
    """Yield the first problem of the section."""
    members = settings.members
    if not members.enabled:
        return
    if not members.listen or not settings.fleet.group:
        yield _Problem("enabled", "needs listen, and a group in section fleet")
    elif members.configuration_overlap_s < members.lease_s * (1 + members.clock_drift_ratio):
        yield _Problem("lists", "must not be under a lease and the drift, or two hosts could hold a lease by two lists")
    elif members.vote_timeout_s >= members.lease_s / 2:
        yield _Problem("answer", "must be under half of the lease")
    elif problem := _leases_problem(members.leases):
        yield problem


def _leases_problem(leases: tuple[str, ...]) -> _Problem | None:
    """Return the first problem of the list of named leases, None if it has none."""
    names = [lease.partition(":")[0] for lease in leases]
    for lease in leases:
        name, _, count = lease.partition(":")
        has_valid_name = name.replace("-", "").isalnum()
        if not has_valid_name or not count.isdecimal() or not 1 <= int(count) <= MAX_LEASE_HOLDERS:
            return _Problem("turns", f"{lease!r} is not NAME:K with K from 1 to {MAX_LEASE_HOLDERS}")
    if len(set(names)) < len(names):
        return _Problem("turns", "names a lease twice")
    return None


def _fleet_problems(settings: Settings) -> Iterator[_Problem]:
    group = settings.fleet.group
    if group and settings.inventory.path is None:
        yield _Problem("group", "needs a path in section inventory")
    if group and settings.amqp.enabled and group == settings.inventory.group:
        yield _Problem("group", "is that of the AMQP front's brokers, which are no worker hosts")


def _inventory_problems(settings: Settings) -> Iterator[_Problem]:
    if settings.inventory.settle_s > settings.inventory.max_settle_s:
        yield _Problem("settle-most", "must not be under settle")
