"""What this host reports of itself to health checks, the service registry and the operators. No I/O and no clock.

It follows from six facts:

| fact | set by | cleared by |
| --- | --- | --- |
| ready | the executor has come up | never |
| module_healthy | the decision module | the decision module |
| draining | ``drain-on`` | ``drain-off`` |
| listening | the start, or in an upgrade the end of the snapshot | never |
| shutting_down | SIGTERM | never |
| handed_over | SIGTERM while another process of this worker host takes clients | never |

A shutdown that is handed over changes neither the health of the host nor what the service registry is notified of.
A drain is no shutdown: requests are answered as always. During a shutdown a drain call changes nothing; before the
executor is up it takes effect once the executor is.
"""

from __future__ import annotations

import msgspec


class HealthState(msgspec.Struct):
    """The six facts, and what follows from them."""

    ready: bool = False
    module_healthy: bool = True
    draining: bool = False
    shutting_down: bool = False
    handed_over: bool = False
    listening: bool = True  # the clients' socket is open

    @property
    def healthy(self) -> bool:
        """The answer to health checks."""
        return self.ready and self.listed

    @property
    def listed(self) -> bool:
        """The load report, on or off; the service registry lists no host before its executor is up."""
        return self.module_healthy and not self.draining and (self.handed_over or not self.shutting_down)

    @property
    def not_accepting_reason(self) -> str:
        """Why this process accepts no clients; empty where it accepts them, as it does while it drains."""
        if self.shutting_down:
            return "leaving"
        if not self.ready:
            return "the executor is not up yet"
        return "" if self.listening else "the keys are not here yet"
