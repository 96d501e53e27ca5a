"""Follows the list of boxes: asks the helper process for it, lets it be judged and hands on what is accepted.

The loop itself touches no disk and parses no file; it takes the changes in parts, with others' turns between.
"""

from __future__ import annotations

import logging
import random
import socket
import subprocess
import sys
import time
from collections.abc import Callable

import msgspec

from lapispick import jitter
from lapispick.conf.settings import Inventory as Settings
from lapispick.fleet.acceptance import Acceptance, Phase, Policy, Seen, Verdict
from lapispick.fleet.members import Members
from lapispick.fleet.messages import Begin, FromHelper, Keep, Kept, Listed, Look, Part, Status, Trouble
from lapispick.fleet.reading import Options
from lapispick.fleet.schema import Schema
from lapispick.fleet.snapshot import EMPTY, Difference, History, Snapshot, Version
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError

LOG = "inventory"
ANSWER_S = 60.0  # s; for one message of the helper; a helper that takes longer is ended
PAUSE_S = (0.2, 10.0)  # s; first and longest pause before another helper is started
LINE_MOST = 8 << 20  # bytes of one message of the helper
NAMES_MOST = 50  # names of one kind in the history

Taker = Callable[[Snapshot, Difference], None]


class Disagreement(Exception):
    """Helper and host do not hold the same list, or the helper says what can't be read."""


def options(settings: Settings, schema: Schema) -> Options:
    """Return how the files are read."""
    return Options(
        settings.group,
        schema,
        settings.domain,
        settings.delimiter,
        settings.end_marker,
        settings.final_newline,
        settings.boxes_most,
    )


def policy(settings: Settings) -> Policy:
    """Return when a list is accepted."""
    return Policy(**{f.name: getattr(settings, f.name) for f in msgspec.structs.fields(Policy)})


class Inventory:
    """The list of boxes as it stands for this host."""

    def __init__(self, loop: EventLoop, settings: Settings, schema: Schema, take: Taker) -> None:
        self._loop, self._settings, self._schema, self._take = loop, settings, schema, take
        self.acceptance = Acceptance(policy(settings))
        self.history = History(settings.history)
        self.members = Members(settings.returns, settings.boxes_most)
        self._received = EMPTY  # what the helper sent last
        self._process: subprocess.Popen[bytes] | None = None
        self._stream: Stream | None = None
        self._decode = msgspec.json.Decoder(FromHelper).decode
        self._encode = msgspec.json.Encoder().encode

    def serve(self) -> None:
        """Follow the list, for ever; a helper that ends is replaced."""
        pause = PAUSE_S[0]
        while True:
            began = time.monotonic()
            try:
                self._start()
                self._follow()
            except (OSError, StreamClosedError, LineTooLongError, msgspec.MsgspecError, Disagreement) as err:
                log(LOG, logging.ERROR, "helper-ended", error=err, again_s=pause)
            self._end()
            self._loop.sleep(jitter.pause(pause, random.random()))
            lasted = time.monotonic() - began > 60
            pause = PAUSE_S[0] if lasted else min(PAUSE_S[1], pause * 2)

    def _start(self) -> None:
        ours, theirs = socket.socketpair()
        try:
            # A session of its own: a Ctrl-C meant for the host must not end the helper before a drain is over.
            self._process = subprocess.Popen(
                [sys.executable, "-m", "lapispick.fleet.helper"],
                stdin=theirs,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                start_new_session=True,
            )
        finally:
            theirs.close()
        self._stream = Stream(self._loop, ours, LINE_MOST)
        self._received = EMPTY

    def _end(self) -> None:
        if self._stream is not None:
            self._stream.close()
        if self._process is not None:
            self._process.kill()
            while self._process.poll() is None:
                self._loop.sleep(0.02)
        self._stream = self._process = None

    def _send(self, message: msgspec.Struct) -> None:
        assert self._stream is not None
        self._stream.write(self._encode(message) + b"\n")

    def _read(self) -> FromHelper:
        assert self._stream is not None
        line = self._stream.read_line(ANSWER_S)
        if line is None:
            raise StreamClosedError("the helper closed its socket")
        message = self._decode(line)
        if isinstance(message, Trouble):
            log(LOG, logging.ERROR, "state-failed", fault=message.text)
            return self._read()
        return message

    def _parts(self, head: Kept | Listed) -> None:
        """Take over the changes that follow; others have their turn between the parts."""
        for _ in range(head.parts):
            part = self._read()
            if not isinstance(part, Part):
                raise Disagreement(f"{type(part).__name__} came in place of a part")
            self._received = self._received.changed(part.put, part.gone)
            self._loop.yield_control()
        if head.digest and head.digest != self._received.digest:
            raise Disagreement("the helper's digest is another")

    def _follow(self) -> None:
        settings = self._settings
        self._send(
            Begin(
                str(settings.path),
                settings.size_most,
                options(settings, self._schema),
                str(settings.state_folder or ""),
                settings.history,
            )
        )
        kept = self._read()
        if not isinstance(kept, Kept):
            raise Disagreement(f"{type(kept).__name__} came first")
        self._parts(kept)
        self._last_good(kept)
        while True:
            self._send(Look())
            listed = self._read()
            if not isinstance(listed, Listed):
                raise Disagreement(f"{type(listed).__name__} came in place of a list")
            self._parts(listed)
            seen = Seen(None if listed.faults else self._received, listed.faults, listed.unfinished, listed.accept)
            self._judged(self.acceptance.see(time.monotonic(), seen), listed)
            self._loop.sleep(settings.look)

    def _last_good(self, kept: Kept) -> None:
        if kept.fault:
            log(LOG, logging.ERROR, "last-good-unusable", fault=kept.fault)
        if not kept.digest or self.acceptance.accepted is not None:
            return
        now = time.time()
        log(
            LOG,
            logging.WARNING,
            "last-good",
            boxes=len(self._received.boxes),
            digest=kept.digest[:12],
            age_s=int(max(0.0, now - kept.at)),
        )
        diff = Difference(tuple(self._received.boxes))
        self.acceptance.accepted = self._received
        self.history.add(Version(kept.at, self._received, diff, "last good"))
        self.members.apply(time.monotonic(), diff.joined, ())
        self._take(self._received, diff)

    def _judged(self, verdict: Verdict, listed: Listed) -> None:
        if verdict.accepted is not None:
            self._accepted(verdict, verdict.accepted)
        if not verdict.news:
            return
        self._tell(verdict, listed)
        accepted = self.acceptance.accepted
        self._send(
            Status(
                {
                    "at": time.time(),
                    "phase": verdict.phase.value,
                    "ground": verdict.ground,
                    "accepted": accepted.digest if accepted else "",
                    "boxes": len(accepted.boxes) if accepted else 0,
                    "candidate": listed.digest,
                    "faults": [str(f) for f in listed.faults],
                }
            )
        )

    def _accepted(self, verdict: Verdict, accepted: Snapshot) -> None:
        now, diff = time.time(), verdict.difference
        self.history.add(Version(now, accepted, diff, verdict.ground))
        for member in self.members.apply(time.monotonic(), diff.joined, diff.left):
            log(LOG, logging.INFO, "box-returned", name=member.name, incarnation=member.incarnation)
        log(
            LOG,
            logging.INFO,
            "inventory-accepted",
            digest=accepted.digest[:12],
            boxes=len(accepted.boxes),
            ground=verdict.ground,
            **diff.counts(),
        )
        self._take(accepted, diff)
        names = {key: list(part[:NAMES_MOST]) for key, part in zip(diff._fields, diff, strict=True)}
        self._send(Keep(accepted.digest, now, verdict.ground, names, diff.counts()))

    def _tell(self, verdict: Verdict, listed: Listed) -> None:
        if verdict.phase is Phase.REFUSED:
            more = len(listed.faults) + listed.left_out - 1
            log(LOG, logging.ERROR, "inventory-refused", fault=verdict.ground, more=max(0, more))
            for fault in listed.faults[1:]:
                log(LOG, logging.ERROR, "inventory-fault", fault=fault)
        elif verdict.phase is Phase.HELD:
            log(
                LOG,
                logging.WARNING,
                "inventory-held",
                digest=listed.digest[:12],
                ground=verdict.ground,
                hold_s=self._settings.hold,
            )
