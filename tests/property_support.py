"""Support for property tests: a limit on the CPU time of each example."""

import functools
import time

MAX_EXAMPLE_CPU_S = 0.2


def cpu_time_bounded(test):
    """Fail an example that takes over ``MAX_EXAMPLE_CPU_S`` of CPU time.

    The deadline of Hypothesis applies to elapsed time, so its result depends on the load of the machine.
    """

    @functools.wraps(test)
    def bounded(*args, **kwargs):
        started_at = time.thread_time()
        test(*args, **kwargs)
        assert time.thread_time() - started_at < MAX_EXAMPLE_CPU_S

    return bounded
