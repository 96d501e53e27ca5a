"""Creates the AMQP front and the inventory that lists its brokers."""

from __future__ import annotations

from lapispick.conf.sections import Settings
from lapispick.fleet.reconciler import Bounds
from lapispick.host.amqp import inventory_schema
from lapispick.host.amqp.front import AmqpFront
from lapispick.host.config import Config
from lapispick.host.core import Core
from lapispick.host.dns_resolver import DnsResolver
from lapispick.host.inventory import Inventory
from lapispick.host.scheduler import EventLoop


def start_amqp_front(loop: EventLoop, config: Config, operator_settings: Settings, core: Core) -> None:
    """Create the AMQP front, register it with the core and start it together with the inventory of its brokers."""
    inventory_settings = operator_settings.inventory
    resolver = DnsResolver(loop, inventory_settings.resolve_timeout_s, inventory_settings.hosts_file)
    bounds = Bounds(
        inventory_settings.max_changing_fraction,
        inventory_settings.min_changing,
        inventory_settings.change_timeout_s,
        operator_settings.amqp.drain_timeout_s,
        config.limits.max_broker_connections,
    )
    front = AmqpFront(
        loop,
        bounds,
        config.start_settings,
        config.admission_settings,
        core.post,
        resolver,
        inventory_settings.resolve_interval_s,
    )
    core.peers.fronts.append(front)
    inventory = Inventory(loop, inventory_settings, inventory_schema.schema(config.start_settings), front.apply)
    front.start()
    loop.spawn(inventory.serve)
