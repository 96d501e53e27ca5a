"""Messages of the platform's JSON-RPC 2.0 protocol: their fields, error codes and value bounds.

The platform defines the field names on the wire. They are mapped to the names of this program here and nowhere else.
"""

from __future__ import annotations

import binascii
import re
import time
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import TYPE_CHECKING, Literal

import msgspec

from lapispick import admission
from lapispick.host.errors import HostError
from lapispick.host.requests import MAX_BODY_BYTES, MAX_REQUEST_MEMORY_KB, Answer, Request
from lapispick.json_decoding import json_decoder, whole_number

if TYPE_CHECKING:
    Fields = dict[str, str | float | bool | None]  # of a result or of the data of an error

MAX_MESSAGE_AGE_MS = 60_000.0  # since a request reached the machine
MAX_CLOCK_SKEW_MS = 1000.0
MAX_TIMEOUT_DEADLINE_RATIO = 10.0  # timeout / deadline of the request class; no gateway waits longer
MAX_GATEWAY_NUMBER = (1 << 32) - 1
MAX_MESSAGE_ID = (1 << 53) - 1  # the largest integer that JSON numbers (doubles) represent exactly
ATTEMPT_ID_LENGTH = 16
IDEMPOTENCY_KEY_LENGTH = 32
MAX_UNUSED_PARAMS_LENGTH = 256  # in characters, of parameters that this program does not read, such as ``entity``
MAX_CHARACTER_BYTES = 6  # of a UTF-16 code unit as the escape \\uXXXX, its longest form in JSON
ATTEMPT_ID = re.compile(f"[0-9a-fA-F]{{{ATTEMPT_ID_LENGTH}}}")
IDEMPOTENCY_KEY = re.compile(f"[0-9a-fA-F]{{{IDEMPOTENCY_KEY_LENGTH}}}")
HEALTH_CHECK_METHOD = "probe"
CANCEL_METHOD = "giveUp"
GOAWAY = b'{"jsonrpc":"2.0","method":"goaway"}\n'


class ErrorCode(IntEnum):
    """Codes of error answers; the codes above -32100 are specific to the platform."""

    PARSE_ERROR = -32700
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    FAILED = -32000
    REJECTED = -32050


class InvalidMessageError(HostError):
    """Error for a message with a value outside the protocol's bounds; its text is sent to the peer."""


class Params(msgspec.Struct):
    """Parameters of all messages; each method uses some of them."""

    attempt_id: str = msgspec.field(default="", name="trace")
    created_at_ms: float = msgspec.field(default=0.0, name="born")  # Unix time at which the request reached the machine
    gateway: int | float = msgspec.field(default=0, name="client")
    tenant: str = msgspec.field(default="", name="customer")
    timeout_ms: float | None = msgspec.field(default=None, name="patience")
    is_retry: int | float = msgspec.field(default=0, name="redo")  # 0 or 1
    memory_kb: float = msgspec.field(default=0.0, name="size")
    rank: float = msgspec.field(default=-1.0, name="order")
    idempotency_key: str = msgspec.field(default="", name="nonce")
    body: str | None = msgspec.field(default=None, name="doc")  # base64
    is_deep: bool = msgspec.field(default=False, name="thorough")  # for health checks
    cancelled_id: int | float | None = msgspec.field(default=None, name="id")  # for cancel messages

    def __post_init__(self) -> None:
        """Convert whole numbers to ``int``."""
        if type(self.gateway) is float:
            self.gateway = whole_number(self.gateway)
        if self.is_retry not in (0, 1):
            raise ValueError("expected 0 or 1 as redo")
        if type(self.cancelled_id) is float:
            self.cancelled_id = whole_number(self.cancelled_id)


class Message(msgspec.Struct):
    """Request or notification."""

    jsonrpc: Literal["2.0"]
    method: str
    id: int | float | None = None
    params: Params = msgspec.field(default_factory=Params)

    def __post_init__(self) -> None:
        """Convert the id to ``int``."""
        if type(self.id) is float:
            self.id = whole_number(self.id)


class MessageId(msgspec.Struct):
    """Id of a message whose other fields are invalid."""

    id: int | float | None = None

    def __post_init__(self) -> None:
        """Convert the id to ``int``."""
        if type(self.id) is float:
            self.id = whole_number(self.id)


decode = json_decoder(Message)
decode_id = json_decoder(MessageId)
encode = msgspec.json.Encoder().encode


def max_message_bytes(class_names: Iterable[str], tenants: Iterable[str]) -> int:
    """Return the length in bytes of the longest valid message in the longest form that JSON allows for its strings.

    Each character of a string may be written as an escape. Counting the other characters likewise leaves room for white
    space and for numbers with many digits, whose length JSON does not limit.
    """
    longest = Message(
        "2.0",
        method=max(class_names, key=_code_unit_count),
        id=MAX_MESSAGE_ID,
        params=Params(
            attempt_id="0" * ATTEMPT_ID_LENGTH,
            created_at_ms=time.time() * 1000,
            gateway=MAX_GATEWAY_NUMBER,
            tenant=max(tenants, key=_code_unit_count, default=""),
            timeout_ms=MAX_MESSAGE_AGE_MS,
            memory_kb=MAX_REQUEST_MEMORY_KB,
            idempotency_key="0" * IDEMPOTENCY_KEY_LENGTH,
            body=binascii.b2a_base64(bytes(MAX_BODY_BYTES), newline=False).decode(),
            cancelled_id=MAX_MESSAGE_ID,
        ),
    )
    character_count = _code_unit_count(encode(longest).decode()) + MAX_UNUSED_PARAMS_LENGTH
    return character_count * MAX_CHARACTER_BYTES


def _code_unit_count(text: str) -> int:
    """Return the number of UTF-16 code units of a text; JSON needs one escape for each."""
    return len(text.encode("utf-16-le")) // 2


def validate(params: Params, settings: admission.ClassSettings, tenants: set[str], needs_timeout: bool) -> None:
    """Raise ``InvalidMessageError`` if a value is outside the protocol's bounds; no other code checks these bounds."""
    if not ATTEMPT_ID.fullmatch(params.attempt_id):
        raise InvalidMessageError("trace must be 16 hex digits")
    age_ms = time.time() * 1000 - params.created_at_ms
    if not -MAX_CLOCK_SKEW_MS <= age_ms <= MAX_MESSAGE_AGE_MS:
        raise InvalidMessageError("born must be a time of the last minute, in Unix milliseconds")
    timeout_ms = params.timeout_ms
    if timeout_ms is None and needs_timeout:
        raise InvalidMessageError("patience is needed")
    if timeout_ms is not None and not 0 < timeout_ms <= MAX_TIMEOUT_DEADLINE_RATIO * settings.deadline_ms:
        raise InvalidMessageError("patience must be above 0 and no more than any client waits")
    if not 0 <= params.gateway <= MAX_GATEWAY_NUMBER:
        raise InvalidMessageError("client must be the number of a gateway")
    if tenants and params.tenant not in tenants:
        raise InvalidMessageError("there is no such customer")
    if not 0 < params.memory_kb < MAX_REQUEST_MEMORY_KB:
        raise InvalidMessageError("size must be above 0 and under 2,000")
    if not 0 <= params.rank < 1:
        raise InvalidMessageError("order must be from 0 to under 1")
    is_keyed = settings.idempotency is admission.Idempotency.KEYED
    if is_keyed and not IDEMPOTENCY_KEY.fullmatch(params.idempotency_key):
        raise InvalidMessageError("a keyed class needs a nonce of 32 hex digits")
    _validate_body(params.body)


def _validate_body(body: str | None) -> None:
    try:
        size = len(binascii.a2b_base64(body or "", strict_mode=True))
    except (binascii.Error, ValueError):
        raise InvalidMessageError("doc is not base64") from None
    if body is None or size > MAX_BODY_BYTES:
        raise InvalidMessageError(f"doc holds {size} bytes")


def build_request(
    message: Message, class_index: int, retries_are_marked: bool, reply: Callable[[Answer], None]
) -> Request:
    """Return the request for the core that a valid message describes."""
    params = message.params
    return Request(
        request_id=params.attempt_id,
        class_name=message.method,
        class_index=class_index,
        body=params.body or "",
        created_at=params.created_at_ms,
        arrived_at=params.created_at_ms,
        deadline_at=params.created_at_ms + params.timeout_ms if params.timeout_ms else 0.0,
        request_memory_kb=params.memory_kb,
        rank=params.rank,
        caller=params.gateway,
        idempotency_key=("nonce", params.idempotency_key) if params.idempotency_key else None,
        tenant=params.tenant,
        is_retry=bool(params.is_retry),
        retries_are_marked=retries_are_marked,
        reply=reply,
    )


def rejection_data(answer: Answer) -> Fields:
    """Return the data fields of the error that rejects a request."""
    data: Fields = {}
    if answer.retry_after_ms > 0:
        data["pause"] = round(answer.retry_after_ms, 1)
    if answer.no_retry:
        data["terminal"] = 1
    return data


def encode_result(message_id: int, result: Fields, backpressure: float | None) -> bytes:
    """Encode a result message as one line; the backpressure value is added to ``result``."""
    if backpressure is not None:
        result["advice"] = backpressure
    return encode({"jsonrpc": "2.0", "id": message_id, "result": result}) + b"\n"


def encode_error(message_id: int | None, code: ErrorCode, text: str, data: Fields, backpressure: float | None) -> bytes:
    """Encode an error message as one line; the backpressure value is added to ``data``."""
    if backpressure is not None:
        data["advice"] = backpressure
    error = {"code": code, "message": text, "data": data}
    return encode({"jsonrpc": "2.0", "id": message_id, "error": error}) + b"\n"
