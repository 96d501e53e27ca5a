"""Reply codes and errors of the AMQP 0-9-1 front."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from lapispick.host.errors import HostError

if TYPE_CHECKING:
    from lapispick.host.amqp.content import Properties


class ReplyCode(IntEnum):
    """Reply codes that this client sends, with the names and numbers of the specification."""

    SUCCESS = 200
    FRAME_ERROR = 501
    SYNTAX_ERROR = 502
    COMMAND_INVALID = 503
    CHANNEL_ERROR = 504
    UNEXPECTED_FRAME = 505


class AmqpError(HostError):
    """Base class of the errors of this package."""


class CodecError(AmqpError):
    """Error for received bytes that violate the specification, and for strings that are too long to encode."""

    reply_code = ReplyCode.SYNTAX_ERROR


class MalformedPropertiesError(CodecError):
    """Error for a content header of which some properties can't be decoded; the others are in ``properties``."""

    def __init__(self, text: str, properties: Properties) -> None:
        super().__init__(text)
        self.properties = properties


class ConnectionClosedError(AmqpError):
    """Error that ends a connection: the broker closed it, or it can't continue.

    If ``reply_code`` is set, it is sent to the broker together with the text.
    """

    def __init__(self, text: str, reply_code: ReplyCode | None = None) -> None:
        super().__init__(text)
        self.reply_code = reply_code


class InvalidMessageError(AmqpError):
    """Error for a message that can't be turned into a request."""
