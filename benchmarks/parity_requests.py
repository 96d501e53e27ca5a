"""Requests that a modelled server has read, and the idempotency keys that it retains."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from benchmarks.parity_scenarios import RequestClass


class RequestState(Enum):
    """State of a request in a modelled server."""

    QUEUED = auto()
    RUNNING = auto()
    AWAITING_CALL = auto()
    CALLING = auto()
    PAUSED = auto()
    COALESCED = auto()
    COMPLETED = auto()


OFF_CORE_STATES = (RequestState.QUEUED, RequestState.PAUSED, RequestState.COALESCED)
CALL_STATES = (RequestState.AWAITING_CALL, RequestState.CALLING)


@dataclass(eq=False)
class ModelRequest:
    """Request that a server has read; times in ms."""

    id: int
    class_index: int
    request_class: RequestClass
    key: int
    caller: int
    deadline: float
    memory_kb: float
    work_ms: float
    work_left_ms: float
    retry_of: int = 0  # id of the attempt that this request repeats; 0 = none
    calls_at: list[float] = field(default_factory=list)  # remaining work in ms at each call; the next call is last
    state: RequestState = RequestState.QUEUED
    started_at: float = 0.0
    call_started_at: float = 0.0
    call_number: int = 0  # number of the call in progress
    answered: bool = False  # answered or cancelled, so that no client waits


class RequestTable:
    """The open requests of a process, and the success of its ended requests."""

    def __init__(self) -> None:
        self._open: dict[int, ModelRequest] = {}
        self._succeeded: dict[int, bool] = {}

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[ModelRequest]:
        return iter(list(self._open.values()))

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._open

    def get(self, request_id: int) -> ModelRequest | None:
        """Return the open request with this id, or None."""
        return self._open.get(request_id)

    def add(self, request: ModelRequest) -> None:
        """Add a request that was read."""
        self._open[request.id] = request

    def end(self, request: ModelRequest, succeeded: bool) -> None:
        """Record the end of a request."""
        self._open.pop(request.id, None)
        self._succeeded[request.id] = succeeded

    def has_succeeded(self, request_id: int) -> bool:
        """Return True if an ended request succeeded; False if the request is unknown."""
        return self._succeeded.get(request_id, False)

    def in_state(self, state: RequestState) -> list[ModelRequest]:
        """Return the open requests in a state."""
        return [request for request in self._open.values() if request.state is state]

    def find_equal(self, class_index: int, key: int) -> int:
        """Return the id of the first open request with this class and key, 0 for none."""
        for request in self._open.values():
            if (request.class_index, request.key) == (class_index, key):
                return request.id
        return 0


@dataclass
class RetainedKey:
    """Retained idempotency key."""

    owner_id: int
    expires_at: float


class RetainedKeys:
    """Idempotency keys that a process retains as its controller decides."""

    def __init__(self) -> None:
        self._keys: dict[tuple[int, int], RetainedKey] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def retain(self, request: ModelRequest, expires_at: float) -> None:
        """Retain the key of a request until ``expires_at``."""
        self._keys[request.class_index, request.key] = RetainedKey(request.id, expires_at)

    def release(self, owner_id: int) -> None:
        """Release the keys owned by a request."""
        for name, retained in list(self._keys.items()):
            if retained.owner_id == owner_id:
                del self._keys[name]

    def find_owner(self, class_index: int, key: int, clock: float) -> int:
        """Return the id of the request that owns a key, 0 for none."""
        retained = self._keys.get((class_index, key))
        return retained.owner_id if retained is not None and retained.expires_at > clock else 0
