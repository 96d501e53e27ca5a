"""Base class of the fake peers that accept TCP connections."""

import contextlib
import socket
import threading

from lapispick.fakes.ports import LOOPBACK, bind_in_own_range
from lapispick.host.amqp.errors import CodecError

OLD_LISTENER_CLOSES_AFTER_S = 0.3
OLD_CONNECTIONS_CLOSE_AFTER_S = 1.5


def is_closed_by_peer(connection):
    """Return True if the peer has closed a connection and all its data was read."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False


class ByteByByteSocket:
    """A socket that sends each byte in a separate call."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        for byte in data:
            self._sock.sendall(bytes([byte]))


class FakeServer:
    """A server on a loopback port of the test process's range, with one thread for each connection."""

    byte_by_byte = False  # send each byte in a separate call

    def __init__(self):
        self.lock = threading.RLock()
        self.connections = []
        self.reset_count = 0
        self.listen()

    def listen(self):
        """Listen at a new address."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        port = bind_in_own_range(self.sock)
        self.sock.listen()
        self.address = f"{LOOPBACK}:{port}"
        self.start_accepting()

    def start_accepting(self):
        """Accept connections on the current listener in a thread."""
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def serve(self, connection):
        """Serve one connection until it ends; subclasses implement this."""
        raise NotImplementedError

    def relocate(self, break_connections=True):
        """Listen at a new address, and close the old listener and, by default, its connections shortly afterwards."""
        old_listener = self.sock
        old_connections = list(self.connections)
        self.listen()
        threading.Timer(OLD_LISTENER_CLOSES_AFTER_S, old_listener.shutdown, (socket.SHUT_RDWR,)).start()
        if break_connections:
            threading.Timer(OLD_CONNECTIONS_CLOSE_AFTER_S, self.disconnect, (old_connections,)).start()

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a reply must not wait for an ACK
            if self.byte_by_byte:
                connection = ByteByByteSocket(connection)
            self.connections.append(connection)
            threading.Thread(target=self._serve_until_closed, args=(connection,), daemon=True).start()

    def _serve_until_closed(self, connection):
        try:
            self.serve(connection)
        except ConnectionResetError:
            self.reset_count += 1
        except (OSError, ValueError, CodecError):
            pass
        finally:
            connection.close()

    def disconnect(self, connections=None):
        """Break the given connections, by default all."""
        connections_to_break = list(self.connections) if connections is None else connections
        for connection in connections_to_break:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            if connection in self.connections:
                self.connections.remove(connection)

    def close(self):
        """Stop listening and break all connections."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # ends the accept call, which would keep the socket open
        self.sock.close()
        self.disconnect()
