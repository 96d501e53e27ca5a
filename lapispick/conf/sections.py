"""The sections of the settings file: directives with their types, units, defaults and bounds.

A directive is named like its field, with hyphens instead of underscores. Where the field has another name in the code,
its ``name`` argument is the name of the directive and the key in ``config show --json``. The description of each
directive is printed by ``config show``.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from lapispick.conf import value_types
from lapispick.conf.value_types import Directive


def _directive(
    value_type: Any, doc: str, minimum: float | None = None, maximum: float | None = None, **options: Any
) -> Directive:
    return Directive(value_type, doc, minimum, maximum, **options)


class InventorySettings(msgspec.Struct, frozen=True):
    """Location of the host list, and the conditions under which a change of it is accepted."""

    path: Annotated[str | None, _directive(value_types.path, "file or folder with the host list")] = None
    group: Annotated[str, _directive(value_types.text, "group whose hosts are used")] = "amqp"
    domain: Annotated[str, _directive(value_types.text, "appended to host names without a dot")] = ""
    delimiter: Annotated[
        str,
        _directive(
            value_types.text, "column delimiter of CSV files", choices=("auto", "comma", "semicolon", "tab", "bar")
        ),
    ] = "auto"
    end_marker: Annotated[str, _directive(value_types.text, "last line of a complete file")] = ""
    final_newline: Annotated[bool, _directive(value_types.boolean, "a complete file ends with a newline")] = True
    poll_interval_s: Annotated[
        float, _directive(value_types.duration, "interval between polls of the files", 0.02, 3600)
    ] = msgspec.field(default=0.5, name="look")
    settle_s: Annotated[
        float, _directive(value_types.duration, "time that a new list must stay unchanged", 0, 3600)
    ] = msgspec.field(default=1.0, name="settle")
    max_settle_s: Annotated[
        float, _directive(value_types.duration, "longest wait for a list that keeps changing", 0, 3600)
    ] = msgspec.field(default=3.0, name="settle_most")
    max_loss_fraction: Annotated[
        float, _directive(value_types.fraction, "fraction of the hosts that may disappear at once", 0, 1)
    ] = msgspec.field(default=0.2, name="loss")
    min_allowed_loss: Annotated[
        int, _directive(value_types.count, "hosts that may always disappear at once", 0, 1_000_000)
    ] = msgspec.field(default=1, name="loss_least")
    max_turnover_fraction: Annotated[
        float, _directive(value_types.fraction, "fraction of the hosts that may be replaced at once", 0, 1)
    ] = msgspec.field(default=0.5, name="turnover")
    loss_window_s: Annotated[
        float, _directive(value_types.duration, "time over which losses are added up", 0, 86_400)
    ] = msgspec.field(default=60.0, name="loss_window")
    hold_s: Annotated[
        float, _directive(value_types.duration, "time after which an unchanged held list is accepted", 0, 864_000)
    ] = msgspec.field(default=300.0, name="hold")
    return_window_s: Annotated[
        float, _directive(value_types.duration, "a host that returns within this time is the same host", 0, 864_000)
    ] = msgspec.field(default=120.0, name="returns")
    max_history: Annotated[int, _directive(value_types.count, "accepted lists that the history keeps", 1, 1000)] = (
        msgspec.field(default=20, name="history")
    )
    max_hosts: Annotated[int, _directive(value_types.count, "most hosts in one list", 1, 100_000)] = msgspec.field(
        default=10_000, name="boxes_most"
    )
    max_bytes: Annotated[int, _directive(value_types.byte_size, "largest size of all files together", 1, 64 << 20)] = (
        msgspec.field(default=8 << 20, name="size_most")
    )
    max_changing_fraction: Annotated[
        float, _directive(value_types.fraction, "fraction of the hosts that may be opening or draining", 0, 1)
    ] = msgspec.field(default=0.25, name="change_most")
    min_changing: Annotated[
        int, _directive(value_types.count, "hosts that may always be opening or draining", 1, 100_000)
    ] = msgspec.field(default=2, name="change_least")
    change_timeout_s: Annotated[
        float, _directive(value_types.duration, "time for which a stuck change counts", 0, 3600)
    ] = msgspec.field(default=10.0, name="change_wait")
    state_folder: Annotated[
        str | None, _directive(value_types.path, "stores the last good list; needs a persistent disk")
    ] = None
    hosts_file: Annotated[str | None, _directive(value_types.path, "addresses of host names, looked up before DNS")] = (
        msgspec.field(default=None, name="names_file")
    )
    resolve_interval_s: Annotated[
        float, _directive(value_types.duration, "interval between look-ups of a name", 0.05, 86_400)
    ] = msgspec.field(default=30.0, name="names_every")
    resolve_timeout_s: Annotated[float, _directive(value_types.duration, "timeout of one look-up", 0.05, 60)] = (
        msgspec.field(default=3.0, name="names_timeout")
    )


class FleetSettings(msgspec.Struct, frozen=True):
    """The worker hosts of the list; ``InventorySettings`` says how the list is read and when it is accepted."""

    group: Annotated[str, _directive(value_types.text, "group whose hosts are worker hosts")] = ""
    state_folder: Annotated[str | None, _directive(value_types.path, "stores the last good list of worker hosts")] = (
        None
    )


class AmqpSettings(msgspec.Struct, frozen=True):
    """Settings of the AMQP front."""

    enabled: Annotated[bool, _directive(value_types.boolean, "consume from the brokers in the inventory")] = False
    drain_timeout_s: Annotated[
        float, _directive(value_types.duration, "time to settle the deliveries of a removed broker", 0.1, 3600)
    ] = msgspec.field(default=30.0, name="drain")


class TraceSettings(msgspec.Struct, frozen=True):
    """Settings of the recorder of requests and decisions."""

    enabled: Annotated[
        bool, _directive(value_types.boolean, "record the events and actions of the decision module")
    ] = False
    folder: Annotated[str | None, _directive(value_types.path, "holds the trace files; needs a persistent disk")] = None
    buffer_bytes: Annotated[
        int,
        _directive(
            value_types.byte_size, "data that may wait for the disk; further steps are dropped", 64 << 10, 64 << 20
        ),
    ] = msgspec.field(default=1 << 20, name="buffer")
    flush_interval_s: Annotated[
        float, _directive(value_types.duration, "longest interval between two batches to the writer", 0.05, 10)
    ] = msgspec.field(default=0.25, name="flush")
    max_file_bytes: Annotated[
        int, _directive(value_types.byte_size, "size of a file at which the next one begins", 64 << 10)
    ] = msgspec.field(default=64 << 20, name="rotate_size")
    max_file_age_s: Annotated[
        float, _directive(value_types.duration, "age of a file at which the next one begins", 1)
    ] = msgspec.field(default=3600.0, name="rotate_age")
    max_total_bytes: Annotated[
        int, _directive(value_types.byte_size, "largest size of all files; the oldest are deleted", 64 << 10)
    ] = msgspec.field(default=1 << 30, name="keep_size")
    retention_s: Annotated[float, _directive(value_types.duration, "files older than this are deleted", 1)] = (
        msgspec.field(default=7 * 86_400.0, name="keep_age")
    )
    subject_key: Annotated[
        str | None, _directive(value_types.path, "file with the secret that hosts share to compare traces")
    ] = None
    sync: Annotated[
        str, _directive(value_types.text, "when trace data is synced to the disk", choices=("no", "file", "block"))
    ] = "file"


class HandoverSettings(msgspec.Struct, frozen=True):
    """Settings of an upgrade, in which the next process starts beside this one."""

    enabled: Annotated[bool, _directive(value_types.boolean, "hand over to the next process of this worker host")] = (
        True
    )
    folder: Annotated[
        str | None, _directive(value_types.path, "folder that both processes share; TMPDIR by default")
    ] = None


class MetricsSettings(msgspec.Struct, frozen=True):
    """Settings of the extended metrics at the operators' address, which canary analysis reads."""

    enabled: Annotated[
        bool, _directive(value_types.boolean, "also report priority weight, response times, memory and generation")
    ] = False


class MembersSettings(msgspec.Struct, frozen=True):
    """Settings of the communication between worker hosts: membership, leases and gossip facts."""

    enabled: Annotated[
        bool, _directive(value_types.boolean, "exchange messages with the other hosts of section fleet's group")
    ] = False
    listen: Annotated[
        str, _directive(value_types.text, "address of this host for their datagrams and streams, IP:PORT")
    ] = ""
    fleet_name: Annotated[
        str, _directive(value_types.text, "name of the fleet; messages of another fleet are dropped")
    ] = msgspec.field(default="fleet", name="name")
    state_folder: Annotated[
        str | None, _directive(value_types.path, "stores the process epoch; needs a persistent disk")
    ] = None
    probe_interval_s: Annotated[float, _directive(value_types.duration, "interval between probes", 0.05, 60)] = (
        msgspec.field(default=1.0, name="period")
    )
    probe_timeout_s: Annotated[
        float,
        _directive(value_types.duration, "timeout of a direct probe, after which indirect probes follow", 0.01, 60),
    ] = msgspec.field(default=0.3, name="timeout")
    indirect_probes: Annotated[
        int, _directive(value_types.count, "members that are asked for an indirect probe", 0, 16)
    ] = msgspec.field(default=3, name="helpers")
    suspicion_factor: Annotated[
        int,
        _directive(
            value_types.count,
            "probe intervals that a suspicion lasts at least, times log10 of the fleet's size",
            1,
            100,
        ),
    ] = msgspec.field(default=5, name="suspicion")
    sync_interval_s: Annotated[
        float,
        _directive(value_types.duration, "interval between exchanges of the complete state over a stream", 0.2, 3600),
    ] = msgspec.field(default=30.0, name="sync")
    max_messages_per_s: Annotated[
        int, _directive(value_types.count, "most messages a second that are accepted from one host", 5, 10_000)
    ] = msgspec.field(default=100, name="rate")
    lease_s: Annotated[float, _directive(value_types.duration, "duration of a lease", 0.2, 600)] = msgspec.field(
        default=10.0, name="lease"
    )
    clock_drift_ratio: Annotated[
        float, _directive(value_types.fraction, "largest relative difference in the speed of two clocks", 0, 0.2)
    ] = msgspec.field(default=0.02, name="drift")
    vote_timeout_s: Annotated[
        float, _directive(value_types.duration, "timeout for the votes on a proposal", 0.02, 60)
    ] = msgspec.field(default=1.0, name="answer")
    configuration_overlap_s: Annotated[
        float, _directive(value_types.duration, "time for which a replaced list still counts for leases", 0.2, 3600)
    ] = msgspec.field(default=30.0, name="lists")
    lease_owner_timeout_s: Annotated[
        float,
        _directive(value_types.duration, "time after which a lease request that is not repeated is dropped", 0.2, 3600),
    ] = msgspec.field(default=5.0, name="keep")
    leases: Annotated[
        tuple[str, ...],
        _directive(value_types.text, "names of leases with the number of concurrent holders, NAME:K", repeatable=True),
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
    """Settings of a host's agent, which starts the host and replaces its generations."""

    folder: Annotated[
        str | None, _directive(value_types.path, "holds its state and generations; needs a persistent disk")
    ] = None
    host_config: Annotated[
        str | None, _directive(value_types.path, "file with the platform's configuration of this host")
    ] = msgspec.field(default=None, name="config")
    listen: Annotated[str, _directive(value_types.text, "address for the calls of controllers, IP:PORT")] = (
        "127.0.0.1:0"
    )
    slot_ops: Annotated[
        tuple[str, ...],
        _directive(value_types.text, "two operators' addresses: of a process and of its successor", repeatable=True),
    ] = ()
    slot_executors: Annotated[
        tuple[str, ...],
        _directive(value_types.text, "the executor's addresses for both processes, if they differ", repeatable=True),
    ] = ()
    poll_interval_s: Annotated[
        float, _directive(value_types.duration, "interval between polls of the processes", 0.02, 10)
    ] = msgspec.field(default=0.2, name="look")
    start_timeout_s: Annotated[
        float, _directive(value_types.duration, "time for a process to start accepting clients", 0.5, 600)
    ] = msgspec.field(default=6.0, name="start")
    stop_timeout_s: Annotated[
        float,
        _directive(value_types.duration, "time for a process to shut down before it is killed", 0.5, 600),
    ] = msgspec.field(default=6.0, name="stop")
    max_spare_generations: Annotated[
        int, _directive(value_types.count, "generations that are kept besides those in use", 1, 100)
    ] = msgspec.field(default=4, name="keep")
    rollback_lease: Annotated[
        str, _directive(value_types.text, "lease of section members to acquire before an unconfirmed change is undone")
    ] = msgspec.field(default="", name="turn")
    rollback_lease_wait_s: Annotated[
        float,
        _directive(
            value_types.duration, "longest wait for that lease; then the change is undone without it", 0, 86_400
        ),
    ] = msgspec.field(default=60.0, name="turn_wait")


class RolloutSettings(msgspec.Struct, frozen=True):
    """Settings of the rollout controller, which changes the program or its settings in stages across the fleet."""

    state_folder: Annotated[
        str | None, _directive(value_types.path, "holds the store of rollouts; needs a persistent disk")
    ] = None
    controller_name: Annotated[str, _directive(value_types.text, "name by which the agents know this controller")] = (
        msgspec.field(default="controller", name="who")
    )
    stages: Annotated[
        tuple[str, ...],
        _directive(
            value_types.text,
            "each a number of hosts (1), a fraction of the fleet (25%) or box:NAME,NAME",
            repeatable=True,
        ),
    ] = ("1", "10%", "50%", "100%")
    hold_after_stages: Annotated[
        tuple[str, ...],
        _directive(
            value_types.text, "numbers of stages, from 1, after which an operator must approve", repeatable=True
        ),
    ] = msgspec.field(default=(), name="hold")
    warm_up_s: Annotated[
        float, _directive(value_types.duration, "time after a start during which a host does not count", 0, 3600)
    ] = msgspec.field(default=20.0, name="warm_up")
    min_bake_s: Annotated[float, _directive(value_types.duration, "shortest bake time of a stage", 0.5, 604_800)] = (
        msgspec.field(default=120.0, name="bake")
    )
    max_bake_s: Annotated[
        float,
        _directive(
            value_types.duration, "longest bake time; then an operator must decide if the analysis cannot", 1, 604_800
        ),
    ] = msgspec.field(default=900.0, name="bake_most")
    confirm_timeout_s: Annotated[
        float, _directive(value_types.duration, "time after which an unconfirmed change is undone", 1, 604_800)
    ] = msgspec.field(default=1800.0, name="confirm")
    max_changing: Annotated[
        int, _directive(value_types.count, "most hosts that change at the same time", 1, 10_000)
    ] = msgspec.field(default=2, name="change_most")
    max_concurrent_rollbacks: Annotated[
        int, _directive(value_types.count, "most hosts that roll back at the same time", 1, 10_000)
    ] = msgspec.field(default=2, name="back_most")
    min_serving_fraction: Annotated[
        float, _directive(value_types.fraction, "fraction of the fleet that must serve for a change to begin", 0, 1)
    ] = msgspec.field(default=0.8, name="serving_least")
    max_zone_fraction: Annotated[
        float, _directive(value_types.fraction, "largest fraction of a zone or failure domain in one stage", 0.01, 1)
    ] = msgspec.field(default=0.6, name="zone_most")
    hours: Annotated[str, _directive(value_types.text, "when stages may begin, HH:MM-HH:MM in local time")] = ""
    excluded_days: Annotated[
        tuple[str, ...],
        _directive(
            value_types.text,
            "weekdays on which no stage begins",
            repeatable=True,
            choices=("mon", "tue", "wed", "thu", "fri", "sat", "sun"),
        ),
    ] = msgspec.field(default=(), name="not_days")
    use_controls: Annotated[
        bool, _directive(value_types.boolean, "restart as many similar hosts in their present generation as controls")
    ] = msgspec.field(default=True, name="controls")
    poll_interval_s: Annotated[
        float, _directive(value_types.duration, "interval between polls of the fleet", 0.1, 60)
    ] = msgspec.field(default=2.0, name="look")
    unreachable_after_s: Annotated[
        float, _directive(value_types.duration, "time without an answer after which a host counts as down", 0.1, 3600)
    ] = msgspec.field(default=10.0, name="unreached")
    false_alarm_probability: Annotated[
        float, _directive(value_types.fraction, "probability that a whole rollout is stopped falsely", 0.0001, 0.5)
    ] = msgspec.field(default=0.05, name="alarm")
    tolerated_degradation: Annotated[
        float, _directive(value_types.fraction, "relative degradation that does not stop a rollout", 0, 1)
    ] = msgspec.field(default=0.02, name="worse")
    max_memory_fraction: Annotated[
        float,
        _directive(value_types.fraction, "fraction of the memory limit, above which a rollout stops at once", 0, 1),
    ] = msgspec.field(default=0.9, name="memory_most")
    max_down_fraction: Annotated[
        float,
        _directive(
            value_types.fraction, "fraction of the fleet not serving, above which rollbacks are suspended", 0, 1
        ),
    ] = msgspec.field(default=0.3, name="fire")


class LogSettings(msgspec.Struct, frozen=True):
    """Settings of the log."""

    level: Annotated[
        str, _directive(value_types.text, "lowest level that is logged", choices=("debug", "info", "warning", "error"))
    ] = "info"


class Settings(msgspec.Struct, frozen=True):
    """All sections of the settings file; the encoded field names are the names of the sections."""

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
