"""Brokers and queues in the inventory: the schema of their variables, and their records."""

from __future__ import annotations

import msgspec

from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.schema import Schema, Variable, VariableKind
from lapispick.platform_settings import StartSettings

VARIABLES = {
    "amqp_host": Variable(VariableKind.HOST, doc="where the broker listens"),
    "amqp_port": Variable(VariableKind.INTEGER, 5672, 1, 65535),
    "amqp_vhost": Variable(VariableKind.TEXT, "/", 1, 255),
    "amqp_user": Variable(VariableKind.TEXT, "guest", 0, 255),
    "amqp_password": Variable(VariableKind.TEXT, "guest", 0, 1024, secret=True),
    "amqp_password_env": Variable(VariableKind.TEXT, "", 0, 255, doc="the environment variable with the password"),
    "amqp_heartbeat": Variable(VariableKind.INTEGER, 10, 1, 3600, doc="seconds; the broker may ask for less"),
}


def schema(info: StartSettings | None) -> Schema:
    """Return what the front reads of a host; without the start settings any class and customer will do."""
    classes = tuple(s.name for s in info.request_classes) if info else ()
    customers = tuple(p.name for p in info.tenants) if info else ()
    return Schema(
        prefix="amqp_",
        host_variables=VARIABLES,
        items_variable="amqp_queues",
        item_name="amqp_queue",
        item_required=True,
        item_variables={
            "amqp_queue": Variable(VariableKind.TEXT, None, 1, 255),
            "amqp_prefetch": Variable(VariableKind.INTEGER, 32, 1, 1000, doc="messages in hand"),
            "amqp_class": Variable(VariableKind.TEXT, "", choices=classes),
            "amqp_customer": Variable(VariableKind.TEXT, "", choices=customers),
            "amqp_held_kb": Variable(VariableKind.NUMBER, 24.0, 0.1, 1999.0, doc="booked memory"),
        },
        address_variables=("amqp_host", "ansible_host"),
        port_variable="amqp_port",
        distinguishing_variables=("amqp_vhost",),
        environment_variables={"amqp_password_env": "amqp_password"},
    )


class Queue(msgspec.Struct, frozen=True):
    """One queue to consume, with what its messages may leave out."""

    name: str
    prefetch: int
    class_name: str
    customer: str
    request_memory_kb: float


class Broker(msgspec.Struct, frozen=True):
    """One broker and how to log in there; another one of these is another connection."""

    host: str  # a name or an address
    port: int
    vhost: str
    user: str
    password: str
    heartbeat_s: int

    @property
    def shown(self) -> str:
        """Return its name for log lines."""
        return f"{self.host}:{self.port}"


def broker(host: InventoryHost) -> Broker:
    """Return the broker that a host of the inventory is."""
    values = host.vars
    return Broker(
        host.address,
        host.port or values["amqp_port"],
        values["amqp_vhost"],
        values["amqp_user"],
        values["amqp_password"],
        values["amqp_heartbeat"],
    )


def queues(host: InventoryHost) -> dict[str, Queue]:
    """Return the queues of a host by name."""
    return {
        item["amqp_queue"]: Queue(
            item["amqp_queue"], item["amqp_prefetch"], item["amqp_class"], item["amqp_customer"], item["amqp_held_kb"]
        )
        for item in host.items
    }
