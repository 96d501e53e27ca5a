"""Tests of the link between two processes of a worker host: handshake, versions, passed sockets, cut snapshots."""

import contextlib
import fcntl
import json
import os
import socket
import threading
import time

import pytest

from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.messages import REJECTED_CODE, encode_base64, make_idempotency_key
from lapispick.fakes.rule_checker import REJECTED, SERVED, answer_kind
from lapispick.fakes.start_settings import LIMITS
from lapispick.fakes.waiting import wait_until
from lapispick.handover import budget, messages
from lapispick.idempotency.table import digest_request
from tests.upgrade_support import (
    LONG_WINDOW_INFO,
    lock_path,
    operators_address,
    socket_path,
    wait_until_ready,
)


def send_and_close(path, data):
    """Send bytes to the socket of a process, and wait until it closes the connection."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        sock.makefile("rb").read()


def reject_all(listener, reason):
    """Reject every link until the listener is shut down."""
    with contextlib.suppress(OSError):
        while True:
            link, _ = listener.accept()
            link.recv(1000)
            link.sendall(messages.encode(messages.LinkRejected(reason)))
            link.close()


def test_another_version_is_rejected_and_no_key_runs_until_its_process_has_ended(host, shared_address, tmp_path):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    lock = lock_path(tmp_path)
    path = socket_path(tmp_path)
    hello = {"say": "hello", "version": messages.VERSION + 1, "name": "n3", "listen": old.config["listen"]}
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        sock.sendall(json.dumps(hello).encode() + b"\n")
        assert isinstance(messages.decode(sock.makefile("rb").readline()), messages.LinkRejected)
    other_name = json.dumps({**hello, "version": 1, "name": "n4"}).encode() + b"\n"
    for invalid in (b"", b"nothing\n", b"x" * 10, other_name):
        send_and_close(path, invalid)
    old.process.kill()
    old.process.wait()
    os.unlink(path)
    with lock.open("r+b") as lock_file, socket.socket(socket.AF_UNIX) as sock:  # an owner that rejects every link
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        sock.bind(path)
        sock.listen(16)
        threading.Thread(target=reject_all, args=(sock, "another version"), daemon=True).start()
        started_at = time.monotonic()
        new = host(successor_of=old, wait_for_ready=False)
        wait_until_ready(new)
        assert time.monotonic() - started_at < 6
        gateway = new.gateway()
        assert gateway.result(gateway.request("track", "read")) == "did read"
        assert gateway.error_code(gateway.request("book", "mine", make_idempotency_key())) == REJECTED_CODE
        assert not new.executor.runs_of("mine")
        assert "another version" in new.log()
        fcntl.flock(lock_file, fcntl.LOCK_UN)
        sock.shutdown(socket.SHUT_RDWR)
    new.wait_for_log("owns-keys")
    assert gateway.result(gateway.request("book", "mine", make_idempotency_key())) == "did mine"
    assert gateway.error_code(gateway.request("book", "theirs", make_idempotency_key(), redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("theirs")


def test_a_host_without_a_usable_folder_serves_without_a_link(host, shared_address, tmp_path):
    unlinked = host(listen=shared_address(), info=LONG_WINDOW_INFO, environ={"TMPDIR": str(tmp_path / "missing")})
    assert "event=handover-off" in unlinked.log()
    gateway = unlinked.gateway()
    assert gateway.result(gateway.request("book", "x", make_idempotency_key())) == "did x"
    long_path = tmp_path / ("d" * 120)
    long_path.mkdir()
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, environ={"TMPDIR": str(long_path)})
    assert wait_until_ready(host(successor_of=old, environ={"TMPDIR": str(long_path)}))


@pytest.mark.parametrize(
    ("peer_connections", "max_connections"), [(None, 160), (0, 120), (30, 120), (60, 100), (120, 40), (160, 40)]
)
def test_descriptors_are_divided_between_both_processes(peer_connections, max_connections):
    assert budget.max_connections(160, peer_connections) == max_connections
    assert budget.max_calls(64, peer_connections is not None) == (64 if peer_connections is None else 32)


class FakeOwner:
    """Fake old process: it holds the lock and a listening socket for clients, and accepts or rejects links.

    It is a context manager. Nothing reads the connections that the kernel queues at its listening socket.
    """

    def __init__(self, folder, address):
        self._lock_file = lock_path(folder).open("r+b")
        fcntl.flock(self._lock_file, fcntl.LOCK_EX)
        name, port = address.split(":")
        self._client_listener = socket.socket()
        self._client_listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._client_listener.bind((name, int(port)))
        self._client_listener.listen()
        path = socket_path(folder)
        os.unlink(path)
        self._link_listener = socket.socket(socket.AF_UNIX)
        self._link_listener.bind(path)
        self._link_listener.listen(16)
        self._link_listener.settimeout(10)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for resource in (self._link_listener, self._client_listener, self._lock_file):
            resource.close()

    def reject(self):
        """Reject the next link."""
        link, _ = self._link_listener.accept()
        link.recv(1000)
        link.sendall(messages.encode(messages.LinkRejected("not now")))
        link.close()

    def accept(self):
        """Pass the client listener to the next process that links; return the link, its hello and its further lines."""
        link, _ = self._link_listener.accept()
        lines = link.makefile("rb")
        hello = messages.decode(lines.readline())
        socket.send_fds(link, [b"\n"], [self._client_listener.fileno()])
        return link, hello, lines

    def accept_with_empty_snapshot(self):
        """Accept the next link and send a snapshot without records; return the same values as ``accept``."""
        link, hello, lines = self.accept()
        snapshot = [messages.Welcome(messages.VERSION), messages.UnknownOutcomesUntil(0.0), messages.SnapshotComplete()]
        link.sendall(b"".join(map(messages.encode, snapshot)))
        return link, hello, lines

    def unlock(self):
        """Release the lock, as the kernel does when the process ends."""
        fcntl.flock(self._lock_file, fcntl.LOCK_UN)


@pytest.fixture
def killed_process(host, shared_address):
    """Return a process that was killed after it created the files that its successors look for."""
    process = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    process.process.kill()
    process.process.wait()
    return process


@pytest.mark.parametrize("tail", [b"", b'{"say":"known","key":["no'])
def test_outcomes_that_a_cut_snapshot_does_not_include_are_unknown(host, killed_process, tmp_path, tail):
    known = make_idempotency_key()
    unknown = make_idempotency_key()
    with FakeOwner(tmp_path, killed_process.address) as owner:
        queued = GatewayConnection.connect(killed_process.address)
        read_number = queued.request("track", "first", patience=9000)
        keyed_number = queued.request("book", "late", make_idempotency_key(), patience=9000)
        new = host(successor_of=killed_process, wait_for_start=False)
        link, hello, _ = owner.accept()
        assert isinstance(hello, messages.Hello)
        partial_snapshot = [
            messages.Welcome(messages.VERSION),
            messages.UnknownOutcomesUntil(0.0),
            messages.RecordSnapshot(
                ("nonce", known),
                time.time() * 1000 + 60_000,
                digest_request("book", encode_base64("ran")),
                True,
                encode_base64("kept"),
            ),
        ]
        link.sendall(b"".join(map(messages.encode, partial_snapshot)) + tail)
        link.shutdown(socket.SHUT_RDWR)
        owner.unlock()
    new.ops = wait_until(lambda: operators_address(new), "the start")
    wait_until_ready(new)
    # The keyed request was sent before the old process ended, which may therefore have executed another attempt of it.
    assert queued.result(read_number) == "did first"
    assert queued.error_code(keyed_number) != REJECTED_CODE
    assert not new.executor.runs_of("late")
    gateway = new.gateway()
    assert gateway.result(gateway.request("book", "ran", known, redo=1)) == "kept"
    assert gateway.error_code(gateway.request("book", "other", unknown, redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("ran")
    assert not new.executor.runs_of("other")


def test_a_process_that_links_again_reports_the_listening_socket_on_which_it_serves(host, killed_process, tmp_path):
    with FakeOwner(tmp_path, killed_process.address) as owner:
        new = host(successor_of=killed_process, wait_for_start=False)
        link, hello, lines = owner.accept_with_empty_snapshot()
        assert hello.listener == ""
        assert any(isinstance(messages.decode(line), messages.Serving) for line in lines)
        link.shutdown(socket.SHUT_RDWR)  # only the link breaks
        _, hello, _ = owner.accept_with_empty_snapshot()
        assert hello.listener == "passed"
        new.process.kill()


def test_a_process_that_served_unlinked_reports_its_own_listening_socket(host, killed_process, tmp_path):
    with FakeOwner(tmp_path, killed_process.address) as owner:
        new = host(successor_of=killed_process, wait_for_start=False)
        while "event=serving-unlinked" not in new.log():
            owner.reject()
        _, hello, _ = owner.accept_with_empty_snapshot()
        assert hello.listener == "own"


def test_a_usage_report_that_is_read_with_the_end_of_its_link_is_ignored(host, shared_address, tmp_path):
    """A killed process's last report may be read together with the end of its link. It must not reduce the quota."""
    max_connections = LIMITS["sockets"] * 5 // 8
    reserved_connections = budget.max_connections(max_connections, max_connections)
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(socket_path(tmp_path))
        sock.sendall(messages.encode(messages.Hello(messages.VERSION, "n3", old.config["listen"], "own")))
        _, passed_listeners, _, _ = socket.recv_fds(sock, 1, 1)
        os.close(passed_listeners[0])
        old.wait_for_log("linked")
        with old.suspended():
            sock.sendall(messages.encode(messages.ResourceUsage(0, 0.0, 0, max_connections)))
            sock.close()
    old.wait_for_log("link-ended")
    gateways = [old.gateway() for _ in range(2 * reserved_connections)]
    for _ in range(2):  # an idle connection beyond the quota would be closed before its second request
        for gateway in gateways:
            assert gateway.result(gateway.request("track", "x")) == "did x"


@pytest.mark.parametrize("listener", ["own", "passed", ""])
def test_an_old_process_leaves_its_listening_socket_to_a_successor_that_shares_it(
    host, shared_address, tmp_path, listener
):
    """At shutdown, the old process accepts queued connections, unless its successor has the same listening socket."""
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2000, limits={"sockets": 1024})
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(socket_path(tmp_path))
        sock.sendall(messages.encode(messages.Hello(messages.VERSION, "n3", old.config["listen"], listener)))
        _, passed_listeners, _, _ = socket.recv_fds(sock, 1, 1)
        old.wait_for_log("linked")
        with old.suspended(), socket.socket(fileno=passed_listeners[0]) as passed:
            # More connections than the old process accepts in one pass of its event loop.
            queued = [GatewayConnection.connect(old.address) for _ in range(200)]
            numbers = [gateway.request("track", "queued") for gateway in queued]
            old.terminate()
            if listener != "passed":
                passed.detach()
            else:  # this duplicate stays open, as the successor's would
                duplicate = passed.dup()
        old.wait_for_log("shutdown-started")
        assert f"handed_over={bool(listener)}" in old.log()
        if listener == "passed":
            old.wait_for_log("ended")
            duplicate.setblocking(False)
            accepted = []
            with contextlib.suppress(BlockingIOError):
                while True:
                    accepted.append(duplicate.accept()[0].getpeername())
            duplicate.close()
            unread = [gateway for gateway in queued if gateway.sock.getsockname() in accepted]
            assert 0 < len(unread) < 200
        else:
            unread = []
            os.close(passed_listeners[0])
        for gateway, number in zip(queued, numbers, strict=True):
            if gateway not in unread:
                assert answer_kind(gateway.answer(number)) in (SERVED, REJECTED)
        assert old.process.wait(5) == 0
