"""Translates ``section members`` of the settings into the settings of the decision modules."""

from __future__ import annotations

from lapispick.conf.sections import MembersSettings
from lapispick.members.leases import LeaseSettings
from lapispick.members.member import MemberSettings
from lapispick.members.suspicion import SwimSettings

MIN_EPOCH_ADOPTION_S = 10.0
EPOCH_ADOPTION_INTERVALS = 10  # probe intervals
MAX_LEASE_RETRY_S = 0.5
MIN_WAITER_TIMEOUT_S = 5.0
WAITER_TIMEOUT_VOTES = 4  # vote timeouts


def member_settings(section: MembersSettings) -> MemberSettings:
    """Return the settings of this host's member."""
    return MemberSettings(
        swim=SwimSettings(
            probe_interval_s=section.probe_interval_s,
            probe_timeout_s=section.probe_timeout_s,
            indirect_probes=section.indirect_probes,
            suspicion_factor=float(section.suspicion_factor),
            epoch_adoption_s=max(MIN_EPOCH_ADOPTION_S, EPOCH_ADOPTION_INTERVALS * section.probe_interval_s),
        ),
        leases=LeaseSettings(
            lease_s=section.lease_s,
            clock_drift_ratio=section.clock_drift_ratio,
            vote_timeout_s=section.vote_timeout_s,
            retry_delay_s=min(MAX_LEASE_RETRY_S, section.vote_timeout_s / 2),
            configuration_overlap_s=section.configuration_overlap_s,
            waiter_timeout_s=max(MIN_WAITER_TIMEOUT_S, WAITER_TIMEOUT_VOTES * section.vote_timeout_s),
        ),
        lease_owner_timeout_s=section.lease_owner_timeout_s,
    )


def slot_counts(section: MembersSettings) -> dict[str, int]:
    """Return how many hosts may hold each named lease."""
    counts = {}
    for lease in section.leases:
        name, _, count = lease.partition(":")
        counts[name] = int(count)
    return counts
