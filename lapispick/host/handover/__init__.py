"""The connection between the two processes of one worker host during an upgrade.

Both processes use one folder. It holds a lock whose holder owns the idempotency keys, a lock for the one process that
may come next, and a Unix socket (``key_lock``, ``unix_socket``). Over the socket the newer process receives the
listening socket itself, so that no connection is lost that the kernel has queued there (``handshake``), and then the
messages of ``lapispick/handover/messages.py`` (``peer_link``, ``service``).
"""
