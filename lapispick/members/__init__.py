"""Cluster membership, quorum leases and gossiped facts of the worker hosts: decisions only, without I/O or clocks."""
