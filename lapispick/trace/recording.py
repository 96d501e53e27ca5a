"""Writes the steps of one incarnation of a host to files: blocks, rotation, retention, and failures of the disk."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO

from lapispick.trace.files import STEPS_PER_BLOCK, TraceWriter, make_header
from lapispick.trace.messages import Begin
from lapispick.trace.module_digest import module_digest
from lapispick.trace.record_types import Gap, Step
from lapispick.trace.retention import TraceFile, expired, rotate

MAX_BLOCK_AGE_S = 1.0  # an open block is written after this at the latest
RETRY_S = 1.0  # after a failure of the disk
SUFFIX = ".lptrace"
OPEN_SUFFIX = ".lptrace.open"


def _next_sequence(folder: Path, prefix: str) -> int:
    """Return the number of the next file of this incarnation: another writer may have ended before this one."""
    with suppress(OSError):
        names = [entry.name for entry in os.scandir(folder) if entry.name.startswith(prefix)]
        numbers = [name.removeprefix(prefix).split(".")[0] for name in names]
        return max((int(number) + 1 for number in numbers if number.isdigit()), default=0)
    return 0


class Recording:
    """The files of one incarnation of a host.

    ``report_error`` gets the text of each failure, ``report_written`` the number of steps in each written block.
    """

    def __init__(
        self,
        begin: Begin,
        report_error: Callable[[str], None],
        report_written: Callable[[int], None] = lambda count: None,
    ) -> None:
        self._begin = begin
        self._folder = Path(begin.folder)
        self._report_error = report_error
        self._report_written = report_written
        self._module = module_digest()
        self._sequence = _next_sequence(self._folder, f"{begin.host}-{begin.incarnation}-")
        self._writer: TraceWriter | None = None
        self._path = self._folder
        self._file: BinaryIO | None = None
        self._opened_at = 0.0
        self._retry_at = 0.0
        self._steps: list[Step] = []
        self._block_began_at = 0.0
        self._lost = 0

    def add(self, step: Step, now: float) -> None:
        """Add a step; ``now`` is a clock in seconds."""
        if not self._steps:
            self._block_began_at = now
        self._steps.append(step)
        if len(self._steps) >= STEPS_PER_BLOCK:
            self.flush(now)

    def flush_due(self, now: float) -> None:
        """Write the open block if it has waited long enough."""
        if self._steps and now - self._block_began_at >= MAX_BLOCK_AGE_S:
            self.flush(now)

    def flush(self, now: float) -> None:
        """Write the open block; where the disk fails its steps are counted as lost."""
        steps = self._steps
        self._steps = []
        if not steps:
            return
        if now < self._retry_at:
            self._lost += len(steps)
            return
        try:
            self._write(steps, now)
        except OSError as err:
            self._lost += sum(1 for step in steps if step.events or step.actions)
            self._retry_at = now + RETRY_S
            self._abandon()
            self._report_error(str(err))

    def close(self) -> None:
        """Close the file and remove those that are beyond the retention."""
        if self._writer is None:
            return
        self._writer.close(sync=self._begin.sync != "no")
        self._writer = None
        self._file = None
        os.replace(self._path, self._path.with_name(self._path.name.removesuffix(OPEN_SUFFIX) + SUFFIX))
        self._remove_expired()

    def _write(self, steps: list[Step], now: float) -> None:
        """Write a block, and close the file if it is large or old enough; raises ``OSError``."""
        writer = self._open(now)
        if self._lost:
            steps.insert(0, Step(steps[0].now, notes=(Gap(self._lost),)))
        writer.write_block(steps)
        assert self._file is not None
        self._file.flush()
        if self._begin.sync == "block":
            os.fsync(self._file.fileno())
        self._lost = 0
        self._report_written(sum(1 for step in steps if not any(type(note) is Gap for note in step.notes)))
        if rotate(writer.size, self._opened_at, now, self._begin.max_file_bytes, self._begin.max_file_age_s):
            self.close()

    def _open(self, now: float) -> TraceWriter:
        """Return the writer of the open file, a new one where there is none."""
        if self._writer is not None:
            return self._writer
        begin = self._begin
        self._folder.mkdir(parents=True, exist_ok=True)
        name = f"{begin.host}-{begin.incarnation}-{self._sequence:06d}"
        self._path = self._folder / (name + OPEN_SUFFIX)
        self._file = open(self._path, "wb")  # noqa: SIM115  # closed by ``close``
        self._opened_at = now
        header = make_header(
            box=begin.host,
            incarnation=begin.incarnation,
            sequence=self._sequence,
            seed=begin.seed,
            started_ms=begin.started_ms,
            module_now=begin.module_now,
            settings=begin.settings.encode(),
            module=self._module,
            created_ms=time.time() * 1000,
            classes=begin.classes,
            accounts=begin.accounts,
        )
        self._writer = TraceWriter(self._file, header)
        self._file.flush()  # a reader finds a trace, not an empty file
        self._sequence += 1
        return self._writer

    def _abandon(self) -> None:
        """Leave a file that can't be written as it is; its complete blocks can be read."""
        if self._file is not None:
            with suppress(OSError):  # what was buffered is lost with the block
                self._file.close()
        self._writer = None
        self._file = None

    def _remove_expired(self) -> None:
        files = []
        for entry in os.scandir(self._folder):
            if entry.name.endswith((SUFFIX, OPEN_SUFFIX)):
                status = entry.stat()
                files.append(TraceFile(entry.name, status.st_size, status.st_mtime))
        for name in expired(files, time.time(), self._begin.max_total_bytes, self._begin.retention_s):
            (self._folder / name).unlink(missing_ok=True)
