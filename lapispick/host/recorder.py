"""Records the events and actions of the decision module: encodes them and sends them to a process that writes files.

Nothing here waits for the disk. If the disk is slow or full, steps that exceed the buffer's capacity are dropped, and
the next record that is written gives their number.
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
from lapispick.trace.messages import WriterOptions
from lapispick.trace.record_types import RECORD_NUMBERS, Answered, Arrival, ExternalEvent, Gap

if TYPE_CHECKING:
    Note = tuple[int | float | str | bytes, ...]  # the number of the record's type, then its fields
    PendingStep = tuple[float, list[admission.Event], list[admission.Action], list[Note]]

LOG = "trace"
MAX_BATCH_STEPS = 200  # a batch of this many steps is sent without waiting for the next flush
MEMORY_TO_BUFFER_RATIO = 64  # memory limit divided by the largest buffer for the writer
BUFFER_SLACK_BYTES = 64 << 10
MIN_RESTART_PAUSE_S = 1.0  # before a writer is restarted; doubled for each writer that wrote nothing
MAX_RESTART_PAUSE_S = 60.0
WRITTEN_PREFIX = b"wrote "  # followed by the number of steps in a written block; lines without it are errors
LAST_BATCH_S = 0.05  # reserved at the end of a shutdown for the last batch
CLOSE_POLL_S = 0.005
LENGTH_BYTES = 4  # size of the length prefix of each message
SUBJECT_DIGEST_BYTES = 8
SALT_BYTES = 16
ARRIVAL = RECORD_NUMBERS[Arrival]
ANSWERED = RECORD_NUMBERS[Answered]
GAP = RECORD_NUMBERS[Gap]
EXTERNAL_EVENT = RECORD_NUMBERS[ExternalEvent]


class Recorder:
    """Recorder of the decision module's steps in one incarnation of the host."""

    def __init__(
        self, loop: EventLoop, settings: TraceSettings, name: str, start_settings: StartSettings, memory_mb: float
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._name = name
        self._start_settings = start_settings
        self._buffer_bytes = min(settings.buffer_bytes, int(memory_mb * (1 << 20) / MEMORY_TO_BUFFER_RATIO))
        # Digests with this salt distinguish the subjects of one incarnation, or with a shared key those of all hosts,
        # but don't let readers guess them.
        key = settings.subject_key
        self._salt = os.urandom(SALT_BYTES) if key is None else Path(key).read_bytes()
        self._encode = msgspec.msgpack.Encoder().encode
        self._pending: list[PendingStep] = []
        self._notes: list[Note] = []
        self._lost_steps = 0
        self._begin_message = b""
        self._sent_steps = 0  # to the current writer
        self._written_steps = 0  # by the current writer
        self._restart_pause_s = MIN_RESTART_PAUSE_S
        self._closing = False
        self._stream: Stream | None = None

    def begin(self, settings: admission.Settings, seed: int, now: float) -> None:
        """Start the writer; ``now`` is the module's clock at its start, ms."""
        section = self._settings
        self._begin_message = msgspec.json.encode(
            WriterOptions(
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
        # Keep references only: encoding each step alone costs three times as much as encoding many at once.
        self._pending.append((now, events, actions, self._notes))
        self._notes = []
        if len(self._pending) >= MAX_BATCH_STEPS:
            self._flush()

    def record_arrival(self, number: int, request: Request) -> None:
        """Record the attributes of a request that the module's event lacks; the subject only as a digest."""
        subject = b""
        if request.idempotency_key is not None:
            encoded = repr(request.idempotency_key).encode()
            subject = blake2b(encoded, digest_size=SUBJECT_DIGEST_BYTES, key=self._salt).digest()
        self._notes.append((ARRIVAL, number, request.tenant, subject, request.created_at))

    def record_answer(self, number: int, kind: str, age_ms: float) -> None:
        """Record a final answer, ``age_ms`` after the request reached the machine."""
        self._notes.append((ANSWERED, number, kind, age_ms))

    def record_external_event(self, name: str, details: str = "") -> None:
        """Record an external event: an operator's action, or the adoption of learned estimates by the module."""
        self._notes.append((EXTERNAL_EVENT, name, details))

    def close(self, timeout_s: float) -> None:
        """Send the last steps; the writer closes its file when the socket is closed."""
        self._closing = True
        if self._stream is None:
            return
        if self._notes:
            self.record_step(time.time() * 1000, [], [])
        self._flush()
        deadline = time.monotonic() + max(0.0, timeout_s - LAST_BATCH_S / 2)
        while self._stream.unsent_bytes and time.monotonic() < deadline:
            self._loop.sleep(CLOSE_POLL_S)

    def _start(self) -> None:
        """Start a writer; steps that the previous one had not written are a gap in the trace."""
        if self._closing:
            return
        host_end, writer_end = socket.socketpair()
        with writer_end:
            # The writer has its own session, so that a Ctrl-C meant for the host doesn't end it before it has written
            # the last step.
            subprocess.Popen(
                [sys.executable, "-m", "lapispick.trace.helper"],
                stdin=writer_end,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                start_new_session=True,
            )
        self._sent_steps = 0
        self._written_steps = 0
        self._stream = Stream(self._loop, host_end, max_unsent_bytes=self._buffer_bytes + BUFFER_SLACK_BYTES)
        self._send(self._begin_message)
        self._loop.spawn(self._read_writer_lines, self._stream)

    def _flush_periodically(self) -> None:
        self._flush()
        self._loop.call_later(self._settings.flush_interval_s, self._flush_periodically)

    def _flush(self) -> None:
        """Send the pending steps, or drop and count them if the writer is too far behind."""
        stream = self._stream
        steps = self._pending
        self._pending = []
        if not steps or stream is None:
            return
        # The records are encoded as they are, with the numbers of their types in one separate byte string, as a tuple
        # for each record would double the cost.
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
            if not self._lost_steps:
                log(LOG, logging.WARNING, "trace-gap", unsent=stream.unsent_bytes, ended=stream.closed)
            self._lost_steps += len(steps)
            return
        if self._lost_steps:
            self._send(self._encode((b"", [(time.time() * 1000, [], [], [(GAP, self._lost_steps)])])))
            self._lost_steps = 0
        self._sent_steps += len(steps)
        self._send(data)

    def _send(self, data: bytes) -> None:
        assert self._stream is not None
        self._stream.write(len(data).to_bytes(LENGTH_BYTES, "little") + data)

    def _read_writer_lines(self, stream: Stream) -> None:
        """Count the steps that the writer has written, log its errors, and start another writer if it ends."""
        try:
            while (line := stream.read_line()) is not None:
                self._handle_line(line)
        except (LineTooLongError, StreamClosedError):
            pass
        stream.close()
        if self._closing:
            return
        self._lost_steps += max(0, self._sent_steps - self._written_steps)
        log(LOG, logging.WARNING, "trace-writer-ended", lost=self._lost_steps, retry_s=self._restart_pause_s)
        self._loop.call_later(self._restart_pause_s, self._start)
        self._restart_pause_s = min(MAX_RESTART_PAUSE_S, 2 * self._restart_pause_s)

    def _handle_line(self, line: bytes) -> None:
        count = line.removeprefix(WRITTEN_PREFIX)
        if line.startswith(WRITTEN_PREFIX) and count.isdigit():
            self._written_steps += int(count)
            self._restart_pause_s = MIN_RESTART_PAUSE_S
        else:
            log(LOG, logging.ERROR, "trace-failed", fault=line.decode(errors="replace"))
