"""Properties of a single lease voter or lease proposer."""

from __future__ import annotations

import random

from lapispick.members.configurations import Configurations
from lapispick.members.lease_proposer import LeaseProposer
from lapispick.members.lease_voter import LeaseVoter
from lapispick.members.leases import Ballot, LeaseProposal, LeaseRelease, LeaseSettings, LeaseVote
from lapispick.model.properties.base import Property, PropertyError, require

SLOT = "job/0"
DIGEST = "l"


def _proposal(number: int, proposer: str, epoch: int = 1, digest: str = DIGEST, priority: int = 0) -> LeaseProposal:
    return LeaseProposal(SLOT, Ballot(number, proposer), epoch, digest, priority)


def _release(number: int, proposer: str) -> LeaseRelease:
    return LeaseRelease(SLOT, Ballot(number, proposer), was_held=True)


def _first_proposal(proposer: LeaseProposer, now: float) -> LeaseProposal:
    proposal = proposer.tick(now, 0.5)
    assert isinstance(proposal, LeaseProposal)
    return proposal


def bounded_overtaking(seed: int) -> None:
    """No proposer overtakes another waiting one more than ``max_overtakes`` + 1 times, whatever its priority."""
    rng = random.Random(seed)
    settings = LeaseSettings()
    names = ["a", *(f"b{n}" for n in range(8))]
    voter = LeaseVoter(settings, Configurations(names, DIGEST, settings), 0.0, is_first_process=True)
    voter.vote(0.0, _proposal(1, "b0"))
    holder = Ballot(1, "b0")
    number = 1
    overtakes = dict.fromkeys(names, 0)
    priorities = {name: 3 * n for n, name in enumerate(names)}
    for step in range(200):
        now = 0.1 + step * 1.5
        # All other members wait for the holder.
        for name in rng.sample([waiter for waiter in names if waiter != holder.proposer], len(names) - 1):
            voter.vote(now, _proposal(number + 1, name, priority=priorities[name]))
        voter.release(LeaseRelease(SLOT, holder, was_held=True))
        for name in rng.sample(names, len(names)):
            number += 1
            vote = voter.vote(now, _proposal(number, name, priority=priorities[name]))
            if vote.granted:
                holder = vote.ballot
                break
        else:
            raise PropertyError("no waiting proposer obtains a free slot")
        if holder.proposer == "a":
            return
        overtakes[holder.proposer] += 1
        count = overtakes[holder.proposer]
        require(count <= settings.max_overtakes + 1, f"{holder.proposer} overtook a waiting proposer {count} times")
        # Each proposer that began to wait at the same time may go before it once. All that began to wait later may
        # overtake it ``max_overtakes`` times in total.
        total = sum(overtakes.values())
        require(
            total <= settings.max_overtakes + len(names), f"a waiting proposer was overtaken {total} times in total"
        )


def priority_aging(seed: int) -> None:
    """Waiting time adds to priority: a proposer without priority eventually goes before a newer one that has some."""
    settings = LeaseSettings(max_overtakes=10**6)
    configurations = Configurations(["a", "b", "c"], DIGEST, settings)
    voter = LeaseVoter(settings, configurations, 0.0, is_first_process=True)
    held = voter.vote(0.0, _proposal(1, "c"))
    for second in range(1, 40):
        voter.vote(float(second), _proposal(2, "a"))
        voter.vote(float(second), LeaseProposal(SLOT, held.ballot, 1, DIGEST))
    voter.release(LeaseRelease(SLOT, held.ballot, was_held=True))
    vote = voter.vote(40.0, _proposal(5, "b", priority=3))
    require(not vote.granted, "a new proposer of priority 3 overtook one of priority 0 that had waited for 39 s")

    configurations = Configurations(["a", "b", "c"], DIGEST, settings)
    voter = LeaseVoter(settings, configurations, 0.0, is_first_process=True)
    voter.vote(0.0, _proposal(1, "c"))
    voter.vote(1.0, _proposal(2, "a"))
    voter.release(_release(1, "c"))
    require(voter.vote(2.0, _proposal(5, "b", priority=3)).granted, "priority has no effect")


def quorum_of_configurations(seed: int) -> None:
    """A lease needs the votes of a majority of every configuration in force, however few members seem to be alive."""
    settings = LeaseSettings()
    configurations = Configurations(["a", "b", "c", "d", "e"], DIGEST, settings)
    proposer = LeaseProposer("a", 1, SLOT, settings, configurations)
    proposal = _first_proposal(proposer, 0.0)
    for count, voter in enumerate(("a", "b", "c"), 1):
        obtained = proposer.record_vote(0.1, voter, LeaseVote(SLOT, proposal.ballot, True, proposal.ballot.number))
        require(obtained == (count == 3), f"{count} votes of 5 {'obtain' if obtained else 'do not obtain'} the lease")
    configurations.change(["x", "y", "z"], "m", 1.0)
    require(not configurations.is_quorum({"a", "b", "c"}), "a majority of the old configuration alone is a quorum")
    require(not configurations.is_quorum({"x", "y", "z"}), "a majority of the new configuration alone is a quorum")
    require(configurations.is_quorum({"a", "b", "c", "x", "y"}), "majorities of both configurations are not a quorum")
    configurations.expire(1.0 + settings.configuration_overlap_s + 0.1)
    require(configurations.is_quorum({"x", "y"}), "a replaced configuration is still in force after the overlap")


def lease_expiry(seed: int) -> None:
    """A holder's lease expires before the grant of any voter; votes that are late do not count."""
    settings = LeaseSettings(lease_s=10.0, clock_drift_ratio=0.05)
    configurations = Configurations(["a", "b", "c"], DIGEST, settings)
    proposer = LeaseProposer("a", 1, SLOT, settings, configurations)
    proposal = _first_proposal(proposer, 100.0)
    voters = [LeaseVoter(settings, configurations, 0.0, is_first_process=True) for _ in range(2)]
    for name, voter in zip("ab", voters, strict=True):
        proposer.record_vote(100.5, name, voter.vote(100.0, proposal))
    require(proposer.holds(109.4), "a lease of 10 s expires within 9.4 s of its proposal, with a clock drift of 5%")
    require(not proposer.holds(109.6), "a lease of 10 s lasts 9.6 s from its proposal, with a clock drift of 5%")
    rival = _proposal(9, "c")
    require(not voters[0].vote(110.4, rival).granted, "a grant of 10 s expires within 10.4 s, with a clock drift of 5%")
    require(voters[0].vote(110.6, rival).granted, "a grant of 10 s lasts 10.6 s, with a clock drift of 5%")

    late_proposer = LeaseProposer("a", 1, SLOT, settings, configurations)
    proposal = _first_proposal(late_proposer, 0.0)
    for name in "ab":
        late_proposer.record_vote(settings.vote_timeout_s + 0.1, name, LeaseVote(SLOT, proposal.ballot, True, 1))
    require(not late_proposer.holds(settings.vote_timeout_s + 0.2), "votes after the timeout obtain a lease")
    _check_late_votes_for_a_renewal()


def _check_late_votes_for_a_renewal() -> None:
    """Check that votes which arrive after the next renewal was sent do not extend the lease: their grants end first."""
    settings = LeaseSettings()
    configurations = Configurations(["a", "b", "c"], DIGEST, settings)
    proposer = LeaseProposer("a", 1, SLOT, settings, configurations)
    voters = {name: LeaseVoter(settings, configurations, 0.0, is_first_process=True) for name in "bc"}
    first = _first_proposal(proposer, 0.0)
    for name, voter in voters.items():
        proposer.record_vote(0.1, name, voter.vote(0.1, first))
    renewed_at = settings.renewal_interval_s
    renewal = _first_proposal(proposer, renewed_at)
    delayed_votes = {name: voter.vote(renewed_at, renewal) for name, voter in voters.items()}
    _first_proposal(proposer, 2 * renewed_at)  # a renewal that no voter receives
    for name, vote in delayed_votes.items():
        proposer.record_vote(2 * renewed_at + 0.1, name, vote)
    grants_end_at = renewed_at + settings.grant_s
    require(proposer.holds(settings.holder_lease_s - 0.1), "a vote that arrives late ends a lease")
    require(not proposer.holds(grants_end_at), "votes for an earlier renewal extend a lease beyond their grants")


def silent_voter_start(seed: int) -> None:
    """A voter that lost its state grants nothing until every lease that it may have granted has expired."""
    settings = LeaseSettings()
    voter = LeaseVoter(settings, Configurations(["a", "b"], DIGEST, settings), 100.0)
    proposal = _proposal(1, "a")
    require(
        not voter.vote(100.0 + settings.lease_s, proposal).granted,
        "a voter without its state grants before earlier grants expire",
    )
    require(
        voter.vote(100.1 + settings.grant_s, proposal).granted,
        "a voter without its state grants nothing after earlier grants expired",
    )
    unknown_digest = _proposal(9, "a", digest="other")
    require(not voter.vote(200.0, unknown_digest).granted, "a proposal under an unknown configuration is granted")


def restarted_holder(seed: int) -> None:
    """A restarted process does not hold the lease of the earlier process of the same member."""
    settings = LeaseSettings()
    voter = LeaseVoter(settings, Configurations(["a", "b", "c"], DIGEST, settings), 0.0, is_first_process=True)
    require(voter.vote(0.0, _proposal(5, "a")).granted, "the first proposal is rejected")
    require(not voter.vote(1.0, _proposal(6, "a", epoch=2)).granted, "two process epochs of one member hold a slot")
    require(voter.vote(2.0, _proposal(5, "a")).granted, "the holder cannot renew")
    voter.release(_release(5, "a"))
    require(not voter.vote(9.0, _proposal(5, "b")).granted, "a ballot number is granted to two proposers")
    require(voter.vote(9.1, _proposal(6, "b")).granted, "a higher ballot number is rejected")


PROPERTIES: tuple[Property, ...] = (
    bounded_overtaking,
    priority_aging,
    quorum_of_configurations,
    lease_expiry,
    silent_voter_start,
    restarted_holder,
)
