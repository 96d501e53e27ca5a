"""What this host says of itself: to health checks, the roster and the operators. No I/O and no clock.

Six facts decide it, and every way between them is one row of ``Duty``'s properties:

| fact | set by | cleared by |
| --- | --- | --- |
| ready | the executor has come up | never |
| well | the module | the module |
| drained | ``drain-on`` | ``drain-off`` |
| open | the start, or in an upgrade the end of the snapshot | never |
| leaving | SIGTERM | never |
| handed | SIGTERM while another process of this worker host takes clients | never |

A leave that is handed over is none for the host as a whole: health and roster say what they said before it.
A drain by call is no leave: what comes is answered as always. A leave ends the process, and a drain call in it
changes no answer. A call before the executor is up holds from then on.
"""

from __future__ import annotations

import msgspec


class Duty(msgspec.Struct):
    """The facts, and what follows from them."""

    ready: bool = False
    well: bool = True
    drained: bool = False
    leaving: bool = False
    handed: bool = False
    open: bool = True  # the clients' socket is

    @property
    def healthy(self) -> bool:
        """The answer to health checks."""
        return self.ready and self.listed

    @property
    def listed(self) -> bool:
        """What the roster is told; it lists a host by itself only once the executor is up."""
        return self.well and not self.drained and (self.handed or not self.leaving)

    @property
    def takes(self) -> str:
        """Why this process takes no clients; empty where it does. A drained one still takes all that comes."""
        if self.leaving:
            return "leaving"
        if not self.ready:
            return "the executor is not up yet"
        return "" if self.open else "the keys are not here yet"
