"""Shows that properties are worth something: each guard of members taken out in turn, and the property that notices.

``python -m benchmarks.members_mutants [--jobs N] [NAME...]`` copies the package, changes one place and plays properties
until one breaks. Ends with 1 where a mutant lives. About two minutes on four cores.
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
SEEDS = 12


class Mutant(NamedTuple):
    """One change: the file of ``lapispick/members``, what stands there, what comes instead, who should notice."""

    name: str
    file: str
    old: str
    new: str
    by: str


MUTANTS = (
    Mutant(
        "forget the incarnation",
        "view.py",
        "self.incarnation = rumour.incarnation + 1",
        "self.incarnation += 0",
        "refutes",
    ),
    Mutant(
        "believe a state without its incarnation",
        "view.py",
        "if (rumour.life, rumour.incarnation, state) <= old:",
        "if (rumour.life, state) <= (old[0], old[2]):",
        "deaths_found",
    ),
    Mutant(
        "dead for ever",
        "view.py",
        "name != self.name and self.held(name).state is not State.LEFT",
        "name != self.name and self.held(name).state < State.DEAD",
        "converge",
    ),
    Mutant(
        "don't tell whom one holds for dead",
        "view.py",
        "own = () if held.state is State.ALIVE and not older else (",
        "own = () if not older else (",
        "refutes",
    ),
    Mutant("no help by others", "view.py", "min(self.bounds.helpers, len(others))", "0", "one_way"),
    Mutant(
        "dead at once",
        "view.py",
        "return max(least, most - (most - least) * part) * (1 + self.health / 2)",
        "return 0.2",
        "no_false_death",
    ),
    Mutant(
        "a sleeper blames the others", "view.py", "if gap > SLEPT * self.bounds.period:", "if gap > 1e9:", "long_sleep"
    ),
    Mutant("any life is believed", "view.py", "if word.life < self.held(word.sender).life:", "if False:", "strangers"),
    Mutant("any fleet is believed", "view.py", "if word.fleet != self.fleet:", "if False:", "strangers"),
    Mutant(
        "no later life than the one that is remembered",
        "view.py",
        "self.life, self.incarnation = rumour.life + 1, 0",
        "pass",
        "lost_life",
    ),
    Mutant("a replaced process goes on", "view.py", "self.replaced = True", "pass", "replaced"),
    Mutant("believe any number", "view.py", "or max(rumour.life, rumour.incarnation) > LIFE_MOST", "", "strangers"),
    Mutant(
        "count a majority of the view",
        "view.py",
        "return 2 * self.seen() > self.size()",
        "return 2 * self.seen() > self.seen()",
        "converge",
    ),
    Mutant(
        "half of the list is enough",
        "turns.py",
        "return all(2 * len(given & names) > len(names)",
        "return all(2 * len(given & names) >= len(names) - 1",
        "majority_of_the_list",
    ),
    Mutant(
        "the new list is enough",
        "turns.py",
        "for _, names, _ in self.held)\n\n    def hopeless",
        "for _, names, _ in self.held[-1:])\n\n    def hopeless",
        "majority_of_the_list",
    ),
    Mutant("a list counts for ever", "turns.py", "if each[2] > now]", "if True]", "majority_of_the_list"),
    Mutant("any list is voted for", "turns.py", "if not self.lists.holds(claim.list) or ", "if ", "quiet_start"),
    Mutant(
        "renew after the lease",
        "turns.py",
        "return self.fence > 0 and now < self.until",
        "return self.fence > 0",
        "leases_end",
    ),
    Mutant(
        "count the lease from the answer",
        "turns.py",
        "until = self._asked + self.bounds.lease * (1 - self.bounds.drift)",
        "until = now + self.bounds.lease * (1 - self.bounds.drift)",
        "leases_end",
    ),
    Mutant("no drift at the holder", "turns.py", "* (1 - self.bounds.drift)", "", "leases_end"),
    Mutant(
        "no drift at the voter",
        "turns.py",
        "_Grant(claim.ballot, claim.life, now + self.bounds.lease * (1 + self.bounds.drift))",
        "_Grant(claim.ballot, claim.life, now + self.bounds.lease)",
        "leases_end",
    ),
    Mutant("a late vote counts", "turns.py", "or now - self._asked > self.bounds.wait:", "or False:", "leases_end"),
    Mutant("grant while another holds", "turns.py", "(held is not None and not mine) or", "", "one_holder"),
    Mutant(
        "the name decides between equal numbers",
        "turns.py",
        "claim.ballot.number <= highest.number",
        "claim.ballot <= highest",
        "another_life",
    ),
    Mutant(
        "forget what was granted before a restart",
        "turns.py",
        "self.quiet_until = now if fresh else now + bounds.lease * (1 + bounds.drift)",
        "self.quiet_until = now",
        "quiet_start",
    ),
    Mutant(
        "one life for all",
        "turns.py",
        "(held.ballot.name, held.life) == (name, claim.life)",
        "held.ballot.name == name",
        "another_life",
    ),
    Mutant("first come, first served", "turns.py", "or (not mine and self._first(now, slot) != name):", ":", "fair"),
    Mutant(
        "every voter has an order of its own",
        "turns.py",
        "int((now - waiter.since) / self.bounds.ageing)",
        "(now - waiter.since) / self.bounds.ageing",
        "all_at_once",
    ),
    Mutant(
        "those who came together pass each other",
        "turns.py",
        "each.since + self.bounds.together < waiter.since",
        "each.since < waiter.since",
        "all_at_once",
    ),
    Mutant(
        "nobody is passed too often",
        "turns.py",
        "return waiter.passed < self.bounds.passes, -due, name",
        "return True, -due, name",
        "fair",
    ),
    Mutant("waiting counts for nothing", "turns.py", "int((now - waiter.since) / self.bounds.ageing)", "0", "ageing"),
    Mutant("numbers begin anew", "node.py", "self.life * CLAIMS_A_LIFE", "0", "numbers_survive"),
    Mutant(
        "two owners claim one slot",
        "node.py",
        "if not claimer.fence and not self._alone(now, want):",
        "if False:",
        "one_owner",
    ),
    Mutant(
        "give a silent owner's turn back",
        "node.py",
        "if not claimer.fence:\n            return self._release",
        "if True:\n            return self._release",
        "silent_owner",
    ),
    Mutant(
        "a silent owner blocks nobody here",
        "node.py",
        "self._blocked[claimer.slot] = claimer.until",
        "pass",
        "silent_owner",
    ),
    Mutant("wait for slots that one left", "turns.py", "if release.moves:", "if False:", "slots_used"),
    Mutant("vote for any slot", "node.py", "or not self._slot(word.claim.slot):", ":", "bounded"),
    Mutant("take a stranger's facts", "node.py", "counts = not self.view.stranger(word)", "counts = True", "strangers"),
    Mutant(
        "the last word wins",
        "signals.py",
        "if held is not None and _order(held) >= _order(made):",
        "if False:",
        "facts_merge",
    ),
    Mutant("facts stay young", "signals.py", "_Held(fact, now - fact.age)", "_Held(fact, now)", "facts_age"),
    Mutant(
        "old facts weigh as much", "signals.py", "0.5 ** ((now - held.born) / self.bounds.half)", "1.0", "facts_age"
    ),
    Mutant(
        "one author is enough",
        "signals.py",
        "return authors >= self.bounds.authors and yes > no",
        "return yes > no",
        "two_authors",
    ),
    Mutant(
        "an ill author counts in full", "signals.py", "authors + (held.fact.health == 0)", "authors + 1", "two_authors"
    ),
    Mutant("no end of an author's facts", "signals.py", "if len(of) > self.bounds.most:", "if False:", "bounded"),
)


def tried(mutant: Mutant) -> tuple[Mutant, str]:
    """Play the property that should notice, then all others; returns the one that did, or nothing."""
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(ROOT / "lapispick", Path(folder) / "lapispick", ignore=shutil.ignore_patterns("__pycache__"))
        path = Path(folder) / "lapispick" / "members" / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            raise SystemExit(f"{mutant.name}: its text stands {text.count(mutant.old)} times in {mutant.file}")
        path.write_text(text.replace(mutant.old, mutant.new))
        for names in ([mutant.by], []):
            done = subprocess.run(
                [sys.executable, "-m", "lapispick", "model", "check", "--seeds", str(SEEDS), *names],
                cwd=folder,
                env={**os.environ, "PYTHONPATH": folder},
                capture_output=True,
                text=True,
                check=False,
            )
            if done.returncode:
                return mutant, (done.stderr.strip().splitlines() or ["?"])[-1]
    return mutant, ""


def main() -> int:
    """Try all mutants, or those that are named."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("names", nargs="*")
    options.add_argument("--jobs", type=int, default=4)
    told = options.parse_args()
    chosen = [m for m in MUTANTS if not told.names or m.name in told.names]
    lived = 0
    with ThreadPoolExecutor(told.jobs) as pool:
        for mutant, found in pool.map(tried, chosen):
            lived += not found
            print(f"{mutant.name:<50} {found or 'LIVES'}", flush=True)
    print(f"{len(chosen) - lived} of {len(chosen)} mutants are noticed")
    return 1 if lived else 0


if __name__ == "__main__":
    sys.exit(main())
