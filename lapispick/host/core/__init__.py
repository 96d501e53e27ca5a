"""The core of the worker host: carries out the decision module's actions. It knows no wire format and no sockets.

Fronts, executor and store report events to ``Core.post``. One greenlet takes them from the queue, lets the decision
module decide and carries its actions out. Every request gets one final answer through its ``reply``.

| module | its part |
| --- | --- |
| ``dispatcher`` | the queue, and which part handles which event and action |
| ``decision_module`` | the Controller: start, steps and what a fault of it leaves open |
| ``arrivals`` | requests that arrive or are cancelled by their client |
| ``runs`` | runs and downstream calls |
| ``idempotency`` | idempotency keys: claim, coalesce, retain, release |
| ``completion`` | what ends with the final answer |
| ``answers`` | sends and counts answers |
| ``in_flight``, ``request_table`` | what is known of a request |
| ``peer_sync`` | the other process of this worker host during an upgrade |
| ``health_checks``, ``shutdown`` | health, drain and graceful shutdown |
| ``timers``, ``housekeeping`` | timers, gauges, expiry and the periodic log line |
"""

from lapispick.host.core.dispatcher import Core

__all__ = ["Core"]
