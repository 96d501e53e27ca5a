"""A JSON-RPC connection of a gateway to a worker host."""

import base64
import contextlib
import json
import socket

from lapispick.fakes.messages import request_params
from lapispick.fakes.waiting import TIMEOUT_S

MISBEHAVIOUR_DEADLINE_S = 3.0  # within this a misbehaving client must receive a rejection, an error or a close
CLOSED = "closed"  # follows the last message if the connection was closed


class GatewayConnection:
    """A gateway's end of a connection; it sends requests on a socket and stores their answers by request id."""

    def __init__(self, sock):
        self.sock = sock
        self.file = sock.makefile("rb")
        self.last_id = 0
        self.answers = {}  # request id -> message
        self.goaway_received = False

    @classmethod
    def connect(cls, address):
        """Connect to a worker host."""
        host, port = address.split(":")
        return cls(socket.create_connection((host, int(port)), timeout=TIMEOUT_S))

    def send(self, method, **params):
        """Send a request with the given parameters and return its id."""
        self.last_id += 1
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
        self.send_line(json.dumps(message).encode())
        return self.last_id

    def send_line(self, line):
        """Send bytes unchanged, followed by a line feed."""
        self.sock.sendall(line + b"\n")

    def cancel(self, request_id):
        """Tell the host that the client has cancelled a request."""
        message = {"jsonrpc": "2.0", "method": "giveUp", "params": {"id": request_id}}
        self.send_line(json.dumps(message).encode())

    def request_line(self, method, body="x", request_id=1, **overrides):
        """Return a request as a line, with some parameters overridden; fields and parameters of None are left out."""
        params = {key: value for key, value in request_params(body, **overrides).items() if value is not None}
        message = {"jsonrpc": "2.0", "id": request_id, "method": method, "params": params}
        return json.dumps({key: value for key, value in message.items() if value is not None}).encode()

    def request(self, method, body, nonce=None, **overrides):
        """Send a request with an optional idempotency key and return its id; the method is the request class."""
        key = {"nonce": nonce} if nonce else {}
        return self.send(method, **request_params(body, **overrides), **key)

    def read(self):
        """Read one message and store it if it is an answer; fails on a second answer to the same request."""
        line = self.file.readline()
        assert line, "the connection was closed"
        message = json.loads(line)
        if message.get("method") == "goaway":
            self.goaway_received = True
        else:
            assert message["id"] not in self.answers, f"request {message['id']} was answered twice"
            self.answers[message["id"]] = message
        return message

    def answer(self, request_id):
        """Wait for the answer to a request and return it."""
        while request_id not in self.answers:
            self.read()
        return self.answers[request_id]

    def result(self, request_id):
        """Wait until a request is served and return its result."""
        return base64.b64decode(self.answer(request_id)["result"]["doc"]).decode()

    def error_code(self, request_id):
        """Wait until a request is rejected or fails and return its error code."""
        return self.answer(request_id)["error"]["code"]

    def is_healthy(self):
        """Send a health check and return True if the host answers that it is healthy."""
        return self.answer(self.send("probe"))["result"]["healthy"]

    def read_until_quiet(self, within_s):
        """Return the messages up to a silence of ``within_s``, followed by ``CLOSED`` if the connection was closed.

        Waits up to ``MISBEHAVIOUR_DEADLINE_S`` for the first message.
        """
        messages = []
        self.sock.settimeout(MISBEHAVIOUR_DEADLINE_S)
        with contextlib.suppress(OSError):
            self.file.peek(1)
        self.sock.settimeout(within_s)
        with contextlib.suppress(TimeoutError):
            try:
                while line := self.file.readline():
                    messages.append(json.loads(line))
                messages.append(CLOSED)
            except ConnectionError:
                messages.append(CLOSED)
        return messages
