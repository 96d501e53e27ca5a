"""A gateway's connections to one worker host, as the protocol has them: bounded open requests, goaway obeyed."""

import contextlib
import json
import socket
import threading

OPEN_MOST = 32  # requests on one connection; a host may close one that asks for more
CLOSED = None  # in place of an answer: the connection ended without one


class Link:
    """One connection, with a thread that reads it and says what came of each request."""

    def __init__(self, at, heard):
        host, port = at.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=5)
        self.sock.settimeout(None)
        self.lock, self.open, self.last, self.away, self.over = threading.Lock(), {}, 0, False, False
        self._heard, self._sending = heard, threading.Lock()
        threading.Thread(target=self._read, daemon=True).start()

    def takes(self):
        return not self.over and not self.away and len(self.open) < OPEN_MOST

    def send(self, method, token, params):
        """Send a request; False where the connection had ended, and nothing of it was sent."""
        with self._sending:  # ids count up on the wire too
            with self.lock:
                if not self.takes():
                    return False
                self.last += 1
                self.open[self.last] = token
            message = {"jsonrpc": "2.0", "id": self.last, "method": method, "params": params}
            with contextlib.suppress(OSError):  # the reader sees the end too, and says so of all that was open
                self.sock.sendall(json.dumps(message).encode() + b"\n")
        return True

    def _read(self):
        with contextlib.suppress(OSError, ValueError):
            for line in self.sock.makefile("rb"):
                if not line.endswith(b"\n"):
                    break
                self._took(json.loads(line))
        with self.lock:
            self.over, left, self.open = True, list(self.open.values()), {}
        for token in left:
            self._heard(token, CLOSED)
        self.sock.close()

    def _took(self, message):
        if message.get("method") == "goaway":
            self.away = True
        else:
            with self.lock:
                token = self.open.pop(message["id"], None)
            self._heard(token, message)
        if self.away and not self.open:
            self.close()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class Pool:
    """As many connections as what is open needs. ``heard(token, answer)`` is called by reading threads.

    The answer is ``CLOSED`` where a connection ended without one. A token of None is an answer that nobody asked for.
    """

    def __init__(self, at, heard):
        self.at, self._heard, self._links, self._lock = at, heard, [], threading.Lock()

    @property
    def links(self):
        return list(self._links)

    def ask(self, method, token, params):
        """Send a request on a connection with room; raises ``OSError`` where the host accepts none."""
        while True:
            with self._lock:
                self._links = [link for link in self._links if not link.over]
                link = next((each for each in self._links if each.takes()), None)
                if link is None:
                    link = Link(self.at, self._heard)
                    self._links.append(link)
            if link.send(method, token, params):
                return link

    def close(self):
        for link in self.links:
            link.close()
