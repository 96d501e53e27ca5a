"""A gateway's pool of connections to one worker host.

As the protocol requires, the number of open requests on a connection is bounded, and no request is sent after a goaway.
"""

import contextlib
import json
import socket
import threading

MAX_OPEN_REQUESTS = 32  # on one connection; a host may close a connection with more
CONNECT_TIMEOUT_S = 5
CLOSED = None  # instead of an answer: the connection ended before the answer arrived


class PoolConnection:
    """A connection with a reader thread, which calls ``on_answer(token, answer)`` for each request."""

    def __init__(self, address, on_answer):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a request must not wait for an ACK
        self.lock = threading.Lock()
        self.open_tokens = {}  # request id -> token
        self.last_id = 0
        self.goaway_received = False
        self.is_closed = False
        self._on_answer = on_answer
        self._send_lock = threading.Lock()
        threading.Thread(target=self._read, daemon=True).start()

    def has_capacity(self):
        """Return True if another request may be sent on the connection."""
        return not self.is_closed and not self.goaway_received and len(self.open_tokens) < MAX_OPEN_REQUESTS

    def send(self, method, token, params):
        """Send a request; return False, with nothing sent, if the connection has no capacity."""
        with self._send_lock:  # requests must be sent in the order of their ids
            with self.lock:
                if not self.has_capacity():
                    return False
                self.last_id += 1
                self.open_tokens[self.last_id] = token
            message = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
            with contextlib.suppress(OSError):  # the reader detects the end too and reports all open requests
                self.sock.sendall(json.dumps(message).encode() + b"\n")
        return True

    def _read(self):
        with contextlib.suppress(OSError, ValueError):
            for line in self.sock.makefile("rb"):
                if not line.endswith(b"\n"):
                    break
                self._handle_message(json.loads(line))
        with self.lock:
            self.is_closed = True
            unanswered = list(self.open_tokens.values())
            self.open_tokens = {}
        for token in unanswered:
            self._on_answer(token, CLOSED)
        self.sock.close()

    def _handle_message(self, message):
        if message.get("method") == "goaway":
            self.goaway_received = True
        else:
            with self.lock:
                token = self.open_tokens.pop(message["id"], None)
            self._on_answer(token, message)
        if self.goaway_received and not self.open_tokens:
            self.close()

    def close(self):
        """Shut the connection down, which ends its reader thread."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class ConnectionPool:
    """A pool of as many connections to a worker host as the open requests need.

    The reader threads call ``on_answer(token, answer)``. The answer is ``CLOSED`` if the connection ended before it
    arrived. The token is None for an answer that belongs to no open request.
    """

    def __init__(self, address, on_answer):
        self.address = address
        self._on_answer = on_answer
        self._connections = []
        self._lock = threading.Lock()

    def send_request(self, method, token, params):
        """Send a request on a connection with capacity; raises ``OSError`` if the host refuses a new connection."""
        while True:
            connection = self._connection_with_capacity()
            if connection.send(method, token, params):
                return connection

    def _connection_with_capacity(self):
        with self._lock:
            self._connections = [connection for connection in self._connections if not connection.is_closed]
            for connection in self._connections:
                if connection.has_capacity():
                    return connection
            connection = PoolConnection(self.address, self._on_answer)
            self._connections.append(connection)
            return connection

    def close(self):
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()
