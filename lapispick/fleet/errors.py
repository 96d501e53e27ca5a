"""The exceptions of the inventory. What is wrong within a file is collected as faults and not raised."""

from __future__ import annotations

from pathlib import Path


class InventoryError(Exception):
    """Base of all exceptions of the inventory."""


class HostNameError(InventoryError, ValueError):
    """A text can be neither a host name nor an address."""

    def __init__(self, text: str, problem: str) -> None:
        super().__init__(f"{text!r} {problem}")
        self.text = text
        self.problem = problem


class HostRangeError(InventoryError, ValueError):
    """A host range can't be expanded."""

    def __init__(self, pattern: str, problem: str) -> None:
        super().__init__(f"{pattern} {problem}")
        self.pattern = pattern
        self.problem = problem


class StateFolderError(InventoryError):
    """A file of the state folder can't be used."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class HelperProtocolError(InventoryError):
    """The helper process sent a message that can't follow, or holds another list than the host."""
