"""A gateway's connections to one worker host, as the protocol has them: bounded open requests, goaway obeyed."""

import contextlib
import json
import socket
import threading

MAX_OPEN_REQUESTS = 32  # on one connection; a host may close one with more
CONNECT_TIMEOUT_S = 5
CLOSED = None  # in place of an answer: the connection ended without one


class PoolConnection:
    """One connection, with a thread that reads it and calls ``on_answer(token, answer)`` for each request."""

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
        """Tell whether the connection takes one more request."""
        return not self.is_closed and not self.goaway_received and len(self.open_tokens) < MAX_OPEN_REQUESTS

    def send(self, method, token, params):
        """Send a request; False where the connection had ended, and nothing of it was sent."""
        with self._send_lock:  # ids count up on the wire too
            with self.lock:
                if not self.has_capacity():
                    return False
                self.last_id += 1
                self.open_tokens[self.last_id] = token
            message = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
            with contextlib.suppress(OSError):  # the reader notices the end too, and reports all that was open
                self.sock.sendall(json.dumps(message).encode() + b"\n")
        return True

    def _read(self):
        with contextlib.suppress(OSError, ValueError):
            for line in self.sock.makefile("rb"):
                if not line.endswith(b"\n"):
                    break
                self._take(json.loads(line))
        with self.lock:
            self.is_closed = True
            unanswered = list(self.open_tokens.values())
            self.open_tokens = {}
        for token in unanswered:
            self._on_answer(token, CLOSED)
        self.sock.close()

    def _take(self, message):
        if message.get("method") == "goaway":
            self.goaway_received = True
        else:
            with self.lock:
                token = self.open_tokens.pop(message["id"], None)
            self._on_answer(token, message)
        if self.goaway_received and not self.open_tokens:
            self.close()

    def close(self):
        """Shut the connection down; its reader ends."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class ConnectionPool:
    """As many connections as the open requests need. Threads that read call ``on_answer(token, answer)``.

    The answer is ``CLOSED`` where a connection ended without one. A token of None is an answer that nobody asked for.
    """

    def __init__(self, address, on_answer):
        self.address = address
        self._on_answer = on_answer
        self._connections = []
        self._lock = threading.Lock()

    def send_request(self, method, token, params):
        """Send a request on a connection with capacity; raises ``OSError`` where the host accepts none."""
        while True:
            connection = self._connection_with_capacity()
            if connection.send(method, token, params):
                return connection

    def _connection_with_capacity(self):
        with self._lock:
            self._connections = [each for each in self._connections if not each.is_closed]
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
