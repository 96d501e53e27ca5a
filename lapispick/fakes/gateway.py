"""One JSON-RPC connection of a gateway to a worker host."""

import base64
import contextlib
import json
import socket

from lapispick.fakes.messages import request_params
from lapispick.fakes.waiting import TIMEOUT_S

MISBEHAVIOUR_DEADLINE_S = 3.0  # by then a misbehaving client has its rejection, error or close
CLOSED = "closed"  # in place of a message


class GatewayConnection:
    """Sends requests one by one on a connected socket and keeps their answers."""

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
        """Send a request with these parameters and return its id."""
        self.last_id += 1
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
        self.send_line(json.dumps(message).encode())
        return self.last_id

    def send_line(self, line):
        """Send bytes as they are, with an end of line."""
        self.sock.sendall(line + b"\n")

    def cancel(self, number):
        """Tell the host that nobody waits for a request any more."""
        message = {"jsonrpc": "2.0", "method": "giveUp", "params": {"id": number}}
        self.send_line(json.dumps(message).encode())

    def request_line(self, method, body="x", number=1, **over):
        """Return a request as a line, with changes; what is changed to None is left out."""
        params = {key: value for key, value in request_params(body, **over).items() if value is not None}
        message = {"jsonrpc": "2.0", "id": number, "method": method, "params": params}
        return json.dumps({key: value for key, value in message.items() if value is not None}).encode()

    def request(self, method, body, nonce=None, **over):
        """Send a request of a class with a body and perhaps an idempotency key; return its id."""
        key = {"nonce": nonce} if nonce else {}
        return self.send(method, **request_params(body, **over), **key)

    def read(self):
        """Read one message; an answer is kept under its id, and a second one for an id is a failure."""
        line = self.file.readline()
        assert line, "the connection was closed"
        message = json.loads(line)
        if message.get("method") == "goaway":
            self.goaway_received = True
        else:
            assert message["id"] not in self.answers
            self.answers[message["id"]] = message
        return message

    def answer(self, number):
        """Wait for the answer to a request."""
        while number not in self.answers:
            self.read()
        return self.answers[number]

    def result(self, number):
        """Wait for the result of a request that was served."""
        return base64.b64decode(self.answer(number)["result"]["doc"]).decode()

    def error_code(self, number):
        """Wait for the error code of a request that was rejected or failed."""
        return self.answer(number)["error"]["code"]

    def is_healthy(self):
        """Ask for the health of the host, and return it."""
        return self.answer(self.send("probe"))["result"]["healthy"]

    def read_until_quiet(self, within_s):
        """Return the messages until none comes for a while, and ``CLOSED`` after them; the first is waited for."""
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
