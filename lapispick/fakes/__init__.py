"""Fakes of the peers of a worker host, for tests, benchmarks and the demo.

No module that a worker host loads may import this package.
"""
