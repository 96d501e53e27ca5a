"""Durable idempotency records in an SQLite database, which survive restarts of a host. The host does not use it yet."""
