"""The first message from the worker host to the trace writer, as JSON; a writer of another version may read it."""

from __future__ import annotations

import msgspec


class WriterOptions(msgspec.Struct):
    """Options of the trace writer: where and how it writes files, and the content of their headers."""

    folder: str
    host: str = msgspec.field(name="box")
    incarnation: str
    max_file_bytes: int = msgspec.field(name="rotate_size")
    max_file_age_s: float = msgspec.field(name="rotate_age")
    max_total_bytes: int = msgspec.field(name="keep_size")
    retention_s: float = msgspec.field(name="keep_age")
    sync: str  # no, file or block: when the data is synced to the disk
    seed: int
    module_now: float  # ms, the decision module's clock at its start
    started_ms: float  # Unix time
    settings: str  # of the decision module, JSON
    classes: list[str]
    accounts: list[str]
