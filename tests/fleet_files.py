"""Host lists as configuration tools write them, and short ways to read them."""

from msgspec import convert

from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fleet.reading import File, Options, Reader
from lapispick.host.amqp import inventory_schema
from lapispick.platform_settings import StartSettings

SCHEMA = inventory_schema.schema(convert(PLATFORM_INFO, StartSettings))
ENVIRON = {"SHOP_WORD": "secret"}


def reader(**over):
    return Reader(Options(**{"group": "shops", "schema": SCHEMA, **over}), ENVIRON)


def files(text, name="f.yml"):
    """Return files: a text under one name, or several by name."""
    held = text if isinstance(text, dict) else {name: text}
    return [File(n, t if isinstance(t, bytes) else t.encode()) for n, t in held.items()]


def read(text, name="f.yml", **over):
    return reader(**over).read(files(text, name))


def hosts(text, name="f.yml", **over):
    found = read(text, name, **over)
    assert not found.faults, [str(f) for f in found.faults]
    return found.hosts


def faults(text, name="f.yml", **over):
    return [str(f) for f in read(text, name, **over).faults]


def yaml_list(ports):
    """Return a YAML list of hosts with these names and ports."""
    lines = ["shops:", "  vars: {amqp_user: shop}", "  hosts:"]
    for name, port in ports.items():
        lines += [f"    {name}:", f"      amqp_port: {port}", "      amqp_queues:", "        - jobs"]
    return "\n".join(lines) + "\n"


def csv_list(ports):
    return "host,amqp_port,amqp_queue\n" + "".join(f"{n},{p},jobs\n" for n, p in ports.items())
