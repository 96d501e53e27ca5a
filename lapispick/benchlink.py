"""The bench's adapter: hosts one Controller for each instance and translates; it decides nothing."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import msgspec

from lapispick import interface as api
from lapispick import wire
from lapispick.control import Controller
from lapispick.settings import Info, settings_from

COST_KNOWN = 1  # the bit of a valid cost hint
OUTCOMES = {int(o): o for o in api.Outcome}


def event_from(record: tuple[Any, ...]) -> api.Event:
    """Translate one event record."""
    code = record[0]
    if code == wire.KNOCK:
        (_, _, rid, due, _, rank, age, prior, bits, _, kb, cost, cls, caller) = record
        return api.Request(rid, due, rank, age, prior, cost if bits & COST_KNOWN else 0.0, kb, cls, caller)
    if code == wire.DEADLINE_HIT:
        return api.TimerFired(record[2], record[3])
    if code == wire.RUN_OVER:
        return api.RunEnded(record[2], OUTCOMES[record[3]], record[4])
    if code == wire.BLOCKED:
        return api.NeedsCall(record[2])
    if code == wire.CAME_BACK:
        return api.CallEnded(record[2], OUTCOMES[record[4]], record[3])
    if code == wire.HANGUP:
        return api.Gone(record[2])
    return api.Leave(record[2])


def _by_id(code: int) -> Any:
    layout = wire.ACTIONS[code]
    return lambda i, a: layout.pack(code, i, a[0])


def _with_field(code: int) -> Any:
    layout = wire.ACTIONS[code]
    return lambda i, a: layout.pack(code, i, a[0], a[1])


ENCODERS: dict[type, Any] = {
    api.Run: _by_id(wire.DISPATCH),
    api.Stop: _by_id(wire.YANK),
    api.Fail: _by_id(wire.REPORT_FAILURE),
    api.GoWithout: _by_id(wire.GO_ON),
    api.Join: _by_id(wire.JOIN),
    api.ForgetKey: _by_id(wire.RELEASE_KEY),
    api.Advertise: _by_id(wire.SAY),
    api.KeepKey: _with_field(wire.PIN),
    api.Call: _with_field(wire.INVOKE),
    api.SetTimer: _with_field(wire.ARM),
    api.Refuse: lambda i, a: wire.ACTIONS[wire.SAY_NO].pack(wire.SAY_NO, i, a[0], a[1], a[2]),
    api.SetHealth: _with_field(wire.MARK_HEALTH),
    api.LimitIdle: _by_id(wire.IDLE_LIMIT),
    api.Log: lambda i, a: wire.encode_text(wire.EMIT, i, a[0]),
}


class Host:
    """The instances of this process, each with what its own events told it."""

    __slots__ = ("controllers",)

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}

    def answer(self, frame: bytes) -> bytes:
        """Turn one batch into its reply."""
        clock, number, records = wire.decode_batch(frame)
        out: list[bytes] = []
        pending: dict[int, list[api.Event]] = {}
        for record in records:
            code, inst = record[0], record[1]
            if code == wire.BORN:
                pending.pop(inst, None)
                self._start(inst, record[2], record[3], clock, out)
                pending[inst] = []
            elif code == wire.KILL:
                self.controllers.pop(inst, None)
                pending.pop(inst, None)
            elif inst not in self.controllers:
                raise wire.WireError(f"event code {code} for instance {inst}, which was never born")
            else:
                if (code == wire.RUN_OVER and record[3] not in OUTCOMES) or (
                    code == wire.CAME_BACK and record[4] not in OUTCOMES
                ):
                    raise wire.WireError(f"unknown outcome in event code {code} of batch {number}")
                pending.setdefault(inst, []).append(event_from(record))
        for inst, events in pending.items():
            try:
                actions = self.controllers[inst].step(clock, events)
                out.extend(ENCODERS[type(a)](inst, a) for a in actions)
            except Exception as err:
                print(f"lapispick: instance {inst} failed: {err!r}", file=sys.stderr)
                out.append(wire.encode_text(wire.FATAL, inst, f"decision code failed: {err!r}"))
        return wire.encode_reply(number, out)

    def _start(self, inst: int, seed: int, raw: bytes, clock: float, out: list[bytes]) -> None:
        try:
            info = msgspec.json.decode(raw, type=Info)
        except msgspec.ValidationError as err:
            raise wire.WireError(f"start settings of instance {inst} lack or misuse a key: {err}") from err
        except msgspec.DecodeError as err:
            raise wire.WireError(f"start settings of instance {inst} are not JSON: {err}") from err
        try:
            settings = settings_from(info)
        except KeyError as err:
            raise wire.WireError(f"start settings of instance {inst} lack or misuse {err}") from err
        except (TypeError, ValueError, AttributeError) as err:
            raise wire.WireError(f"start settings of instance {inst} are malformed: {err}") from err
        try:
            self.controllers[inst] = Controller(settings, seed, clock)
        except ValueError as err:
            raise wire.WireError(f"start settings of instance {inst} are refused: {err}") from err


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as err:
        print(f"lapispick: malformed input: {err}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("lapispick: standard output was closed", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
