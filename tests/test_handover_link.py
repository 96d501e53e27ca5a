"""The link between two processes of a running worker host: handshake, versions, passed sockets and cut snapshots."""

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
    """Send bytes to the socket of a process, and wait until it ends the connection."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        sock.makefile("rb").read()


def reject_all(listener, reason):
    """Reject every process that links, until the listener is shut down."""
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
    with lock.open("r+b") as lock_file, socket.socket(socket.AF_UNIX) as sock:  # an owner that never agrees
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        sock.bind(path)
        sock.listen(16)
        threading.Thread(target=reject_all, args=(sock, "another version"), daemon=True).start()
        started_at = time.monotonic()
        new = host(successor_of=old, wait_for_ready=False)
        wait_until_ready(new)
        assert time.monotonic() - started_at < 6
        g = new.gateway()
        assert g.result(g.request("track", "read")) == "did read"
        assert g.error_code(g.request("book", "mine", make_idempotency_key())) == REJECTED_CODE
        assert not new.executor.runs_of("mine")
        assert "another version" in new.log()
        fcntl.flock(lock_file, fcntl.LOCK_UN)
        sock.shutdown(socket.SHUT_RDWR)
    new.wait_for_log("owns-keys")
    assert g.result(g.request("book", "mine", make_idempotency_key())) == "did mine"
    assert g.error_code(g.request("book", "theirs", make_idempotency_key(), redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("theirs")


def test_a_host_without_a_usable_folder_serves_without_a_link(host, shared_address, tmp_path):
    h = host(listen=shared_address(), info=LONG_WINDOW_INFO, environ={"TMPDIR": str(tmp_path / "nowhere")})
    assert "event=handover-off" in h.log()
    g = h.gateway()
    assert g.result(g.request("book", "x", make_idempotency_key())) == "did x"
    long_path = tmp_path / ("d" * 120)
    long_path.mkdir()
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, environ={"TMPDIR": str(long_path)})
    assert wait_until_ready(host(successor_of=old, environ={"TMPDIR": str(long_path)}))


@pytest.mark.parametrize(("others", "mine"), [(None, 160), (0, 120), (30, 120), (60, 100), (120, 40), (160, 40)])
def test_descriptors_are_divided_between_both_processes(others, mine):
    assert budget.max_connections(160, others) == mine
    assert budget.max_calls(64, others is not None) == (64 if others is None else 32)


class FakeOwner:
    """Stands in for the old process: it has the lock and the clients' socket, and agrees to a link or rejects it.

    Use it as a context. ``queued`` connections wait at its socket, where nobody reads them.
    """

    def __init__(self, folder, address):
        self._lock_file = lock_path(folder).open("r+b")
        fcntl.flock(self._lock_file, fcntl.LOCK_EX)
        name, port = address.split(":")
        self._clients = socket.socket()
        self._clients.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._clients.bind((name, int(port)))
        self._clients.listen()
        path = socket_path(folder)
        os.unlink(path)
        self._sock = socket.socket(socket.AF_UNIX)
        self._sock.bind(path)
        self._sock.listen(16)
        self._sock.settimeout(10)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for each in (self._sock, self._clients, self._lock_file):
            each.close()

    def reject(self):
        """Reject the next process that links."""
        link, _ = self._sock.accept()
        link.recv(1000)
        link.sendall(messages.encode(messages.LinkRejected("not now")))
        link.close()

    def accept(self):
        """Pass the clients' socket to the next process that links; return the link, its hello and its further lines."""
        link, _ = self._sock.accept()
        lines = link.makefile("rb")
        hello = messages.decode(lines.readline())
        socket.send_fds(link, [b"\n"], [self._clients.fileno()])
        return link, hello, lines

    def accept_with_empty_snapshot(self):
        """Link the next process and send a snapshot without records; return as ``accept``."""
        link, hello, lines = self.accept()
        snapshot = [messages.Welcome(messages.VERSION), messages.UnknownOutcomesUntil(0.0), messages.SnapshotComplete()]
        link.sendall(b"".join(map(messages.encode, snapshot)))
        return link, hello, lines

    def unlock(self):
        """Release the lock, as the end of the process does."""
        fcntl.flock(self._lock_file, fcntl.LOCK_UN)


@pytest.fixture
def killed_process(host, shared_address):
    """A process that was killed; it made the names of the files that its successors look for."""
    process = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    process.process.kill()
    process.process.wait()
    return process


@pytest.mark.parametrize("tail", [b"", b'{"say":"known","key":["no'])
def test_a_cut_snapshot_leaves_the_outcomes_unknown_that_it_did_not_bring(host, killed_process, tmp_path, tail):
    known = make_idempotency_key()
    unknown = make_idempotency_key()
    with FakeOwner(tmp_path, killed_process.address) as owner:
        queued = GatewayConnection.connect(killed_process.address)
        read_number = queued.request("track", "first", patience=9000)
        keyed_number = queued.request("book", "late", make_idempotency_key(), patience=9000)
        new = host(successor_of=killed_process, wait_for_start=False)
        link, hello, _ = owner.accept()
        assert isinstance(hello, messages.Hello)
        sent = [
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
        link.sendall(b"".join(map(messages.encode, sent)) + tail)
        link.shutdown(socket.SHUT_RDWR)
        owner.unlock()
    new.ops = wait_until(lambda: operators_address(new), "the start")
    wait_until_ready(new)
    # The write came before the old process ended, which may have read a copy of it.
    assert queued.result(read_number) == "did first"
    assert queued.error_code(keyed_number) != REJECTED_CODE
    assert not new.executor.runs_of("late")
    g = new.gateway()
    assert g.result(g.request("book", "ran", known, redo=1)) == "kept"
    assert g.error_code(g.request("book", "other", unknown, redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("ran")
    assert not new.executor.runs_of("other")


def test_a_process_that_links_again_says_that_it_serves_and_by_which_socket(host, killed_process, tmp_path):
    with FakeOwner(tmp_path, killed_process.address) as owner:
        new = host(successor_of=killed_process, wait_for_start=False)
        link, hello, lines = owner.accept_with_empty_snapshot()
        assert hello.listener == ""
        assert any(isinstance(messages.decode(line), messages.Serving) for line in lines)
        link.shutdown(socket.SHUT_RDWR)  # the link alone breaks
        _, hello, _ = owner.accept_with_empty_snapshot()
        assert hello.listener == "passed"
        new.process.kill()


def test_a_process_that_served_unlinked_says_that_its_socket_is_its_own(host, killed_process, tmp_path):
    with FakeOwner(tmp_path, killed_process.address) as owner:
        new = host(successor_of=killed_process, wait_for_start=False)
        while "event=serving-unlinked" not in new.log():
            owner.reject()
        _, hello, _ = owner.accept_with_empty_snapshot()
        assert hello.listener == "own"


def test_a_last_usage_report_does_not_outlive_its_link(host, shared_address, tmp_path):
    """The report of a process that is killed is read together with the end of its link; the quota must come back."""
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
    for _ in range(2):  # an idle connection that is over the quota would be closed before its second request
        for gateway in gateways:
            assert gateway.result(gateway.request("track", "x")) == "did x"


@pytest.mark.parametrize("listens", ["own", "passed", ""])
def test_an_old_process_leaves_its_listening_socket_to_a_successor_that_has_it(host, shared_address, tmp_path, listens):
    """What waits for the listening socket at the notice is read here, but for a successor that has that very socket."""
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2000, limits={"sockets": 1024})
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(socket_path(tmp_path))
        sock.sendall(messages.encode(messages.Hello(messages.VERSION, "n3", old.config["listen"], listens)))
        _, fds, _, _ = socket.recv_fds(sock, 1, 1)
        old.wait_for_log("linked")
        with old.suspended(), socket.socket(fileno=fds[0]) as passed:
            # More than are accepted in one round.
            waiting = [GatewayConnection.connect(old.address) for _ in range(200)]
            numbers = [gateway.request("track", "queued") for gateway in waiting]
            old.terminate()
            if listens != "passed":
                passed.detach()
            else:  # our own duplicate stays, as the successor's would
                duplicate = passed.dup()
        old.wait_for_log("shutdown-started")
        assert f"handed_over={bool(listens)}" in old.log()
        if listens == "passed":
            old.wait_for_log("ended")
            duplicate.setblocking(False)
            taken = []
            with contextlib.suppress(BlockingIOError):
                while True:
                    taken.append(duplicate.accept()[0].getpeername())
            duplicate.close()
            unread = [gateway for gateway in waiting if gateway.sock.getsockname() in taken]
            assert 0 < len(unread) < 200
        else:
            unread = []
            os.close(fds[0])
        for gateway, number in zip(waiting, numbers, strict=True):
            if gateway not in unread:
                assert answer_kind(gateway.answer(number)) in (SERVED, REJECTED)
        assert old.process.wait(5) == 0
