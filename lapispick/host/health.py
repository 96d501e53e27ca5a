"""The health of this host as health checks, the service registry and the operators see it. No I/O and no clock.

It is derived from six facts:

| fact | set by | cleared by |
| --- | --- | --- |
| ready | the executor, once it is up | never |
| module_healthy | the decision module | the decision module |
| draining | ``drain-on`` | ``drain-off`` |
| listening | the start, or the end of the snapshot in an upgrade | never |
| shutting_down | SIGTERM | never |
| handed_over | SIGTERM while another process of this worker host takes clients | never |

A shutdown that is handed over changes neither the health of the host nor its load reports to the service registry.
A drain is not a shutdown: requests are answered as usual. During a shutdown a drain call changes nothing; a drain call
before the executor is up takes effect when the executor comes up.
"""

from __future__ import annotations

import msgspec


class HealthState(msgspec.Struct):
    """The six facts, and the health derived from them."""

    ready: bool = False
    module_healthy: bool = True
    draining: bool = False
    shutting_down: bool = False
    handed_over: bool = False
    listening: bool = True  # the clients' socket is open

    @property
    def healthy(self) -> bool:
        """Whether health checks are answered as healthy."""
        return self.ready and self.listed

    @property
    def listed(self) -> bool:
        """Whether load reports say on; the service registry lists no host before its executor is up."""
        return self.module_healthy and not self.draining and (self.handed_over or not self.shutting_down)

    @property
    def not_accepting_reason(self) -> str:
        """Why this process accepts no clients; empty if it accepts them, which it also does while it drains."""
        if self.shutting_down:
            return "leaving"
        if not self.ready:
            return "the executor is not up yet"
        return "" if self.listening else "the keys are not here yet"
