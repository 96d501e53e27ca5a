"""Records what the decisions are handed and order: encodes it and hands it to a process that writes files.

Nothing here waits for the disk. What a slow or full disk leaves no room for is dropped in whole steps, and
the next thing that is written says how many.
"""

from __future__ import annotations

import logging
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from lapispick import admission
from lapispick.conf.settings import Trace
from lapispick.digests import blake2b
from lapispick.host.logs import log
from lapispick.host.requests import Request
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError
from lapispick.platform_settings import Info
from lapispick.trace.record_types import NUMBERS, Answered, Arrival, Gap, Happened

LOG = "trace"
HAND_OVER = 200  # steps; then they are handed over at once
BUFFER_PART = 64  # of the memory limit may wait for the writer, at most
RESTART_S, RESTART_MOST_S = 1.0, 60.0  # s; before another writer is started, doubled each time it wrote nothing
WROTE = b"wrote "  # the writer's word of how many steps are in whole blocks; all other lines are complaints
CLOSE_S = 0.05  # s; kept free of what a drain leaves for the last hand-over
ARRIVAL, ANSWERED, GAP, HAPPENED = (NUMBERS[kind] for kind in (Arrival, Answered, Gap, Happened))


class Recorder:
    """Takes the steps of one life of the host."""

    def __init__(self, loop: EventLoop, settings: Trace, name: str, info: Info, memory_mb: float) -> None:
        self._loop, self._settings, self._name, self._info = loop, settings, name, info
        self._buffer = min(settings.buffer, int(memory_mb * (1 << 20) / BUFFER_PART))
        # Subjects of one life can be told apart, and not guessed from a trace; with a shared key, those of all boxes.
        key = settings.subject_key
        self._salt = os.urandom(16) if key is None else Path(key).read_bytes()
        self._encode = msgspec.msgpack.Encoder().encode
        self._waiting: list[tuple[Any, ...]] = []
        self._lost = 0
        self._begin = b""
        self._handed = self._written = 0  # steps, by the present writer
        self._pause, self._closing = RESTART_S, False
        self._notes: list[tuple[Any, ...]] = []
        self._stream: Stream | None = None

    def begin(self, settings: admission.Settings, seed: int, now: float) -> None:
        """Start the process that writes; ``now`` is the module's clock at its start, ms."""
        told = self._settings
        self._begin = msgspec.json.encode(
            {
                "folder": str(told.folder),
                "box": self._name,
                "incarnation": f"{int(time.time() * 1000):012x}-{os.getpid()}",
                "rotate_size": told.rotate_size,
                "rotate_age": told.rotate_age,
                "keep_size": told.keep_size,
                "keep_age": told.keep_age,
                "sync": told.sync,
                "seed": seed,
                "module_now": now,
                "started_ms": time.time() * 1000,
                "settings": msgspec.json.encode(settings).decode(),
                "classes": [s.name for s in self._info.services],
                "accounts": [p.name for p in self._info.parties],
            }
        )
        self._start()
        self._loop.call_later(told.flush, self._beat)

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
        self._handed = self._written = 0
        self._stream = Stream(self._loop, ours, max_unsent_bytes=self._buffer + (64 << 10))
        self._send(self._begin)
        self._loop.spawn(self._listen, self._stream)

    def step(self, now: float, events: list[admission.Event], actions: list[admission.Action]) -> None:
        """Take one step of the module."""
        # References only: encoding step by step costs three times as much as encoding many at once.
        self._waiting.append((now, events, actions, self._notes))
        self._notes = []
        if len(self._waiting) >= HAND_OVER:
            self._hand_over()

    def arrival(self, number: int, request: Request) -> None:
        """Note what a request says beside the module's event; its subject only as a digest."""
        subject = b""
        if request.idempotency_key is not None:
            subject = blake2b(repr(request.idempotency_key).encode(), digest_size=8, key=self._salt).digest()
        self._notes.append((ARRIVAL, number, request.account, subject, request.born_at))

    def answered(self, number: int, kind: str, age: float) -> None:
        """Note the final answer of a request."""
        self._notes.append((ANSWERED, number, kind, age))

    def happened(self, what: str, told: str = "") -> None:
        """Note what operators did."""
        self._notes.append((HAPPENED, what, told))

    def _beat(self) -> None:
        self._hand_over()
        self._loop.call_later(self._settings.flush, self._beat)

    def _hand_over(self) -> None:
        """Send what waits; where the writer is behind, drop it instead and count it."""
        stream, steps = self._stream, self._waiting
        self._waiting = []
        if not steps or stream is None:
            return
        # Records encode as they are, all their kinds beside them: a tuple made for each would cost as much again.
        numbers = NUMBERS
        kinds = bytes(
            [numbers[type(one)] for _, events, actions, _ in steps for part in (events, actions) for one in part]
        )
        data = self._encode((kinds, steps))
        if stream.closed or stream.unsent_bytes + len(data) > self._buffer:
            if not self._lost:
                log(LOG, logging.WARNING, "trace-gap", unsent=stream.unsent_bytes, ended=stream.closed)
            self._lost += len(steps)
            return
        if self._lost:
            self._send(self._encode((b"", [(time.time() * 1000, [], [], [(GAP, self._lost)])])))
            self._lost = 0
        self._handed += len(steps)
        self._send(data)

    def _send(self, data: bytes) -> None:
        assert self._stream is not None
        self._stream.write(len(data).to_bytes(4, "little") + data)

    def _listen(self, stream: Stream) -> None:
        """Take the writer's word of what it wrote, log what it complains of, and start another one if it ends."""
        try:
            while (line := stream.read_line()) is not None:
                if line.startswith(WROTE) and line[len(WROTE) :].isdigit():
                    self._written += int(line[len(WROTE) :])
                    self._pause = RESTART_S
                else:
                    log(LOG, logging.ERROR, "trace-failed", fault=line.decode(errors="replace"))
        except (LineTooLongError, StreamClosedError):
            pass
        stream.close()
        if self._closing:
            return
        self._lost += max(0, self._handed - self._written)
        log(LOG, logging.WARNING, "trace-writer-ended", lost=self._lost, again_s=self._pause)
        self._loop.call_later(self._pause, self._start)
        self._pause = min(RESTART_MOST_S, 2 * self._pause)

    def close(self, seconds: float) -> None:
        """Hand over the last steps; the writer closes its file whole once the socket ends."""
        self._closing = True
        if self._stream is None:
            return
        if self._notes:
            self.step(time.time() * 1000, [], [])
        self._hand_over()
        end = time.monotonic() + max(0.0, seconds - CLOSE_S / 2)
        while self._stream.unsent_bytes and time.monotonic() < end:
            self._loop.sleep(0.005)
