"""The core of the worker host, which carries out the actions of the decision module.

The core depends on no wire format and uses no sockets. Fronts, executor and store report events to ``Core.post``. One
greenlet takes the events from the queue, passes them to the decision module and carries out the actions that it
returns. Every request gets one final answer, through its ``reply``.

| module | responsibility |
| --- | --- |
| ``dispatcher`` | the event queue, and the handler of each event and action |
| ``decision_module`` | the Controller: its start, its steps, and the batches that it failed to handle |
| ``arrivals`` | requests that arrive or are cancelled by their client |
| ``runs`` | runs and downstream calls |
| ``idempotency`` | idempotency keys: claim, coalesce, retain, release |
| ``completion`` | the final answer of a request and the clean-up after it |
| ``answers`` | sending and counting answers |
| ``in_flight``, ``request_table`` | the state of each request in flight |
| ``peers`` | references to executor, store, fronts and recorder |
| ``peer_sync`` | the other process of this worker host during an upgrade |
| ``health_checks``, ``shutdown`` | health, drain and graceful shutdown |
| ``timers``, ``housekeeping`` | timers, gauges, expiry and the periodic log line |
| ``clock`` | the time of the current batch |
"""

from lapispick.host.core.dispatcher import Core

__all__ = ["Core"]
