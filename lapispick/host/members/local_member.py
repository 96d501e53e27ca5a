"""Member of this host: starts it with the first list that names the host, and logs its events."""

from __future__ import annotations

import logging
import random
import time
from collections import deque
from typing import NamedTuple

from lapispick.conf.sections import MembersSettings
from lapispick.host.logs import log
from lapispick.host.members.directory import AcceptedList, MemberDirectory
from lapispick.host.members.reports import LoggedChange
from lapispick.host.members.settings import member_settings, slot_counts
from lapispick.members.lease_manager import LeaseEvent, LeaseEventKind
from lapispick.members.member import Member
from lapispick.members.member_state import STATE_NAMES, StateChange

LOG = "members"
MAX_CHANGES_PER_MEMBER = 8


class _MemberCounts(NamedTuple):
    live: int
    size: int


class LocalMember:
    """Holder of this host's ``Member``.

    ``member`` is None until a list names the host. It no longer takes part once ``has_left`` is set.
    """

    def __init__(self, settings: MembersSettings, directory: MemberDirectory, rng: random.Random) -> None:
        self.settings = settings
        self.directory = directory
        self.rng = rng
        self.process_epoch = 0
        self.member: Member | None = None
        self.has_left = False
        self.changes: dict[str, deque[LoggedChange]] = {}
        self._logged_counts = _MemberCounts(-1, -1)

    def active_member(self) -> Member | None:
        """Return the member, or None if it takes no part; starts it first if the accepted list names this host."""
        if self.member is None:
            self._start_if_listed()
        return None if self.has_left else self.member

    def _start_if_listed(self) -> None:
        accepted = self.directory.accepted
        if accepted is None or not self.directory.is_listed():
            return
        self.member = Member(
            self.directory.name,
            self.settings.fleet_name,
            self.process_epoch,
            accepted.names,
            accepted.digest,
            slot_counts(self.settings),
            member_settings(self.settings),
            self.rng,
            time.monotonic(),
        )

    def set_configuration(self, accepted: AcceptedList) -> None:
        """Pass an accepted list to the member."""
        if self.member is not None:
            self.member.set_configuration(accepted.names, accepted.digest, time.monotonic())

    def forget_unlisted(self) -> None:
        """Drop the stored changes of hosts that are no longer on the list."""
        for name in self.changes.keys() - self.directory.workers.keys():
            del self.changes[name]

    def log_events(self, member: Member, now: float) -> None:
        """Log changes of the view and the leases. A member that was replaced leaves."""
        for change in member.take_changes():
            self._log_change(change)
        for event in member.leases.take_events():
            _log_lease_event(event, now)
        counts = _MemberCounts(member.view.live_count(), member.view.size())
        if counts != self._logged_counts:
            self._logged_counts = counts
            has_quorum = member.view.has_quorum()
            log(LOG, logging.INFO, "members-seen", live=counts.live, size=counts.size, quorum=has_quorum)
        if member.view.replaced and not self.has_left:
            self.has_left = True
            log(LOG, logging.WARNING, "member-replaced", process_epoch=member.process_epoch)

    def _log_change(self, change: StateChange) -> None:
        state = STATE_NAMES[change.state]
        member_changes = self.changes.setdefault(change.name, deque(maxlen=MAX_CHANGES_PER_MEMBER))
        member_changes.append(LoggedChange(time.time(), state, change.cause))
        event = "member-returned" if change.returned else f"member-{state}"
        log(LOG, logging.INFO, event, host=change.name, reason=change.cause or "unknown")


def _log_lease_event(event: LeaseEvent, now: float) -> None:
    log(
        LOG,
        logging.DEBUG if event.kind is LeaseEventKind.RENEWED else logging.INFO,
        f"lease-{event.kind}",
        slot=event.slot,
        fencing_token=event.fencing_token,
        owner=event.owner or "none",
        remaining_s=f"{event.expires_at - now:.3f}",
    )
