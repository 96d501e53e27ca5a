"""Connection between the two processes of one worker host during an upgrade.

Both processes use the same folder. It contains a lock whose holder owns the idempotency keys, a lock for the one
process that may become the next owner, and a Unix socket (``key_lock``, ``unix_socket``). Over the Unix socket, the
newer process receives the listening socket itself, so that connections in the kernel's queue are not lost
(``handshake``). After that, the processes exchange the messages of ``lapispick/handover/messages.py`` (``peer_link``,
``service``).
"""
