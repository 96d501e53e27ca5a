"""The unanswered requests of one connection."""

from __future__ import annotations

from collections.abc import Callable

from lapispick.host import events
from lapispick.host.jsonrpc.messages import Message
from lapispick.host.requests import Request


class OpenRequests:
    """Unanswered requests of one connection, by the ids of their messages."""

    __slots__ = ("_post", "_unposted", "by_id")

    def __init__(self, post: Callable[[events.Event], None]) -> None:
        self.by_id: dict[int, Request] = {}
        self._unposted: dict[int, Request] = {}  # the part of ``by_id`` that is not yet posted to the core
        self._post = post

    def add(self, message_id: int, request: Request) -> None:
        """Add a request without posting it; ``post_new`` posts it."""
        self.by_id[message_id] = self._unposted[message_id] = request

    def post_new(self) -> None:
        """Post the requests that were added since the last call."""
        if self._unposted:
            requests = self._unposted
            self._unposted = {}
            for request in requests.values():
                self._post(events.RequestArrived(request))

    def find_cancelled(self, message: Message) -> int | None:
        """Return the id of the request that a cancel message refers to, by message id or by attempt id."""
        params = message.params
        message_id = params.cancelled_id if params.cancelled_id is not None else message.id
        if message_id in self.by_id or not params.attempt_id:
            return message_id
        for open_id, request in self.by_id.items():
            if request.request_id == params.attempt_id:
                return open_id
        return None

    def cancel(self, message_id: int) -> None:
        """Cancel a request because its gateway asked to."""
        request = self.by_id.pop(message_id)
        before_arrival = self._unposted.pop(message_id, None) is not None
        self._post(events.ClientCancelled(request, before_arrival))

    def abandon(self, message_id: int) -> None:
        """Remove a request that is invalid or whose connection closes; cancel it if it was posted to the core."""
        request = self.by_id.pop(message_id)
        if self._unposted.pop(message_id, None) is None:
            self._post(events.ClientCancelled(request))
