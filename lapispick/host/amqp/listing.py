"""What the list of boxes says of brokers and queues: the schema of its variables, and boxes into records."""

from __future__ import annotations

import msgspec

from lapispick.fleet.host_assembly import Box
from lapispick.fleet.schema import Schema, Variable
from lapispick.platform_settings import Info

VARIABLES = {
    "amqp_host": Variable("host", doc="where the broker listens"),
    "amqp_port": Variable("integer", 5672, 1, 65535),
    "amqp_vhost": Variable("text", "/", 1, 255),
    "amqp_user": Variable("text", "guest", 0, 255),
    "amqp_password": Variable("text", "guest", 0, 1024, secret=True),
    "amqp_password_env": Variable("text", "", 0, 255, doc="the environment variable with the password"),
    "amqp_heartbeat": Variable("integer", 10, 1, 3600, doc="seconds; the broker may ask for less"),
}


def schema(info: Info | None) -> Schema:
    """Return what the front reads of a box; without the start settings any class and customer will do."""
    classes = tuple(s.name for s in info.services) if info else ()
    customers = tuple(p.name for p in info.parties) if info else ()
    return Schema(
        prefix="amqp_",
        box=VARIABLES,
        items="amqp_queues",
        item_name="amqp_queue",
        item_needed=True,
        item={
            "amqp_queue": Variable("text", None, 1, 255),
            "amqp_prefetch": Variable("integer", 32, 1, 1000, doc="messages in hand"),
            "amqp_class": Variable("text", "", choices=classes),
            "amqp_customer": Variable("text", "", choices=customers),
            "amqp_held_kb": Variable("number", 24.0, 0.1, 1999.0, doc="booked memory"),
        },
        host=("amqp_host", "ansible_host"),
        port="amqp_port",
        apart=("amqp_vhost",),
        environ={"amqp_password_env": "amqp_password"},
    )


class Queue(msgspec.Struct, frozen=True):
    """One queue to consume, with what its messages may leave out."""

    name: str
    prefetch: int
    cls: str
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


def broker(box: Box) -> Broker:
    """Return the broker that a box is."""
    told = box.vars
    return Broker(
        box.host,
        box.port or told["amqp_port"],
        told["amqp_vhost"],
        told["amqp_user"],
        told["amqp_password"],
        told["amqp_heartbeat"],
    )


def queues(box: Box) -> dict[str, Queue]:
    """Return the queues of a box by name."""
    return {
        item["amqp_queue"]: Queue(
            item["amqp_queue"], item["amqp_prefetch"], item["amqp_class"], item["amqp_customer"], item["amqp_held_kb"]
        )
        for item in box.items
    }
