"""Stand-ins for the peers of a worker host, and the start of the project's own programs. Used by the cases.

They follow the platform's protocol page. All addresses are loopback addresses, all ports are free ones.
"""

import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"


def now_ms():
    """Return the Unix time in ms."""
    return time.time() * 1000


def free_port(kind=socket.SOCK_STREAM):
    """Return a port that is free at present."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run: lines with the time since the start, in ``record.txt`` of the case."""

    def __init__(self, path):
        self._began = time.time()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def add(self, text):
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.time() - self._began:8.3f} {text}\n")
            self._file.flush()


class Server:
    """A TCP server with a thread for each connection."""

    def __init__(self):
        self._sock = socket.create_server((LOOPBACK, 0), backlog=128)
        self.address = f"{LOOPBACK}:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._sock.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError):
            self.serve(connection)
        connection.close()

    def serve(self, connection):
        """Serve one connection until it ends."""
        raise NotImplementedError


class Executor(Server):
    """The executor of one process of a worker host: one address with its own numbers of notices.

    A run takes ``work_s`` of the class. If ``calls`` names the class, the run waits for one call after that and then
    ends at once; its result is the reply, otherwise a text that names the body and the number of the run.
    """

    def __init__(self, record, name, work_s, calls=()):
        self.runs = []  # (Unix ms, task, class, body)
        self.replies = []  # (task, body of the call, body of the reply)
        self._record = record
        self._name = name
        self._work_s = work_s
        self._calls = calls
        self._lock = threading.RLock()
        self._link = None
        self._notices = []
        self._open = {}  # by task: the body of the call that it waits for, or None
        super().__init__()

    def serve(self, connection):
        """Carry out the commands of one link."""
        for line in connection.makefile("rb"):
            command = json.loads(line)
            with self._lock:
                getattr(self, "_on_" + command["verb"].lower())(connection, command)

    def _send(self, message):
        if self._link is not None:
            with contextlib.suppress(OSError):
                self._link.sendall(json.dumps(message).encode() + b"\n")

    def _notice(self, **notice):
        with self._lock:
            notice["index"] = len(self._notices) + 1
            self._notices.append(notice)
            self._send(notice)

    def _on_join(self, connection, command):
        self._link = connection
        self._send({"verb": "WELCOME", "outcome": "hot", "spent": 1000.0})
        for notice in self._notices[command["index"] :]:
            self._send(notice)

    def _on_exec(self, connection, command):
        task, kind = command["task"], command["handler"]
        if task in self._open:
            return
        body = base64.b64decode(command["bytes"]).decode()
        self._open[task] = None
        self.runs.append((now_ms(), task, kind, body))
        self._record.add(f"{self._name}: EXEC task={task} class={kind} body={body}")
        threading.Timer(self._work_s[kind], self._work_done, (task, kind, body, len(self.runs))).start()

    def _work_done(self, task, kind, body, number):
        with self._lock:
            if task not in self._open:
                return
            if kind in self._calls:
                self._open[task] = call = f"call of {body}"
                self._notice(verb="CALLOUT", task=task, bytes=encode(call))
            else:
                self._end(task, "complete", f"{self._name} run {number} of {body}")

    def _end(self, task, outcome, result=""):
        if self._open.pop(task, "") != "":
            self._record.add(f"{self._name}: EXIT task={task} outcome={outcome} result={result}")
            self._notice(verb="EXIT", task=task, outcome=outcome, spent=100.0, bytes=encode(result))

    def _on_return(self, connection, command):
        call = self._open.get(command["task"])
        if call is not None:
            reply = base64.b64decode(command["bytes"]).decode()
            self.replies.append((command["task"], call, reply))
            self._end(command["task"], "complete", reply)

    def _on_bypass(self, connection, command):
        self._end(command["task"], "complete", "without the call")

    def _on_kill(self, connection, command):
        self._end(command["task"], "cancelled")

    def _on_wake(self, connection, command):
        pass

    def _on_meter(self, connection, command):
        self._send({"verb": "METERS", "nonce": command["nonce"], "readings": [0.2, 0.5, 0.1, 3.0]})

    def _on_diag(self, connection, command):
        self._send({"verb": "DIAGNOSED", "nonce": command["nonce"], "outcome": "complete"})


def encode(text):
    """Return a text as base64."""
    return base64.b64encode(text.encode()).decode()


def decode(doc):
    """Return the text of base64."""
    return base64.b64decode(doc).decode()


class Roster:
    """The roster: a UDP address that takes reports and answers nothing."""

    def __init__(self):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        while self._sock.recv(200):
            pass


class Gateway:
    """One connection of a gateway."""

    def __init__(self, record, address, name):
        host, port = address.rsplit(":", 1)
        self._sock = socket.create_connection((host, int(port)), timeout=5)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(None)
        self._record = record
        self._name = name
        self._last_id = 0
        self._answers = {}
        self._changed = threading.Condition()
        self.closed = False
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        with contextlib.suppress(OSError, ValueError):
            for line in self._sock.makefile("rb"):
                message = json.loads(line)
                if message.get("method") == "goaway":
                    continue
                with self._changed:
                    self._answers.setdefault(message["id"], []).append(message)
                    self._record.add(f"{self._name}: answer {describe(message)}")
                    self._changed.notify_all()
        with self._changed:
            self.closed = True
            self._changed.notify_all()

    def send(self, kind, body, **params):
        """Send a request that arrives now, and return its id and ``born``."""
        self._last_id += 1
        born = int(now_ms())
        fields = {"trace": os.urandom(8).hex(), "born": born, "client": 1, "size": 24.5, "order": 0.5, **params}
        fields["doc"] = encode(body)
        message = {"jsonrpc": "2.0", "id": self._last_id, "method": kind, "params": fields}
        self._record.add(f"{self._name}: request id={self._last_id} class={kind} body={body} {params}")
        with contextlib.suppress(OSError):
            self._sock.sendall(json.dumps(message).encode() + b"\n")
        return self._last_id, born

    def wait(self, request_id, timeout_s):
        """Return the answer to a request; None if none came in time or the connection has ended."""
        with self._changed:
            self._changed.wait_for(lambda: request_id in self._answers or self.closed, timeout_s)
            return self._answers.get(request_id, [None])[0]

    def open_count(self):
        """Return the number of requests without an answer."""
        with self._changed:
            return self._last_id - len(self._answers)

    def close(self):
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def describe(message):
    """Return an answer as one line."""
    if message is None:
        return "none"
    if "result" in message:
        doc = message["result"].get("doc")
        return f"id={message['id']} served result={base64.b64decode(doc).decode() if doc else message['result']}"
    error = message["error"]
    kind = "refused" if error["code"] == -32050 else "failed"
    return f"id={message['id']} {kind} {error['code']} {error['message']!r}"


def result_of(message):
    """Return the result of a served request as text, or None."""
    if message is None or "result" not in message:
        return None
    return base64.b64decode(message["result"]["doc"]).decode()


class Programs:
    """The project's programs that a case starts; all of them are ended by ``close``."""

    def __init__(self, folder):
        self._folder = folder
        self._processes = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._run_command = tomllib.load(file)["run"]

    def start_host(self, name, config, environment):
        """Start a worker host by the deploy file's command ``run``."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(config))
        variables = {"LB_CONFIG": str(path), "LB_NAME": config["name"], "LB_LISTEN": config["listen"], **environment}
        return self.start(name, ["/bin/sh", "-c", self._run_command], variables)

    def start(self, name, command, environment):
        """Start a program from the repository's root, with its output in a file of the temporary folder."""
        inherited = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "LAPISPICK_"))}
        with (self._folder / f"{name}.log").open("w") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**inherited, **environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,  # a command that it starts is ended with it
            )
        self._processes.append(process)
        return process

    def close(self):
        """End all processes."""
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
        for process in self._processes:
            process.wait()


def call_ops(address, line, timeout_s=1.0):
    """Return the lines of an answer at an operators' address; an empty list if there is none."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").read().decode().splitlines()
    except OSError:
        return []


def wait_until(condition, timeout_s, pause_s=0.02):
    """Wait until a condition holds; return whether it does."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(pause_s)
    return True


def is_up(ops):
    """Return whether a worker host answers ``check`` with OK."""
    return call_ops(ops, "check")[:1] == ["OK"]
