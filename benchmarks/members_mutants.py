"""Mutation tests of the membership properties: removes one safeguard at a time and expects a property to fail.

``python -m benchmarks.members_mutants [--jobs N] [NAME...]`` copies the package, changes one place in
the copy and checks properties until one fails. The exit code is 1 if a mutant survives. A run takes about two minutes
on four cores. ``--places`` only checks that each mutant's original text occurs exactly once.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = Path("lapispick") / "members"
SEEDS = 12


class MutantPlaceError(Exception):
    """Raised if the text that a mutant replaces does not occur exactly once."""

    def __init__(self, mutant: Mutant, count: int) -> None:
        super().__init__(f"mutant '{mutant.name}': expected its text once in {mutant.file}, found it {count} times")
        self.mutant = mutant
        self.count = count


class Mutant(NamedTuple):
    """A change of one file of ``lapispick/members``, and the property that should fail with it."""

    name: str
    file: str
    original: str
    replacement: str
    property_name: str

    def mutated(self, root: Path) -> str:
        """Return the changed text of the file; raises ``MutantPlaceError``."""
        text = (root / PACKAGE / self.file).read_text()
        count = text.count(self.original)
        if count != 1:
            raise MutantPlaceError(self, count)
        return text.replace(self.original, self.replacement)

    def apply(self, root: Path) -> None:
        """Change the file in the copy of the package below ``root``; raises ``MutantPlaceError``."""
        (root / PACKAGE / self.file).write_text(self.mutated(root))


class Result(NamedTuple):
    """Result of a mutant; ``failure`` is the message of the property that failed, or empty if the mutant survived."""

    mutant: Mutant
    failure: str


MEMBERSHIP_MUTANTS = (
    Mutant(
        "a refutation keeps the incarnation",
        "membership_view.py",
        "self.incarnation = update.incarnation + 1",
        "self.incarnation += 0",
        "refutation",
    ),
    Mutant(
        "a state is believed without its incarnation",
        "membership_view.py",
        "if version <= record.version:",
        "if (version[0], version[2]) <= (record.version[0], record.version[2]):",
        "deaths_detected",
    ),
    Mutant(
        "the dead are not probed",
        "failure_detector.py",
        "name != view.name and view.record(name).state is not MemberState.LEFT",
        "name != view.name and view.record(name).state < MemberState.DEAD",
        "convergence_after_partition",
    ),
    Mutant(
        "a member that is believed dead is not notified",
        "failure_detector.py",
        "if include_record or record.state is not MemberState.ALIVE:",
        "if include_record:",
        "convergence_after_partition",
    ),
    Mutant(
        "no indirect probes",
        "failure_detector.py",
        "min(self.settings.indirect_probes, len(candidates))",
        "0",
        "partial_link_failures",
    ),
    Mutant(
        "no suspicion before death",
        "suspicion.py",
        "return max(shortest, longest - (longest - shortest) * confirmed) * (1 + health.score / 2)",
        "return 0.2",
        "no_false_deaths",
    ),
    Mutant(
        "a paused process suspects the others",
        "failure_detector.py",
        "if elapsed > PAUSE_RATIO * self.settings.probe_interval_s:",
        "if elapsed > 1e9:",
        "long_pause",
    ),
    Mutant(
        "any process epoch is believed",
        "membership_view.py",
        "if message.process_epoch < self.record(message.sender).process_epoch:",
        "if False:",
        "invalid_senders_ignored",
    ),
    Mutant(
        "any fleet is believed",
        "membership_view.py",
        "if message.fleet != self.fleet:",
        "if False:",
        "invalid_senders_ignored",
    ),
    Mutant(
        "no later epoch than a known one is adopted",
        "membership_view.py",
        "self.process_epoch = known_epoch + 1",
        "pass",
        "lost_process_epoch",
    ),
    Mutant("a replaced process continues", "membership_view.py", "self.replaced = True", "pass", "replaced_process"),
    Mutant(
        "any number is believed",
        "membership_view.py",
        "or max(update.process_epoch, update.incarnation) > MAX_EPOCH",
        "",
        "invalid_senders_ignored",
    ),
    Mutant(
        "a quorum of the view",
        "membership_view.py",
        "return 2 * self.live_count() > self.size()",
        "return 2 * self.live_count() > self.live_count()",
        "convergence_after_partition",
    ),
)

LEASE_MUTANTS = (
    Mutant(
        "half of the configuration is a quorum",
        "configurations.py",
        "return 2 * len(voters & self.names) > len(self.names)",
        "return 2 * len(voters & self.names) >= len(self.names) - 1",
        "quorum_of_configurations",
    ),
    Mutant(
        "the current configuration decides alone",
        "configurations.py",
        "return all(configuration.is_quorum(voter_set) for configuration in self._configurations)",
        "return all(configuration.is_quorum(voter_set) for configuration in self._configurations[-1:])",
        "quorum_of_configurations",
    ),
    Mutant(
        "a replaced configuration counts for ever",
        "configurations.py",
        "if configuration.expires_at > now",
        "if True",
        "quorum_of_configurations",
    ),
    Mutant(
        "any configuration is voted for",
        "lease_voter.py",
        "self.configurations.contains(proposal.configuration_digest)",
        "True",
        "silent_voter_start",
    ),
    Mutant(
        "a lease never expires for its holder",
        "lease_proposer.py",
        "return self.fencing_token > 0 and now < self.expires_at",
        "return self.fencing_token > 0",
        "lease_expiry",
    ),
    Mutant(
        "a lease is counted from the vote",
        "lease_proposer.py",
        "expires_at = self._proposed_at + self.settings.holder_lease_s",
        "expires_at = now + self.settings.holder_lease_s",
        "lease_expiry",
    ),
    Mutant(
        "no clock drift at the holder",
        "leases.py",
        "return self.lease_s * (1 - self.clock_drift_ratio)",
        "return self.lease_s",
        "lease_expiry",
    ),
    Mutant(
        "no clock drift at the voter",
        "lease_voter.py",
        "Grant(proposal.ballot, proposal.process_epoch, now + self.settings.grant_s)",
        "Grant(proposal.ballot, proposal.process_epoch, now + self.settings.lease_s)",
        "lease_expiry",
    ),
    Mutant(
        "a late vote counts",
        "lease_proposer.py",
        "or now - self._proposed_at > self.settings.vote_timeout_s:",
        "or False:",
        "lease_expiry",
    ),
    Mutant(
        "a vote for an earlier renewal counts",
        "lease_proposer.py",
        "return vote.ballot == self._ballot and vote.renewal in (self._renewal, UNNUMBERED)",
        "return vote.ballot == self._ballot",
        "lease_expiry",
    ),
    Mutant(
        "a grant while another member holds",
        "lease_voter.py",
        "return grant is not None or self._first_in_queue",
        "return self._first_in_queue",
        "single_holder",
    ),
    Mutant(
        "the name decides between equal ballot numbers",
        "lease_voter.py",
        "proposal.ballot.number <= highest.number",
        "proposal.ballot <= highest",
        "restarted_holder",
    ),
    Mutant(
        "grants before a restart are forgotten",
        "lease_voter.py",
        "self.rejects_until = now if is_first_process else now + settings.grant_s",
        "self.rejects_until = now",
        "silent_voter_start",
    ),
    Mutant(
        "all processes of a member are one holder",
        "lease_voter.py",
        "(self.ballot.proposer, self.process_epoch) == (proposal.ballot.proposer, proposal.process_epoch)",
        "self.ballot.proposer == proposal.ballot.proposer",
        "restarted_holder",
    ),
    Mutant(
        "no queue",
        "lease_voter.py",
        "return grant is not None or self._first_in_queue(now, slot) != proposer",
        "return grant is not None",
        "bounded_overtaking",
    ),
    Mutant(
        "every voter has an order of its own",
        "lease_voter.py",
        "int((now - waiter.waiting_since) / self.settings.priority_aging_s)",
        "(now - waiter.waiting_since) / self.settings.priority_aging_s",
        "simultaneous_requests",
    ),
    Mutant(
        "simultaneous waiters overtake each other",
        "lease_voter.py",
        "waiter.waiting_since + self.settings.simultaneous_window_s < granted.waiting_since",
        "waiter.waiting_since < granted.waiting_since",
        "simultaneous_requests",
    ),
    Mutant(
        "no limit of overtaking",
        "lease_voter.py",
        "return waiter.overtaken_count < self.settings.max_overtakes, -aged_priority, name",
        "return True, -aged_priority, name",
        "bounded_overtaking",
    ),
    Mutant(
        "waiting has no effect",
        "lease_voter.py",
        "int((now - waiter.waiting_since) / self.settings.priority_aging_s)",
        "0",
        "priority_aging",
    ),
    Mutant(
        "ballot numbers start again",
        "lease_slots.py",
        "epoch * BALLOTS_PER_EPOCH",
        "0",
        "fencing_tokens_survive_restart",
    ),
    Mutant(
        "two owners propose one slot",
        "lease_manager.py",
        "elif request.proposer.fencing_token or self._requests.may_propose(now, request):",
        "else:",
        "owners_share_no_slot",
    ),
    Mutant(
        "the lease of a silent owner is released",
        "lease_manager.py",
        "if not proposer.fencing_token:\n            return self._withdraw",
        "if True:\n            return self._withdraw",
        "abandoned_lease_expires",
    ),
    Mutant(
        "a silent owner's slot is free at its own member",
        "lease_slots.py",
        "self._abandoned_until[slot] = expires_at",
        "pass",
        "abandoned_lease_expires",
    ),
    Mutant(
        "a proposer stays in the queue of a slot that it left",
        "lease_voter.py",
        "if release.leaves_queue:",
        "if False:",
        "all_slots_used",
    ),
    Mutant(
        "any slot is voted for",
        "lease_manager.py",
        "or not self.slots.exists(proposal.slot):",
        ":",
        "bounded_tables",
    ),
)

FACT_MUTANTS = (
    Mutant(
        "facts of invalid senders are accepted",
        "member.py",
        "        is_accepted = self.view.reject_reason(message) is None\n        outgoing =",
        "        is_accepted = True\n        outgoing =",
        "invalid_senders_ignored",
    ),
    Mutant(
        "the last fact wins",
        "gossip_facts.py",
        "if stored is not None and stored.order() >= received.order():",
        "if False:",
        "facts_converge",
    ),
    Mutant(
        "facts do not age",
        "gossip_facts.py",
        "_StoredFact(fact, now - fact.age_s)",
        "_StoredFact(fact, now)",
        "facts_expire",
    ),
    Mutant(
        "old facts weigh as much",
        "gossip_facts.py",
        "0.5 ** ((now - stored.observed_at) / self.settings.half_life_s)",
        "1.0",
        "facts_expire",
    ),
    Mutant(
        "one author is enough",
        "gossip_facts.py",
        "return healthy_authors >= self.settings.min_confirming_authors and weight_for > weight_against",
        "return weight_for > weight_against",
        "facts_need_two_authors",
    ),
    Mutant(
        "an unhealthy author counts as a healthy one",
        "gossip_facts.py",
        "healthy_authors += stored.fact.author_health == 0",
        "healthy_authors += 1",
        "facts_need_two_authors",
    ),
    Mutant(
        "no limit of an author's facts",
        "gossip_facts.py",
        "if len(of_author) > self.settings.max_facts_per_author and",
        "if False and",
        "bounded_tables",
    ),
)

MUTANTS = MEMBERSHIP_MUTANTS + LEASE_MUTANTS + FACT_MUTANTS


def run_mutant(mutant: Mutant) -> Result:
    """Check the property that should fail; if it passes, check all properties."""
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(ROOT / "lapispick", Path(folder) / "lapispick", ignore=shutil.ignore_patterns("__pycache__"))
        mutant.apply(Path(folder))
        for names in ([mutant.property_name], []):
            completed = subprocess.run(
                [sys.executable, "-m", "lapispick", "model", "check", "--seeds", str(SEEDS), *names],
                cwd=folder,
                env={**os.environ, "PYTHONPATH": folder},
                capture_output=True,
                text=True,
                check=False,
            )
            if completed.returncode:
                return Result(mutant, (completed.stderr.strip().splitlines() or ["?"])[-1])
    return Result(mutant, "")


def main() -> int:
    """Test the mutants that are named, by default all; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--places", action="store_true", help="only check that each mutant's original text occurs once")
    options = parser.parse_args()
    selected = [mutant for mutant in MUTANTS if not options.names or mutant.name in options.names]
    for mutant in selected:
        mutant.mutated(ROOT)
    if options.places:
        print(f"the texts of {len(selected)} mutants occur once each")
        return 0
    survivors = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for mutant, failure in pool.map(run_mutant, selected):
            survivors += not failure
            print(f"{mutant.name:<55} {failure or 'SURVIVES'}", flush=True)
    print(f"{len(selected) - survivors} of {len(selected)} mutants are detected")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
