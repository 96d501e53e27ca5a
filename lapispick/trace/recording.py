"""Writes the steps of one host incarnation to files: blocks, rotation, retention, and recovery from disk errors."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO

from lapispick.trace.files import STEPS_PER_BLOCK, TraceWriter, make_header
from lapispick.trace.messages import WriterOptions
from lapispick.trace.module_digest import module_digest
from lapispick.trace.record_types import Gap, Step
from lapispick.trace.retention import TraceFile, expired_files, needs_rotation

MAX_BLOCK_AGE_S = 1.0  # an open block is written after this at the latest
RETRY_DELAY_S = 1.0  # after a disk error
SUFFIX = ".lptrace"
OPEN_SUFFIX = ".lptrace.open"  # of a file that is not closed yet


def _next_sequence(folder: Path, prefix: str) -> int:
    """Return the sequence number of the next file; an earlier writer of this incarnation may have left files."""
    with suppress(OSError):
        names = [entry.name for entry in os.scandir(folder) if entry.name.startswith(prefix)]
        numbers = [name.removeprefix(prefix).split(".")[0] for name in names]
        return max((int(number) + 1 for number in numbers if number.isdigit()), default=0)
    return 0


class Recording:
    """Trace files of one host incarnation.

    ``report_error`` is called with the text of each disk error, ``report_written`` with the number of steps in each
    written block.
    """

    def __init__(
        self,
        options: WriterOptions,
        report_error: Callable[[str], None],
        report_written: Callable[[int], None] = lambda count: None,
    ) -> None:
        self._options = options
        self._folder = Path(options.folder)
        self._report_error = report_error
        self._report_written = report_written
        self._module_digest = module_digest()
        self._sequence = _next_sequence(self._folder, f"{options.host}-{options.incarnation}-")
        self._writer: TraceWriter | None = None
        self._path = self._folder
        self._file: BinaryIO | None = None
        self._opened_at = 0.0
        self._retry_at = 0.0
        self._steps: list[Step] = []
        self._block_began_at = 0.0
        self._lost_steps = 0

    def add(self, step: Step, now: float) -> None:
        """Add a step; ``now`` is the time of any clock, in seconds."""
        if not self._steps:
            self._block_began_at = now
        self._steps.append(step)
        if len(self._steps) >= STEPS_PER_BLOCK:
            self.flush(now)

    def flush_due(self, now: float) -> None:
        """Write the open block if it has reached its maximum age."""
        if self._steps and now - self._block_began_at >= MAX_BLOCK_AGE_S:
            self.flush(now)

    def flush(self, now: float) -> None:
        """Write the open block; if this fails, its steps are counted as lost."""
        steps = self._steps
        self._steps = []
        if not steps:
            return
        if now < self._retry_at:
            self._lost_steps += len(steps)
            return
        try:
            self._write(steps, now)
        except OSError as err:
            self._lost_steps += sum(1 for step in steps if step.events or step.actions)
            self._retry_at = now + RETRY_DELAY_S
            self._abandon()
            self._report_error(str(err))

    def close(self) -> None:
        """Close the file, and remove files that exceed the retention limits."""
        if self._writer is None:
            return
        self._writer.close(sync=self._options.sync != "no")
        self._writer = None
        self._file = None
        os.replace(self._path, self._path.with_name(self._path.name.removesuffix(OPEN_SUFFIX) + SUFFIX))
        self._remove_expired()

    def _write(self, steps: list[Step], now: float) -> None:
        """Write a block, and close the file if it is due for rotation; raises ``OSError``."""
        writer = self._open(now)
        if self._lost_steps:
            steps.insert(0, Step(steps[0].now, notes=(Gap(self._lost_steps),)))
        writer.write_block(steps)
        assert self._file is not None
        self._file.flush()
        if self._options.sync == "block":
            os.fsync(self._file.fileno())
        self._lost_steps = 0
        self._report_written(sum(1 for step in steps if not any(type(note) is Gap for note in step.notes)))
        if needs_rotation(
            writer.size, self._opened_at, now, self._options.max_file_bytes, self._options.max_file_age_s
        ):
            self.close()

    def _open(self, now: float) -> TraceWriter:
        """Return the writer of the open file; if there is none, open the next file."""
        if self._writer is not None:
            return self._writer
        options = self._options
        self._folder.mkdir(parents=True, exist_ok=True)
        name = f"{options.host}-{options.incarnation}-{self._sequence:06d}"
        self._path = self._folder / (name + OPEN_SUFFIX)
        self._file = open(self._path, "wb")  # noqa: SIM115  # closed by ``close``
        self._opened_at = now
        header = make_header(
            box=options.host,
            incarnation=options.incarnation,
            sequence=self._sequence,
            seed=options.seed,
            started_ms=options.started_ms,
            module_now=options.module_now,
            settings=options.settings.encode(),
            module=self._module_digest,
            created_ms=time.time() * 1000,
            classes=options.classes,
            accounts=options.accounts,
        )
        self._writer = TraceWriter(self._file, header)
        self._file.flush()  # so that a reader finds a valid trace instead of an empty file
        self._sequence += 1
        return self._writer

    def _abandon(self) -> None:
        """Stop writing the open file after an error; its complete blocks can still be read."""
        if self._file is not None:
            with suppress(OSError):  # buffered bytes are part of the block that is lost
                self._file.close()
        self._writer = None
        self._file = None

    def _remove_expired(self) -> None:
        files = []
        for entry in os.scandir(self._folder):
            if entry.name.endswith((SUFFIX, OPEN_SUFFIX)):
                status = entry.stat()
                files.append(TraceFile(entry.name, status.st_size, status.st_mtime))
        for name in expired_files(files, time.time(), self._options.max_total_bytes, self._options.retention_s):
            (self._folder / name).unlink(missing_ok=True)
