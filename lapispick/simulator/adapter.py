"""The simulator adapter: runs one controller per instance, and translates between the wire and its interface."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import msgspec

from lapispick import admission
from lapispick.admission.controller import Controller
from lapispick.platform_settings import StartSettings, admission_settings
from lapispick.simulator import codec

COST_KNOWN_BIT = 1  # of the flags of a request; set if its cost hint is valid
OUTCOMES = {int(outcome): outcome for outcome in admission.Outcome}

Record = tuple[Any, ...]  # event code, instance, and the fields of the event
Encoder = Callable[[int, Any], bytes]  # encodes an action of an instance


def _request_received(record: Record) -> admission.RequestReceived:
    (_, _, request_id, deadline_at, _, rank, age_ms, retry_of, flags, _, memory_kb, cost, class_index, caller) = record
    if not flags & COST_KNOWN_BIT:
        cost = 0.0
    return admission.RequestReceived(
        request_id, deadline_at, rank, age_ms, retry_of, cost, memory_kb, class_index, caller
    )


DECODERS: dict[int, Callable[[Record], admission.Event]] = {
    codec.KNOCK: _request_received,
    codec.DEADLINE_HIT: lambda record: admission.TimerFired(record[2], record[3]),
    codec.RUN_OVER: lambda record: admission.RunCompleted(record[2], OUTCOMES[record[3]], record[4]),
    codec.BLOCKED: lambda record: admission.CallRequested(record[2]),
    codec.CAME_BACK: lambda record: admission.CallCompleted(record[2], OUTCOMES[record[4]], record[3]),
    codec.HANGUP: lambda record: admission.ClientCancelled(record[2]),
    codec.TERMINATE_SOON: lambda record: admission.ShutdownRequested(record[2]),
}


def event_from(record: Record) -> admission.Event:
    """Translate an event record into an event of the decision module."""
    return DECODERS[record[0]](record)


def _one_field(code: int) -> Encoder:
    """Return the encoder for an action of which only the first field is sent."""
    pack = codec.ACTIONS[code].pack
    return lambda instance, action: pack(code, instance, action[0])


def _two_fields(code: int) -> Encoder:
    """Return the encoder for an action whose two fields are sent."""
    pack = codec.ACTIONS[code].pack
    return lambda instance, action: pack(code, instance, action[0], action[1])


def _encode_reject(instance: int, action: admission.Reject) -> bytes:
    """Encode a rejection; its reason is not sent."""
    layout = codec.ACTIONS[codec.SAY_NO]
    return layout.pack(codec.SAY_NO, instance, action.id, action.retry_after_ms, action.no_retry)


def _encode_log(instance: int, action: admission.Log) -> bytes:
    return codec.encode_text(codec.EMIT, instance, action.text)


ENCODERS: dict[type, Encoder] = {
    admission.StartRun: _one_field(codec.DISPATCH),
    admission.CancelRun: _one_field(codec.YANK),
    admission.Fail: _one_field(codec.REPORT_FAILURE),
    admission.SkipCall: _one_field(codec.GO_ON),
    admission.Coalesce: _one_field(codec.JOIN),
    admission.ReleaseKey: _one_field(codec.RELEASE_KEY),
    admission.Advertise: _one_field(codec.SAY),
    admission.RetainKey: _two_fields(codec.PIN),
    admission.StartCall: _two_fields(codec.INVOKE),
    admission.SetTimer: _two_fields(codec.ARM),
    admission.Reject: _encode_reject,
    admission.SetHealth: _two_fields(codec.MARK_HEALTH),
    admission.SetIdleTimeout: _one_field(codec.IDLE_LIMIT),
    admission.Log: _encode_log,
}


class Adapter:
    """Runs the controllers of this process, one per instance; they share no state."""

    __slots__ = ("controllers",)

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}

    def process_batch(self, frame: bytes) -> bytes:
        """Process one batch and return the reply frame. Raises ``WireError``."""
        clock, number, records = codec.decode_batch(frame)
        pending: dict[int, list[admission.Event]] = {}
        for record in records:
            self._add_record(record, clock, number, pending)
        replies: list[bytes] = []
        for instance, events in pending.items():
            self._step_instance(instance, clock, events, replies)
        return codec.encode_reply(number, replies)

    def _add_record(self, record: Record, clock: float, number: int, pending: dict[int, list[admission.Event]]) -> None:
        """Start or end an instance, or add an event to the pending events of its next step."""
        code = record[0]
        instance = record[1]
        if code == codec.BORN:
            pending.pop(instance, None)
            self._start_instance(instance, record[2], record[3], clock)
            pending[instance] = []
        elif code == codec.KILL:
            self.controllers.pop(instance, None)
            pending.pop(instance, None)
        elif instance not in self.controllers:
            raise codec.WireError(f"event code {code} for instance {instance}, which was not started")
        else:
            try:
                event = DECODERS[code](record)
            except KeyError:
                raise codec.WireError(f"unknown outcome in event code {code} of batch {number}") from None
            events = pending.get(instance)
            if events is None:
                pending[instance] = [event]
            else:
                events.append(event)

    def _step_instance(self, instance: int, clock: float, events: list[admission.Event], replies: list[bytes]) -> None:
        """Step one instance; an exception in its decision module is reported to the simulator."""
        try:
            for action in self.controllers[instance].step(clock, events):
                replies.append(ENCODERS[type(action)](instance, action))
        except Exception as err:  # noqa: BLE001 - a fault in one instance must not stop the others
            print(f"lapispick: instance {instance} failed: {err!r}", file=sys.stderr)
            replies.append(codec.encode_text(codec.FATAL, instance, f"decision code failed: {err!r}"))

    def _start_instance(self, instance: int, seed: int, settings_json: bytes, clock: float) -> None:
        """Start an instance with its JSON-encoded start settings. Raises ``WireError``."""
        try:
            start_settings = msgspec.json.decode(settings_json, type=StartSettings)
        except msgspec.ValidationError as err:
            raise codec.WireError(
                f"start settings of instance {instance} have a missing or invalid key: {err}"
            ) from err
        except msgspec.DecodeError as err:
            raise codec.WireError(f"start settings of instance {instance} are not JSON: {err}") from err
        try:
            settings = admission_settings(start_settings)
        except KeyError as err:
            raise codec.WireError(
                f"start settings of instance {instance} have an unknown value or a missing key: {err}"
            ) from err
        except (TypeError, ValueError, AttributeError) as err:
            raise codec.WireError(f"start settings of instance {instance} are malformed: {err}") from err
        try:
            self.controllers[instance] = Controller(settings, seed, clock)
        except ValueError as err:
            raise codec.WireError(f"start settings of instance {instance} are invalid: {err}") from err


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Process batches until the input ends."""
    adapter = Adapter()
    while (frame := codec.read_frame(input_stream)) is not None:
        output_stream.write(adapter.process_batch(frame))
        output_stream.flush()


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
