"""A box's agent: keeps its state, looks at the host's processes, and does what ``rollout/host_state.py`` decides.

The state is on disk before anything that follows from it is done. The agent may end at any instant; the host goes on,
and the next agent of the box finds it.
"""

from __future__ import annotations

import fcntl
import logging
import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from lapispick import atomic_files
from lapispick.agent import processes
from lapispick.agent.generation_store import CONF, PROGRAM, Shelf
from lapispick.agent.processes import Processes
from lapispick.conf.settings import Agent as Settings
from lapispick.host.addresses import parse_address
from lapispick.host.logs import log
from lapispick.host.ops import Operators
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, StreamClosedError, connect
from lapispick.host.worker_threads import Work
from lapispick.rollout import host_state, messages
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_state import Bounds, Kill, Reload, Seen, Start, State, Term

LOG = "agent"
STATE, LOCK, LIVES = "state.json", "agent.lock", "lives"
ASK_S = 1.0  # s; an operators' answer is due by then
CALLERS = 16  # at once
LIVES_KEPT = 10  # lives whose configuration and log stay
LOG_MOST = 8 << 20  # bytes of one process's log; as many again are kept of what came before
PASSED = ("check", "vars", "drain-on", "drain-off")  # calls that the host itself answers
_read = msgspec.json.Decoder(State).decode


class Unfit(Exception):
    """No agent can run here; the text says why."""


class Store:
    """The state on disk, held by one agent at a time."""

    def __init__(self, folder: Path, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / STATE
        self._lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise Unfit(f"{folder}: another agent runs here") from None
        try:
            self.state = _read(self._path.read_bytes())
        except FileNotFoundError:
            self.state = State(name)
        except (OSError, msgspec.MsgspecError) as err:
            raise Unfit(f"{self._path}: can't be read: {err}; move it away and name the good generation anew") from None
        if self.state.version > State("").version:
            raise Unfit(f"{self._path}: has version {self.state.version}, from a later program")
        if self.state.box != name:
            raise Unfit(f"{self._path}: belongs to {self.state.box}, not {name}")

    def put(self, state: State) -> None:
        """Let this state be the one that counts; raises ``OSError``."""
        atomic_files.put(self._path, msgspec.json.encode(state))


class Agent:
    """All parts of one agent."""

    def __init__(self, name: str, settings: Settings, base: dict[str, Any], python: str = sys.executable) -> None:
        """Take the folder; raises ``Unfit`` and ``OSError``."""
        self.name, self.settings, self._base, self._python = name, settings, base, python
        self._memory_mb = float(base.get("limits", {}).get("memory_mb", 0.0))
        self.folder = Path(str(settings.folder)).absolute()
        self.store = Store(self.folder, name)
        self.state, self.shelf = self.store.state, Shelf(self.folder / "generations", python)
        self.processes = Processes(f"{name}:{self.folder}")
        self.loop = EventLoop()
        self.work = Work(self.loop)
        self._known = self.shelf.all()
        self._takes: frozenset[int] = frozenset()
        self._silent: frozenset[int] = frozenset()
        self._turn = self._wants = False  # the turn to change is here; it is asked for
        self._busy, self._failed = False, 0.0
        self._waiting: list[Callable[[], None]] = []
        calls = {"status": self._status, **{word: lambda word=word: self._passed(word) for word in PASSED}}
        self.operators = Operators(self.loop, parse_address(settings.listen, 0), CALLERS, calls, self._call)

    def point(self, name: str) -> None:
        """Mark a named point; kills at each of them are tested."""

    def adopt(self, generation: str) -> None:
        """Let a generation be the good one where the box has none so far; raises ``Unfit``."""
        if self.state.good or not generation:
            return
        if generation not in self._known:
            raise Unfit(f"{generation} is not on the shelf {self.shelf.folder}")
        self.state = msgspec.structs.replace(host_state.copy(self.state), good=generation, wanted=generation)

    def run(self) -> None:
        """Run until told to end; the host goes on."""
        self.processes.find()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.loop.stop())
        self.loop.spawn(self.operators.serve)
        self.loop.spawn(self._serve)
        log(
            LOG,
            logging.INFO,
            "agent-started",
            box=self.name,
            at=self.operators.address,
            phase=self.state.phase,
            good=self.state.good or "none",
            lives=len(self.processes.alive()),
        )
        self.loop.run()

    # Looks.

    def _serve(self) -> None:
        for life in self.state.lives:  # the agent before this one may have ended before it told the process
            if (
                life.role == host_state.SERVING
                and life.took
                and life.number in self.processes.alive()
                and life.generation in self._known
            ):
                self._configure(life)
                self.processes.signal(life.number, signal.SIGHUP)
        while True:
            try:
                self._look()
            except OSError as err:  # a disk that fails: nothing is done that is not kept, and what runs goes on
                if time.monotonic() - self._failed > 5:
                    self._failed = time.monotonic()
                    log(LOG, logging.ERROR, "agent-disk-failed", error=err)
            self.loop.sleep(self.settings.look)

    def _seen(self) -> Seen:
        return Seen(self.processes.alive(), self._takes, self._known, processes.boot(), self._silent, self._turn)

    def _look(self) -> None:
        self._known = self.work.do(self._housekept)
        alive = self.processes.alive()
        answers = {
            life.number: self._asked(life.slot, "check") for life in list(self.state.lives) if life.number in alive
        }
        self._takes = frozenset(number for number, answer in answers.items() if answer == ["OK"])
        self._silent = frozenset(number for number, answer in answers.items() if answer is None)
        if self.settings.turn:
            self._ask_turn()
        self._do(lambda: host_state.step(self.state, time.monotonic(), self._seen(), self._bounds()))

    def _ask_turn(self) -> None:
        """Ask the host, as a member, for the turn while an unconfirmed change is to be undone; give it back after."""
        wants = self.state.phase == host_state.RETURNING and self.state.fault == host_state.LATE
        if wants or self._wants:
            word = "want" if wants else "done"
            answer = self._passed(f"{word} {self.settings.turn} agent")
            self._turn, self._wants = wants and answer[0].startswith("OK held"), wants
            if wants:
                log(LOG, logging.DEBUG, "agent-turn", answer=answer[0])

    def _housekept(self) -> dict[str, Generation]:
        """Return the shelf; a log that grew too long gives way to its own last part, as processes append to it."""
        for path in self.folder.glob(f"{LIVES}/*.log"):
            if path.stat().st_size > LOG_MOST:
                path.with_suffix(".old").write_bytes(path.read_bytes())
                os.truncate(path, 0)
        return self.shelf.all()

    def _bounds(self) -> Bounds:
        return Bounds(
            self.settings.start, self.settings.stop, turn_wait=self.settings.turn_wait if self.settings.turn else 0.0
        )

    def _do(self, decide: Callable[[], tuple[State, list[Any]]]) -> list[Any]:
        """Decide, keep what was decided, and only then do it; one at a time."""
        while self._busy:
            self.loop.sleep(0.002)
        self._busy = True
        try:
            state, made = decide()
            if state != self.state:
                self.point("decided")
                self.work.do(self.store.put, state)
                self._tell(state)
                self.state = state
                self.point("kept")
            for action in made:
                if not isinstance(action, str):
                    self._act(action)
            return made
        finally:
            self._busy = False

    def _tell(self, state: State) -> None:
        was = self.state
        if (was.phase, was.wanted, was.fault) != (state.phase, state.wanted, state.fault):
            log(
                LOG,
                logging.INFO,
                "agent-phase",
                phase=state.phase,
                wanted=state.wanted,
                good=state.good,
                rollout=state.rollout or "none",
                fault=state.fault or "none",
            )

    def _act(self, action: host_state.Action) -> None:
        if isinstance(action, Start):
            if action.life.number in self.processes.alive():
                return
            self.point("starting")
            self._configure(action.life)
            self.work.do(self._start, action.life)
            log(LOG, logging.INFO, "host-started", life=action.life.number, generation=action.life.generation)
            self.point("started")
        elif isinstance(action, Reload):
            self.point("reloading")
            self._configure(action.life)
            self.processes.signal(action.life.number, signal.SIGHUP)
            log(LOG, logging.INFO, "host-reloaded", life=action.life.number, generation=action.life.generation)
            self.point("reloaded")
        elif isinstance(action, Term):
            self.point("telling")
            self.processes.signal(action.number, signal.SIGTERM)
            self.point("told")
        elif isinstance(action, Kill):
            self.point("killing")
            self.processes.kill(action.number)
            log(LOG, logging.WARNING, "host-killed", life=action.number)

    def _paths(self, number: int) -> tuple[Path, Path]:
        folder = self.folder / LIVES
        return folder / f"{number}.json", folder / f"{number}.log"

    def _configure(self, life: host_state.Life) -> None:
        """Write the platform's configuration for a life."""
        generation = self._known[life.generation]
        told = {
            **self._base,
            **generation.config,
            "ops": self.settings.slot_ops[life.slot],
            "seed": os.urandom(8).hex(),
        }
        if self.settings.slot_executors:
            told["executor"] = self.settings.slot_executors[life.slot]
        path, _ = self._paths(life.number)
        path.parent.mkdir(exist_ok=True)
        self.work.do(atomic_files.put, path, msgspec.json.encode(told))

    def _start(self, life: host_state.Life) -> None:
        home, (config, logged) = self.shelf.folder / life.generation, self._paths(life.number)
        shared = self.folder / "tmp"
        shared.mkdir(exist_ok=True)
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "LAPISPICK_"))}
        environ |= {
            "LB_CONFIG": str(config),
            "LAPISPICK_CONF": str(home / CONF),
            "TMPDIR": str(shared),
            "PYTHONPATH": str(home / PROGRAM),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LAPISPICK_GENERATION": life.generation,
        }
        self.processes.start(life.number, [self._python, "-m", processes.PROGRAM], home / PROGRAM, environ, logged)
        for old in self.folder.glob(f"{LIVES}/*.*"):  # what lives before left; nothing may grow with time
            if old.stem.isdecimal() and int(old.stem) <= life.number - LIVES_KEPT:
                old.unlink(missing_ok=True)
        for gone in self.shelf.prune(self.settings.keep, host_state.protected(self.state)):
            shutil.rmtree(self.shelf.folder / gone, ignore_errors=True)

    # Calls.

    def _asked(self, slot: int, word: str) -> list[str] | None:
        """Ask the host at one of its operators' addresses; None where it does not answer in time."""
        try:
            stream = connect(self.loop, parse_address(self.settings.slot_ops[slot]), ASK_S)
        except OSError:
            return None
        lines, end = [], time.monotonic() + ASK_S
        try:
            stream.write(word.encode() + b"\n")
            while (line := stream.read_line(max(0.001, end - time.monotonic()))) is not None:
                lines.append(line.decode("ascii", "replace"))
        except (OSError, LineTooLongError, StreamClosedError):
            return None
        finally:
            stream.close()
        return lines

    def _passed(self, word: str) -> list[str]:
        serving = self.state.life(host_state.SERVING)
        answer = self._asked(serving.slot, word) if serving is not None else None
        return answer or ["ERR no host serves here"]

    def _status(self) -> list[str]:
        told = host_state.status(self.state, time.monotonic(), self._seen())
        return messages.told(msgspec.structs.replace(told, memory_mb=self._memory_mb))

    def _call(self, line: str) -> list[str]:
        """Take a call that changes something; the answer is given once what it changed is on disk."""
        try:
            asked = messages.read(line)
        except ValueError as err:
            return [f"ERR {err}"]
        try:
            answer = self._do(lambda: host_state.call(self.state, asked, time.monotonic(), self._seen()))
        except OSError as err:
            return [f"ERR the state can't be kept: {err.strerror}"]
        self.point("answering")
        log(LOG, logging.INFO, "agent-called", call=line, answer=answer[0])
        return [*answer, *self._status()[1:]] if answer[0].startswith("OK") else answer
