"""The base of the errors that this package raises."""


class HostError(Exception):
    """What went wrong in the worker host's own parts; subclasses say what."""
