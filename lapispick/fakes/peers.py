"""Stand-ins for all that the worker host talks to, and the worker host itself as a process."""

import base64
import contextlib
import itertools
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

from lapispick.host.amqp import codec

WAIT = 15.0  # s; how long anything may take that is expected to happen
OWED = 3.0  # s; by then a bad client has its refusal, error or close
INFO = {
    "Bounds": {"MaxRetryAfter": 1000.0, "RetryAfter": True},
    "FamilyInfo": {
        "Advert": "level",
        "Below": "shared",
        "CallsOut": 5.0,
        "ClassSkipWorth": [0.3, 0.0],
        "Cold": False,
        "Cores": 2,
        "DepWindow": 5000.0,
        "Halt": "drop",
        "Idle": 30000.0,
        "Gauges": ["core_use", "on_cores", "heap_share", "links"],
        "KbPerKey": 10.0,
        "MemoryKb": 100000.0,
        "RunMemFactor": 8.0,
        "Upstreams": 3,
        "Readiness": True,
        "PassesDeadline": True,
    },
    "Guarantees": {"ColdFrom": 0.2, "DrainGrace": 1800.0, "FallMultiple": 8.0, "WarmUp": 16000.0},
    "Layer": 0,
    "ValueBy": "request",
    "Parties": [{"Name": "shop"}],
    "Services": [
        {
            "GiveUp": 4800.0,
            "Idempotency": "idempotent",
            "LateWorth": 0.0,
            "Name": "track",
            "Promise": 2000.0,
            "Window": 5000.0,
            "Worth": 1.0,
        },
        {
            "GiveUp": 4800.0,
            "Idempotency": "deduplicated",
            "LateWorth": 0.2,
            "Name": "book",
            "Promise": 2000.0,
            "Window": 3000.0,
            "Worth": 5.0,
        },
    ],
}


def until(condition, what="what was waited for"):
    """Wait for a condition and return its value."""
    end = time.monotonic() + WAIT
    while not (value := condition()):
        assert time.monotonic() < end, f"{what} did not happen"
        time.sleep(0.005)
    return value


def b64(text):
    return base64.b64encode(text.encode() if isinstance(text, str) else text).decode()


class Trickle:
    """A socket that sends each byte by itself."""

    def __init__(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        for byte in data:
            self._sock.sendall(bytes([byte]))


class Server:
    """Accepts connections on an ephemeral port, with a thread for each."""

    trickle = False  # send each byte by itself

    def __init__(self):
        self.lock = threading.RLock()
        self.links, self.resets = [], 0
        self.listen()

    def listen(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def move(self):
        """Go on at a new address; the old one soon accepts nothing, and its links are closed after 1.5 s."""
        old, links = self.sock, list(self.links)
        self.listen()
        threading.Timer(0.3, old.shutdown, (socket.SHUT_RDWR,)).start()
        threading.Timer(1.5, self.cut, (links,)).start()

    def _accept(self, sock):
        while True:
            try:
                link, _ = sock.accept()
            except OSError:
                return
            link = Trickle(link) if self.trickle else link
            self.links.append(link)
            threading.Thread(target=self._guarded, args=(link,), daemon=True).start()

    def _guarded(self, link):
        try:
            self.talk(link)
        except ConnectionResetError:
            self.resets += 1
        except (OSError, ValueError, codec.CodecError):
            pass
        finally:
            link.close()

    def cut(self, links=None):
        """Break connections, by default all."""
        for link in list(self.links) if links is None else links:
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
            if link in self.links:
                self.links.remove(link)

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # or the thread that accepts would keep it open
        self.sock.close()
        self.cut()


OVER = {"over": "cancelled", "never": "unknown"}  # bodies of requests that nobody waits for, and their ends


class Executor(Server):
    """Runs by what the body says: ``hold`` waits for ``end``, ``call:X`` asks for a call, others end at once.

    ``stay:X`` asks for a call and then waits for ``end``.

    With ``work_s``, as many runs as there are cores take that long, and the others wait.
    """

    def __init__(self, work_s=0.0, cores=2, up=True):
        self.runs, self.commands, self.notices, self.link, self.up = [], [], [], None, up
        self.heard = []
        self.work_s, self.slots = work_s, threading.Semaphore(cores)
        self.forgetful = False  # sends all notices again on a new link
        self.kept = 4000  # notices; those before them are not told again
        self.fences = None  # a list: the answers that say that all missed notices were read wait in it
        self.deaf = False  # reads commands and does nothing, like a link about to break
        super().__init__()

    def talk(self, link):
        for line in link.makefile("rb"):
            command = json.loads(line)
            self.heard.append(command["verb"])
            with self.lock:
                if not self.deaf:
                    self.commands.append(command)
                    getattr(self, "on_" + command["verb"].lower())(link, command)

    def send(self, link, **message):
        link.sendall(json.dumps(message).encode() + b"\n")

    def tell(self, **notice):
        """Send a numbered notice on the present link, if there is one, and keep it."""
        with self.lock:
            notice["index"] = len(self.notices) + 1
            self.notices.append(notice)
            with contextlib.suppress(OSError):
                self.send(self.link, **notice)

    def on_join(self, link, command):
        self.link = link
        if not self.up:
            return
        self.send(link, verb="WELCOME", outcome="hot", spent=1000)
        for notice in self.notices[0 if self.forgetful else command["index"] :][-self.kept :]:
            self.send(link, **notice)

    def come_up(self):
        with self.lock:
            self.up = True
            self.on_join(self.link, {"index": 0})

    def on_exec(self, link, command):
        body = base64.b64decode(command["bytes"]).decode()
        if body == "unknown":
            return self.send(link, verb="BAD", outcome="EXEC", task=command["task"])
        if body in OVER:
            return self.tell(verb="EXIT", task=command["task"], outcome=OVER[body], spent=0, bytes="")
        self.runs.append((command["task"], command["handler"], body))
        if body.startswith("call:") or body.startswith("stay:"):
            self.tell(verb="CALLOUT", task=command["task"], bytes=b64(body[5:]))
        elif body == "error":
            self.end(command["task"], outcome="error", result="")
        elif self.work_s:
            threading.Thread(target=self._work, args=(command["task"], body), daemon=True).start()
        elif body != "hold":
            self.end(command["task"], result=f"did {body}")

    def _work(self, task, body):
        with self.slots:
            time.sleep(self.work_s)
        self.end(task, result=f"did {body}")

    def end(self, task, outcome="complete", result="done"):
        self.tell(verb="EXIT", task=task, outcome=outcome, spent=20.0, bytes=b64(result))

    def on_kill(self, link, command):
        self.end(command["task"], outcome="cancelled", result="")

    def on_wake(self, link, command):  # what it stops has ended
        self.send(link, verb="BAD", outcome="WAKE", task=command["task"])

    def on_return(self, link, command):
        if not self.ran_as(command["task"]).startswith("stay:"):
            self.end(command["task"], result=base64.b64decode(command["bytes"]))

    def on_bypass(self, link, command):
        self.end(command["task"], result="poorer")

    def on_meter(self, link, command):
        if command["nonce"] == "fence" and self.fences is not None:
            return self.fences.append((link, command))
        self.send(link, verb="METERS", nonce=command["nonce"], readings=[0.2, 0.5, 0.1, 3.0])

    def on_diag(self, link, command):
        self.send(link, verb="DIAGNOSED", nonce=command["nonce"], outcome="complete")

    def ran_as(self, task):
        return next(body for name, _, body in self.runs if name == task)

    def ran(self, body):
        return [run for run in self.runs if run[2] == body]


OK = b"HTTP/1.1 200 OK\r\n"
SPOILT = {  # replies that can't be used; the connection stays open
    "noise": [b"\x00\xff\x17 nothing\r\n\r\n"],
    "bare": [OK + b"\r\n"],
    "minus": [OK + b"Content-Length: -4\r\n\r\n"],
    "both": [OK + b"Content-Length: 4\r\nContent-Length: 7\r\n\r\nfour"],
    "odd": [OK + b"no header\r\n\r\n"],
    "endless": itertools.repeat(b"X-More: of it\r\n" * 99),
    "interim": itertools.repeat(b"HTTP/1.1 102 Wait\r\n\r\n"),
    "huge": itertools.chain([OK + b"Content-Length: 3000000000\r\n\r\n"], itertools.repeat(b"x" * 65536)),
}
EXTRA = {  # what stands before and after a good reply
    "early": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", b""),
    "double": (b"", OK + b"Content-Length: 5\r\n\r\nwrong"),
    "trail": (b"", b"noise\r\n"),
}


class Store(Server):
    """Answers ``STATUS`` or ``STATUS n`` (with X-Not-Run) by the body, and ``late``; or hangs or breaks."""

    def __init__(self):
        self.calls, self.ended, self.used = [], [], set()
        super().__init__()

    @staticmethod
    def asked(file):
        """Yield headers and body of each call on a connection, as long as they come whole."""
        while file.readline():
            headers = {}
            while (line := file.readline()).strip():
                name, _, value = line.decode().strip().partition(": ")
                headers[name] = value
            if not line:  # given up in the middle of its head
                return
            body = file.read(size := int(headers["Content-Length"]))
            if len(body) < size:
                return
            yield headers, body.decode()

    def talk(self, link):
        file = link.makefile("rb")
        for headers, body in self.asked(file):
            self.calls.append((headers["X-For-Request"], float(headers["X-Wait-Ms"]), body, link))
            if body == "hang":
                file.read(1)
                self.ended.append(headers["X-For-Request"])
                return
            if body == "break":
                return
            if body == "late":
                time.sleep(0.5)
                body = "200"
            if body == "forget":  # like a connection that the store had forgotten: reset before any reply
                body = "200"
                if link in self.used:
                    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
            if body == "hang up" and link in self.used:  # ends in the moment in which the next call is written
                return
            if body.startswith("cut "):  # a good reply that ends after so many bytes
                link.sendall((OK + b"Content-Length: 5\r\n\r\nreply")[: int(body[4:])])
                return
            body = "200" if body == "hang up" else body
            self.used.add(link)
            if body in SPOILT:
                for part in SPOILT[body]:
                    link.sendall(part)
                file.read(1)
                return
            before, after = EXTRA.get(body, (b"", b""))
            body = "200" if body in EXTRA else body
            status, _, mark = body.partition("#")[0].partition(" ")  # what stands behind # names an effect
            extra = "X-Not-Run: 1\r\n" if mark else ""
            reply = f"reply {len(self.calls)}"
            head = f"HTTP/1.1 {status} Said\r\n{extra}Content-Length: {len(reply)}\r\n\r\n"
            link.sendall(before + head.encode() + reply.encode() + after)


class Roster:
    """Collects the reports."""

    def __init__(self):
        self.reports = []
        self.move()

    def move(self):
        """Listen at a new address only."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._read, args=(self.sock,), daemon=True).start()

    def _read(self, sock):
        while True:
            try:
                word = sock.recv(200).decode()
                if sock is self.sock:
                    self.reports.append((time.monotonic(), word))
            except OSError:
                return

    def close(self):
        self.sock.close()


def asked(body="x", **over):
    """Return what a request says, with changes."""
    return {
        "trace": f"{random.getrandbits(64):016x}",
        "born": time.time() * 1000,
        "client": 1,
        "customer": "shop",
        "patience": 4000,
        "size": 20.0,
        "order": 0.5,
        "doc": b64(body),
        **over,
    }


class Gateway:
    """One connection of a gateway."""

    def __init__(self, at):
        host, port = at.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=WAIT)
        self.file, self.last, self.answers, self.away = self.sock.makefile("rb"), 0, {}, False

    def send(self, method, **params):
        self.last += 1
        self.raw(json.dumps({"jsonrpc": "2.0", "id": self.last, "method": method, "params": params}).encode())
        return self.last

    def raw(self, line):
        self.sock.sendall(line + b"\n")

    def line(self, method, body="x", number=1, **over):
        """Write a request as a line, with changes; what is changed to None is left out."""
        params = asked(body, **over)
        params = {key: value for key, value in params.items() if value is not None}
        message = {"jsonrpc": "2.0", "id": number, "method": method, "params": params}
        return json.dumps({key: value for key, value in message.items() if value is not None}).encode()

    def request(self, method, body, nonce=None, **over):
        return self.send(method, **asked(body, **over), **({"nonce": nonce} if nonce else {}))

    def read(self):
        """Read one message; an answer is kept under its id, and a second one for an id is a failure."""
        line = self.file.readline()
        assert line, "the connection was closed"
        message = json.loads(line)
        if message.get("method") == "goaway":
            self.away = True
        else:
            assert message["id"] not in self.answers
            self.answers[message["id"]] = message
        return message

    def answer(self, number):
        while number not in self.answers:
            self.read()
        return self.answers[number]

    def word(self, within):
        """Return the messages until nothing more comes, or 'closed' after them; the first one is waited for."""
        got = []
        self.sock.settimeout(OWED)
        with contextlib.suppress(OSError):
            self.file.peek(1)
        self.sock.settimeout(within)
        with contextlib.suppress(TimeoutError):
            try:
                while line := self.file.readline():
                    got.append(json.loads(line))
                got.append("closed")
            except ConnectionError:
                got.append("closed")
        return got

    def result(self, number):
        return base64.b64decode(self.answer(number)["result"]["doc"]).decode()

    def code(self, number):
        return self.answer(number)["error"]["code"]


class Host:
    """The real program as a process, with stand-ins for its peers."""

    def __init__(
        self,
        folder,
        stop_ms=1500,
        environ=None,
        info=None,
        ready=True,
        cwd=None,
        listen="127.0.0.1:0",
        started=True,
        without=(),
        limits=None,
        command=(sys.executable, "-m", "lapispick.host"),
        seed="8c1f30d27a5be964",
        **peers,
    ):
        self.executor = peers.get("executor") or Executor()
        self.store = peers.get("store") or Store()
        self.roster = peers.get("roster") or Roster()
        self.config = {
            "name": "n3",
            "listen": listen,
            "executor": self.executor.at,
            "roster": self.roster.at,
            "store": self.store.at,
            "seed": seed,
            "stop_ms": stop_ms,
            "ops": "127.0.0.1:0",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **(limits or {})},
            "settings": info or INFO,
        }
        self.config = {key: value for key, value in self.config.items() if key not in without}
        self.folder = folder
        self.path = path = folder / f"config{len(list(folder.glob('config*.json'))) or ''}.json"
        path.write_text(json.dumps(self.config))
        self.log_path = path.with_suffix(".log")
        self.process = subprocess.Popen(
            command,
            stderr=self.log_path.open("w"),
            cwd=cwd,
            env={**os.environ, "LB_CONFIG": str(path), **(environ or {})},
        )
        self.at = listen
        if not started:
            return
        try:
            line = until(lambda: re.search(r"event=started .*listen=(\S+)", self.log()), "the start")
            self.at = line.group(1)
            found = re.search(r"event=started .*ops=(\S+)", self.log())
            self.ops = found.group(1) if found else ""  # an earlier version has none
            if ready:
                self.logged("ready")
        except AssertionError:
            self.close()
            raise

    def beside(self, **over):
        """Start the program again beside this one, as an upgrade does: only operators and executor move."""
        told = {
            "store": self.store,
            "roster": self.roster,
            "listen": self.config["listen"],
            "stop_ms": self.config["stop_ms"],
            "info": self.config["settings"],
        }
        return Host(self.folder, **{**told, **over})

    def log(self):
        return self.log_path.read_text()

    def logged(self, event):
        return until(lambda: f"event={event}" in self.log(), f"log line {event}")

    def gateway(self):
        return Gateway(self.at)

    def call(self, line=b"check", end=b"\n"):
        """Call as operators do; return the lines of the answer."""
        host, port = self.ops.split(":")
        with socket.create_connection((host, int(port)), timeout=WAIT) as sock:
            sock.sendall(line + end)
            return sock.makefile("rb").read().decode().splitlines()

    def figures(self):
        """Return the figures by name, without their ``app.``."""
        *lines, last = self.call(b"vars")
        assert last == "END"
        pairs = [re.fullmatch(r"app\.(\S+):(\d+)\|[cg]", line).groups() for line in lines]
        return {name: int(value) for name, value in pairs}

    def memory_mb(self):
        """Return the most memory that the process has held so far."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return int(re.search(r"VmHWM:\s+(\d+)", file.read()).group(1)) / 1024

    def reload(self, text=None, without=(), **over):
        """Replace the configuration, by default with the peers' present addresses, and tell the program."""
        peers = {key: getattr(self, key).at for key in ("executor", "store", "roster") if key not in without}
        seen = self.log().count("event=reload")
        spare = self.path.with_suffix(".new")
        spare.write_text(text or json.dumps({**self.config, **peers, **over}))
        spare.replace(self.path)
        self.process.send_signal(signal.SIGHUP)
        until(lambda: self.log().count("event=reload") > seen, "the reload")

    def leave(self):
        self.process.send_signal(signal.SIGTERM)

    @contextlib.contextmanager
    def stopped(self):
        """Stop the process: what is sent meanwhile waits in the system, and all of it is there when it goes on."""
        self.process.send_signal(signal.SIGSTOP)
        until(self.is_stopped, "the stop")
        yield
        self.process.send_signal(signal.SIGCONT)

    def is_stopped(self):
        """Tell whether the process stands still, or has ended."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return re.search(r"State:\s+[TZ]", file.read()) is not None

    def close(self):
        self.process.kill()
        self.process.wait()
        for peer in (self.executor, self.store, self.roster):
            peer.close()
