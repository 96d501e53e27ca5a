"""The commands to the executor, and what is known of their effect when the link that carried them is lost."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from lapispick.host import events
from lapispick.host.executor_messages import GAUGES_NONCE, LOG, Command, write_command
from lapispick.host.logs import log
from lapispick.host.streams import Stream

MAX_METER_DIGITS = 18  # of a number in a nonce


class PendingCommand(msgspec.Struct):
    """A command for a run, kept until a notice shows that it was carried out."""

    command: Command
    next_meter: int = 0  # number of the first METER that is written after it; 0 = it was not sent yet
    may_be_lost: bool = False  # the link was lost before that METER or a later one was answered

    def is_carried_out(self, answered_meter: int) -> bool:
        """Return True if the command was sent on the present link, and a METER after it was answered."""
        return not self.needs_resend() and self.next_meter <= answered_meter

    def needs_resend(self) -> bool:
        """Return True if the command was not sent on the present link."""
        return self.may_be_lost or not self.next_meter

    def send(self, stream: Stream, next_meter: int) -> None:
        """Send the command on the present link."""
        self.next_meter = next_meter
        self.may_be_lost = False
        write_command(stream, self.command)


class OpenRun(msgspec.Struct):
    """A run that has not ended, and the commands for it, in their order, that no notice has shown to be carried out."""

    idempotent: bool  # the run may be started twice
    pending: list[PendingCommand] = []
    call_index: int = 0  # index of the notice that requested the run's last call; 0 = it has requested none
    is_call_replied: bool = True  # a reply to that call was queued or sent, or there is no call

    def on_link_lost(self, answered_meter: int) -> None:
        """Drop the commands that were carried out; mark the others that were sent as possibly lost."""
        self.pending = [command for command in self.pending if not command.is_carried_out(answered_meter)]
        for command in self.pending:
            command.may_be_lost = command.next_meter > 0

    def on_link_drained(self) -> None:
        """Drop the commands that were sent on the present link, as the executor has carried them out."""
        self.pending = [command for command in self.pending if command.needs_resend()]

    def is_started(self) -> bool:
        """Return True unless the command to start the run was not sent yet."""
        return not any(command.command.verb == "EXEC" and not command.next_meter for command in self.pending)

    def on_call_requested(self, notice_index: int) -> None:
        """Record the call that the run waits for, which shows that the commands for it were carried out."""
        self.pending = []
        self.call_index = notice_index
        self.is_call_replied = False

    def accepts_reply(self, notice_index: int) -> bool:
        """Return True if the call that this notice requested is the run's last one and has no reply yet."""
        return notice_index == self.call_index and not self.is_call_replied

    def take_unrepeatable(self) -> list[Command]:
        """Remove and return the commands that may be lost and whose second copy could have an effect of its own.

        A start could start a run twice that is not idempotent. A reply could be taken as the one to a later call.
        """
        verbs = ("RETURN",) if self.idempotent else ("RETURN", "EXEC")
        unrepeatable = [pending for pending in self.pending if pending.may_be_lost and pending.command.verb in verbs]
        self.pending = [pending for pending in self.pending if pending not in unrepeatable]
        return [pending.command for pending in unrepeatable]


class ExecutorCommands:
    """Sends the core's commands, and sends a command again if it may be lost with a link.

    While there is no link, commands for runs are kept and sent on the next one.

    The reply to a call (``RETURN``) names its run, but not its call: the executor gives it to whichever call the run
    waits for when it reads the command. So it is written at most once for each call, and only while no notice of a
    later call was read. A reply that may be lost is reported as ``CallReplyInDoubt`` and not sent again: the run may
    have had it, and may request its next call at any moment, also after the fence of the new link was answered.
    """

    def __init__(self, post: Callable[[events.ExecutorEvent], None]) -> None:
        self._post = post
        self._stream: Stream | None = None  # None while commands can't be sent
        self._open_runs: dict[str, OpenRun] = {}  # by request id
        self._last_meter = 0  # number of the last METER that was written
        self._answered_meter = 0  # number of the last METER that was answered
        self._last_check_number = 0
        self._open_checks: set[str] = set()  # nonces of the deep health checks that were not answered yet

    # Called by the core.

    def start_run(self, request_id: str, class_name: str, body: str, idempotent: bool) -> None:
        """Start a run; the start of a run that is not idempotent is never sent again if it may have arrived."""
        self._open_runs[request_id] = OpenRun(idempotent)
        self._send_for_run(request_id, Command("EXEC", request_id, class_name, body))

    def cancel_run(self, request_id: str) -> None:
        """Cancel a run, or pause it if the settings say so."""
        self._send_for_run(request_id, Command("KILL", request_id))

    def resume_run(self, request_id: str) -> None:
        """Resume a paused run and open it again, as the notice of its pause closed it."""
        self._open_runs[request_id] = OpenRun(idempotent=True)
        self._send_for_run(request_id, Command("WAKE", request_id))

    def send_call_reply(self, request_id: str, notice_index: int, body: str) -> None:
        """Send a run the reply to the downstream call that this notice requested, at most once for each call."""
        run = self._open_runs.get(request_id)
        if run is None:
            return
        if not run.accepts_reply(notice_index):
            log(LOG, logging.ERROR, "call-reply-dropped", request_id=request_id, index=notice_index)
            return
        run.is_call_replied = True
        self._send_for_run(request_id, Command("RETURN", request_id, body=body))

    def skip_call(self, request_id: str, notice_index: int) -> None:
        """Let a run continue without the downstream call that this notice requested."""
        self._send_for_run(request_id, Command("BYPASS", request_id, index=notice_index))

    def forget_run(self, request_id: str) -> None:
        """Stop tracking a run whose end is not expected any more."""
        self._open_runs.pop(request_id, None)

    def request_gauges(self) -> None:
        """Request the gauges, which are posted as ``GaugesReported``."""
        if self._stream is not None:
            self._last_meter += 1
            write_command(self._stream, Command("METER", nonce=f"{GAUGES_NONCE}-{self._last_meter}"))

    def start_health_check(self) -> str:
        """Request a deep health check; return the nonce of its ``HealthCheckCompleted``."""
        self._last_check_number += 1
        nonce = f"check-{self._last_check_number}"
        self._open_checks.add(nonce)
        if self._stream is not None:
            write_command(self._stream, Command("DIAG", nonce=nonce))
        else:
            self._fail_open_checks()
        return nonce

    def _send_for_run(self, request_id: str, command: Command) -> None:
        if (run := self._open_runs.get(request_id)) is None:
            return
        waits = any(pending.needs_resend() for pending in run.pending)  # for the fence of a new link
        pending = PendingCommand(command)
        run.pending.append(pending)
        if self._stream is not None and not waits:
            pending.send(self._stream, self._last_meter + 1)

    def _fail_open_checks(self) -> None:
        """Fail the unanswered checks of a lost link, as the executor does not send their answers again."""
        failed, self._open_checks = self._open_checks, set()
        for nonce in failed:
            self._post(events.HealthCheckCompleted(nonce, False))

    # Called by the link.

    @property
    def open_run_count(self) -> int:
        """Number of runs that have not ended."""
        return len(self._open_runs)

    def started_request_ids(self) -> list[str]:
        """Return the request ids of the open runs for which a command was sent."""
        return [request_id for request_id, run in self._open_runs.items() if run.is_started()]

    def close_run(self, request_id: str) -> bool:
        """Record that a run has ended or is paused; return False if it was not open."""
        return self._open_runs.pop(request_id, None) is not None

    def on_call_requested(self, request_id: str, notice_index: int) -> None:
        """Record that a run requested a call, which shows that the commands for it were carried out."""
        if (run := self._open_runs.get(request_id)) is not None:
            run.on_call_requested(notice_index)

    def on_gauges_reported(self, nonce: str) -> None:
        """Record which METER was answered: the executor has read all commands that were written before it."""
        word, _, digits = nonce.partition("-")
        if word == GAUGES_NONCE and digits.isdecimal() and len(digits) <= MAX_METER_DIGITS:
            self._answered_meter = min(self._last_meter, max(self._answered_meter, int(digits)))

    def on_health_check_completed(self, nonce: str, healthy: bool) -> None:
        """Post the answer to a health check."""
        self._open_checks.discard(nonce)
        self._post(events.HealthCheckCompleted(nonce, healthy))

    def on_link_up(self, stream: Stream) -> None:
        """Use this connection for commands from now on."""
        self._stream = stream

    def detach_link(self) -> Stream | None:
        """Keep further commands for the next link; return the connection of the present one."""
        stream, self._stream = self._stream, None
        return stream

    def on_link_lost(self) -> None:
        """Record which commands may be lost, at once, as the next link may be lost before its fence is answered."""
        self._stream = None
        for run in self._open_runs.values():
            run.on_link_lost(self._answered_meter)
        self._fail_open_checks()

    def on_link_drained(self) -> None:
        """Record that the executor has carried out all commands that were sent on the link."""
        for run in self._open_runs.values():
            run.on_link_drained()

    def resend(self) -> None:
        """Send the commands that may be lost, except those whose second copy could have an effect of its own.

        These are starts that could execute a run twice that is not idempotent, and replies to calls. The core is
        notified of both.
        """
        if self._stream is None:
            return
        for request_id, run in list(self._open_runs.items()):
            for command in run.take_unrepeatable():
                self._report_lost(request_id, run, command)
            for pending in run.pending:
                if pending.may_be_lost:
                    log(LOG, logging.INFO, "command-resent", command=pending.command.verb, request_id=request_id)
                if pending.needs_resend():
                    pending.send(self._stream, self._last_meter + 1)

    def _report_lost(self, request_id: str, run: OpenRun, command: Command) -> None:
        if command.verb == "EXEC":
            self._post(events.RunOutcomeUnknown(request_id))
        else:
            self._post(events.CallReplyInDoubt(request_id, run.call_index))
