"""Requests within the protocol's figures are served in any form that JSON allows, and long ones fit into the memory."""

import json
import socket
import time

import pytest

from lapispick.fakes.messages import request_params
from lapispick.host.requests import MAX_BODY_BYTES

FULL_BODY = "x" * MAX_BODY_BYTES
MANY_SOCKETS = 1024
MAX_LINE_BYTES = 20_000  # about the longest valid request


def with_escapes(message):
    """Return a message as a line of JSON in which each character of each string, also of the keys, is an escape."""

    def encode(value):
        if isinstance(value, dict):
            return "{" + ",".join(f"{encode(key)}:{encode(item)}" for key, item in value.items()) + "}"
        if isinstance(value, str):
            return '"' + "".join(f"\\u{ord(character):04X}" for character in value) + '"'
        return json.dumps(value)

    line = encode(message)
    assert json.loads(line) == message
    return line.encode()


def full_request(**overrides):
    """Return a request with a body of the full size and with all parameters."""
    params = request_params(FULL_BODY, entity="7f3a9c21e0b4d655", nonce="5c0f6e1a2b3d4c59a8b7c6d5e4f30211", redo=0)
    return {"jsonrpc": "2.0", "id": 1, "method": "book", "params": {**params, **overrides}}


def test_a_full_body_written_with_json_escapes_is_served(host):
    # Guards against a bound on the line that counts the base64 of a body and not the forms in which JSON may write it.
    worker = host()
    gateway = worker.gateway()
    beside = gateway.request("track", "beside")
    message = full_request() | {"id": beside + 1}
    gateway.send_line(with_escapes(message))
    assert "result" in gateway.answer(beside + 1)
    assert "result" in gateway.answer(beside)
    assert len(worker.executor.runs_of(FULL_BODY)) == 1


@pytest.mark.parametrize("written", ["7.0", "7e0", "70E-1"])
def test_whole_numbers_in_any_form_are_read_and_the_answer_has_the_id(host, written):
    # Guards against a decoder of integers that rejects 7.0, so that the answer has no id and the request is lost.
    gateway = host().gateway()
    line = json.dumps(full_request(redo="REDO", client="CLIENT") | {"id": "ID"}).replace('"ID"', written)
    gateway.send_line(line.replace('"REDO"', "0.0").replace('"CLIENT"', "1.0").encode())
    assert "result" in gateway.answer(7)


def test_notices_whose_index_is_written_as_a_float_end_their_runs(host):
    # Guards against a decoder that drops such a notice, so that the request gets no answer before its deadline.
    worker = host()
    worker.executor.index_type = float
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "x")) == "did x"


def test_text_that_is_not_unicode_in_a_parameter_is_answered_under_the_id(host):
    # Guards against a decoder whose failure in one parameter leaves the answer without the readable id.
    gateway = host().gateway()
    line = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "track", "params": request_params(customer="CUSTOMER")})
    gateway.send_line(line.encode().replace(b"CUSTOMER", b"Flor\xe3ria"))
    assert "error" in gateway.answer(1)


def test_half_written_long_messages_on_hundreds_of_connections_stay_within_the_memory_limit(host):
    # Guards against a longer bound on messages with which slow clients fill the memory of the process.
    worker = host(limits={"sockets": MANY_SOCKETS})
    name, port = worker.address.split(":")
    begun = with_escapes(full_request())[: MAX_LINE_BYTES - 2000]
    clients = []
    for _ in range(MANY_SOCKETS // 2):
        client = socket.create_connection((name, int(port)))
        client.sendall(begun)
        clients.append(client)
    gateway = worker.gateway()
    deadline = time.monotonic() + 2.0
    while time.monotonic() < deadline:
        assert gateway.result(gateway.request("track", "beside"))
    assert worker.peak_memory_mb() < worker.config["limits"]["memory_mb"]
    for client in clients:
        client.close()
