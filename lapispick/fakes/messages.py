"""Parts of the messages that gateways and executors send."""

import base64
import random
import time

REJECTED_CODE = -32050  # JSON-RPC error code: the request was rejected without being executed


def encode_base64(body):
    """Return text or bytes encoded in base64, as text."""
    return base64.b64encode(body.encode() if isinstance(body, str) else body).decode()


def make_idempotency_key(rng=random):
    """Return a new idempotency key."""
    return f"{rng.getrandbits(128):032x}"


def request_params(body="x", **overrides):
    """Return the parameters of a JSON-RPC request, with some of them overridden."""
    return {
        "trace": f"{random.getrandbits(64):016x}",
        "born": time.time() * 1000,
        "client": 1,
        "customer": "shop",
        "patience": 4000,
        "size": 20.0,
        "order": 0.5,
        "doc": encode_base64(body),
        **overrides,
    }
