"""The executor's link: one JSON object a line, numbered notices, and what a lost link leaves open."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

import msgspec

from lapispick.admission import Outcome
from lapispick.host import events
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop, Waiter
from lapispick.host.streams import LineTooLongError, Stream, connect

LOG = "executor"
CONNECT_S = 1.0  # s; for one try of a connection
BACKOFF_S = (0.01, 0.4)  # s; first and longest pause before the next try
# s; what was sent this long before a break was noticed may be lost with it: the executor may lose the last
# 50 ms, the rest is what a busy host takes to notice
UNSURE_S = 0.5
LAST_S = 0.3  # s; the longest wait for the answer that ends a link which is given up for a new address
LONGEST = 1 << 20  # bytes of one notice; results hold up to 4 KiB
OUT_MOST = 4 << 20  # bytes of commands kept for an executor that does not read
ENDS = {"complete": Outcome.OK, "error": Outcome.ERROR, "cancelled": Outcome.CANCELLED, "unknown": Outcome.ABANDONED}
FENCE = "fence"  # the METER whose answer says that all notices of the time without a link were read
LAST = "last"  # the METER whose answer says that all commands before it were carried out


class Notice(msgspec.Struct):
    """Any message from the executor."""

    verb: str
    index: int = 0
    task: str = ""
    outcome: str = ""
    spent: float = 0.0
    bytes: str = ""
    nonce: str = ""
    readings: tuple[float, ...] = ()


class Open(msgspec.Struct):
    """A run with no end so far, and the last command for it, until a notice shows what became of that."""

    once: bool  # it must not begin twice
    command: dict[str, Any] | None
    sent_at: float = 0.0  # when it was written to a link; 0 = not yet
    doubtful: bool = False  # the link that it was written to may have lost it


class ExecutorLink:
    """Keeps one link open and turns notices into what the core understands."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], post: Callable[[Any], None]) -> None:
        self._loop, self._address, self._post = loop, address, post
        self._stream: Stream | None = None  # set while commands may be sent
        self._link: Stream | None = None  # set while a connection is open
        self._nap: Waiter | None = None  # set between two tries
        self._pause = BACKOFF_S[0]
        self._open: dict[str, Open] = {}
        self._index = 0
        self._checks = 0
        self._asked: set[str] = set()  # deep checks without an answer so far
        self._encode = msgspec.json.Encoder().encode
        self._decode = msgspec.json.Decoder(Notice).decode
        self._takers: dict[str, Callable[[Notice], None]] = {
            "EXIT": self._exit,
            "CALLOUT": self._callout,
            "METERS": self._meters,
            "DIAGNOSED": self._diagnosed,
            "BAD": self._bad,
            "LOG": lambda n: None,
        }

    # Commands, from the core.

    def run(self, tag: str, handler: str, body: str, once: bool) -> None:
        """Start a run; ``once``: its start is never sent again where it may have got through."""
        self._open[tag] = Open(once, None)
        self._order(tag, {"verb": "EXEC", "task": tag, "handler": handler, "bytes": body})

    def stop(self, tag: str) -> None:
        """Stop a run."""
        self._order(tag, {"verb": "KILL", "task": tag})

    def wake(self, tag: str) -> None:
        """Let a paused run go on; word that it was paused has ended its entry here."""
        self._open[tag] = Open(False, None)
        self._order(tag, {"verb": "WAKE", "task": tag})

    def resume(self, tag: str, body: str) -> None:
        """Give a run the reply to its call."""
        self._order(tag, {"verb": "RETURN", "task": tag, "bytes": body})

    def skip(self, tag: str, index: int) -> None:
        """Let a run go on without the call that this notice asked for."""
        self._order(tag, {"verb": "BYPASS", "task": tag, "index": index})

    def forget(self, tag: str) -> None:
        """Wait for no end of this run any more."""
        self._open.pop(tag, None)

    def meter(self) -> None:
        """Ask for the gauges."""
        if self._stream is not None:
            self._send(self._stream, {"verb": "METER", "nonce": "tick"})

    def diagnose(self) -> str:
        """Ask for a deep health check; return the word that its answer will carry."""
        self._checks += 1
        nonce = f"check-{self._checks}"
        self._asked.add(nonce)
        if self._stream is not None:
            self._send(self._stream, {"verb": "DIAG", "nonce": nonce})
        else:
            self._lose_checks()
        return nonce

    def _lose_checks(self) -> None:
        """Fail the checks that went with a link: their answers are not sent again."""
        asked, self._asked = self._asked, set()
        for nonce in asked:
            self._post(events.HealthCheckCompleted(nonce, False))

    def _order(self, tag: str, command: dict[str, Any]) -> None:
        if (task := self._open.get(tag)) is None:
            return
        task.command, task.sent_at, task.doubtful = command, 0.0, False
        if self._stream is not None:
            task.sent_at = time.monotonic()
            self._send(self._stream, command)

    def _send(self, stream: Stream, command: dict[str, Any]) -> None:
        stream.write(self._encode(command) + b"\n")

    # The link.

    def serve(self) -> None:
        """Hold a link, and open a new one whenever it ends."""
        while True:
            to = self._address
            try:
                self._link = connect(self._loop, to, CONNECT_S, max_line_bytes=LONGEST, max_unsent_bytes=OUT_MOST)
                if to == self._address:
                    self._send(self._link, {"verb": "JOIN", "index": self._index})
                    self._read(self._link)
                log(LOG, logging.WARNING, "link-ended", index=self._index, open=len(self._open))
            except (OSError, LineTooLongError) as err:
                log(LOG, logging.WARNING, "link-failed", error=err)
            finally:
                self._stream = None
                self._broken(time.monotonic())
                self._lose_checks()
                if self._link is not None:
                    self._link.close()
                self._link = None
            if to == self._address:
                self._nap = Waiter(self._loop)
                self._loop.suspend(self._nap, self._pause)
                self._nap, self._pause = None, min(BACKOFF_S[1], self._pause * 2)

    def move(self, address: tuple[str, int]) -> None:
        """Go over to a new address, after the present link's commands were carried out: none is lost."""
        if address == self._address:
            return
        self._address, self._pause = address, BACKOFF_S[0]
        if self._nap is not None:
            self._nap.wake()
        stream, self._stream = self._stream, None  # what comes now waits for the new link
        if stream is not None:
            self._send(stream, {"verb": "METER", "nonce": LAST})
            self._loop.call_later(LAST_S, stream.close)
        elif self._link is not None:
            self._link.close()

    def _read(self, stream: Stream) -> None:
        """Read notices until the link ends."""
        while (line := stream.read_line()) is not None:
            try:
                notice = self._decode(line)
            except msgspec.DecodeError as err:
                log(LOG, logging.WARNING, "notice-malformed", error=err)
                continue
            if notice.verb == "WELCOME":
                self._welcome(stream, notice)
            elif notice.index and notice.index <= self._index:
                continue  # a link that was replaced had brought it already
            elif (taker := self._takers.get(notice.verb)) is None:
                log(LOG, logging.WARNING, "notice-unknown", verb=notice.verb)
            else:
                if notice.index > self._index + 1:
                    self._missed(notice.index)
                self._index = max(self._index, notice.index)
                taker(notice)

    def _missed(self, index: int) -> None:
        """Guard the slots against ends that nobody will tell of: the executor keeps its last notices only."""
        begun = [tag for tag, task in self._open.items() if task.sent_at]
        log(LOG, logging.ERROR, "notices-missed", after=self._index, next=index, open=len(begun))
        for tag in begun:
            self._post(events.RunOutcomeUnknown(tag))

    def _welcome(self, stream: Stream, notice: Notice) -> None:
        log(LOG, logging.INFO, "link-up", outcome=notice.outcome, spent_ms=notice.spent, index=self._index)
        self._post(events.ExecutorReady(notice.outcome == "chilly", notice.spent))
        # Notices of the time without a link come first; the answer to this says that all were read.
        self._send(stream, {"verb": "METER", "nonce": FENCE})
        self._stream, self._pause = stream, BACKOFF_S[0]

    def _broken(self, now: float) -> None:
        """Note at once which commands went with the link: it may break again before the next fence is answered."""
        for task in self._open.values():
            if task.command is None or not task.sent_at or task.doubtful:
                continue
            if task.sent_at < now - UNSURE_S:
                task.command = None  # it got through: a second copy could only do harm
            else:
                task.doubtful = True

    def _after_fence(self) -> None:
        """Send again what the old link may have lost, but no start of an effect that may have got through."""
        for tag, task in list(self._open.items()):
            if task.command is None or self._stream is None or (task.sent_at and not task.doubtful):
                continue  # what was sent and is not in doubt went out on this link
            if task.doubtful and task.once and task.command["verb"] == "EXEC":
                task.command = None
                self._post(events.RunOutcomeUnknown(tag))
            else:
                task.sent_at, task.doubtful = time.monotonic(), False
                self._send(self._stream, task.command)

    def _carried_out(self) -> None:
        """Note that the executor has read all that was sent to the link which is being left."""
        for task in self._open.values():
            if task.sent_at and not task.doubtful:
                task.command = None
        if self._link is not None:
            self._link.close()

    # Notices.

    def _exit(self, notice: Notice) -> None:
        self._open.pop(notice.task, None)
        outcome = ENDS.get(notice.outcome, Outcome.ERROR)
        self._post(events.RunCompleted(notice.task, outcome, notice.spent, notice.bytes))

    def _callout(self, notice: Notice) -> None:
        if (task := self._open.get(notice.task)) is not None:
            task.command = None  # the last command was carried out
        self._post(events.CallRequested(notice.task, notice.index, notice.bytes))

    def _meters(self, notice: Notice) -> None:
        if notice.nonce == FENCE:
            self._after_fence()
        elif notice.nonce == LAST:
            self._carried_out()
        self._post(events.GaugesReported(notice.readings))

    def _diagnosed(self, notice: Notice) -> None:
        self._asked.discard(notice.nonce)
        self._post(events.HealthCheckCompleted(notice.nonce, notice.outcome == "complete"))

    def _bad(self, notice: Notice) -> None:
        log(LOG, logging.WARNING, "command-refused", command=notice.outcome, tag=notice.task)
        if notice.outcome in ("EXEC", "KILL", "WAKE") and self._open.pop(notice.task, None) is not None:
            # Either way nothing runs, and no other notice will say so.
            self._post(
                events.RunUnknown(notice.task)
                if notice.outcome == "EXEC"
                else events.RunCompleted(notice.task, Outcome.CANCELLED, 0.0, "")
            )
