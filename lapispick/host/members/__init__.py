"""I/O of cluster membership: datagrams, streams, the accepted list, operators' calls and logs.

The decisions are in ``lapispick/members/``. Serving requests never waits for this package, and it is imported only if
the settings enable it. A process that starts while an older process of its host still runs joins only after the older
one has ended, because both use the host's address.
"""
