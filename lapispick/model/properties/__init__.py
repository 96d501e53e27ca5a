"""Properties of membership, leases and facts that are checked on the real decision code.

A property is a function of a seed. It raises ``PropertyError`` with the observed behaviour if the property is violated.
``lapispick model check`` checks the properties with thousands of seeds, the tests with a few.
``benchmarks/members_mutants.py`` shows that each property fails when the code that it covers is removed.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from lapispick.model.properties import fact_rules, lease_rules, lease_runs, membership_rules, membership_runs
from lapispick.model.properties.base import Property, PropertyError

PROPERTIES: dict[str, Property] = {
    property_check.__name__: property_check
    for module in (lease_runs, lease_rules, membership_runs, membership_rules, fact_rules)
    for property_check in module.PROPERTIES
}

# Property names of earlier versions, with the current names. ``lapispick model check`` still accepts them.
FORMER_NAMES = {
    "one_holder": "single_holder",
    "numbers_survive": "fencing_tokens_survive_restart",
    "lists_change": "reconfiguration",
    "one_owner": "owners_share_no_slot",
    "all_at_once": "simultaneous_requests",
    "slots_used": "all_slots_used",
    "silent_owner": "abandoned_lease_expires",
    "fair": "bounded_overtaking",
    "ageing": "priority_aging",
    "majority_of_the_list": "quorum_of_configurations",
    "leases_end": "lease_expiry",
    "quiet_start": "silent_voter_start",
    "another_life": "restarted_holder",
    "no_false_death": "no_false_deaths",
    "stalls": "short_pauses",
    "long_sleep": "long_pause",
    "one_way": "partial_link_failures",
    "deaths_found": "deaths_detected",
    "converge": "convergence_after_partition",
    "lost_life": "lost_process_epoch",
    "replaced": "replaced_process",
    "strangers": "invalid_senders_ignored",
    "facts_merge": "facts_converge",
    "facts_age": "facts_expire",
    "two_authors": "facts_need_two_authors",
    "bounded": "bounded_tables",
    "refutes": "refutation",
}


class Violation(NamedTuple):
    """Violated property, the seed that reproduces the violation, and the observed behaviour."""

    name: str
    seed: int
    observed: str


def check(names: Sequence[str], seeds: range) -> list[Violation]:
    """Check each property with all seeds until one violates it; return the first violation of each property."""
    violations = []
    for name in names:
        for seed in seeds:
            try:
                PROPERTIES[name](seed)
            except PropertyError as err:
                violations.append(Violation(name, seed, str(err)))
                break
    return violations
