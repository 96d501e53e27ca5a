"""Brokers and queues in the inventory: the schema of their variables, and the structs that the front uses."""

from __future__ import annotations

from typing import Any

import msgspec

from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.schema import Schema, Variable, VariableKind
from lapispick.platform_settings import StartSettings

BROKER_VARIABLES = {
    "amqp_host": Variable(VariableKind.HOST, doc="where the broker listens"),
    "amqp_port": Variable(VariableKind.INTEGER, 5672, 1, 65535),
    "amqp_vhost": Variable(VariableKind.TEXT, "/", 1, 255),
    "amqp_user": Variable(VariableKind.TEXT, "guest", 0, 255),
    "amqp_password": Variable(VariableKind.TEXT, "guest", 0, 1024, secret=True),
    "amqp_password_env": Variable(VariableKind.TEXT, "", 0, 255, doc="the environment variable with the password"),
    "amqp_heartbeat": Variable(VariableKind.INTEGER, 10, 1, 3600, doc="seconds; the broker may ask for less"),
}


def schema(start_settings: StartSettings | None) -> Schema:
    """Return the schema of a broker in the inventory; without start settings, any class and tenant is valid."""
    class_names = (
        tuple(request_class.name for request_class in start_settings.request_classes) if start_settings else ()
    )
    tenants = tuple(tenant.name for tenant in start_settings.tenants) if start_settings else ()
    return Schema(
        prefix="amqp_",
        host_variables=BROKER_VARIABLES,
        items_variable="amqp_queues",
        item_name_variable="amqp_queue",
        item_required=True,
        item_variables={
            "amqp_queue": Variable(VariableKind.TEXT, None, 1, 255),
            "amqp_prefetch": Variable(VariableKind.INTEGER, 32, 1, 1000, doc="messages in hand"),
            "amqp_class": Variable(VariableKind.TEXT, "", choices=class_names),
            "amqp_customer": Variable(VariableKind.TEXT, "", choices=tenants),
            "amqp_held_kb": Variable(VariableKind.NUMBER, 24.0, 0.1, 1999.0, doc="booked memory"),
        },
        address_variables=("amqp_host", "ansible_host"),
        port_variable="amqp_port",
        distinguishing_variables=("amqp_vhost",),
        environment_variables={"amqp_password_env": "amqp_password"},
    )


class Queue(msgspec.Struct, frozen=True):
    """One queue to consume, with defaults for properties that its messages may omit."""

    name: str
    prefetch: int
    class_name: str
    tenant: str
    request_memory_kb: float


class Broker(msgspec.Struct, frozen=True):
    """Address and login of one broker; a change of any field needs a new connection."""

    host: str  # a name or an address
    port: int
    virtual_host: str
    user: str
    password: str
    heartbeat_s: int

    @property
    def display_name(self) -> str:
        """Return the name of the broker for log lines."""
        return f"{self.host}:{self.port}"


def broker_of(host: InventoryHost) -> Broker:
    """Return the broker that a host of the inventory describes."""
    values = host.vars
    return Broker(
        host=host.address,
        port=host.port or values["amqp_port"],
        virtual_host=values["amqp_vhost"],
        user=values["amqp_user"],
        password=values["amqp_password"],
        heartbeat_s=values["amqp_heartbeat"],
    )


def queues_of(host: InventoryHost) -> dict[str, Queue]:
    """Return the queues of a broker by name."""
    return {item["amqp_queue"]: _queue(item) for item in host.items}


def _queue(item: dict[str, Any]) -> Queue:
    return Queue(
        name=item["amqp_queue"],
        prefetch=item["amqp_prefetch"],
        class_name=item["amqp_class"],
        tenant=item["amqp_customer"],
        request_memory_kb=item["amqp_held_kb"],
    )
