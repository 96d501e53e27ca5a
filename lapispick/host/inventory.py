"""Polls the inventory through a helper process, decides whether a list is accepted, and passes on accepted lists.

The helper process does all disk access and parsing, so that the event loop does neither. The event loop applies
changes in chunks and yields between them.
"""

from __future__ import annotations

import logging
import random
import socket
import subprocess
import sys
import time
from collections.abc import Callable

import msgspec

from lapispick import jitter
from lapispick.conf.sections import InventorySettings
from lapispick.fleet.acceptance import Acceptance, Observation, Phase, Policy, Verdict
from lapispick.fleet.errors import HelperProtocolError
from lapispick.fleet.messages import (
    Begin,
    Chunk,
    FromHelper,
    LastGoodLoaded,
    Poll,
    Polled,
    SaveAccepted,
    SaveStatus,
    StateFolderFailed,
    ToHelper,
)
from lapispick.fleet.presence import PresenceTracker
from lapispick.fleet.reading import ReadOptions
from lapispick.fleet.schema import Schema
from lapispick.fleet.snapshot import EMPTY, Difference, History, Snapshot, Version
from lapispick.host.inventory_status import InventoryStatus
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError
from lapispick.json_decoding import json_decoder

LOG = "inventory"
ANSWER_TIMEOUT_S = 60.0  # for one message; a helper that takes longer is killed
MIN_RESTART_PAUSE_S = 0.2
MAX_RESTART_PAUSE_S = 10.0
STABLE_RUN_S = 60.0  # a helper that ran for longer is restarted after the minimum pause
EXIT_POLL_S = 0.02
MAX_MESSAGE_BYTES = 8 << 20
MAX_HISTORY_NAMES = 50  # of each kind of change
SHOWN_DIGEST_DIGITS = 12

AcceptedHandler = Callable[[Snapshot, Difference], None]


def reading_options(settings: InventorySettings, schema: Schema) -> ReadOptions:
    """Return the options for reading the inventory files."""
    return ReadOptions(
        group=settings.group,
        schema=schema,
        domain=settings.domain,
        delimiter=settings.delimiter,
        end_marker=settings.end_marker,
        final_newline=settings.final_newline,
        max_hosts=settings.max_hosts,
    )


def acceptance_policy(settings: InventorySettings) -> Policy:
    """Return the policy that decides whether a list is accepted."""
    return Policy(
        settle_s=settings.settle_s,
        max_settle_s=settings.max_settle_s,
        max_loss_fraction=settings.max_loss_fraction,
        min_allowed_loss=settings.min_allowed_loss,
        max_turnover_fraction=settings.max_turnover_fraction,
        loss_window_s=settings.loss_window_s,
        hold_s=settings.hold_s,
    )


class HelperConnection:
    """The helper process and the socket to it."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self.process: subprocess.Popen[bytes] | None = None
        self._stream: Stream | None = None
        self._decode = json_decoder(FromHelper)
        self._encode = msgspec.json.Encoder().encode

    def start(self) -> None:
        """Start a process; raises ``OSError``."""
        host_end, helper_end = socket.socketpair()
        try:
            # The helper has its own session, so that a Ctrl-C meant for the host doesn't end it before a drain is over.
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lapispick.fleet.helper"],
                stdin=helper_end,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                start_new_session=True,
            )
        finally:
            helper_end.close()
        self._stream = Stream(self._loop, host_end, MAX_MESSAGE_BYTES)

    def stop(self) -> None:
        """Kill the process and wait for its exit."""
        if self._stream is not None:
            self._stream.close()
        if self.process is not None:
            self.process.kill()
            while self.process.poll() is None:
                self._loop.sleep(EXIT_POLL_S)
        self._stream = None
        self.process = None

    def send(self, message: ToHelper) -> None:
        """Send a message."""
        assert self._stream is not None
        self._stream.write(self._encode(message) + b"\n")

    def read(self) -> FromHelper:
        """Return the next message, after logging any failures of the state folder that precede it."""
        assert self._stream is not None
        line = self._stream.read_line(ANSWER_TIMEOUT_S)
        if line is None:
            raise StreamClosedError("the helper closed its socket")
        message = self._decode(line)
        if isinstance(message, StateFolderFailed):
            log(LOG, logging.ERROR, "state-failed", fault=message.text)
            return self.read()
        return message


class Inventory:
    """The host list that is in force in this process."""

    def __init__(
        self, loop: EventLoop, settings: InventorySettings, schema: Schema, on_accepted: AcceptedHandler
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._schema = schema
        self._on_accepted = on_accepted
        self.acceptance = Acceptance(acceptance_policy(settings))
        self.history = History(settings.max_history)
        self.presence = PresenceTracker(settings.return_window_s, settings.max_hosts)
        self.helper = HelperConnection(loop)
        self._received = EMPTY  # the list that the helper sent last

    def serve(self) -> None:
        """Poll the inventory until the process ends; a helper that ends is restarted with backoff."""
        pause_s = MIN_RESTART_PAUSE_S
        while True:
            began = time.monotonic()
            try:
                self.helper.start()
                self._received = EMPTY
                self._poll_files()
            except (OSError, StreamClosedError, LineTooLongError, msgspec.MsgspecError, HelperProtocolError) as err:
                log(LOG, logging.ERROR, "helper-ended", error=err, retry_s=pause_s)
            self.helper.stop()
            self._loop.sleep(jitter.backoff(pause_s, random.random()))
            was_stable = time.monotonic() - began > STABLE_RUN_S
            pause_s = MIN_RESTART_PAUSE_S if was_stable else min(MAX_RESTART_PAUSE_S, pause_s * 2)

    def _poll_files(self) -> None:
        """Poll the files through one helper until it fails."""
        self._initialize_helper()
        while True:
            self.helper.send(Poll())
            polled = self.helper.read()
            if not isinstance(polled, Polled):
                raise HelperProtocolError(f"expected Polled from the helper, got {type(polled).__name__}")
            self._apply_chunks(polled)
            self._evaluate(polled)
            self._loop.sleep(self._settings.poll_interval_s)

    def _initialize_helper(self) -> None:
        """Send a new helper the path and options, and use the last good list that it returns."""
        settings = self._settings
        self.helper.send(
            Begin(
                path=str(settings.path),
                max_bytes=settings.max_bytes,
                options=reading_options(settings, self._schema),
                state_folder=str(settings.state_folder or ""),
                max_history=settings.max_history,
            )
        )
        loaded = self.helper.read()
        if not isinstance(loaded, LastGoodLoaded):
            raise HelperProtocolError(f"expected LastGoodLoaded from the helper, got {type(loaded).__name__}")
        self._apply_chunks(loaded)
        self._use_last_good(loaded)

    def _apply_chunks(self, head: LastGoodLoaded | Polled) -> None:
        """Apply the changes that follow ``head``; other greenlets run between the chunks."""
        for _ in range(head.chunk_count):
            chunk = self.helper.read()
            if not isinstance(chunk, Chunk):
                raise HelperProtocolError(f"expected Chunk from the helper, got {type(chunk).__name__}")
            self._received = self._received.with_changes(chunk.updated, chunk.removed)
            self._loop.yield_control()
        if head.digest and head.digest != self._received.digest:
            raise HelperProtocolError(
                f"expected a list with digest {head.digest} from the helper, got {self._received.digest}"
            )

    def _use_last_good(self, loaded: LastGoodLoaded) -> None:
        """Put the last good list in force if no list has been accepted yet."""
        if loaded.fault:
            log(LOG, logging.ERROR, "last-good-unusable", fault=loaded.fault)
        if not loaded.digest or self.acceptance.accepted is not None:
            return
        log(
            LOG,
            logging.WARNING,
            "last-good",
            hosts=len(self._received.hosts),
            digest=loaded.digest[:SHOWN_DIGEST_DIGITS],
            age_s=int(max(0.0, time.time() - loaded.at)),
        )
        changes = Difference(tuple(self._received.hosts))
        self.acceptance.accepted = self._received
        self.history.add(Version(loaded.at, self._received, changes, "last good"))
        self.presence.apply(time.monotonic(), changes.joined, ())
        self._on_accepted(self._received, changes)

    def _evaluate(self, polled: Polled) -> None:
        """Decide whether the polled list is accepted; log and save the verdict if it is new."""
        observation = Observation(
            snapshot=None if polled.faults else self._received,
            faults=polled.faults,
            incomplete_reason=polled.incomplete_reason,
            operator_digest=polled.operator_digest,
        )
        verdict = self.acceptance.observe(time.monotonic(), observation)
        if verdict.accepted is not None:
            self._accept(verdict, verdict.accepted)
        if verdict.is_new:
            self._log_verdict(verdict, polled)
            self._save_status(verdict, polled)

    def _accept(self, verdict: Verdict, accepted: Snapshot) -> None:
        """Put a list in force."""
        now = time.time()
        changes = verdict.difference
        self.history.add(Version(now, accepted, changes, verdict.reason))
        for returned in self.presence.apply(time.monotonic(), changes.joined, changes.left):
            log(LOG, logging.INFO, "host-returned", host=returned.name, incarnation=returned.incarnation)
        log(
            LOG,
            logging.INFO,
            "inventory-accepted",
            digest=accepted.digest[:SHOWN_DIGEST_DIGITS],
            hosts=len(accepted.hosts),
            reason=verdict.reason,
            **changes.counts(),
        )
        self._on_accepted(accepted, changes)
        names = {field: list(hosts[:MAX_HISTORY_NAMES]) for field, hosts in changes._asdict().items()}
        self.helper.send(SaveAccepted(accepted.digest, now, verdict.reason, names, changes.counts()))

    def _log_verdict(self, verdict: Verdict, polled: Polled) -> None:
        if verdict.phase is Phase.REJECTED:
            more = len(polled.faults) + polled.omitted_faults - 1
            log(LOG, logging.ERROR, "inventory-rejected", fault=verdict.reason, more=max(0, more))
            for fault in polled.faults[1:]:
                log(LOG, logging.ERROR, "inventory-fault", fault=fault)
        elif verdict.phase is Phase.HELD:
            log(
                LOG,
                logging.WARNING,
                "inventory-held",
                digest=polled.digest[:SHOWN_DIGEST_DIGITS],
                reason=verdict.reason,
                hold_s=self._settings.hold_s,
            )

    def _save_status(self, verdict: Verdict, polled: Polled) -> None:
        """Write ``status.json``."""
        accepted = self.acceptance.accepted
        status = InventoryStatus(
            at=time.time(),
            phase=verdict.phase,
            reason=verdict.reason,
            accepted_digest=accepted.digest if accepted else "",
            accepted_hosts=len(accepted.hosts) if accepted else 0,
            candidate_digest=polled.digest,
            faults=[str(fault) for fault in polled.faults],
        )
        self.helper.send(SaveStatus(msgspec.to_builtins(status)))
