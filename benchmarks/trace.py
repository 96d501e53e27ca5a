"""Measures traces: size and speed compared with gzipped JSON lines, cost of the recorder, and clock estimates.

    python -m benchmarks.trace [file] [recorder] [clocks]

``file`` runs the decision module with seeded arrivals on a simulated clock for an hour, or for ``MINUTES`` minutes.
``recorder`` compares hosts with the recorder on and off, alternately. ``clocks`` compares clock estimates from
simulated retries.
"""

from __future__ import annotations

import os
import sys

from benchmarks.trace_clocks import measure_clocks
from benchmarks.trace_file import measure_file
from benchmarks.trace_recorder import measure_recorder

DEFAULT_MINUTES = "60"


def main() -> None:
    """Run the measurements that are named, by default all."""
    names = sys.argv[1:] or ["clocks", "file", "recorder"]
    if "clocks" in names:
        measure_clocks()
    if "file" in names:
        measure_file(float(os.environ.get("MINUTES", DEFAULT_MINUTES)))
    if "recorder" in names:
        measure_recorder()


if __name__ == "__main__":
    main()
