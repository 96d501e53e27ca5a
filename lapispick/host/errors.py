"""The base class of the worker host's errors."""


class HostError(Exception):
    """Base class of the errors that are raised by parts of the worker host."""
