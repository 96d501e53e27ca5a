"""What this host reports of itself: to health checks, the service registry and the operators. No I/O and no clock.

Six facts decide it, and every way between them is one row of ``HealthState``'s properties:

| fact | set by | cleared by |
| --- | --- | --- |
| ready | the executor has come up | never |
| module_healthy | the module | the module |
| draining | ``drain-on`` | ``drain-off`` |
| listening | the start, or in an upgrade the end of the snapshot | never |
| shutting_down | SIGTERM | never |
| handed_over | SIGTERM while another process of this worker host takes clients | never |

A shutdown that is handed over is none for the host as a whole: health and the service registry stay as they were.
A drain by call is no shutdown: what arrives is answered as always. A shutdown ends the process, and a drain call in it
changes no answer. A call before the executor is up holds from then on.
"""

from __future__ import annotations

import msgspec


class HealthState(msgspec.Struct):
    """The facts, and what follows from them."""

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
        """What the roster is told; it lists a host by itself only once the executor is up."""
        return self.module_healthy and not self.draining and (self.handed_over or not self.shutting_down)

    @property
    def not_accepting_reason(self) -> str:
        """Why this process accepts no clients; empty where it does. One that drains still accepts them."""
        if self.shutting_down:
            return "leaving"
        if not self.ready:
            return "the executor is not up yet"
        return "" if self.listening else "the keys are not here yet"
