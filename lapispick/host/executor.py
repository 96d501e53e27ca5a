"""The link to the executor, which carries commands and numbered notices as JSON lines, and its recovery when lost."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Literal

import msgspec

from lapispick.admission import Outcome
from lapispick.host import events
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop, Waiter
from lapispick.host.streams import LineTooLongError, Stream, connect

LOG = "executor"
CONNECT_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.4
# A command may be lost if it was written within this time before the host detected the loss of the link. The executor
# may lose the commands of the last 50 ms; a busy host needs the rest of the time to detect the loss.
MAX_LOST_COMMAND_AGE_S = 0.5
DRAIN_TIMEOUT_S = 0.3  # for the last answer on a link that is replaced by one to a new address
MAX_NOTICE_BYTES = 1 << 20  # results have up to 4 KiB
MAX_UNSENT_BYTES = 4 << 20  # commands that an executor has not read
WARMING_UP = "chilly"  # the outcome in a WELCOME while the executor warms up
COMPLETED = "complete"  # the outcome of a successful run or health check
RUN_OUTCOMES = {
    COMPLETED: Outcome.OK,
    "error": Outcome.ERROR,
    "cancelled": Outcome.CANCELLED,
    "unknown": Outcome.ABANDONED,
}

# Nonces of METER commands. The executor answers them in order with its other messages.
GAUGES_NONCE = "tick"  # requests only the gauges
FENCE_NONCE = "fence"  # the answer shows that all notices from the time without a link were read
DRAIN_NONCE = "last"  # the answer shows that all earlier commands were carried out

NO_RUN_IF_REJECTED = ("EXEC", "KILL", "WAKE")  # a rejected command with one of these verbs shows that no run exists

CommandVerb = Literal["JOIN", "EXEC", "KILL", "WAKE", "RETURN", "BYPASS", "METER", "DIAG"]


class Command(msgspec.Struct):
    """A message to the executor; fields that are not set are not sent."""

    verb: CommandVerb
    request_id: str | msgspec.UnsetType = msgspec.field(name="task", default=msgspec.UNSET)
    class_name: str | msgspec.UnsetType = msgspec.field(name="handler", default=msgspec.UNSET)
    body: str | msgspec.UnsetType = msgspec.field(name="bytes", default=msgspec.UNSET)  # base64
    index: int | msgspec.UnsetType = msgspec.UNSET
    nonce: str | msgspec.UnsetType = msgspec.UNSET


class Notice(msgspec.Struct):
    """Any message from the executor."""

    verb: str
    index: int = 0  # number of a notice that the executor sends again after a lost link; 0 = never sent again
    request_id: str = msgspec.field(name="task", default="")
    outcome: str = ""
    duration_ms: float = msgspec.field(name="spent", default=0.0)  # of a run; in a WELCOME the executor's uptime
    body: str = msgspec.field(name="bytes", default="")  # base64
    nonce: str = ""
    gauges: tuple[float, ...] = msgspec.field(name="readings", default=())


class OpenRun(msgspec.Struct):
    """A run that has not ended, and the last command for it, which is kept until a notice shows its completion."""

    idempotent: bool  # the run may be started twice
    command: Command | None = None
    sent_at: float = 0.0  # monotonic s; 0 = not sent yet
    may_be_lost: bool = False  # the link was lost soon after the command was written

    def on_link_lost(self, now: float) -> None:
        """Drop the command if it is too old to be lost with the link; else mark it as possibly lost."""
        if self.command is None or not self.sent_at or self.may_be_lost:
            return
        if self.sent_at < now - MAX_LOST_COMMAND_AGE_S:
            self.command = None
        else:
            self.may_be_lost = True

    def on_link_drained(self) -> None:
        """Drop the command if it was sent on the present link, as the executor has carried it out."""
        if self.sent_at and not self.may_be_lost:
            self.command = None

    def needs_resend(self) -> bool:
        """Return True if there is a command that was not sent on the present link."""
        return self.command is not None and (self.may_be_lost or not self.sent_at)

    def may_start_twice(self) -> bool:
        """Return True if sending the command again could start a run twice that is not idempotent."""
        return self.may_be_lost and not self.idempotent and self.command is not None and self.command.verb == "EXEC"


_encode = msgspec.json.Encoder().encode


def _write_command(stream: Stream, command: Command) -> None:
    stream.write(_encode(command) + b"\n")


class ExecutorCommands:
    """Sends the core's commands, and sends a command again if it may be lost with a link.

    While there is no link, commands for runs are kept and sent on the next one.
    """

    def __init__(self, post: Callable[[events.ExecutorEvent], None]) -> None:
        self._post = post
        self._stream: Stream | None = None  # None while commands can't be sent
        self._open_runs: dict[str, OpenRun] = {}  # by request id
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

    def send_call_reply(self, request_id: str, body: str) -> None:
        """Send a run the reply to its downstream call."""
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
            _write_command(self._stream, Command("METER", nonce=GAUGES_NONCE))

    def start_health_check(self) -> str:
        """Request a deep health check; return the nonce of its ``HealthCheckCompleted``."""
        self._last_check_number += 1
        nonce = f"check-{self._last_check_number}"
        self._open_checks.add(nonce)
        if self._stream is not None:
            _write_command(self._stream, Command("DIAG", nonce=nonce))
        else:
            self._fail_open_checks()
        return nonce

    def _send_for_run(self, request_id: str, command: Command) -> None:
        if (run := self._open_runs.get(request_id)) is None:
            return
        run.command = command
        run.sent_at = 0.0
        run.may_be_lost = False
        if self._stream is not None:
            run.sent_at = time.monotonic()
            _write_command(self._stream, command)

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
        return [request_id for request_id, run in self._open_runs.items() if run.sent_at]

    def close_run(self, request_id: str) -> bool:
        """Record that a run has ended or is paused; return False if it was not open."""
        return self._open_runs.pop(request_id, None) is not None

    def on_command_completed(self, request_id: str) -> None:
        """Record that the last command for a run was carried out."""
        if (run := self._open_runs.get(request_id)) is not None:
            run.command = None

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
        now = time.monotonic()
        for run in self._open_runs.values():
            run.on_link_lost(now)
        self._fail_open_checks()

    def on_link_drained(self) -> None:
        """Record that the executor has carried out all commands that were sent on the link."""
        for run in self._open_runs.values():
            run.on_link_drained()

    def resend(self) -> None:
        """Send the commands that may be lost, except starts that could execute a run twice that is not idempotent."""
        if (stream := self._stream) is None:
            return
        for request_id, run in list(self._open_runs.items()):
            if run.command is None or not run.needs_resend():
                continue
            if run.may_start_twice():
                run.command = None
                self._post(events.RunOutcomeUnknown(request_id))
            else:
                run.sent_at = time.monotonic()
                run.may_be_lost = False
                _write_command(stream, run.command)


class ExecutorLink:
    """Keeps one link to the executor open and posts its notices as events; the core uses ``commands``.

    A lost link is replaced. The executor then sends the missed notices again, and ``commands`` the commands that may be
    lost.
    """

    def __init__(self, loop: EventLoop, address: tuple[str, int], post: Callable[[events.ExecutorEvent], None]) -> None:
        self.commands = ExecutorCommands(post)
        self._loop = loop
        self._address = address
        self._post = post
        self._connection: Stream | None = None
        self._backoff_waiter: Waiter | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._last_notice_index = 0  # of the numbered notices that were read
        self._decode = msgspec.json.Decoder(Notice).decode
        self._notice_handlers: dict[str, Callable[[Notice], None]] = {
            "EXIT": self._on_run_completed,
            "CALLOUT": self._on_call_requested,
            "METERS": self._on_gauges,
            "DIAGNOSED": self._on_health_check_completed,
            "BAD": self._on_command_rejected,
            "LOG": lambda notice: None,
        }

    def serve(self) -> None:
        """Keep a link open, and replace it whenever it ends."""
        while True:
            address = self._address
            try:
                self._serve_link(address)
            except (OSError, LineTooLongError) as err:
                log(LOG, logging.WARNING, "link-failed", error=err)
            finally:
                self.commands.on_link_lost()
                if self._connection is not None:
                    self._connection.close()
                self._connection = None
            if address == self._address:
                self._back_off()

    def _serve_link(self, address: tuple[str, int]) -> None:
        self._connection = connect(
            self._loop,
            address,
            CONNECT_TIMEOUT_S,
            max_line_bytes=MAX_NOTICE_BYTES,
            max_unsent_bytes=MAX_UNSENT_BYTES,
        )
        if address == self._address:
            _write_command(self._connection, Command("JOIN", index=self._last_notice_index))
            self._read_notices(self._connection)
        log(LOG, logging.WARNING, "link-ended", index=self._last_notice_index, open=self.commands.open_run_count)

    def _back_off(self) -> None:
        self._backoff_waiter = Waiter(self._loop)
        self._loop.suspend(self._backoff_waiter, self._backoff_s)
        self._backoff_waiter = None
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    def change_address(self, address: tuple[str, int]) -> None:
        """Link to a new address after all commands sent on the present link were carried out, so that none is lost."""
        if address == self._address:
            return
        self._address = address
        self._backoff_s = MIN_BACKOFF_S
        if self._backoff_waiter is not None:
            self._backoff_waiter.wake()
        stream = self.commands.detach_link()
        if stream is not None:
            _write_command(stream, Command("METER", nonce=DRAIN_NONCE))
            self._loop.call_later(DRAIN_TIMEOUT_S, stream.close)
        elif self._connection is not None:
            self._connection.close()

    def _read_notices(self, stream: Stream) -> None:
        """Read notices until the link ends."""
        while (line := stream.read_line()) is not None:
            try:
                notice = self._decode(line)
            except msgspec.DecodeError as err:
                log(LOG, logging.WARNING, "notice-malformed", error=err)
                continue
            if notice.verb == "WELCOME":
                self._on_welcome(stream, notice)
            elif notice.index and notice.index <= self._last_notice_index:
                continue  # it was read on an earlier link
            elif (handler := self._notice_handlers.get(notice.verb)) is None:
                log(LOG, logging.WARNING, "notice-unknown", verb=notice.verb)
            else:
                if notice.index > self._last_notice_index + 1:
                    self._on_notices_missed(notice.index)
                self._last_notice_index = max(self._last_notice_index, notice.index)
                handler(notice)

    def _on_notices_missed(self, next_index: int) -> None:
        """Post the outcome of all started runs as unknown, as the notices of some ends are lost at the executor."""
        request_ids = self.commands.started_request_ids()
        log(LOG, logging.ERROR, "notices-missed", after=self._last_notice_index, next=next_index, open=len(request_ids))
        for request_id in request_ids:
            self._post(events.RunOutcomeUnknown(request_id))

    def _on_welcome(self, stream: Stream, notice: Notice) -> None:
        uptime_ms = notice.duration_ms
        log(LOG, logging.INFO, "link-up", outcome=notice.outcome, spent_ms=uptime_ms, index=self._last_notice_index)
        self._post(events.ExecutorReady(notice.outcome == WARMING_UP, uptime_ms))
        _write_command(stream, Command("METER", nonce=FENCE_NONCE))
        self.commands.on_link_up(stream)
        self._backoff_s = MIN_BACKOFF_S

    def _on_run_completed(self, notice: Notice) -> None:
        self.commands.close_run(notice.request_id)
        outcome = RUN_OUTCOMES.get(notice.outcome, Outcome.ERROR)
        self._post(events.RunCompleted(notice.request_id, outcome, notice.duration_ms, notice.body))

    def _on_call_requested(self, notice: Notice) -> None:
        self.commands.on_command_completed(notice.request_id)
        self._post(events.CallRequested(notice.request_id, notice.index, notice.body))

    def _on_gauges(self, notice: Notice) -> None:
        if notice.nonce == FENCE_NONCE:
            self.commands.resend()
        elif notice.nonce == DRAIN_NONCE:
            self.commands.on_link_drained()
            if self._connection is not None:
                self._connection.close()
        self._post(events.GaugesReported(notice.gauges))

    def _on_health_check_completed(self, notice: Notice) -> None:
        self.commands.on_health_check_completed(notice.nonce, notice.outcome == COMPLETED)

    def _on_command_rejected(self, notice: Notice) -> None:
        """Post the end of a run that the executor does not have; no other notice reports it."""
        log(LOG, logging.WARNING, "command-refused", command=notice.outcome, tag=notice.request_id)
        if notice.outcome not in NO_RUN_IF_REJECTED or not self.commands.close_run(notice.request_id):
            return
        if notice.outcome == "EXEC":
            self._post(events.RunUnknown(notice.request_id))
        else:
            self._post(events.RunCompleted(notice.request_id, Outcome.CANCELLED, 0.0, ""))
