"""Idempotency keys: the table of their records, and which process of a worker host may execute a keyed request.

No I/O, no clock.
"""
