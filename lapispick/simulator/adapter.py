"""The bench's adapter: hosts one Controller for each instance and translates; it decides nothing."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import msgspec

from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.platform_settings import Info, settings_from
from lapispick.simulator import codec

COST_KNOWN = 1  # the bit of a valid cost hint
OUTCOMES = {int(o): o for o in admission.Outcome}


def event_from(record: tuple[Any, ...]) -> admission.Event:
    """Translate one event record."""
    code = record[0]
    if code == codec.KNOCK:
        (_, _, rid, due, _, rank, age, prior, bits, _, kb, cost, cls, caller) = record
        return admission.RequestReceived(
            rid, due, rank, age, prior, cost if bits & COST_KNOWN else 0.0, kb, cls, caller
        )
    if code == codec.DEADLINE_HIT:
        return admission.TimerFired(record[2], record[3])
    if code == codec.RUN_OVER:
        return admission.RunCompleted(record[2], OUTCOMES[record[3]], record[4])
    if code == codec.BLOCKED:
        return admission.CallRequested(record[2])
    if code == codec.CAME_BACK:
        return admission.CallCompleted(record[2], OUTCOMES[record[4]], record[3])
    if code == codec.HANGUP:
        return admission.ClientCancelled(record[2])
    return admission.ShutdownRequested(record[2])


def _by_id(code: int) -> Any:
    layout = codec.ACTIONS[code]
    return lambda i, a: layout.pack(code, i, a[0])


def _with_field(code: int) -> Any:
    layout = codec.ACTIONS[code]
    return lambda i, a: layout.pack(code, i, a[0], a[1])


ENCODERS: dict[type, Any] = {
    admission.StartRun: _by_id(codec.DISPATCH),
    admission.CancelRun: _by_id(codec.YANK),
    admission.Fail: _by_id(codec.REPORT_FAILURE),
    admission.SkipCall: _by_id(codec.GO_ON),
    admission.Coalesce: _by_id(codec.JOIN),
    admission.ReleaseKey: _by_id(codec.RELEASE_KEY),
    admission.Advertise: _by_id(codec.SAY),
    admission.RetainKey: _with_field(codec.PIN),
    admission.StartCall: _with_field(codec.INVOKE),
    admission.SetTimer: _with_field(codec.ARM),
    admission.Reject: lambda i, a: codec.ACTIONS[codec.SAY_NO].pack(codec.SAY_NO, i, a[0], a[1], a[2]),
    admission.SetHealth: _with_field(codec.MARK_HEALTH),
    admission.SetIdleTimeout: _by_id(codec.IDLE_LIMIT),
    admission.Log: lambda i, a: codec.encode_text(codec.EMIT, i, a[0]),
}


class Host:
    """The instances of this process, each with what its own events told it."""

    __slots__ = ("controllers",)

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}

    def answer(self, frame: bytes) -> bytes:
        """Turn one batch into its reply."""
        clock, number, records = codec.decode_batch(frame)
        out: list[bytes] = []
        pending: dict[int, list[admission.Event]] = {}
        for record in records:
            code, inst = record[0], record[1]
            if code == codec.BORN:
                pending.pop(inst, None)
                self._start(inst, record[2], record[3], clock, out)
                pending[inst] = []
            elif code == codec.KILL:
                self.controllers.pop(inst, None)
                pending.pop(inst, None)
            elif inst not in self.controllers:
                raise codec.WireError(f"event code {code} for instance {inst}, which was never born")
            else:
                if (code == codec.RUN_OVER and record[3] not in OUTCOMES) or (
                    code == codec.CAME_BACK and record[4] not in OUTCOMES
                ):
                    raise codec.WireError(f"unknown outcome in event code {code} of batch {number}")
                pending.setdefault(inst, []).append(event_from(record))
        for inst, events in pending.items():
            try:
                actions = self.controllers[inst].step(clock, events)
                out.extend(ENCODERS[type(a)](inst, a) for a in actions)
            except Exception as err:
                print(f"lapispick: instance {inst} failed: {err!r}", file=sys.stderr)
                out.append(codec.encode_text(codec.FATAL, inst, f"decision code failed: {err!r}"))
        return codec.encode_reply(number, out)

    def _start(self, inst: int, seed: int, raw: bytes, clock: float, out: list[bytes]) -> None:
        try:
            info = msgspec.json.decode(raw, type=Info)
        except msgspec.ValidationError as err:
            raise codec.WireError(f"start settings of instance {inst} lack or misuse a key: {err}") from err
        except msgspec.DecodeError as err:
            raise codec.WireError(f"start settings of instance {inst} are not JSON: {err}") from err
        try:
            settings = settings_from(info)
        except KeyError as err:
            raise codec.WireError(f"start settings of instance {inst} lack or misuse {err}") from err
        except (TypeError, ValueError, AttributeError) as err:
            raise codec.WireError(f"start settings of instance {inst} are malformed: {err}") from err
        try:
            self.controllers[inst] = Controller(settings, seed, clock)
        except ValueError as err:
            raise codec.WireError(f"start settings of instance {inst} are refused: {err}") from err


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while (frame := codec.read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as err:
        print(f"lapispick: malformed input: {err}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("lapispick: standard output was closed", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
