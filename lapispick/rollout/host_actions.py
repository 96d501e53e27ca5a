"""What an agent does once a decision is stored. Each action may be repeated after a death of the agent. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from lapispick.rollout.host_state import HostProcess


class Start(NamedTuple):
    """Start a process, unless it is running."""

    process: HostProcess


class Reload(NamedTuple):
    """Let a running process take another generation's configuration by SIGHUP."""

    process: HostProcess


class Terminate(NamedTuple):
    """Ask a process by SIGTERM to drain and end."""

    number: int


class Kill(NamedTuple):
    """End a process at once."""

    number: int


Action = Start | Reload | Terminate | Kill
