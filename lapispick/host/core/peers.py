"""What the core talks to: executor, store, fronts and the recorder."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # protocol classes are for the type checker, and would cost memory at run time
    from lapispick.host import interfaces


class Peers:
    """The peers of the core; the host fills them in after it has made them."""

    executor: interfaces.Executor
    store: interfaces.Store

    def __init__(self) -> None:
        self.fronts: list[interfaces.Front] = []
        self.recorder: interfaces.Recorder | None = None
