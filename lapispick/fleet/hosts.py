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
            VariableKind.HOST, doc="address of the host, if other than ansible_host or its name"
        ),
        "lapispick_port": Variable(VariableKind.INTEGER, 8443, 1, 65535, doc="port for gateways"),
        "lapispick_ops": Variable(
            VariableKind.TEXT, "", 0, 255, doc="address for operator calls; PORT, or HOST:PORT if on another host"
        ),
        "lapispick_agent": Variable(VariableKind.TEXT, "", 0, 255, doc="address of the agent, as PORT or HOST:PORT"),
        "lapispick_members": Variable(
            VariableKind.TEXT, "", 0, 255, doc="address for membership messages, as PORT or HOST:PORT"
        ),
        "lapispick_zone": Variable(VariableKind.TEXT, "", 0, 63, doc="site"),
        "lapispick_domain": Variable(
            VariableKind.TEXT, "", 0, 63, doc="failure domain within the zone, such as a rack or a power feed"
        ),
        "lapispick_machine": Variable(
            VariableKind.TEXT, "", 0, 63, doc="type of machine; only hosts of one type are compared"
        ),
        "lapispick_weight": Variable(
            VariableKind.NUMBER, 1.0, 0.001, 1000.0, doc="its share of the load relative to the other hosts"
        ),
    },
    address_variables=("lapispick_host", "ansible_host"),
    port_variable="lapispick_port",
)


class WorkerHost(msgspec.Struct, frozen=True, order=True):
    """One worker host of the list. Addresses have the form ``HOST:PORT``; they are empty if the list has none."""

    name: str
    gateway_address: str
    ops_address: str = ""
    agent_address: str = ""
    zone: str = ""
    domain: str = ""
    machine: str = ""
    weight: float = 1.0
    members_address: str = ""

    @property
    def failure_domain(self) -> tuple[str, str]:
        """Return (zone, domain): domains of the same name in two zones are different domains."""
        return self.zone, self.domain

    @property
    def kind(self) -> tuple[str, str]:
        """Return (zone, machine): only hosts of one kind are compared with each other."""
        return self.zone, self.machine


def _join_host_port(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _full_address(value: str, host: str) -> str:
    """Return ``HOST:PORT`` for a value ``PORT`` or ``HOST:PORT``, or "" for ""; raises ``ValueError`` for others."""
    if not value:
        return ""
    if value.isdecimal():
        value = _join_host_port(host, int(value))
    name, port = identity.parse_endpoint(value)
    if port is None:
        raise ValueError(f"expected PORT or HOST:PORT, got {value!r}")
    return _join_host_port(name, port)


def worker_host_of(host: InventoryHost) -> WorkerHost:
    """Return the worker host for a host of the inventory; raises ``ValueError`` for an invalid address."""
    values = host.vars
    return WorkerHost(
        host.name,
        _join_host_port(host.address, host.port or values["lapispick_port"]),
        _full_address(values["lapispick_ops"], host.address),
        _full_address(values["lapispick_agent"], host.address),
        values["lapispick_zone"],
        values["lapispick_domain"],
        values["lapispick_machine"],
        values["lapispick_weight"],
        _full_address(values["lapispick_members"], host.address),
    )


def worker_hosts_of(inventory_hosts: Iterable[InventoryHost]) -> tuple[tuple[WorkerHost, ...], tuple[FileFault, ...]]:
    """Return the worker hosts, sorted by name, and faults in addresses; a host with an invalid one is left out."""
    worker_hosts: list[WorkerHost] = []
    faults = FaultCollector()
    host_names: dict[str, str] = {}  # by address
    for host in sorted(inventory_hosts, key=lambda host: host.name):
        try:
            worker_host = worker_host_of(host)
        except ValueError as err:
            faults.add(host.locations[0], PREFIX + "ops", f"{host.name}: {err}")
            continue
        for address in filter(
            None,
            (
                worker_host.gateway_address,
                worker_host.ops_address,
                worker_host.agent_address,
                worker_host.members_address,
            ),
        ):
            if address in host_names:
                faults.add(
                    host.locations[0],
                    "host",
                    f"{host.name}: duplicate address {address}, first used by {host_names[address]}",
                )
            host_names.setdefault(address, host.name)
        worker_hosts.append(worker_host)
    return tuple(worker_hosts), tuple(faults.collected)
