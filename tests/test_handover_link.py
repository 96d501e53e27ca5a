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
from lapispick.fakes.messages import encode_base64, make_idempotency_key
from lapispick.fakes.waiting import wait_until
from lapispick.handover import budget, messages
from lapispick.idempotency.table import digest_request
from tests.upgrade_support import (
    LONG_WINDOW_INFO,
    REJECTED,
    lock_path,
    operators_address,
    wait_until_ready,
)


def test_another_version_is_rejected_and_no_key_runs_until_its_process_has_ended(host, shared_address, tmp_path):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    lock, path = lock_path(tmp_path), str(next(tmp_path.glob("lapispick-*.sock")))
    hello = {"say": "hello", "version": messages.VERSION + 1, "name": "n3", "listen": old.config["listen"]}
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        sock.sendall(json.dumps(hello).encode() + b"\n")
        assert isinstance(messages.decode(sock.makefile("rb").readline()), messages.LinkRejected)
    for odd in (b"", b"nothing\n", b"x" * 10, json.dumps({**hello, "version": 1, "name": "n4"}).encode() + b"\n"):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(path)
            sock.sendall(odd)
            sock.shutdown(socket.SHUT_WR)
            sock.makefile("rb").read()
    old.process.kill()
    old.process.wait()
    os.unlink(path)
    with lock.open("r+b") as held, socket.socket(socket.AF_UNIX) as sock:  # an owner that never agrees
        fcntl.flock(held, fcntl.LOCK_EX)
        sock.bind(path)
        sock.listen(16)

        def reject():
            with contextlib.suppress(OSError):
                while True:
                    link, _ = sock.accept()
                    link.recv(1000)
                    link.sendall(messages.encode(messages.LinkRejected("another version")))
                    link.close()

        threading.Thread(target=reject, daemon=True).start()
        began = time.monotonic()
        new = host(successor_of=old, wait_for_ready=False)
        wait_until_ready(new)
        assert time.monotonic() - began < 6
        g = new.gateway()
        assert g.result(g.request("track", "read")) == "did read"
        assert g.error_code(g.request("book", "mine", make_idempotency_key())) == REJECTED
        assert not new.executor.runs_of("mine")
        assert "another version" in new.log()
        fcntl.flock(held, fcntl.LOCK_UN)
        sock.shutdown(socket.SHUT_RDWR)
    new.wait_for_log("owns-keys")
    assert g.result(g.request("book", "mine", make_idempotency_key())) == "did mine"
    assert g.error_code(g.request("book", "theirs", make_idempotency_key(), redo=1)) != REJECTED
    assert not new.executor.runs_of("theirs")


def test_a_platform_without_a_folder_is_served_alone(host, shared_address, tmp_path):
    h = host(listen=shared_address(), info=LONG_WINDOW_INFO, environ={"TMPDIR": str(tmp_path / "nowhere")})
    assert "event=handover-off" in h.log()
    g = h.gateway()
    assert g.result(g.request("book", "x", make_idempotency_key())) == "did x"
    with_long = tmp_path / ("d" * 120)
    with_long.mkdir()
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, environ={"TMPDIR": str(with_long)})
    assert wait_until_ready(host(successor_of=old, environ={"TMPDIR": str(with_long)}))


@pytest.mark.parametrize(("others", "mine"), [(None, 160), (0, 120), (30, 120), (60, 100), (120, 40), (160, 40)])
def test_descriptors_are_divided_and_neither_process_is_shut_out(others, mine):
    assert budget.max_connections(160, others) == mine
    assert budget.max_calls(64, others is not None) == (64 if others is None else 32)


@pytest.mark.parametrize("tail", [b"", b'{"say":"known","key":["no'])
def test_a_snapshot_that_is_cut_leaves_the_outcomes_unknown_that_it_did_not_bring(host, shared_address, tmp_path, tail):
    first = host(
        listen=shared_address(), info=LONG_WINDOW_INFO
    )  # makes the names of the files; then a stand-in takes its place
    lock, path = lock_path(tmp_path), str(next(tmp_path.glob("lapispick-*.sock")))
    first.process.kill()
    first.process.wait()
    os.unlink(path)
    known, unknown = make_idempotency_key(), make_idempotency_key()
    name, port = first.address.split(":")
    with lock.open("r+b") as held, socket.socket(socket.AF_UNIX) as sock, socket.socket() as clients:
        fcntl.flock(held, fcntl.LOCK_EX)
        clients.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        clients.bind((name, int(port)))
        clients.listen()
        queued = GatewayConnection.connect(
            first.address
        )  # queued at the old process's socket, and read by nobody so far
        n, doubtful = (
            queued.request("track", "first", patience=9000),
            queued.request("book", "late", make_idempotency_key()),
        )
        sock.bind(path)
        sock.listen()
        new = host(successor_of=first, wait_for_start=False)
        link, _ = sock.accept()
        assert isinstance(messages.decode(link.recv(1000).strip()), messages.Hello)
        socket.send_fds(link, [b"\n"], [clients.fileno()])
        told = [
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
        link.sendall(b"".join(map(messages.encode, told)) + tail)
        link.close()
        fcntl.flock(held, fcntl.LOCK_UN)
    new.ops = wait_until(lambda: operators_address(new), "the start")
    wait_until_ready(new)
    # The write came before the old process ended, which may have read a second copy of it.
    assert queued.result(n) == "did first"
    assert queued.error_code(doubtful) != REJECTED
    assert not new.executor.runs_of("late")
    g = new.gateway()
    assert g.result(g.request("book", "ran", known, redo=1)) == "kept"
    assert g.error_code(g.request("book", "other", unknown, redo=1)) != REJECTED
    assert not new.executor.runs_of("ran")
    assert not new.executor.runs_of("other")


class FakeOwner:
    """A stand-in of the old process: it holds the lock and the clients' socket, and agrees or refuses as told."""

    def __init__(self, folder, at):
        self.file = lock_path(folder).open("r+b")
        fcntl.flock(self.file, fcntl.LOCK_EX)
        name, port = at.split(":")
        self.clients = socket.socket()
        self.clients.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.clients.bind((name, int(port)))
        self.clients.listen()
        path = str(next(folder.glob("lapispick-*.sock")))
        os.unlink(path)
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.bind(path)
        self.sock.listen(16)
        self.sock.settimeout(10)

    def reject(self):
        link, _ = self.sock.accept()
        link.recv(1000)
        link.sendall(messages.encode(messages.LinkRejected("not now")))
        link.close()

    def accept(self):
        """Link the new process; return the link, what it greeted with, and its further lines."""
        link, _ = self.sock.accept()
        lines = link.makefile("rb")
        hello = messages.decode(lines.readline())
        socket.send_fds(link, [b"\n"], [self.clients.fileno()])
        snapshot = [messages.Welcome(messages.VERSION), messages.UnknownOutcomesUntil(0.0), messages.SnapshotComplete()]
        link.sendall(b"".join(map(messages.encode, snapshot)))
        return link, hello, lines

    def close(self):
        for each in (self.sock, self.clients, self.file):
            each.close()


def test_a_process_that_links_again_says_that_it_serves_and_by_which_socket(host, shared_address, tmp_path):
    first = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    first.process.kill()
    first.process.wait()
    owner = FakeOwner(tmp_path, first.address)
    try:
        new = host(successor_of=first, wait_for_start=False)
        link, hello, lines = owner.accept()
        assert hello.listener == ""
        assert any(isinstance(messages.decode(line), messages.Serving) for line in lines)
        link.shutdown(socket.SHUT_RDWR)  # the link alone breaks
        _, hello, _ = owner.accept()
        assert hello.listener == "passed"
        new.process.kill()
    finally:
        owner.close()


def test_a_process_that_served_unlinked_says_that_its_socket_is_its_own(host, shared_address, tmp_path):
    first = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    first.process.kill()
    first.process.wait()
    owner = FakeOwner(tmp_path, first.address)
    try:
        new = host(successor_of=first, wait_for_start=False)
        while "event=serving-unlinked" not in new.log():
            owner.reject()
        _, hello, _ = owner.accept()
        assert hello.listener == "own"
    finally:
        owner.close()


@pytest.mark.parametrize("listens", ["own", "passed", ""])
def test_an_old_process_believes_what_its_successor_says_of_itself(host, shared_address, tmp_path, listens):
    """What waits for the listening socket at the notice is read here, but for a successor that has that very socket."""
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2000, limits={"sockets": 1024})
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(next(tmp_path.glob("lapispick-*.sock"))))
        sock.sendall(messages.encode(messages.Hello(messages.VERSION, "n3", old.config["listen"], listens)))
        _, fds, _, _ = socket.recv_fds(sock, 1, 1)
        wait_until(lambda: "event=linked" in old.log(), "the link")
        with old.suspended(), socket.socket(fileno=fds[0]) as passed:
            waits = [GatewayConnection.connect(old.address) for _ in range(200)]  # more than are accepted in one round
            numbers = [g.request("track", "queued") for g in waits]
            old.terminate()
            if listens != "passed":
                passed.detach()
            else:  # our own copy stays, as the successor's would
                keep = passed.dup()
        wait_until(lambda: "event=shutdown-started" in old.log(), "the leave")
        assert f"handed_over={bool(listens)}" in old.log()
        if listens == "passed":
            old.wait_for_log("ended")
            keep.setblocking(False)
            taken = []
            with contextlib.suppress(BlockingIOError):
                while True:
                    taken.append(keep.accept()[0].getpeername())
            keep.close()
            left = [g for g in waits if g.sock.getsockname() in taken]
            assert 0 < len(left) < 200
        else:
            left = []
            os.close(fds[0])
        for g, n in zip(waits, numbers, strict=True):
            assert g in left or "result" in g.answer(n) or g.error_code(n) == REJECTED
        assert old.process.wait(5) == 0
