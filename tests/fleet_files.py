"""Inventories as configuration tools write them, and short ways to read them."""

from msgspec import convert

from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fleet.reading import File, Options, Reader
from lapispick.host.amqp import inventory_schema
from lapispick.platform_settings import StartSettings

SCHEMA = inventory_schema.schema(convert(PLATFORM_INFO, StartSettings))
ENVIRON = {"SHOP_WORD": "secret"}


def reader(**over):
    """Return a reader of the group ``shops``, with other options."""
    return Reader(Options(**{"group": "shops", "schema": SCHEMA, **over}), ENVIRON)


def files(text, name="f.yml"):
    """Return files: a text under one name, or several by name."""
    texts = text if isinstance(text, dict) else {name: text}
    return [File(name, data if isinstance(data, bytes) else data.encode()) for name, data in texts.items()]


def read(text, name="f.yml", **over):
    """Read a text, or several by name."""
    return reader(**over).read(files(text, name))


def hosts(text, name="f.yml", **over):
    """Return the hosts of a text without faults."""
    found = read(text, name, **over)
    assert not found.faults, [str(fault) for fault in found.faults]
    return found.hosts


def faults(text, name="f.yml", **over):
    """Return the faults of a text as operators see them."""
    return [str(fault) for fault in read(text, name, **over).faults]


def yaml_list(ports):
    """Return a YAML list of hosts with these names and ports."""
    lines = ["shops:", "  vars: {amqp_user: shop}", "  hosts:"]
    for name, port in ports.items():
        lines += [f"    {name}:", f"      amqp_port: {port}", "      amqp_queues:", "        - jobs"]
    return "\n".join(lines) + "\n"


def csv_list(ports):
    """Return a CSV list of hosts with these names and ports."""
    return "host,amqp_port,amqp_queue\n" + "".join(f"{name},{port},jobs\n" for name, port in ports.items())
