"""The recorder in a running worker host, and the process that writes its traces."""

import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from lapispick import admission
from lapispick.conf.sections import TraceSettings
from lapispick.fakes.messages import make_idempotency_key
from lapispick.fakes.waiting import wait_until
from lapispick.host.recorder import Recorder
from lapispick.trace import layout
from lapispick.trace.helper import receive_messages
from lapispick.trace.record_types import Answered, Arrival, ExternalEvent, Gap
from tests.trace_support import read_blocks

CONF = "section trace\n enabled yes\n folder traces\n flush 50ms\n {extra_setting}\nend\n"
REQUESTS = 60  # that ``RecordedHost.send_requests`` sends by default
REQUESTS_AT_ONCE = 8


class RecordedHost:
    """A worker host with a recorder, and requests to it."""

    def __init__(self, folder, host, extra_setting="", **overrides):
        self.folder = folder / "traces"
        (folder / "own.conf").write_text(CONF.format(extra_setting=extra_setting))
        self.host = host(environ={"LAPISPICK_CONF": str(folder / "own.conf")}, **overrides)
        self.gateway = self.host.gateway()
        self.request_count = 0

    def send_requests(self, count=REQUESTS):
        """Send requests, every third one keyed and every second one with a call, and return their answers."""
        numbers = []
        for _ in range(count):
            numbers.append(self._send())
            if len(numbers) % REQUESTS_AT_ONCE == 0:
                for number in numbers[-REQUESTS_AT_ONCE:]:
                    self.gateway.answer(number)
        return [self.gateway.answer(number) for number in numbers]

    def _send(self):
        keyed = self.request_count % 3 == 0
        body = "call:200" if self.request_count % 2 else "x"
        self.request_count += 1
        return self.gateway.request("book" if keyed else "track", body, make_idempotency_key() if keyed else None)

    def files(self, suffix=".lptrace"):
        return sorted(self.folder.glob(f"*{suffix}")) if self.folder.exists() else []

    def open_files(self):
        return self.files(".open")

    def wait_for_block(self):
        return wait_until(
            lambda: self.open_files() and self.open_files()[0].stat().st_size > 2000, "a block on the disk"
        )

    def writer_pid(self):
        pid = self.host.process.pid
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
        return next(int(child) for child in children if b"trace.helper" in Path(f"/proc/{child}/cmdline").read_bytes())

    def send_and_count_lost_steps(self, count):
        """Send requests, and return the total of lost steps that the gaps in the open files give."""
        self.send_requests(count)
        notes = [note for path in self.open_files() for note in notes_of(read_blocks(path)[0])]
        return sum(note.steps for note in notes if type(note) is Gap)

    def replay(self):
        return replay(self.folder)


def trace_process(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "lapispick", "trace", *map(str, arguments)], capture_output=True, text=True, timeout=60
    )


def trace_output(*arguments, exit_code=0):
    result = trace_process(*arguments)
    assert result.returncode == exit_code, (result.stdout, result.stderr)
    return result.stdout


def replay(path):
    return json.loads(trace_output("replay", path, "--json"))


def notes_of(steps):
    return [note for step in steps for note in step.notes]


def count_runs(path):
    """Return the number of runs in the complete blocks of a file."""
    try:
        return sum(type(action) is admission.StartRun for step in read_blocks(path)[0] for action in step.actions)
    except layout.TraceError:  # it was just created, and its header is incomplete
        return 0


def test_the_buffer_for_the_writer_is_bounded_by_the_memory_limit():
    assert Recorder(None, TraceSettings(), "n3", None, 32)._buffer_bytes == 512 << 10
    assert Recorder(None, TraceSettings(buffer_bytes=64 << 10), "n3", None, 192)._buffer_bytes == 64 << 10


def test_a_recorded_trace_replays_exactly_and_the_commands_agree(tmp_path, host):
    recorded = RecordedHost(tmp_path, host, "rotate-age 1s", stop_ms=2000)
    deadline = time.monotonic() + 20
    recorded.host.call_ops(b"drain-on")
    while len(recorded.files()) < 2 and time.monotonic() < deadline:  # until there is more than one file
        assert len(recorded.send_requests()) == REQUESTS
    recorded.host.call_ops(b"drain-off")
    recorded.host.reload(stop_ms=1900)
    recorded.host.terminate()
    assert recorded.host.process.wait(6) == 0
    wait_until(lambda: not recorded.open_files(), "the last file closed")
    replayed = recorded.replay()
    assert replayed["same_module"]
    assert replayed["differing"] == replayed["gaps"] == 0
    assert replayed["steps"] > recorded.request_count / 20
    assert recorded.request_count / 2 < replayed["recorded"]["Run"] <= recorded.request_count
    steps = [step for path in recorded.files() for step in read_blocks(path)[0]]
    notes = notes_of(steps)
    answers = [note for note in notes if type(note) is Answered]
    actions = [action for step in steps for action in step.actions]
    rejection_reasons = [action.reason for action in actions if type(action) is admission.Reject]
    assert [(note.kind, note.details) for note in notes if type(note) is ExternalEvent] == [
        ("drain-on", ""),
        ("drain-off", ""),
        ("reloaded", "stop_ms"),
    ]
    assert all(rejection_reasons)
    assert bool(rejection_reasons) == ("refused" in {answer.kind for answer in answers})
    assert len({answer.id for answer in answers}) == len(answers) == recorded.request_count
    assert "served" in {answer.kind for answer in answers}
    check_arrivals(notes, recorded.request_count)
    trace_output("verify", recorded.folder)
    infos = json.loads(trace_output("info", recorded.folder, "--json"))
    assert sum(info["steps"] for info in infos) == len(steps)
    first, last = steps[0].now, steps[-1].now
    output = tmp_path / "cut.lptrace"
    trace_output("cut", recorded.files()[0], output, "--since", first, "--until", (first + last) / 2)
    assert 0 < len(read_blocks(output)[0]) < len(steps)
    assert len(trace_output("cat", output).splitlines()) == len(read_blocks(output)[0])
    error = trace_process("replay", recorded.files()[1]).stderr
    assert "expected all files of one incarnation of one host, starting with the first" in error


def check_arrivals(notes, request_count):
    """Compare the recorded arrivals with the requests that were sent; every third one was keyed."""
    arrivals = [note for note in notes if type(note) is Arrival]
    keyed_count = sum(1 for number in range(request_count) if number % 3 == 0)
    assert len(arrivals) == request_count
    assert {arrival.account for arrival in arrivals} == {"shop"}
    assert len({arrival.subject for arrival in arrivals}) == 1 + keyed_count


def test_a_host_killed_under_load_leaves_a_complete_file(tmp_path, host):
    recorded = RecordedHost(tmp_path, host)
    recorded.send_requests()
    runs_on_disk = wait_until(
        lambda: recorded.open_files() and count_runs(recorded.open_files()[0]), "runs on the disk"
    )
    recorded.send_requests()
    recorded.host.process.kill()
    wait_until(recorded.files, "the file, closed by the writer")
    trace_output("verify", recorded.folder)
    replayed = recorded.replay()
    assert runs_on_disk <= replayed["recorded"]["Run"] <= recorded.request_count
    assert not replayed["differing"]


def test_a_writer_killed_under_load_leaves_every_complete_block_and_loses_no_answer(tmp_path, host):
    recorded = RecordedHost(tmp_path, host)
    recorded.send_requests()
    recorded.wait_for_block()
    writer, stopped_at = recorded.writer_pid(), time.monotonic()
    os.kill(writer, signal.SIGSTOP)  # steps that are sent to it from now on are never written
    recorded.send_requests(20)
    wait_until(lambda: recorded.send_requests(20) and time.monotonic() - stopped_at > 0.3, "some batches, 50 ms apart")
    os.kill(writer, signal.SIGKILL)
    assert len(recorded.send_requests()) == REQUESTS
    recorded.host.wait_for_log("trace-writer-ended")

    def steps_of_next_writer():
        recorded.send_requests(4)
        return len(recorded.open_files()) == 2 and read_blocks(recorded.open_files()[1])[0]

    first_step = wait_until(steps_of_next_writer, "the next writer's first block")[0]
    (gap,) = (note for note in first_step.notes if type(note) is Gap)
    lost = int(re.search(r"trace-writer-ended lost=(\d+)", recorded.host.log()).group(1))
    path, next_path = recorded.open_files()
    source, next_source = (read_blocks(file)[1].first_source for file in (path, next_path))
    assert gap.steps >= lost > 0
    assert source.sequence == 0
    assert next_source.sequence == 1
    assert source.incarnation == next_source.incarnation
    replayed = recorded.replay()
    assert replayed["gaps"] == gap.steps
    assert not replayed["differing"]
    assert replayed["steps"] > 0
    check_repair(path, tmp_path / "repaired.lptrace")


def check_repair(path, repaired):
    """Append a truncated block to a file, repair it and replay the result."""
    path.write_bytes(path.read_bytes() + b"LPB\xa7 half a block")
    assert "no index" in trace_output("verify", path, exit_code=1)
    trace_output("repair", path, repaired)
    trace_output("verify", repaired)
    replayed = replay(repaired)
    assert replayed["steps"] > 0
    assert replayed["differing"] == 0


def test_a_hanging_disk_delays_no_answer_and_leaves_a_gap(tmp_path, host):
    recorded = RecordedHost(tmp_path, host, "buffer 64KB")
    recorded.send_requests()
    os.kill(recorded.writer_pid(), signal.SIGSTOP)
    deadline = time.monotonic() + 30
    while "event=trace-gap" not in recorded.host.log() and time.monotonic() < deadline:
        began = time.monotonic()
        assert len(recorded.send_requests(100)) == 100
        assert time.monotonic() - began < 5
    os.kill(recorded.writer_pid(), signal.SIGCONT)
    recorded.host.wait_for_log("trace-gap")
    assert wait_until(lambda: recorded.send_and_count_lost_steps(8), "the gap in the file") > 0
    recorded.host.terminate()
    recorded.host.process.wait(6)
    wait_until(recorded.files, "the closed file")
    replayed = recorded.replay()
    assert replayed["gaps"]
    assert not replayed["differing"]


def test_a_full_disk_loses_steps_but_no_answer(tmp_path, host):
    recorded = RecordedHost(tmp_path, host)
    recorded.send_requests()
    recorded.wait_for_block()
    resource.prlimit(recorded.writer_pid(), resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
    deadline = time.monotonic() + 20
    while "event=trace-failed" not in recorded.host.log() and time.monotonic() < deadline:
        assert len(recorded.send_requests()) == REQUESTS
    recorded.host.wait_for_log("trace-failed")
    resource.prlimit(recorded.writer_pid(), resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    assert wait_until(lambda: recorded.send_and_count_lost_steps(4), "the gap in the next file") > 0
    assert not recorded.replay()["differing"]


def test_an_unwritable_folder_is_logged_and_loses_no_answer(tmp_path, host):
    (tmp_path / "traces").write_text("a file")
    recorded = RecordedHost(tmp_path, host)
    recorded.send_requests()
    recorded.host.wait_for_log("trace-failed")
    assert len(recorded.send_requests()) == REQUESTS


def test_the_writer_receives_the_last_messages_of_a_host_that_did_not_read_its_reports():
    ours, theirs = socket.socketpair()
    with theirs:
        # The host never reads this, so closing its end resets the writer's socket.
        theirs.send(b"wrote 1\n")
        for data in (b"one", b"two"):
            ours.send(len(data).to_bytes(4, "little") + data)
        ours.close()
        assert list(receive_messages(theirs)) == [b"one", b"two"]
