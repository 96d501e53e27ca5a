"""Executors and the shared store of an emulated fleet; each records what ran."""

import base64
import threading
import time

from lapispick.fakes.executor import Executor
from lapispick.fakes.store import Store

STORE = "store"


class RecordingExecutor(Executor):
    """An executor that records its runs; ``slowdown`` multiplies their duration."""

    def __init__(self, record, host, process, work_s=0.004, cores=2):
        self.record = record
        self.host = host
        self.process = process
        self.slowdown = 1.0
        self.connected_processes = 0
        super().__init__(work_s, cores)

    def on_join(self, connection, command):
        # Another process of the host has joined, and its notices are numbered from 1 again.
        if command["index"] == 0 and self.notices:
            self.notices = []
            self.connected_processes += 1
        super().on_join(connection, command)

    def on_exec(self, connection, command):
        body = base64.b64decode(command["bytes"]).decode()
        self.record.add_execution(self.host, self.process, command["task"], body)
        super().on_exec(connection, command)

    def _work(self, task, body):
        process_count_at_start = self.connected_processes
        with self.slots:
            time.sleep(self.work_s * self.slowdown)
        if process_count_at_start == self.connected_processes:
            self.end_run(task, result=f"did {body}")


class SharedStore(Store):
    """The shared store: serves ``slots`` calls at once in ``work_s`` each, and is slower when overloaded."""

    def __init__(self, record, work_s=0.002, slots=16):
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.slowdown = 1.0
        self._concurrent_calls = 0
        self._count_lock = threading.Lock()
        super().__init__()

    def serve(self, connection):
        for headers, body in self.read_calls(connection.makefile("rb")):
            self.record.add_execution("", "", headers["X-For-Request"], body, STORE)
            with self._count_lock:
                self._concurrent_calls += 1
                overload_factor = max(1.0, self._concurrent_calls / self.slots)
            time.sleep(self.work_s * overload_factor * self.slowdown)
            with self._count_lock:
                self._concurrent_calls -= 1
            reply = f"called {body}"
            connection.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n{reply}".encode())
