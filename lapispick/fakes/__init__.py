"""Fakes of all that a worker host talks to, for tests, benchmarks and the demo.

No module that a worker host loads imports this package.
"""
