"""What the host tells the process that writes trace files. JSON; another version may read it."""

from __future__ import annotations

import msgspec


class Begin(msgspec.Struct):
    """The first message: where and how to write, and what the headers of the files say."""

    folder: str
    host: str = msgspec.field(name="box")
    incarnation: str
    max_file_bytes: int = msgspec.field(name="rotate_size")
    max_file_age_s: float = msgspec.field(name="rotate_age")
    max_total_bytes: int = msgspec.field(name="keep_size")
    retention_s: float = msgspec.field(name="keep_age")
    sync: str  # no, file or block: when the disk must have the data
    seed: int
    module_now: float  # ms, the decision module's clock at its start
    started_ms: float  # Unix time
    settings: str  # of the decision module, JSON
    classes: list[str]
    accounts: list[str]
