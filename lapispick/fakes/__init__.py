"""Stand-ins for all that the worker host talks to, for tests, measurements and the first try.

Nothing that a worker host imports imports this.
"""
