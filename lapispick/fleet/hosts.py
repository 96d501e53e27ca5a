"""Worker hosts in the inventory: the schema of their variables, and their records. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from lapispick.file_errors import FaultCollector, FileFault
from lapispick.fleet import identity
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.schema import Schema, Variable, VariableKind

PREFIX = "lapispick_"
SCHEMA = Schema(
    prefix=PREFIX,
    host_variables={
        "lapispick_host": Variable(
            VariableKind.HOST, doc="where the host is reached, if not at ansible_host or its name"
        ),
        "lapispick_port": Variable(VariableKind.INTEGER, 8443, 1, 65535, doc="where gateways connect"),
        "lapispick_ops": Variable(
            VariableKind.TEXT, "", 0, 255, doc="where operators call; PORT, or HOST:PORT if elsewhere"
        ),
        "lapispick_agent": Variable(VariableKind.TEXT, "", 0, 255, doc="the agent's address, likewise"),
        "lapispick_members": Variable(
            VariableKind.TEXT, "", 0, 255, doc="where it hears the other worker hosts, likewise"
        ),
        "lapispick_zone": Variable(VariableKind.TEXT, "", 0, 63, doc="the site"),
        "lapispick_domain": Variable(
            VariableKind.TEXT, "", 0, 63, doc="what fails together within a zone: a rack, a power feed"
        ),
        "lapispick_machine": Variable(
            VariableKind.TEXT, "", 0, 63, doc="the type of machine; like is compared with like"
        ),
        "lapispick_weight": Variable(
            VariableKind.NUMBER, 1.0, 0.001, 1000.0, doc="its share of the load beside the others'"
        ),
    },
    address_variables=("lapispick_host", "ansible_host"),
    port_variable="lapispick_port",
)


class Worker(msgspec.Struct, frozen=True, order=True):
    """One worker host of the list. Addresses are ``HOST:PORT``, or empty where the list gives none."""

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
        """Return (zone, domain): domains of the same name in two zones are two."""
        return self.zone, self.domain

    @property
    def kind(self) -> tuple[str, str]:
        """Return (zone, machine): only hosts of one kind are compared with each other."""
        return self.zone, self.machine


def _joined(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _endpoint(given: str, host: str) -> str:
    """Return ``HOST:PORT`` of what a variable gives; raises ``ValueError``."""
    if not given:
        return ""
    if given.isdecimal():
        given = _joined(host, int(given))
    name, port = identity.parse_endpoint(given)
    if port is None:
        raise ValueError(f"{given!r} is neither PORT nor HOST:PORT")
    return _joined(name, port)


def worker(host: InventoryHost) -> Worker:
    """Return the worker host that a host of the inventory is; raises ``ValueError`` for an address that is none."""
    values = host.vars
    return Worker(
        host.name,
        _joined(host.address, host.port or values["lapispick_port"]),
        _endpoint(values["lapispick_ops"], host.address),
        _endpoint(values["lapispick_agent"], host.address),
        values["lapispick_zone"],
        values["lapispick_domain"],
        values["lapispick_machine"],
        values["lapispick_weight"],
        _endpoint(values["lapispick_members"], host.address),
    )


def workers(inventory_hosts: Iterable[InventoryHost]) -> tuple[tuple[Worker, ...], tuple[FileFault, ...]]:
    """Return the worker hosts by name, and the faults of those whose addresses can't be used or are another's."""
    found_workers: list[Worker] = []
    faults = FaultCollector()
    taken: dict[str, str] = {}  # address -> name of its host
    for host in sorted(inventory_hosts, key=lambda host: host.name):
        try:
            found = worker(host)
        except ValueError as err:
            faults.add(host.locations[0], PREFIX + "ops", f"{host.name}: {err}")
            continue
        for endpoint in filter(None, (found.serves, found.ops, found.agent, found.members)):
            if endpoint in taken:
                faults.add(
                    host.locations[0], "host", f"{host.name}: {endpoint} stands twice, first for {taken[endpoint]}"
                )
            taken.setdefault(endpoint, host.name)
        found_workers.append(found)
    return tuple(found_workers), tuple(faults.collected)
