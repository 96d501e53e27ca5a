"""Wires the parts of the worker host together and starts them."""

from __future__ import annotations

import gc
import logging
import signal
import socket
import sys
import time

from lapispick.host import core
from lapispick.host.amqp.consumer import AmqpFront
from lapispick.host.clients import Gateways
from lapispick.host.config import Config, ConfigError, Consume, load, load_amqp
from lapispick.host.core import Core
from lapispick.host.executor import ExecutorLink
from lapispick.host.logs import log, setup
from lapispick.host.loop import READ, Loop
from lapispick.host.roster import Roster
from lapispick.host.store import StoreClient

LOG = "host"
CLOSE_LISTENER_S = 0.4  # s before the end; until then those who did not hear yet are refused in plain words
END_S = 0.05  # s before the end; by then all is answered and handed over


def watch_signals(loop: Loop, centre: Core, stop_ms: float) -> None:
    """Turn SIGTERM into the notice to leave."""
    told, sock = socket.socketpair()
    for end in (told, sock):
        end.setblocking(False)
    signal.set_wakeup_fd(sock.fileno())
    signal.signal(signal.SIGTERM, lambda *_: None)
    signal.signal(signal.SIGINT, lambda *_: None)
    loop.wait(told.fileno(), READ)
    centre.post(core.Departing(stop_ms))


def end_in_time(loop: Loop, centre: Core, gateways: Gateways, stop_ms: float) -> None:
    """Serve until shortly before the process is stopped, and end once all that was read is answered."""
    end_at = time.monotonic() + stop_ms / 1000
    loop.sleep(max(0.0, end_at - CLOSE_LISTENER_S - time.monotonic()))
    gateways.close_listener()
    loop.sleep(CLOSE_LISTENER_S / 2)  # what came with the last connections is read meanwhile
    while time.monotonic() < end_at - END_S:
        if centre.owed == 0 and all(front.flushed() for front in centre.fronts):
            break
        loop.sleep(0.01)
    log(LOG, logging.INFO, "ended", owed=centre.owed)
    loop.stop()


def run(config: Config, consume: Consume | None) -> None:
    """Run the worker host until it was told to leave."""
    loop, settings = Loop(), config.start
    centre = Core(loop, settings, int(config.seed, 16))
    centre.executor = executor = ExecutorLink(loop, config.address("executor"), centre.post)
    sockets = config.limits.sockets
    centre.store = StoreClient(loop, config.address("store"), centre.post, most=sockets // 4)
    roster = Roster(loop, config.address("roster"), config.name)
    centre.on_duty = roster.set
    gateways = Gateways(loop, config.address("listen"), config.settings, settings, sockets * 5 // 8,
                        centre.post, lambda: centre.advice)
    centre.fronts.append(gateways)
    if consume is not None:
        amqp = AmqpFront(loop, consume, config.settings, settings, centre.post)
        centre.fronts.append(amqp)
        amqp.start()

    def leave() -> None:
        watch_signals(loop, centre, config.stop_ms)
        end_in_time(loop, centre, gateways, config.stop_ms)

    for part in (centre.serve, executor.serve, roster.serve, gateways.serve, leave):
        loop.spawn(part)
    log(LOG, logging.INFO, "started", name=config.name, listen=gateways.address)
    gc.freeze()
    loop.run()


def main() -> int:
    """Start from the environment; 2 for a faulty configuration."""
    setup()
    try:
        config = load()
        run(config, load_amqp(config.settings))
    except ConfigError as err:
        log(LOG, logging.ERROR, "config-faulty", fault=err)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
