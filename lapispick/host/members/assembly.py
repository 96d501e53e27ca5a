"""Assembly of the membership service of a worker host, and of the facts that it gossips about this host."""

from __future__ import annotations

import os

import msgspec

from lapispick.conf.sections import Settings
from lapispick.host.config import Config
from lapispick.host.core import Core
from lapispick.host.members.service import MembersService
from lapispick.host.members.store_watch import StoreWatch
from lapispick.host.scheduler import EventLoop
from lapispick.host.store import StoreClient

MAX_UNSENT_STATES = 4  # complete states that fit into the bytes that may wait for a slow reader


class HostFacts:
    """Facts about this worker host that are gossiped to the other members."""

    def __init__(self, config: Config, core: Core, store_watch: StoreWatch) -> None:
        self._config = config
        self._core = core
        self._store_watch = store_watch

    def collect(self) -> list[tuple[str, str, float, int, str]]:
        """Return the current facts as tuples of kind, subject, value, sample count and text."""
        health = self._core.health.state
        load = round(self._core.unanswered / max(1, self._config.limits.max_open_requests), 2)
        facts = [
            ("draining", "", float(health.draining or health.shutting_down), 1, ""),
            ("load", "", load, 1, ""),
            ("cold", "", float(not health.ready), 1, ""),
        ]
        if (latency := self._store_watch.relative_latency()) is not None:
            facts.append(("store", self._config.store, *latency, ""))
        if generation := os.environ.get("LAPISPICK_GENERATION", ""):
            facts.append(("generation", "", 1.0, 1, generation))
        return facts


def make_members_service(
    loop: EventLoop, config: Config, operator_settings: Settings, core: Core, store: StoreClient
) -> MembersService:
    """Return the service, not yet started. It observes the store client's calls from now on."""
    store_watch = StoreWatch(core.post)
    store.post = store_watch.post
    fleet = operator_settings.fleet
    inventory = msgspec.structs.replace(operator_settings.inventory, group=fleet.group, state_folder=fleet.state_folder)
    return MembersService(
        loop,
        operator_settings.members,
        inventory,
        config.name,
        config.seed_number,
        HostFacts(config, core, store_watch).collect,
        config.limits.max_unsent_bytes // MAX_UNSENT_STATES,
    )
