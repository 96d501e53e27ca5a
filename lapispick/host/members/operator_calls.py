"""Operators' calls about members and leases. Programs read the answers, so JSON names and texts must not change."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from lapispick.host.members.local_member import LocalMember
from lapispick.host.members.reports import ChangesInfo, LeaseInfo, MemberInfo, ViewInfo
from lapispick.host.members.transport import DatagramTransport, TransportCounters
from lapispick.members.member import Member
from lapispick.members.member_state import STATE_NAMES, MemberState

MAX_LISTED = 300  # limit of the members, and of the facts, in one answer
MAX_PRIORITY_DIGITS = 2
USAGE_ERROR = "ERR unknown call; there are members, turns, why NAME, want TURN OWNER [PRIORITY], done TURN OWNER"
NOT_LISTED_ERROR = "ERR no list names this box so far"


def _json_answer(content: object) -> list[str]:
    return ["OK", msgspec.json.encode(content).decode()]


class OperatorCalls:
    """Answers operators' calls about this host's member."""

    def __init__(self, local: LocalMember, transport: DatagramTransport, counters: TransportCounters) -> None:
        self._local = local
        self._transport = transport
        self._counters = counters

    def without_arguments(self) -> dict[str, Callable[[], list[str]]]:
        """Return the calls that take no arguments."""
        return {"members": self._members, "turns": self._leases}

    def with_arguments(self, line: str) -> list[str]:
        """Answer ``why NAME``, ``want LEASE OWNER [PRIORITY]`` or ``done LEASE OWNER``."""
        command, *arguments = line.split()
        if command == "why" and len(arguments) == 1:
            return self._changes(arguments[0])
        if not 2 <= len(arguments) <= 3:
            return [USAGE_ERROR]
        if command == "want":
            return self._request_lease(*arguments)
        if command == "done":
            return self._release_lease(arguments[0], arguments[1])
        return [USAGE_ERROR]

    # Leases.

    def _not_a_member_error(self) -> list[str]:
        return ["ERR this box is no member: " + ("it left" if self._local.has_left else "no list names it so far")]

    def _request_lease(self, lease: str, owner: str, priority: str = "0") -> list[str]:
        member = self._local.member
        if member is None or self._local.has_left:
            return self._not_a_member_error()
        if not priority.isdecimal() or len(priority) > MAX_PRIORITY_DIGITS:
            return ["ERR a priority is a number from 0 to 99"]
        status = member.leases.request(time.monotonic(), lease, owner, int(priority))
        if status is None:
            return [f"ERR no turn {lease}, or too many are wanted; there are {', '.join(member.leases.slots.counts)}"]
        if status.fencing_token:
            return [f"OK held {status.slot} {status.fencing_token} {status.remaining_s:.3f}"]
        return [f"OK waiting {status.slot} {'yes' if member.view.has_quorum() else 'no-majority'}"]

    def _release_lease(self, lease: str, owner: str) -> list[str]:
        member = self._local.member
        if member is None:
            return self._not_a_member_error()
        now = time.monotonic()
        self._transport.send(member.leases.release(now, lease, owner))  # a host that left can still release its leases
        self._local.log_events(member, now)
        return ["OK"]

    def _leases(self) -> list[str]:
        member = self._local.member
        if member is None:
            return [NOT_LISTED_ERROR]
        now = time.monotonic()
        leases = [
            LeaseInfo(status.slot, status.owner, status.fencing_token, status.remaining_s)
            for status in member.leases.statuses(now)
        ]
        voter = member.leases.voter
        for slot, (ballot, remaining_s) in sorted(voter.grants(now).items()):
            leases.append(LeaseInfo(slot, "", ballot.number, remaining_s, ballot.proposer, voter.waiting(slot)))
        return _json_answer(leases)

    # The view.

    def _members(self) -> list[str]:
        member = self._local.member
        if member is None:
            return [NOT_LISTED_ERROR]
        view = member.view
        facts = sorted(member.facts.snapshot(time.monotonic()), key=lambda fact: (fact.kind, fact.subject, fact.author))
        return _json_answer(
            ViewInfo(
                name=member.name,
                process_epoch=member.process_epoch,
                incarnation=view.incarnation,
                health_score=view.health.score,
                configuration_digest=view.configuration_digest,
                size=view.size(),
                live_count=view.live_count(),
                has_quorum=view.has_quorum(),
                replaced=view.replaced,
                members=self._member_infos(member),
                facts=facts[:MAX_LISTED],
                rejected={**member.detector.rejected, **self._counters.rejected},
                sent=self._counters.sent,
                received=self._counters.received,
            )
        )

    def _member_infos(self, member: Member) -> list[MemberInfo]:
        """Return all other members. If there are more than ``MAX_LISTED``, return only those that are not alive."""
        view = member.view
        names = sorted(view.names - {member.name})
        if len(names) > MAX_LISTED:
            names = [name for name in names if view.state_of(name) is not MemberState.ALIVE][:MAX_LISTED]
        workers = self._local.directory.workers
        infos = []
        for name in names:
            if name in workers:
                record = view.record(name)
                state = STATE_NAMES[record.state]
                infos.append(
                    MemberInfo(name, state, record.incarnation, record.process_epoch, workers[name].members_address)
                )
        return infos

    def _changes(self, name: str) -> list[str]:
        member = self._local.member
        state = member.view.state_of(name) if member is not None else None
        if state is None:
            return [f"ERR {name} is not on the list"]
        return _json_answer(ChangesInfo(name, STATE_NAMES[state], list(self._local.changes.get(name, ()))))
