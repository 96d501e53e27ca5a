"""Decision logic of cluster membership, quorum leases and gossiped facts of the worker hosts. No I/O, no clock."""
