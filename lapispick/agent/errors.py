"""Errors of agents and controllers."""

from __future__ import annotations

from pathlib import Path


class AgentError(Exception):
    """Base of all errors of this package; the text says what is wrong with which value."""


class InvalidGenerationError(AgentError):
    """A program folder and settings can't be a generation."""


class StateFileError(AgentError):
    """No agent can run with this folder."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class UnknownGenerationError(AgentError):
    """A generation is not in the store."""

    def __init__(self, generation: str, folder: Path) -> None:
        super().__init__(f"{generation} is not on the shelf {folder}")
        self.generation = generation


class RolloutStoreError(AgentError):
    """The store of rollouts can't be used."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class FencedError(AgentError):
    """Another controller has taken over: this one must not call any agent any more."""

    def __init__(self, newer_epoch: int, own_epoch: int) -> None:
        super().__init__(f"controller {newer_epoch} has taken over from {own_epoch}")
        self.newer_epoch = newer_epoch
        self.own_epoch = own_epoch
