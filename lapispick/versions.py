"""What this version speaks with others, kind by kind: peers, stores and files that outlast a process.

One step of a rollout has two versions side by side, and it may be undone. So for each kind the new one must read what
the old one writes, and the old one what the new one writes (``rollout/compat.py``). A change of a form therefore needs
two steps: first read the new form while the old one is written, then write it. ``python -m lapispick.versions`` prints
it as JSON.
"""

from __future__ import annotations

import json
import sys

# kind -> [what is written, the oldest that is read, the newest that is read]
SPOKEN: dict[str, tuple[int, int, int]] = {
    "handover": (1, 1, 1),  # between two processes of a box; handover/messages.py
    "durable": (1, 1, 1),  # the store of keys; durable/database.py
    "trace": (100, 100, 199),  # files of requests and decisions, 100 times the major version; trace/layout.py
    "agent": (1, 1, 1),  # calls between controllers and agents; rollout/messages.py
    "ledger": (1, 1, 1),  # the state of rollouts; agent/rollout_store.py
    "members": (1, 1, 1),  # words between worker hosts; members/messages.py
    "settings": (3, 1, 3),  # the settings file; 1 knows no section fleet, rollout, agent, figures, and 2 no members
}


def main() -> int:
    """Print what is spoken."""
    json.dump(SPOKEN, sys.stdout)
    sys.stdout.write("\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
