"""The number of retained idempotency keys is limited by the memory limit, and no key is dropped for a new one."""

from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from tests.upgrade_support import LONG_WINDOW_INFO

MEMORY_MB = 24
MAX_KEYS = 3072  # an eighth of the memory limit, at 1 KiB a key
BATCH = 8


def test_ever_new_keys_are_rejected_beyond_the_limit_and_earlier_ones_keep_their_results(host):
    # Guards against keys that are retained without a limit, so that their memory grows with the rate of one client.
    # With the usual window of 3 s the first keys would end while a slow machine still sends the last ones.
    worker = host(info=LONG_WINDOW_INFO, limits={"memory_mb": MEMORY_MB})
    gateway = worker.gateway()
    first_key = make_idempotency_key()
    gateway.result(gateway.request("book", "first", first_key))
    kinds = []
    while len(kinds) < MAX_KEYS + BATCH:
        request_ids = [gateway.request("book", "x", make_idempotency_key()) for _ in range(BATCH)]
        kinds += ["error" not in gateway.answer(request_id) for request_id in request_ids]
    assert all(kinds[: MAX_KEYS - 1])
    assert not any(kinds[MAX_KEYS:])
    assert gateway.error_code(gateway.request("book", "x", make_idempotency_key())) == REJECTED_CODE
    assert gateway.result(gateway.request("book", "first", first_key)) == "did first"
    assert gateway.result(gateway.request("track", "x")) == "did x"
    assert len(worker.executor.runs_of("first")) == 1
