"""What the list of boxes says of worker hosts: the schema of its variables, and boxes into records. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from lapispick.file_errors import FaultCollector, FileFault
from lapispick.fleet import identity
from lapispick.fleet.host_assembly import Box
from lapispick.fleet.schema import Schema, Variable

PREFIX = "lapispick_"
SCHEMA = Schema(
    prefix=PREFIX,
    box={
        "lapispick_host": Variable("host", doc="where the box is reached, if not at ansible_host or its name"),
        "lapispick_port": Variable("integer", 8443, 1, 65535, doc="where gateways connect"),
        "lapispick_ops": Variable("text", "", 0, 255, doc="where operators call; PORT, or HOST:PORT if elsewhere"),
        "lapispick_agent": Variable("text", "", 0, 255, doc="the agent's address, likewise"),
        "lapispick_members": Variable("text", "", 0, 255, doc="where it hears the other worker hosts, likewise"),
        "lapispick_zone": Variable("text", "", 0, 63, doc="the site"),
        "lapispick_domain": Variable("text", "", 0, 63, doc="what fails together within a zone: a rack, a power feed"),
        "lapispick_machine": Variable("text", "", 0, 63, doc="the type of machine; like is compared with like"),
        "lapispick_weight": Variable("number", 1.0, 0.001, 1000.0, doc="its share of the load beside the others'"),
    },
    host=("lapispick_host", "ansible_host"),
    port="lapispick_port",
)


class Worker(msgspec.Struct, frozen=True, order=True):
    """One worker host of the list. Addresses are ``HOST:PORT``, or empty where the list tells none."""

    name: str
    serves: str
    ops: str = ""
    agent: str = ""
    zone: str = ""
    domain: str = ""
    machine: str = ""
    weight: float = 1.0
    members: str = ""

    @property
    def failure_domain(self) -> tuple[str, str]:
        """Return what fails together; domains of the same name in two zones are two."""
        return self.zone, self.domain

    @property
    def kind(self) -> tuple[str, str]:
        """Return what it may be compared with: boxes of the same zone and machine."""
        return self.zone, self.machine


def _joined(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _address(told: str, host: str) -> str:
    """Return ``HOST:PORT`` of what a box tells; raises ``ValueError``."""
    if not told:
        return ""
    if told.isdecimal():
        told = _joined(host, int(told))
    name, port = identity.endpoint(told)
    if port is None:
        raise ValueError(f"{told!r} is neither PORT nor HOST:PORT")
    return _joined(name, port)


def worker(box: Box) -> Worker:
    """Return the worker host that a box is; raises ``ValueError`` for an address that is none."""
    told = box.vars
    return Worker(
        box.name,
        _joined(box.host, box.port or told["lapispick_port"]),
        _address(told["lapispick_ops"], box.host),
        _address(told["lapispick_agent"], box.host),
        told["lapispick_zone"],
        told["lapispick_domain"],
        told["lapispick_machine"],
        told["lapispick_weight"],
        _address(told["lapispick_members"], box.host),
    )


def workers(boxes: Iterable[Box]) -> tuple[tuple[Worker, ...], tuple[FileFault, ...]]:
    """Return the worker hosts by name, and the faults of those whose addresses can't be used or are another's."""
    made: list[Worker] = []
    faults, taken = FaultCollector(), dict[str, str]()
    for box in sorted(boxes, key=lambda b: b.name):
        try:
            found = worker(box)
        except ValueError as err:
            faults.add(box.places[0], PREFIX + "ops", f"{box.name}: {err}")
            continue
        for at in filter(None, (found.serves, found.ops, found.agent, found.members)):
            if at in taken:
                faults.add(box.places[0], "host", f"{box.name}: {at} stands twice, first for {taken[at]}")
            taken.setdefault(at, box.name)
        made.append(found)
    return tuple(made), tuple(faults.collected)
