"""Case 10: a request whose body is within 2 KiB, written as JSON with escapes."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness_2 as harness  # noqa: E402

BODY_BYTES = 2046  # the pages: at most 2 KiB
PIXELS = bytes.fromhex("fbefbe")  # a picture of one colour; its base64 is a row of plus signs


async def run(setup, trouble):
    """Send a request beside it, the request with the body, and one more on another connection."""
    host = await setup.start()
    gateway = await harness.Gateway(setup.record, "gateway").connect(setup.listen)
    beside = gateway.send("track", json.dumps({"run_s": 1.0}).encode())
    message = gateway.message("track", PIXELS * (BODY_BYTES // len(PIXELS)))
    line = json.dumps(message)
    if trouble:  # as encoders write it that escape what HTML could misread
        line = line.replace("+", "\\u002B")
    if json.loads(line) != message:
        raise harness.NotRunError("the line does not say what the request says")
    gateway.write(line.encode() + b"\n", f"request {message['id']}, a body of {BODY_BYTES} bytes")
    await asyncio.sleep(4.0 + harness.ANSWER_SLACK_S)
    for sent in (beside, message):
        runs = len(setup.executor.runs_of(sent["params"]["trace"]))
        setup.record.add(f"request {sent['id']}: {gateway.kind(sent['id'])}, run {runs} times")
    if not host.is_running():
        return ["the worker host ended"]
    faults = [
        f"request {sent['id']} got no answer by its due time, and its connection ended"
        for sent in (beside, message)
        if gateway.kind(sent["id"]) == "nothing"
    ]
    await gateway.close()
    return faults


sys.exit(harness.main(HERE, run))
