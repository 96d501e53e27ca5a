"""Reply codes and errors of the AMQP 0-9-1 front."""

from __future__ import annotations

from enum import IntEnum

from lapispick.host.errors import HostError


class ReplyCode(IntEnum):
    """Reply codes of the specification that this client sends."""

    SUCCESS = 200
    FRAME_ERROR = 501
    SYNTAX_ERROR = 502
    COMMAND_INVALID = 503
    CHANNEL_ERROR = 504
    UNEXPECTED_FRAME = 505


class AmqpError(HostError):
    """The base of the errors of this package."""


class CodecError(AmqpError):
    """Received bytes do not follow the specification."""

    reply_code = ReplyCode.SYNTAX_ERROR


class ConnectionClosedError(AmqpError):
    """The broker closed the connection, or it can't continue; ``reply_code`` is sent to the broker where it is set."""

    def __init__(self, text: str, reply_code: ReplyCode | None = None) -> None:
        super().__init__(text)
        self.reply_code = reply_code


class InvalidMessageError(AmqpError):
    """A message can't be turned into a request."""
