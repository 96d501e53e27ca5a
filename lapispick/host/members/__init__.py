"""The I/O of cluster membership: datagrams, streams, the accepted list, operators' calls and logs.

The decisions are in ``lapispick/members/``. Nothing that serves requests waits for any of it, and it is imported only
where the settings enable it. A process that starts beside an older one of its host joins once that one has ended, for
the address belongs to the host.
"""
