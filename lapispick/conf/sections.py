"""The sections of the settings file: directives with their types, units, defaults and bounds.

A directive is named as its field, with hyphens. Where the code uses another name, the field states the directive's
with ``name``, which is also its key in ``config show --json``.
"""

from __future__ import annotations

from pathlib import PurePath
from typing import Annotated, Any

import msgspec

from lapispick.conf import value_types
from lapispick.conf.value_types import Directive


def _directive(
    parse: Any, doc: str, minimum: float | None = None, maximum: float | None = None, **more: Any
) -> Directive:
    return Directive(parse, doc, minimum, maximum, **more)


class InventorySettings(msgspec.Struct, frozen=True):
    """Where the host list is and when a change of it is accepted."""

    path: Annotated[PurePath | None, _directive(value_types.path, "the file or folder with the list")] = None
    group: Annotated[str, _directive(value_types.text, "the group whose hosts count")] = "amqp"
    domain: Annotated[str, _directive(value_types.text, "put behind names without a dot")] = ""
    delimiter: Annotated[
        str, _directive(value_types.text, "of CSV", choices=("auto", "comma", "semicolon", "tab", "bar"))
    ] = "auto"
    end_marker: Annotated[str, _directive(value_types.text, "the last line of a complete file")] = ""
    final_newline: Annotated[bool, _directive(value_types.boolean, "a complete file ends with a line end")] = True
    poll_interval_s: Annotated[
        float, _directive(value_types.duration, "between two polls of the files", 0.02, 3600)
    ] = msgspec.field(default=0.5, name="look")
    settle_s: Annotated[float, _directive(value_types.duration, "a new list stays unchanged so long", 0, 3600)] = (
        msgspec.field(default=1.0, name="settle")
    )
    max_settle_s: Annotated[
        float, _directive(value_types.duration, "a list that keeps changing waits no longer", 0, 3600)
    ] = msgspec.field(default=3.0, name="settle_most")
    max_loss_fraction: Annotated[float, _directive(value_types.fraction, "of the hosts may go at once", 0, 1)] = (
        msgspec.field(default=0.2, name="loss")
    )
    min_allowed_loss: Annotated[int, _directive(value_types.count, "hosts may always go at once", 0, 1_000_000)] = (
        msgspec.field(default=1, name="loss_least")
    )
    max_turnover_fraction: Annotated[
        float, _directive(value_types.fraction, "of the hosts may be replaced at once", 0, 1)
    ] = msgspec.field(default=0.5, name="turnover")
    loss_window_s: Annotated[float, _directive(value_types.duration, "losses add up for so long", 0, 86_400)] = (
        msgspec.field(default=60.0, name="loss_window")
    )
    hold_s: Annotated[
        float, _directive(value_types.duration, "a held list unchanged for so long is accepted", 0, 864_000)
    ] = msgspec.field(default=300.0, name="hold")
    return_window_s: Annotated[
        float, _directive(value_types.duration, "a host back by then is the same host", 0, 864_000)
    ] = msgspec.field(default=120.0, name="returns")
    max_history: Annotated[int, _directive(value_types.count, "accepted lists in the history", 1, 1000)] = (
        msgspec.field(default=20, name="history")
    )
    max_hosts: Annotated[int, _directive(value_types.count, "hosts of one list", 1, 100_000)] = msgspec.field(
        default=10_000, name="boxes_most"
    )
    max_bytes: Annotated[int, _directive(value_types.byte_size, "bytes of all files together", 1, 64 << 20)] = (
        msgspec.field(default=8 << 20, name="size_most")
    )
    max_changing_fraction: Annotated[
        float, _directive(value_types.fraction, "of the hosts may be opening or draining", 0, 1)
    ] = msgspec.field(default=0.25, name="change_most")
    min_changing: Annotated[int, _directive(value_types.count, "hosts may always be in change", 1, 100_000)] = (
        msgspec.field(default=2, name="change_least")
    )
    change_timeout_s: Annotated[
        float, _directive(value_types.duration, "a stuck change counts for so long", 0, 3600)
    ] = msgspec.field(default=10.0, name="change_wait")
    state_folder: Annotated[
        PurePath | None, _directive(value_types.path, "stores the last good list; a disk that lasts")
    ] = None
    hosts_file: Annotated[PurePath | None, _directive(value_types.path, "addresses of names, asked before DNS")] = (
        msgspec.field(default=None, name="names_file")
    )
    resolve_interval_s: Annotated[
        float, _directive(value_types.duration, "between two look-ups of a name", 0.05, 86_400)
    ] = msgspec.field(default=30.0, name="names_every")
    resolve_timeout_s: Annotated[float, _directive(value_types.duration, "for one look-up", 0.05, 60)] = msgspec.field(
        default=3.0, name="names_timeout"
    )


class FleetSettings(msgspec.Struct, frozen=True):
    """The worker hosts of the list; how it is read and when it is accepted stands in ``inventory``."""

    group: Annotated[str, _directive(value_types.text, "the group whose hosts are worker hosts")] = ""
    state_folder: Annotated[PurePath | None, _directive(value_types.path, "stores the last good list of them")] = None


class AmqpSettings(msgspec.Struct, frozen=True):
    """The AMQP front."""

    enabled: Annotated[bool, _directive(value_types.boolean, "consume from the hosts of the inventory")] = False
    drain_timeout_s: Annotated[
        float, _directive(value_types.duration, "for a broker that left to be settled", 0.1, 3600)
    ] = msgspec.field(default=30.0, name="drain")


class TraceSettings(msgspec.Struct, frozen=True):
    """The recorder of requests and decisions."""

    enabled: Annotated[bool, _directive(value_types.boolean, "record what the decisions receive and order")] = False
    folder: Annotated[PurePath | None, _directive(value_types.path, "where the files go; a disk that lasts")] = None
    buffer_bytes: Annotated[
        int,
        _directive(
            value_types.byte_size, "that may wait for the disk; beyond it steps are dropped", 64 << 10, 64 << 20
        ),
    ] = msgspec.field(default=1 << 20, name="buffer")
    flush_interval_s: Annotated[
        float, _directive(value_types.duration, "at most between two batches to the writer", 0.05, 10)
    ] = msgspec.field(default=0.25, name="flush")
    max_file_bytes: Annotated[
        int, _directive(value_types.byte_size, "of a file, then the next one begins", 64 << 10)
    ] = msgspec.field(default=64 << 20, name="rotate_size")
    max_file_age_s: Annotated[float, _directive(value_types.duration, "of a file, then the next one begins", 1)] = (
        msgspec.field(default=3600.0, name="rotate_age")
    )
    max_total_bytes: Annotated[int, _directive(value_types.byte_size, "of all files; the oldest go", 64 << 10)] = (
        msgspec.field(default=1 << 30, name="keep_size")
    )
    retention_s: Annotated[float, _directive(value_types.duration, "of a file; older ones go", 1)] = msgspec.field(
        default=7 * 86_400.0, name="keep_age"
    )
    subject_key: Annotated[
        PurePath | None, _directive(value_types.path, "a secret that hosts share, to compare their traces")
    ] = None
    sync: Annotated[
        str, _directive(value_types.text, "when the disk must have it", choices=("no", "file", "block"))
    ] = "file"


class HandoverSettings(msgspec.Struct, frozen=True):
    """An upgrade in which the next process starts beside this one."""

    enabled: Annotated[bool, _directive(value_types.boolean, "hand over to the next process of this worker host")] = (
        True
    )
    folder: Annotated[PurePath | None, _directive(value_types.path, "that both processes share; by default TMPDIR")] = (
        None
    )


class MetricsSettings(msgspec.Struct, frozen=True):
    """Further metrics at the operators' address, which canary analysis reads."""

    enabled: Annotated[
        bool, _directive(value_types.boolean, "report priority weight, times to answer, memory and generation too")
    ] = False


class MembersSettings(msgspec.Struct, frozen=True):
    """Worker hosts that talk to each other: membership, leases, shared facts."""

    enabled: Annotated[bool, _directive(value_types.boolean, "talk to the other hosts of section fleet's group")] = (
        False
    )
    listen: Annotated[
        str, _directive(value_types.text, "where this host hears them, IP:PORT; datagrams and streams")
    ] = ""
    fleet_name: Annotated[str, _directive(value_types.text, "of the fleet; messages of another one are dropped")] = (
        msgspec.field(default="fleet", name="name")
    )
    state_folder: Annotated[
        PurePath | None, _directive(value_types.path, "stores the process epoch; a disk that lasts")
    ] = None
    probe_interval_s: Annotated[float, _directive(value_types.duration, "between two probes", 0.05, 60)] = (
        msgspec.field(default=1.0, name="period")
    )
    probe_timeout_s: Annotated[
        float, _directive(value_types.duration, "for a direct answer; then others are asked", 0.01, 60)
    ] = msgspec.field(default=0.3, name="timeout")
    indirect_probes: Annotated[int, _directive(value_types.count, "that are asked then", 0, 16)] = msgspec.field(
        default=3, name="helpers"
    )
    suspicion_factor: Annotated[
        int, _directive(value_types.count, "periods that a suspicion lasts at least, times the size's log10", 1, 100)
    ] = msgspec.field(default=5, name="suspicion")
    sync_interval_s: Annotated[
        float, _directive(value_types.duration, "between two complete states over a stream", 0.2, 3600)
    ] = msgspec.field(default=30.0, name="sync")
    max_messages_per_s: Annotated[
        int, _directive(value_types.count, "messages a second that are taken of one host", 5, 10_000)
    ] = msgspec.field(default=100, name="rate")
    lease_s: Annotated[float, _directive(value_types.duration, "of a lease", 0.2, 600)] = msgspec.field(
        default=10.0, name="lease"
    )
    clock_drift_ratio: Annotated[
        float, _directive(value_types.fraction, "by which two clocks may run apart", 0, 0.2)
    ] = msgspec.field(default=0.02, name="drift")
    vote_timeout_s: Annotated[float, _directive(value_types.duration, "for the votes on a proposal", 0.02, 60)] = (
        msgspec.field(default=1.0, name="answer")
    )
    configuration_overlap_s: Annotated[
        float, _directive(value_types.duration, "that a replaced list still counts for leases", 0.2, 3600)
    ] = msgspec.field(default=30.0, name="lists")
    lease_owner_timeout_s: Annotated[
        float, _directive(value_types.duration, "that the owner of a lease may be silent", 0.2, 3600)
    ] = msgspec.field(default=5.0, name="keep")
    leases: Annotated[
        tuple[str, ...], _directive(value_types.text, "named leases as NAME:K, K hosts at once", repeatable=True)
    ] = msgspec.field(
        default=(
            "restart:1",
            "probe:1",
            "compact:1",
            "list:2",
            "return:2",
        ),
        name="turns",
    )


class AgentSettings(msgspec.Struct, frozen=True):
    """A host's agent, which starts the host and replaces its generations."""

    folder: Annotated[PurePath | None, _directive(value_types.path, "its state and generations; a disk that lasts")] = (
        None
    )
    host_config: Annotated[
        PurePath | None, _directive(value_types.path, "the platform's configuration of this host")
    ] = msgspec.field(default=None, name="config")
    listen: Annotated[str, _directive(value_types.text, "where controllers call, IP:PORT")] = "127.0.0.1:0"
    slot_ops: Annotated[
        tuple[str, ...],
        _directive(value_types.text, "two operators' addresses: of a process and the next one", repeatable=True),
    ] = ()
    slot_executors: Annotated[
        tuple[str, ...],
        _directive(value_types.text, "the executor's addresses for both, where they differ", repeatable=True),
    ] = ()
    poll_interval_s: Annotated[
        float, _directive(value_types.duration, "between two polls of the processes", 0.02, 10)
    ] = msgspec.field(default=0.2, name="look")
    start_timeout_s: Annotated[float, _directive(value_types.duration, "for a process to take clients", 0.5, 600)] = (
        msgspec.field(default=6.0, name="start")
    )
    stop_timeout_s: Annotated[
        float,
        _directive(value_types.duration, "for a process that was asked to shut down; then it is killed", 0.5, 600),
    ] = msgspec.field(default=6.0, name="stop")
    max_spare_generations: Annotated[
        int, _directive(value_types.count, "generations beside those that are needed", 1, 100)
    ] = msgspec.field(default=4, name="keep")
    rollback_lease: Annotated[
        str, _directive(value_types.text, "of section members, waited for before an unconfirmed change is undone")
    ] = msgspec.field(default="", name="turn")
    rollback_lease_wait_s: Annotated[
        float, _directive(value_types.duration, "for that lease; then it is undone without", 0, 86_400)
    ] = msgspec.field(default=60.0, name="turn_wait")


class RolloutSettings(msgspec.Struct, frozen=True):
    """Takes a change of the program or its settings through the fleet in stages."""

    state_folder: Annotated[
        PurePath | None, _directive(value_types.path, "the store of rollouts; a disk that lasts")
    ] = None
    controller_name: Annotated[str, _directive(value_types.text, "names this controller to the agents")] = (
        msgspec.field(default="controller", name="who")
    )
    stages: Annotated[
        tuple[str, ...],
        _directive(value_types.text, "each a count (1), a share in all (25%) or box:NAME,NAME", repeatable=True),
    ] = ("1", "10%", "50%", "100%")
    hold_after_stages: Annotated[
        tuple[str, ...], _directive(value_types.text, "stages after which a person says go, from 1", repeatable=True)
    ] = msgspec.field(default=(), name="hold")
    warm_up_s: Annotated[
        float, _directive(value_types.duration, "after a start; a host counts from then on", 0, 3600)
    ] = msgspec.field(default=20.0, name="warm_up")
    min_bake_s: Annotated[
        float, _directive(value_types.duration, "for a stage to be watched, at least", 0.5, 604_800)
    ] = msgspec.field(default=120.0, name="bake")
    max_bake_s: Annotated[
        float, _directive(value_types.duration, "then a person is asked, if nobody can tell", 1, 604_800)
    ] = msgspec.field(default=900.0, name="bake_most")
    confirm_timeout_s: Annotated[
        float, _directive(value_types.duration, "an unconfirmed change is undone after this", 1, 604_800)
    ] = msgspec.field(default=1800.0, name="confirm")
    max_changing: Annotated[int, _directive(value_types.count, "hosts in change at once", 1, 10_000)] = msgspec.field(
        default=2, name="change_most"
    )
    max_concurrent_rollbacks: Annotated[int, _directive(value_types.count, "hosts rolling back at once", 1, 10_000)] = (
        msgspec.field(default=2, name="back_most")
    )
    min_serving_fraction: Annotated[
        float, _directive(value_types.fraction, "of the fleet serves, or nothing begins", 0, 1)
    ] = msgspec.field(default=0.8, name="serving_least")
    max_zone_fraction: Annotated[
        float, _directive(value_types.fraction, "of a zone or failure domain in one stage", 0.01, 1)
    ] = msgspec.field(default=0.6, name="zone_most")
    hours: Annotated[str, _directive(value_types.text, "when stages may begin, HH:MM-HH:MM of local time")] = ""
    excluded_days: Annotated[
        tuple[str, ...],
        _directive(
            value_types.text,
            "on which nothing begins",
            repeatable=True,
            choices=("mon", "tue", "wed", "thu", "fri", "sat", "sun"),
        ),
    ] = msgspec.field(default=(), name="not_days")
    use_controls: Annotated[
        bool, _directive(value_types.boolean, "start as many similar hosts again in their own generation")
    ] = msgspec.field(default=True, name="controls")
    poll_interval_s: Annotated[float, _directive(value_types.duration, "between two polls of the fleet", 0.1, 60)] = (
        msgspec.field(default=2.0, name="look")
    )
    unreachable_after_s: Annotated[
        float, _directive(value_types.duration, "a host without an answer counts as down after", 0.1, 3600)
    ] = msgspec.field(default=10.0, name="unreached")
    false_alarm_probability: Annotated[
        float, _directive(value_types.fraction, "chance of a false stop of a whole rollout", 0.0001, 0.5)
    ] = msgspec.field(default=0.05, name="alarm")
    tolerated_degradation: Annotated[
        float, _directive(value_types.fraction, "worse by less than this is no reason to stop", 0, 1)
    ] = msgspec.field(default=0.02, name="worse")
    max_memory_fraction: Annotated[
        float, _directive(value_types.fraction, "of the memory limit; over it a change stops at once", 0, 1)
    ] = msgspec.field(default=0.9, name="memory_most")
    max_down_fraction: Annotated[
        float, _directive(value_types.fraction, "of the fleet not serving: stop only, start nothing again", 0, 1)
    ] = msgspec.field(default=0.3, name="fire")


class LogSettings(msgspec.Struct, frozen=True):
    """Log lines."""

    level: Annotated[
        str, _directive(value_types.text, "the least that is written", choices=("debug", "info", "warning", "error"))
    ] = "info"


class Settings(msgspec.Struct, frozen=True):
    """The whole settings file; the encoded field names are those of the sections."""

    inventory: InventorySettings = InventorySettings()
    fleet: FleetSettings = FleetSettings()
    amqp: AmqpSettings = AmqpSettings()
    trace: TraceSettings = TraceSettings()
    handover: HandoverSettings = HandoverSettings()
    metrics: MetricsSettings = msgspec.field(default=MetricsSettings(), name="figures")
    members: MembersSettings = MembersSettings()
    agent: AgentSettings = AgentSettings()
    rollout: RolloutSettings = RolloutSettings()
    log: LogSettings = LogSettings()
