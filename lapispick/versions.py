"""The formats that this version exchanges with others: peers, stores and files that outlast a process.

In each step of a rollout two versions run side by side, and it may be rolled back. So for each format the new version
must read what the old one writes, and the old one what the new one writes (``rollout/compat.py``). A change of a format
therefore needs two steps: first read the new form while the old one is written, then write it. Agents of any version
start ``python -m lapispick.versions``, which prints the formats as JSON.
"""

from __future__ import annotations

import json
import sys

# format -> [version that is written, oldest that is read, newest that is read]
FORMATS: dict[str, tuple[int, int, int]] = {
    "handover": (1, 1, 1),  # between two processes of a host; handover/messages.py
    "durable": (1, 1, 1),  # the store of keys; durable/database.py
    "trace": (100, 100, 199),  # files of requests and decisions, 100 times the major version; trace/layout.py
    "agent": (1, 1, 1),  # calls between controllers and agents; rollout/messages.py
    "ledger": (1, 1, 1),  # the state of rollouts; agent/rollout_store.py
    "members": (1, 1, 1),  # messages between worker hosts; members/messages.py
    "settings": (3, 1, 3),  # the settings file; 1 knows no section fleet, rollout, agent, figures, and 2 no members
}


def main() -> int:
    """Print the formats."""
    json.dump(FORMATS, sys.stdout)
    sys.stdout.write("\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
