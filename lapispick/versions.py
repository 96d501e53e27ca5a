"""The versions of the formats that this program exchanges with peers, stores and files that outlast a process.

In each step of a rollout two versions of the program run side by side, and the rollout may be rolled back. So for each
format the new program must read what the old one writes, and the old one must read what the new one writes
(``rollout/compat.py``). A change of a format therefore needs two steps: the first version reads the new form and still
writes the old one, and the second version writes the new form. Agents of any version start
``python -m lapispick.versions``, which prints the formats as JSON.
"""

from __future__ import annotations

import json
import sys

# format -> [version that is written, oldest that is read, newest that is read]
FORMATS: dict[str, tuple[int, int, int]] = {
    "handover": (1, 1, 1),  # between two processes of a host; handover/messages.py
    "durable": (1, 1, 1),  # the store of idempotency records; durable/database.py
    "trace": (100, 100, 199),  # files of requests and decisions; 100 times the major version; trace/layout.py
    "agent": (1, 1, 1),  # calls between controllers and agents; rollout/messages.py
    "ledger": (1, 1, 1),  # the state of rollouts; agent/rollout_store.py
    "members": (1, 1, 1),  # messages between worker hosts; members/messages.py
    "settings": (3, 1, 3),  # the settings file; 1 lacks the sections fleet, rollout, agent and figures, 2 lacks members
}


def main() -> int:
    """Print the formats as JSON, and return the exit status."""
    json.dump(FORMATS, sys.stdout)
    sys.stdout.write("\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
