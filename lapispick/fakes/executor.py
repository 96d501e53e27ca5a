"""A fake executor: the process beside a worker host that executes requests."""

import base64
import contextlib
import json
import threading
import time
from typing import NamedTuple

from lapispick.fakes.fake_server import FakeServer, is_closed_by_peer
from lapispick.fakes.messages import encode_base64
from lapispick.fakes.waiting import wait_until

MAX_RESENT_NOTICES = 4000
RUN_SPENT_MS = 20.0
WELCOME_SPENT_MS = 1000
GAUGE_READINGS = (0.2, 0.5, 0.1, 3.0)
# Bodies of requests that the executor treats as abandoned: it ends them at once, without a run, with this outcome.
ABANDONED_OUTCOME_BY_BODY = {"over": "cancelled", "never": "unknown"}


class Run(NamedTuple):
    """A run that was started."""

    task: str
    handler: str
    body: str


class Executor(FakeServer):
    """A fake executor that runs each request as its body says.

    - ``hold`` waits for ``end_run``;
    - ``call:X`` requests a store call with body X and ends when the call returns;
    - ``stay:X`` requests the same call, and when it returns waits for ``end_run``;
    - ``error`` and ``unknown`` fail;
    - the keys of ``ABANDONED_OUTCOME_BY_BODY`` end at once with their outcome;
    - all others succeed at once, or after ``work_s`` on one of the cores.
    """

    def __init__(self, work_s=0.0, cores=2, is_up=True):
        self.runs = []
        self.commands = []
        self.received_verbs = []
        self.notices = []
        self.waiting_calls = {}  # index of the notice of the call that a run waits for, by task
        self.connection = None
        self.is_up = is_up
        self.work_s = work_s
        self.slots = threading.Semaphore(cores)
        self.resends_all_notices = False  # on a new connection
        self.max_resent_notices = MAX_RESENT_NOTICES  # on a new connection; older ones are lost
        # If a list, it collects the commands for the fence of a link, which are then not answered. The answer shows the
        # host that it has read all notices that it missed.
        self.withheld_fences = None
        self.index_type = int  # with float, indexes are written like 7.0
        self.ignores_commands = False  # read commands without handling them, like a connection about to break
        super().__init__()

    def serve(self, connection):
        for line in connection.makefile("rb"):
            command = json.loads(line)
            self.received_verbs.append(command["verb"])
            with self.lock:
                if command["verb"] == "JOIN" and is_closed_by_peer(connection):
                    # The host may already have joined on its next connection before this thread read the command.
                    return
                if not self.ignores_commands:
                    self.commands.append(command)
                    handler = getattr(self, "on_" + command["verb"].lower())
                    handler(connection, command)

    def send(self, connection, **message):
        """Send a message without an index."""
        connection.sendall(json.dumps(message).encode() + b"\n")

    def send_notice(self, **notice):
        """Store a notice with its index, and send it on the current connection, if it is open."""
        with self.lock:
            notice["index"] = self.index_type(len(self.notices) + 1)
            self.notices.append(notice)
            with contextlib.suppress(OSError):
                self.send(self.connection, **notice)

    def become_ready(self):
        """Send the host its WELCOME, after a start with ``is_up=False``."""
        with self.lock:
            self.is_up = True
            self.on_join(self.connection, {"index": 0})

    def end_run(self, task, outcome="complete", result="done"):
        """Send the notice that a run has ended."""
        self.send_notice(verb="EXIT", task=task, outcome=outcome, spent=RUN_SPENT_MS, bytes=encode_base64(result))

    def runs_of(self, body):
        """Return the runs of requests with this body."""
        return [run for run in self.runs if run.body == body]

    def wait_for_run(self, body):
        """Wait until a request with this body was started, and return its first run."""
        return wait_until(lambda: self.runs_of(body), f"a run of {body}")[0]

    def end_run_of(self, body, result):
        """End the first run of a request with this body."""
        self.end_run(self.runs_of(body)[0].task, result=result)

    def on_join(self, connection, command):
        self.connection = connection
        if not self.is_up:
            return
        self.send(connection, verb="WELCOME", outcome="hot", spent=WELCOME_SPENT_MS)
        first_missed = 0 if self.resends_all_notices else command["index"]
        for notice in self.notices[first_missed:][-self.max_resent_notices :]:
            self.send(connection, **notice)

    def on_exec(self, connection, command):
        task = command["task"]
        body = base64.b64decode(command["bytes"]).decode()
        if body == "unknown":
            self.send(connection, verb="BAD", outcome="EXEC", task=task)
        elif body in ABANDONED_OUTCOME_BY_BODY:
            self.send_notice(verb="EXIT", task=task, outcome=ABANDONED_OUTCOME_BY_BODY[body], spent=0, bytes="")
        else:
            run = Run(task, command["handler"], body)
            self.runs.append(run)
            self._start(run)

    def _start(self, run):
        if run.body.startswith(("call:", "stay:")):
            _, _, call_body = run.body.partition(":")
            self.request_call(run.task, call_body)
        elif run.body == "error":
            self.end_run(run.task, outcome="error", result="")
        elif self.work_s:
            threading.Thread(target=self._work, args=(run.task, run.body), daemon=True).start()
        elif run.body != "hold":
            self.end_run(run.task, result=f"did {run.body}")

    def request_call(self, task, body):
        """Let a run request a call."""
        with self.lock:
            self.waiting_calls[task] = len(self.notices) + 1
            self.send_notice(verb="CALLOUT", task=task, bytes=encode_base64(body))

    def _work(self, task, body):
        with self.slots:
            time.sleep(self.work_s)
        self.end_run(task, result=f"did {body}")

    def on_kill(self, connection, command):
        self.end_run(command["task"], outcome="cancelled", result="")

    def on_wake(self, connection, command):
        # This executor cancels a run by ending it, so none can be resumed.
        self.send(connection, verb="BAD", outcome="WAKE", task=command["task"])

    def on_return(self, connection, command):
        """Give a reply to whichever call the run waits for, as the command does not name one."""
        index = self.waiting_calls.pop(command["task"], None)
        if index is not None:
            self.on_call_replied(command["task"], index, base64.b64decode(command["bytes"]))

    def on_call_replied(self, task, index, reply):
        """Continue a run whose call of this notice got a reply."""
        if not self._body_of(task).startswith("stay:"):
            self.end_run(task, result=reply)

    def on_bypass(self, connection, command):
        """End a run without its call, if it waits for the call of the notice that the command names."""
        if self.waiting_calls.get(command["task"]) == command["index"]:
            del self.waiting_calls[command["task"]]
            self.end_run(command["task"], result="poorer")

    def on_meter(self, connection, command):
        if command["nonce"] == "fence" and self.withheld_fences is not None:
            self.withheld_fences.append((connection, command))
            return
        self.send(connection, verb="METERS", nonce=command["nonce"], readings=GAUGE_READINGS)

    def on_diag(self, connection, command):
        self.send(connection, verb="DIAGNOSED", nonce=command["nonce"], outcome="complete")

    def _body_of(self, task):
        return next(run.body for run in self.runs if run.task == task)
