"""Idempotency records that survive restarts of a host, in an SQLite database. Not connected to the host yet."""
