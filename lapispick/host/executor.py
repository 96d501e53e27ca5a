"""The link to the executor, which carries commands and numbered notices as JSON lines, and its recovery when lost."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from lapispick.admission import Outcome
from lapispick.host import events
from lapispick.host.executor_commands import ExecutorCommands
from lapispick.host.executor_messages import DRAIN_NONCE, FENCE_NONCE, LOG, Command, Notice, write_command
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop, Waiter
from lapispick.host.streams import LineTooLongError, Stream, connect
from lapispick.json_decoding import json_decoder

CONNECT_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.4
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
NO_RUN_IF_REJECTED = ("EXEC", "KILL", "WAKE")  # a rejected command with one of these verbs shows that no run exists


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
        self._decode = json_decoder(Notice)
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
            write_command(self._connection, Command("JOIN", index=self._last_notice_index))
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
            write_command(stream, Command("METER", nonce=DRAIN_NONCE))
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
        write_command(stream, Command("METER", nonce=FENCE_NONCE))
        self.commands.on_link_up(stream)
        self._backoff_s = MIN_BACKOFF_S

    def _on_run_completed(self, notice: Notice) -> None:
        self.commands.close_run(notice.request_id)
        outcome = RUN_OUTCOMES.get(notice.outcome, Outcome.ERROR)
        self._post(events.RunCompleted(notice.request_id, outcome, notice.duration_ms, notice.body))

    def _on_call_requested(self, notice: Notice) -> None:
        self.commands.on_call_requested(notice.request_id, notice.index)
        self._post(events.CallRequested(notice.request_id, notice.index, notice.body))

    def _on_gauges(self, notice: Notice) -> None:
        self.commands.on_gauges_reported(notice.nonce)
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
