"""The peers of the core within this process: executor, store, fronts and recorder."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # only the type checker needs the protocol classes; at run time they would use memory
    from lapispick.host import interfaces


class Peers:
    """The peers of the core; the host sets them after it has created them."""

    executor: interfaces.Executor
    store: interfaces.Store

    def __init__(self) -> None:
        self.fronts: list[interfaces.Front] = []
        self.recorder: interfaces.Recorder | None = None
