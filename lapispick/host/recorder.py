"""Records what the decision module receives and orders: encodes it and sends it to a process that writes files.

Nothing here waits for the disk. Steps that exceed the buffer's capacity, as the disk is slow or full, are dropped, and
the next record that is written says how many.
"""

from __future__ import annotations

import logging
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from lapispick import admission
from lapispick.conf.sections import TraceSettings
from lapispick.digests import blake2b
from lapispick.host.logs import log
from lapispick.host.requests import Request
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError
from lapispick.platform_settings import StartSettings
from lapispick.trace.messages import Begin
from lapispick.trace.record_types import RECORD_NUMBERS, Answered, Arrival, ExternalEvent, Gap

if TYPE_CHECKING:
    Note = tuple[int | float | str | bytes, ...]  # the number of its type, then its fields
    PendingStep = tuple[float, list[admission.Event], list[admission.Action], list[Note]]

LOG = "trace"
MAX_BATCH_STEPS = 200  # are sent at once
MAX_BUFFER_RATIO = 64  # the memory limit over the buffer for the writer
BUFFER_SLACK_BYTES = 64 << 10
MIN_RESTART_PAUSE_S = 1.0  # before another writer is started; doubled each time that one wrote nothing
MAX_RESTART_PAUSE_S = 60.0
WRITTEN_PREFIX = b"wrote "  # of a line with the number of steps in a written block; other lines are errors
CLOSE_S = 0.05  # reserved at shutdown for the last batch
CLOSE_POLL_S = 0.005
LENGTH_BYTES = 4  # in front of each message
SUBJECT_DIGEST_BYTES = 8
SALT_BYTES = 16
ARRIVAL = RECORD_NUMBERS[Arrival]
ANSWERED = RECORD_NUMBERS[Answered]
GAP = RECORD_NUMBERS[Gap]
EXTERNAL_EVENT = RECORD_NUMBERS[ExternalEvent]


class Recorder:
    """Records the steps of one incarnation of the host."""

    def __init__(
        self, loop: EventLoop, settings: TraceSettings, name: str, start_settings: StartSettings, memory_mb: float
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._name = name
        self._start_settings = start_settings
        self._buffer_bytes = min(settings.buffer_bytes, int(memory_mb * (1 << 20) / MAX_BUFFER_RATIO))
        # Subjects of one incarnation can be told apart but not guessed; with a shared key, those of all hosts.
        key = settings.subject_key
        self._salt = os.urandom(SALT_BYTES) if key is None else Path(key).read_bytes()
        self._encode = msgspec.msgpack.Encoder().encode
        self._pending: list[PendingStep] = []
        self._notes: list[Note] = []
        self._lost = 0
        self._begin = b""
        self._sent_steps = 0  # to the present writer
        self._written_steps = 0  # by the present writer
        self._restart_pause_s = MIN_RESTART_PAUSE_S
        self._closing = False
        self._stream: Stream | None = None

    def begin(self, settings: admission.Settings, seed: int, now: float) -> None:
        """Start the process that writes; ``now`` is the module's clock at its start, ms."""
        section = self._settings
        self._begin = msgspec.json.encode(
            Begin(
                folder=str(section.folder),
                host=self._name,
                incarnation=f"{int(time.time() * 1000):012x}-{os.getpid()}",
                max_file_bytes=section.max_file_bytes,
                max_file_age_s=section.max_file_age_s,
                max_total_bytes=section.max_total_bytes,
                retention_s=section.retention_s,
                sync=section.sync,
                seed=seed,
                module_now=now,
                started_ms=time.time() * 1000,
                settings=msgspec.json.encode(settings).decode(),
                classes=[request_class.name for request_class in self._start_settings.request_classes],
                accounts=[tenant.name for tenant in self._start_settings.tenants],
            )
        )
        self._start()
        self._loop.call_later(section.flush_interval_s, self._flush_periodically)

    def record_step(self, now: float, events: list[admission.Event], actions: list[admission.Action]) -> None:
        """Record one step of the module."""
        # References only: encoding step by step costs three times as much as encoding many at once.
        self._pending.append((now, events, actions, self._notes))
        self._notes = []
        if len(self._pending) >= MAX_BATCH_STEPS:
            self._flush()

    def record_arrival(self, number: int, request: Request) -> None:
        """Record what a request says beside the module's event; its subject only as a digest."""
        subject = b""
        if request.idempotency_key is not None:
            encoded = repr(request.idempotency_key).encode()
            subject = blake2b(encoded, digest_size=SUBJECT_DIGEST_BYTES, key=self._salt).digest()
        self._notes.append((ARRIVAL, number, request.tenant, subject, request.created_at))

    def record_answer(self, number: int, kind: str, age: float) -> None:
        """Record the final answer of a request."""
        self._notes.append((ANSWERED, number, kind, age))

    def record_occurrence(self, what: str, details: str = "") -> None:
        """Record an operator's action, or what the module took over."""
        self._notes.append((EXTERNAL_EVENT, what, details))

    def close(self, timeout_s: float) -> None:
        """Send the last steps; the writer closes its file once the socket ends."""
        self._closing = True
        if self._stream is None:
            return
        if self._notes:
            self.record_step(time.time() * 1000, [], [])
        self._flush()
        deadline = time.monotonic() + max(0.0, timeout_s - CLOSE_S / 2)
        while self._stream.unsent_bytes and time.monotonic() < deadline:
            self._loop.sleep(CLOSE_POLL_S)

    def _start(self) -> None:
        """Start a writer; what the one before it had not written is a gap in the trace."""
        if self._closing:
            return
        ours, theirs = socket.socketpair()
        with theirs:
            # A session of its own: a Ctrl-C meant for the host must not end it before the last step is written.
            subprocess.Popen(
                [sys.executable, "-m", "lapispick.trace.helper"],
                stdin=theirs,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                start_new_session=True,
            )
        self._sent_steps = 0
        self._written_steps = 0
        self._stream = Stream(self._loop, ours, max_unsent_bytes=self._buffer_bytes + BUFFER_SLACK_BYTES)
        self._send(self._begin)
        self._loop.spawn(self._listen, self._stream)

    def _flush_periodically(self) -> None:
        self._flush()
        self._loop.call_later(self._settings.flush_interval_s, self._flush_periodically)

    def _flush(self) -> None:
        """Send the pending steps; where the writer is behind, drop them instead and count them."""
        stream = self._stream
        steps = self._pending
        self._pending = []
        if not steps or stream is None:
            return
        # Records encode as they are, all their kinds beside them: a tuple made for each would cost as much again.
        numbers = RECORD_NUMBERS
        kinds = bytes(
            [
                numbers[type(record)]
                for _, events, actions, _ in steps
                for records in (events, actions)
                for record in records
            ]
        )
        data = self._encode((kinds, steps))
        if stream.closed or stream.unsent_bytes + len(data) > self._buffer_bytes:
            if not self._lost:
                log(LOG, logging.WARNING, "trace-gap", unsent=stream.unsent_bytes, ended=stream.closed)
            self._lost += len(steps)
            return
        if self._lost:
            self._send(self._encode((b"", [(time.time() * 1000, [], [], [(GAP, self._lost)])])))
            self._lost = 0
        self._sent_steps += len(steps)
        self._send(data)

    def _send(self, data: bytes) -> None:
        assert self._stream is not None
        self._stream.write(len(data).to_bytes(LENGTH_BYTES, "little") + data)

    def _listen(self, stream: Stream) -> None:
        """Count what the writer has written, log its errors, and start another one if it ends."""
        try:
            while (line := stream.read_line()) is not None:
                self._handle_line(line)
        except (LineTooLongError, StreamClosedError):
            pass
        stream.close()
        if self._closing:
            return
        self._lost += max(0, self._sent_steps - self._written_steps)
        log(LOG, logging.WARNING, "trace-writer-ended", lost=self._lost, retry_s=self._restart_pause_s)
        self._loop.call_later(self._restart_pause_s, self._start)
        self._restart_pause_s = min(MAX_RESTART_PAUSE_S, 2 * self._restart_pause_s)

    def _handle_line(self, line: bytes) -> None:
        count = line.removeprefix(WRITTEN_PREFIX)
        if line.startswith(WRITTEN_PREFIX) and count.isdigit():
            self._written_steps += int(count)
            self._restart_pause_s = MIN_RESTART_PAUSE_S
        else:
            log(LOG, logging.ERROR, "trace-failed", fault=line.decode(errors="replace"))
