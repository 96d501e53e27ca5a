"""Checks of settings that involve several directives.

The only I/O is reading the size of the subject key's file.
"""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping

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
        yield _Problem("enabled", "requires path in section inventory, which is not set")


def _trace_problems(settings: Settings) -> Iterator[_Problem]:
    trace = settings.trace
    if not trace.enabled:
        return
    if trace.folder is None:
        yield _Problem("enabled", "requires folder in section trace, which is not set")
    if trace.subject_key is None:
        return
    try:
        size = os.stat(trace.subject_key).st_size
        if not MIN_SUBJECT_KEY_BYTES <= size <= MAX_SUBJECT_KEY_BYTES:
            yield _Problem(
                "subject-key",
                f"expected a file of {MIN_SUBJECT_KEY_BYTES} to {MAX_SUBJECT_KEY_BYTES} bytes, got {size} bytes",
            )
    except OSError as err:
        yield _Problem("subject-key", f"{trace.subject_key}: {err.strerror}")


def _agent_problems(agent: AgentSettings) -> Iterator[_Problem]:
    if agent.slot_ops and len(set(agent.slot_ops)) != AGENT_SLOTS:
        yield _Problem("slot-ops", f"expected two different addresses, got '{' '.join(agent.slot_ops)}'")
    elif agent.slot_executors and len(agent.slot_executors) != AGENT_SLOTS:
        yield _Problem("slot-executors", f"expected two addresses, got '{' '.join(agent.slot_executors)}'")


def _rollout_problems(settings: Settings) -> Iterator[_Problem]:
    """Yield the first problem of the section."""
    rollout = settings.rollout
    stage_numbers = range(1, len(rollout.stages) + 1)
    if rollout.min_bake_s > rollout.max_bake_s:
        yield _Problem("bake-most", f"expected at least bake ({rollout.min_bake_s:g}s), got {rollout.max_bake_s:g}s")
    elif rollout.confirm_timeout_s < rollout.warm_up_s + rollout.min_bake_s:
        yield _Problem(
            "confirm",
            f"expected at least the sum of warm-up and bake ({rollout.warm_up_s + rollout.min_bake_s:g}s), "
            f"got {rollout.confirm_timeout_s:g}s; otherwise each change is rolled back during its bake time",
        )
    elif any(not stage.isdecimal() or int(stage) not in stage_numbers for stage in rollout.hold_after_stages):
        yield _Problem(
            "hold",
            f"expected numbers of stages from 1 to {len(rollout.stages)}, got '{' '.join(rollout.hold_after_stages)}'",
        )


def _members_problems(settings: Settings) -> Iterator[_Problem]:
    """Yield the first problem of the section."""
    members = settings.members
    if not members.enabled:
        return
    if not members.listen or not settings.fleet.group:
        yield _Problem("enabled", "requires listen, and group in section fleet; at least one of them is not set")
    elif members.configuration_overlap_s < members.lease_s * (1 + members.clock_drift_ratio):
        yield _Problem(
            "lists",
            f"expected at least lease plus drift ({members.lease_s * (1 + members.clock_drift_ratio):g}s), "
            f"got {members.configuration_overlap_s:g}s; otherwise two hosts could hold the same lease under two lists",
        )
    elif members.vote_timeout_s >= members.lease_s / 2:
        yield _Problem(
            "answer", f"expected less than half of lease ({members.lease_s / 2:g}s), got {members.vote_timeout_s:g}s"
        )
    elif problem := _leases_problem(members.leases):
        yield problem


def _leases_problem(leases: tuple[str, ...]) -> _Problem | None:
    """Return the first problem of the list of named leases, None if it has none."""
    names = [lease.partition(":")[0] for lease in leases]
    for lease in leases:
        name, _, count = lease.partition(":")
        has_valid_name = name.replace("-", "").isalnum()
        if not has_valid_name or not count.isdecimal() or not 1 <= int(count) <= MAX_LEASE_HOLDERS:
            return _Problem("turns", f"expected NAME:K with K from 1 to {MAX_LEASE_HOLDERS}, got {lease!r}")
    if len(set(names)) < len(names):
        return _Problem("turns", f"expected each lease once, got '{' '.join(leases)}'")
    return None


def _fleet_problems(settings: Settings) -> Iterator[_Problem]:
    group = settings.fleet.group
    if group and settings.inventory.path is None:
        yield _Problem("group", "requires path in section inventory, which is not set")
    if group and settings.amqp.enabled and group == settings.inventory.group:
        yield _Problem(
            "group",
            f"expected a group of worker hosts, got {group!r}, the group of the AMQP brokers in section inventory",
        )


def _inventory_problems(settings: Settings) -> Iterator[_Problem]:
    if settings.inventory.settle_s > settings.inventory.max_settle_s:
        yield _Problem(
            "settle-most",
            f"expected at least settle ({settings.inventory.settle_s:g}s), got {settings.inventory.max_settle_s:g}s",
        )
