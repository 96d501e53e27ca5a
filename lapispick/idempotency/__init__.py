"""Idempotency keys: the table of their records and which process of a worker host may run them. No I/O, no clock."""
