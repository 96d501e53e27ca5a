"""Errors of agents and controllers."""

from __future__ import annotations

from pathlib import Path


class AgentError(Exception):
    """Base class of the errors of this package; the text gives the invalid value and the reason."""


class InvalidGenerationError(AgentError):
    """A program folder and its settings do not form a valid generation."""


class StateFileError(AgentError):
    """The folder or the state file of an agent can't be used."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class UnknownGenerationError(AgentError):
    """A generation is not in the generation store."""

    def __init__(self, generation: str, folder: Path) -> None:
        super().__init__(f"generation {generation} not found in {folder}")
        self.generation = generation


class RolloutStoreError(AgentError):
    """The rollout store can't be opened or read."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class FencedError(AgentError):
    """Another controller has taken over; this one must make no more calls to agents."""

    def __init__(self, newer_epoch: int, own_epoch: int) -> None:
        super().__init__(f"controller {newer_epoch} has taken over from {own_epoch}")
        self.newer_epoch = newer_epoch
        self.own_epoch = own_epoch
