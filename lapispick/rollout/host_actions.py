"""Actions of an agent, carried out once the decision is stored. No I/O.

An agent that crashed may repeat each of them after its restart.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispick.rollout.host_state import HostProcess


class Start(NamedTuple):
    """Start of a process; does nothing if the process is already running."""

    process: HostProcess


class Reload(NamedTuple):
    """Reload of a running process by SIGHUP, with another generation's configuration."""

    process: HostProcess


class Terminate(NamedTuple):
    """SIGTERM to a process, which makes it drain and exit."""

    number: int


class Kill(NamedTuple):
    """SIGKILL to a process."""

    number: int


Action = Start | Reload | Terminate | Kill
