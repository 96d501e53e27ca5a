"""Translates ``section members`` of the settings into the settings of the decision modules."""

from __future__ import annotations

from lapispick.conf.settings import Members as Settings
from lapispick.members.leases import LeaseSettings
from lapispick.members.member import MemberSettings
from lapispick.members.suspicion import SwimSettings

MIN_EPOCH_ADOPTION_S = 10.0
EPOCH_ADOPTION_PERIODS = 10
MAX_LEASE_RETRY_S = 0.5
MIN_WAITER_TIMEOUT_S = 5.0
WAITER_TIMEOUT_VOTES = 4  # times the timeout of a vote


def member_settings(section: Settings) -> MemberSettings:
    """Return the settings of this host's member."""
    return MemberSettings(
        swim=SwimSettings(
            probe_interval_s=section.period,
            probe_timeout_s=section.timeout,
            indirect_probes=section.helpers,
            suspicion_factor=float(section.suspicion),
            epoch_adoption_s=max(MIN_EPOCH_ADOPTION_S, EPOCH_ADOPTION_PERIODS * section.period),
        ),
        leases=LeaseSettings(
            lease_s=section.lease,
            clock_drift_ratio=section.drift,
            vote_timeout_s=section.answer,
            retry_delay_s=min(MAX_LEASE_RETRY_S, section.answer / 2),
            configuration_overlap_s=section.lists,
            waiter_timeout_s=max(MIN_WAITER_TIMEOUT_S, WAITER_TIMEOUT_VOTES * section.answer),
        ),
        lease_owner_timeout_s=section.keep,
    )


def slot_counts(section: Settings) -> dict[str, int]:
    """Return how many hosts may hold each named lease."""
    counts = {}
    for each in section.turns:
        name, _, count = each.partition(":")
        counts[name] = int(count)
    return counts
