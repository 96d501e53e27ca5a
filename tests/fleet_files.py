"""Helpers for tests that write and read inventories."""

from msgspec import convert

from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fleet.reading import InventoryFile, InventoryReader, ReadOptions
from lapispick.host.amqp import inventory_schema
from lapispick.platform_settings import StartSettings

SCHEMA = inventory_schema.schema(convert(PLATFORM_INFO, StartSettings))
ENVIRON = {"SHOP_PASSWORD": "secret"}


def reader(**options):
    """Return a reader of the group ``shops`` with these options changed."""
    return InventoryReader(ReadOptions(**{"group": "shops", "schema": SCHEMA, **options}), ENVIRON)


def files(text, name="f.yml"):
    """Return files from one text with a name, or from a dict of texts by name."""
    texts = text if isinstance(text, dict) else {name: text}
    return [InventoryFile(name, data if isinstance(data, bytes) else data.encode()) for name, data in texts.items()]


def read(text, name="f.yml", **options):
    """Return the result of reading a text, or a dict of texts by name."""
    return reader(**options).read(files(text, name))


def hosts(text, name="f.yml", **options):
    """Return the hosts of a text without faults."""
    result = read(text, name, **options)
    assert not result.faults, [str(fault) for fault in result.faults]
    return result.hosts


def faults(text, name="f.yml", **options):
    """Return the faults of a text in the form that operators see."""
    return [str(fault) for fault in read(text, name, **options).faults]


def yaml_list(ports):
    """Return a YAML list of hosts with these names and ports."""
    lines = ["shops:", "  vars: {amqp_user: shop}", "  hosts:"]
    for name, port in ports.items():
        lines += [f"    {name}:", f"      amqp_port: {port}", "      amqp_queues:", "        - jobs"]
    return "\n".join(lines) + "\n"


def csv_list(ports):
    """Return a CSV list of hosts with these names and ports."""
    return "host,amqp_port,amqp_queue\n" + "".join(f"{name},{port},jobs\n" for name, port in ports.items())
