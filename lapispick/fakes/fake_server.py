"""Base of fake peers that accept TCP connections."""

import contextlib
import socket
import threading

from lapispick.fakes.ports import LOOPBACK, bind_in_own_range
from lapispick.host.amqp.errors import CodecError

OLD_LISTENER_CLOSES_AFTER_S = 0.3
OLD_CONNECTIONS_CLOSE_AFTER_S = 1.5


def has_ended(connection):
    """Tell whether the peer has closed a connection, and nothing of it is left to read."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False


class ByteByByteSocket:
    """A socket that sends each byte by itself."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        for byte in data:
            self._sock.sendall(bytes([byte]))


class FakeServer:
    """Accepts connections on a loopback port of the test worker's range, each served by a thread of its own."""

    byte_by_byte = False  # send each byte by itself

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
        """Accept connections of the present listener in a thread."""
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def serve(self, connection):
        """Serve one connection until it ends; for subclasses."""
        raise NotImplementedError

    def relocate(self, break_connections=True):
        """Go on at a new address; the old listener and, by default, its connections are closed a little later."""
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
        """Break connections, by default all."""
        broken = list(self.connections) if connections is None else connections
        for connection in broken:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            if connection in self.connections:
                self.connections.remove(connection)

    def close(self):
        """Stop listening and break all connections."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # or the thread that accepts would keep it open
        self.sock.close()
        self.disconnect()
