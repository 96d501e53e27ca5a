"""Stand-ins and helpers of the review's cases 6 to 10: executor, store, registry, gateways, and the worker host.

The stand-ins do what the protocol pages say and nothing else. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
REFUSED_CODE = -32050
ANSWER_SLACK_S = 0.11  # 60 ms of the rule and 50 ms for sockets
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.time()

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._file.write(f"{time.time() - self._began:8.3f} {text}\n")
        self._file.flush()


class Executor:
    """The executor: runs take as long as their body says, and notices are numbered and kept.

    A body is JSON: ``run_s`` is the time of a run, ``call`` the body of a call that it makes first, if any.
    """

    def __init__(self, record: Record, name: str = "executor") -> None:
        self.record = record
        self.name = name
        self.runs: list[dict[str, Any]] = []
        self.notices: list[dict[str, object]] = []
        self.kept = True
        self.address = ""
        self._writer: asyncio.StreamWriter | None = None
        self._waiting: dict[str, asyncio.Future[bytes | None]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=1 << 20)
        self.address = address_of(self._server)

    def runs_of(self, trace: str) -> list[dict[str, Any]]:
        """Return the runs of an attempt."""
        return [run for run in self.runs if run["task"] == trace]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self._on_command(json.loads(line), writer)
        writer.close()

    def _on_command(self, command: dict[str, object], writer: asyncio.StreamWriter) -> None:
        verb, task = command["verb"], str(command.get("task", ""))
        if verb == "JOIN":
            self._writer = writer
            self._send(verb="WELCOME", outcome="hot", spent=60000)
            for notice in self.notices[int(str(command["index"])) :]:
                self._send(**notice)
        elif verb == "METER":
            self._send(verb="METERS", nonce=command["nonce"], readings=[0.3, 1, 0.1, 2])
        elif verb == "DIAG":
            self._send(verb="DIAGNOSED", nonce=command["nonce"], outcome="complete")
        elif verb == "EXEC" and task not in self._tasks:
            run = {"task": task, "handler": str(command["handler"]), "body": str(command["bytes"]), "at": time.time()}
            self.runs.append(run)
            self.record.add(f"{self.name} runs {task} {run['handler']} with a body of {len(run['body'])} characters")
            self._tasks[task] = asyncio.ensure_future(self._run(run))
        elif verb == "KILL" and task in self._tasks and not self._tasks[task].done():
            self._tasks[task].cancel()
            self._notify(verb="EXIT", task=task, outcome="cancelled", spent=1)
        elif verb in ("RETURN", "BYPASS"):
            waiting = self._waiting.pop(task, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(base64.b64decode(str(command["bytes"])) if verb == "RETURN" else None)

    async def _run(self, run: dict[str, Any]) -> None:
        began = time.monotonic()
        task = run["task"]
        body = base64.b64decode(run["body"])
        plan = json.loads(body) if body.startswith(b"{") else {}
        if "call" in plan:
            waiting = self._waiting[task] = asyncio.get_running_loop().create_future()
            self._notify(verb="CALLOUT", task=task, bytes=encoded(plan["call"].encode()))
            await waiting
        await asyncio.sleep(plan.get("run_s", 0.02))
        spent_ms = (time.monotonic() - began) * 1000
        self._notify(verb="EXIT", task=task, outcome="complete", spent=spent_ms, bytes=encoded(b"done " + body[:64]))

    def _notify(self, **notice: object) -> None:
        notice["index"] = len(self.notices) + 1
        self.notices.append(notice)
        self._send(**notice)

    def _send(self, **message: object) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(json.dumps(message).encode() + b"\n")


class Store:
    """The store: answers each call with 200 and a body of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.calls: list[str] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = address_of(await asyncio.start_server(self._serve, LOOPBACK, 0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                size = int(head.partition("content-length:")[2].split()[0])
                body = await reader.readexactly(size)
                self.calls.append(body.decode())
                reply = f"reply {len(self.calls)}".encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n".encode() + reply)
        writer.close()


class Gateway:
    """A gateway's connection to the worker host, with the answers by request id."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.answers: dict[int, dict[str, object]] = {}
        self.answered_at: dict[int, float] = {}
        self.answered_twice: list[int] = []
        self.others: list[dict[str, object]] = []  # messages that answer no request
        self.ended_at = 0.0
        self.last_id = 0
        self.writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def connect(self, address: str) -> Gateway:
        """Connect, and read in the background."""
        host, port = address.split(":")
        reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self._reading = asyncio.ensure_future(self._read(reader))
        return self

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                message = json.loads(line)
                self.record.add(f"{self.name} reads {line.decode().strip()[:200]}")
                number = message.get("id")
                if number is None:
                    self.others.append(message)
                elif number in self.answers:
                    self.answered_twice.append(number)
                else:
                    self.answers[number] = message
                    self.answered_at[number] = time.time()
        self.ended_at = time.time()
        self.record.add(f"{self.name} reads the end of the connection")

    def message(self, method: str, body: bytes, **fields: object) -> dict[str, object]:
        """Return a new request as the protocol page gives its fields."""
        self.last_id += 1
        params = {
            "trace": f"{random.getrandbits(64):016x}",
            "born": int(time.time() * 1000),
            "client": 4,
            "customer": "acme",
            "patience": 4000,
            "size": 24.5,
            "order": 0.625,
            "doc": encoded(body),
            **fields,
        }
        return {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}

    def write(self, data: bytes, what: str) -> None:
        """Write bytes to the worker host."""
        assert self.writer is not None
        self.record.add(f"{self.name} writes {len(data)} bytes: {what}")
        self.writer.write(data)

    def send(self, method: str, body: bytes, **fields: object) -> dict[str, object]:
        """Send a request as one line, and return it."""
        message = self.message(method, body, **fields)
        self.write(json.dumps(message).encode() + b"\n", f"request {message['id']} {method}")
        return message

    def kind(self, number: int) -> str:
        """Return how a request was answered: served, refused, failed or nothing."""
        answer = self.answers.get(number)
        if answer is None:
            return "nothing"
        if "result" in answer:
            return "served"
        error = answer["error"]
        assert isinstance(error, dict)
        return "refused" if error["code"] == REFUSED_CODE else "failed"

    async def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        if self._reading is not None:
            self._reading.cancel()


class Host:
    """The worker host, started by the command ``run`` of the deploy file in its own temporary folder."""

    def __init__(self, record: Record, folder: Path, config: dict[str, object], name: str = "host") -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.config = config
        self.environ: dict[str, str] = {}
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until a health check is good."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(temporary), **self.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.add(f"{self.name} started")
        end = time.monotonic() + 30
        while not await self.is_healthy():
            if self.process.returncode is not None or time.monotonic() > end:
                raise NotRunError(f"{self.name} did not become healthy: {self.log()[-2000:]}")
            await asyncio.sleep(0.1)
        self.record.add(f"{self.name} is healthy")

    async def is_healthy(self) -> bool:
        """Send a health check on a connection of its own, and return whether the answer is good."""
        host, port = str(self.config["listen"]).split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"probe","params":{}}\n')
            line = await asyncio.wait_for(reader.readline(), 2)
            return bool(line) and json.loads(line).get("result", {}).get("healthy") is True
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def says_yes(self) -> bool:
        """Make the operators' call ``check``, and return whether this process takes clients."""
        host, port = str(self.config["ops"]).split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"check\n")
            answer = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"OK")

    def log(self) -> str:
        """Return the log of the process."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    def is_running(self) -> bool:
        """Return True if the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


def encoded(data: bytes) -> str:
    """Return bytes as base64."""
    return base64.b64encode(data).decode()


def decoded(text: str) -> bytes:
    """Return the bytes of base64."""
    return base64.b64decode(text)


def address_of(server: asyncio.Server) -> str:
    """Return the address of a server."""
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{sock.getsockname()[1]}"


def settings(effects: dict[str, str], **family: object) -> dict[str, object]:
    """Return settings like those of a small deployment; ``effects`` gives classes another effect on repeats."""
    made = {
        "Bounds": {"CpuUsPerRequest": 0.0, "CpuUsPerS": 60000, "MaxRetryAfter": 1000.0, "RetryAfter": True},
        "Callers": {"MarksRetry": True},
        "FailureDomains": ["militari"],
        "FamilyInfo": {
            "Advert": "level",
            "Below": "shared",
            "CallsByClass": [True, True],
            "CallsOut": 5.0,
            "ClassSkipWorth": [0.3, 0.0],
            "Cold": False,
            "Cores": 6,
            "DepWindow": 5000.0,
            "Fresh": 0.0,
            "FullChecks": True,
            "Gauges": ["core_use", "on_cores", "heap_share", "links"],
            "Halt": "drop",
            "HangupSeen": True,
            "Idle": 30000.0,
            "KbPerKey": 114.89,
            "Linger": 200.0,
            "MemoryKb": 29508.0,
            "PassesDeadline": True,
            "Readiness": True,
            "RunMemFactor": 8.0,
            "SaidFor": 1000.0,
            "Upstreams": 3,
            **family,
        },
        "Guarantees": {
            "AnswerSlack": 60.0,
            "ColdFrom": 0.2,
            "DrainGrace": 1800.0,
            "Fall": 1500.0,
            "FallMultiple": 8.0,
            "WarmUp": 16000.0,
        },
        "KindOfService": "server",
        "Layer": 0,
        "LoadInfo": {"Columns": [], "Source": "off"},
        "Me": 7,
        "MyZone": 0,
        "OverShareWorth": 0.1,
        "Parties": [{"Name": "acme", "QuotaRps": 45.0, "Share": 1.0}],
        "PeersTotal": 11,
        "Resolution": 2.0,
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
                "Window": 14286.0,
                "Worth": 5.0,
            },
        ],
        "Stages": ["dispatch-fleet"],
        "ValueBy": "request",
    }
    services: list[dict[str, object]] = made["Services"]  # type: ignore[assignment]
    for service in services:
        service["Idempotency"] = effects.get(str(service["Name"]), service["Idempotency"])
    return made


class Setup:
    """The stand-ins of one worker host, and its configuration."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.executor = Executor(record)
        self.store = Store(record)
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.hosts: list[Host] = []
        self.listen = free_address()
        self.effects: dict[str, str] = {}

    async def start(self, **family: object) -> Host:
        """Start the stand-ins and the worker host."""
        self.registry.bind((LOOPBACK, 0))
        await self.executor.start()
        await self.store.start()
        host = self.make_host("host", self.executor.address, **family)
        await host.start()
        return host

    def make_host(self, name: str, executor: str, **family: object) -> Host:
        """Return a process of the worker host that is not started yet."""
        config = {
            "name": "n3",
            "listen": self.listen,
            "ops": free_address(),
            "executor": executor,
            "roster": "{}:{}".format(*self.registry.getsockname()),
            "store": self.store.address,
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings(self.effects, **family),
        }
        host = Host(self.record, self.folder, config, name)
        self.hosts.append(host)
        return host

    async def stop(self) -> None:
        """End all processes."""
        for host in self.hosts:
            await host.kill()
        self.registry.close()


def main(case: Path, run, limit_s: float = 110.0) -> int:
    """Run a case: ``run`` takes the set-up and whether there is trouble, and returns the faults that it saw."""
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if trouble else 'no'}")

    async def play() -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            setup = Setup(record, Path(folder))
            try:
                return await asyncio.wait_for(run(setup, trouble), limit_s)
            finally:
                await setup.stop()

    try:
        faults = asyncio.run(play())
    except Exception as err:  # noqa: BLE001 - a fault of the case itself must not look like a broken rule
        record.add(f"the case could not run: {err!r}")
        print(f"the case could not run: {err!r}", file=sys.stderr)
        return NOT_RUN
    for fault in faults:
        record.add(f"BROKEN: {fault}")
        print(f"rule broken: {fault}")
    if not faults:
        record.add("the rule held")
        print("the rule held")
    return BROKEN if faults else HELD
