"""Exceptions of the inventory. Faults in the content of a file are collected as ``FileFault`` and not raised."""

from __future__ import annotations

from pathlib import Path


class InventoryError(Exception):
    """Base of all exceptions of the inventory."""


class HostNameError(InventoryError, ValueError):
    """A text is not a valid host name or address."""

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
    """A file in the state folder can't be used."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class HelperProtocolError(InventoryError):
    """The helper process sent an unexpected message, or its list differs from the host's copy."""
