"""Builder of requests from the messages of queues."""

from __future__ import annotations

import base64
import random
import time
from collections.abc import Callable

from lapispick import admission
from lapispick.host.amqp import content
from lapispick.host.amqp.codec import is_unicode
from lapispick.host.amqp.content import Properties
from lapispick.host.amqp.deliveries import Delivery
from lapispick.host.amqp.errors import InvalidMessageError
from lapispick.host.amqp.inventory_schema import Queue
from lapispick.host.requests import MAX_BODY_BYTES, MAX_REQUEST_MEMORY_KB, Answer, Request
from lapispick.platform_settings import StartSettings

MAX_EXPIRATION_MS = 1e12  # publishers write very large numbers for messages that never expire
MAX_TENANT_LENGTH = 255  # characters; a tenant is part of the keys, which are retained
MAX_SHOWN_LENGTH = 20  # characters of an invalid value in an error message


class RequestBuilder:
    """Builder of requests with the request classes and tenants of the settings."""

    def __init__(self, start_settings: StartSettings, settings: admission.Settings) -> None:
        self._class_names = [request_class.name for request_class in start_settings.request_classes]
        self._tenants = {tenant.name for tenant in start_settings.tenants}
        self._classes = settings.classes
        by_weight = sorted(
            range(len(self._class_names)), key=lambda index: (settings.classes[index].priority_weight, index)
        )
        self._ranks = {class_index: (position + 0.5) / len(by_weight) for position, class_index in enumerate(by_weight)}

    def build(self, delivery: Delivery, queue: Queue, caller: int, reply: Callable[[Answer], None]) -> Request:
        """Return the request of a message; raise ``InvalidMessageError`` if the message is invalid."""
        now_ms = time.time() * 1000
        properties = delivery.properties
        if delivery.properties_error:
            raise InvalidMessageError(f"the message properties are malformed: {delivery.properties_error}")
        if delivery.body_size > MAX_BODY_BYTES:
            raise InvalidMessageError(f"the body has {delivery.body_size} bytes, expected at most {MAX_BODY_BYTES}")
        class_index = self._class_index(properties, queue)
        class_name = self._class_names[class_index]
        idempotency = self._classes[class_index].idempotency
        tenant = self._tenant(properties, queue)
        is_keyed = idempotency is admission.Idempotency.KEYED
        if is_keyed:
            _check_message_id(properties, class_name)
        created_at_ms = min(now_ms, _created_at_ms(properties) or now_ms)
        return Request(
            request_id=f"{random.getrandbits(64):016x}",
            class_name=class_name,
            class_index=class_index,
            body=base64.b64encode(delivery.body).decode(),
            created_at=created_at_ms,
            arrived_at=now_ms,
            deadline_at=self._deadline_at(properties, created_at_ms, class_index),
            request_memory_kb=_memory_kb(properties, queue),
            rank=self._ranks[class_index],
            caller=caller,
            idempotency_key=("amqp", tenant, class_name, properties.message_id) if is_keyed else None,
            reply=reply,
            tenant=tenant,
            # Only the broker's redeliveries are marked, not messages that a client publishes once more.
            retries_are_marked=False,
            # A redelivered message may have been executed by another process or host.
            lookup_only=delivery.redelivered and idempotency is not admission.Idempotency.IDEMPOTENT,
        )

    def _class_index(self, properties: Properties, queue: Queue) -> int:
        name = properties.headers.get(content.CLASS_HEADER) or properties.type or queue.class_name
        if name not in self._class_names:
            raise InvalidMessageError(f"unknown request class {repr(name)[:MAX_SHOWN_LENGTH]}")
        return self._class_names.index(name)

    def _tenant(self, properties: Properties, queue: Queue) -> str:
        """Return the tenant from the header, as text, else of the queue.

        It becomes part of idempotency keys, which are text in all fronts and in the messages of an upgrade.
        """
        tenant = properties.headers.get(content.TENANT_HEADER) or queue.tenant
        if isinstance(tenant, int) and not isinstance(tenant, bool):
            tenant = str(tenant)
        if not isinstance(tenant, str):
            raise InvalidMessageError(f"expected the header customer as text or a whole number, got a {_kind(tenant)}")
        if len(tenant) > MAX_TENANT_LENGTH or not is_unicode(tenant):
            raise InvalidMessageError(
                f"expected the header customer in UTF-8 with at most {MAX_TENANT_LENGTH} characters, "
                f"got {tenant[:MAX_SHOWN_LENGTH]!r}"
            )
        if self._tenants and tenant not in self._tenants:
            raise InvalidMessageError(f"unknown customer {tenant[:MAX_SHOWN_LENGTH]!r}")
        return tenant

    def _deadline_at(self, properties: Properties, created_at_ms: float, class_index: int) -> float:
        expiration = properties.expiration
        if expiration is None:
            return created_at_ms + self._classes[class_index].deadline_ms
        if not (expiration.isascii() and expiration.isdecimal()):
            shown = expiration[:MAX_SHOWN_LENGTH]
            raise InvalidMessageError(f"expected an expiration in whole milliseconds, got {shown!r}")
        return created_at_ms + min(float(expiration), MAX_EXPIRATION_MS)


def _check_message_id(properties: Properties, class_name: str) -> None:
    """Raise ``InvalidMessageError`` if a message of a keyed class has no message-id that can become part of a key."""
    message_id = properties.message_id
    if not message_id:
        raise InvalidMessageError(f"{class_name} requires a message-id, without which a duplicate could be executed")
    if not is_unicode(message_id):
        raise InvalidMessageError(f"expected a message-id in UTF-8, got {message_id!r}")


def _kind(value: object) -> str:
    """Return the name of the type of a header's value, for a message to its sender."""
    return {dict: "table", list: "array", bytes: "byte array"}.get(type(value), type(value).__name__)


def _created_at_ms(properties: Properties) -> float:
    """Return Unix ms from the header in milliseconds, else from the property in seconds, or 0 if neither is set."""
    header_ms = properties.headers.get(content.CREATED_AT_HEADER)
    if isinstance(header_ms, int) and not isinstance(header_ms, bool) and header_ms > 0:
        return float(header_ms)
    return properties.timestamp * 1000.0 if properties.timestamp else 0.0


def _memory_kb(properties: Properties, queue: Queue) -> float:
    size_kb = properties.headers.get(content.MEMORY_HEADER, queue.request_memory_kb)
    if isinstance(size_kb, bool) or not isinstance(size_kb, int | float) or not 0 < size_kb < MAX_REQUEST_MEMORY_KB:
        shown = repr(size_kb)[:MAX_SHOWN_LENGTH]
        raise InvalidMessageError(f"expected a size above 0 and below {MAX_REQUEST_MEMORY_KB:g} KB, got {shown}")
    return float(size_kb)
