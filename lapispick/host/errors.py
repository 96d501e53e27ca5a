"""The base class of this package's errors."""


class HostError(Exception):
    """Base of the errors that parts of the worker host raise."""
