"""Changed copies of this very program: hosts that fail, break a rule, or speak another version.

This file alone knows the program text that is changed: the places and the code that is put there. A place that is not
found raises ``PatchError``, so that a change of the program can't turn a faulty host into a correct one unnoticed.
"""

import shutil
from pathlib import Path
from typing import NamedTuple

import lapispick

PACKAGE_FOLDER = Path(lapispick.__file__).parent


class PatchError(AssertionError):
    """A program text that is to be changed does not exist."""


class Place(NamedTuple):
    """A text in a file of the package."""

    file: str
    text: str


class Patch(NamedTuple):
    """A place and what stands there instead; only its first occurrence is changed."""

    place: Place
    replacement: str


def program(folder, patches=()):
    """Make a program folder of this version with some patches applied."""
    folder.mkdir(parents=True)
    package = folder / "lapispick"
    shutil.copytree(PACKAGE_FOLDER, package, ignore=shutil.ignore_patterns("__pycache__"))
    for patch in patches:
        _apply(package, patch)
    return folder


def _apply(package, patch):
    path = package / patch.place.file
    if not path.is_file():
        raise PatchError(f"{patch.place.file} does not exist")
    text = path.read_text()
    if patch.place.text not in text:
        raise PatchError(f"{patch.place.file} has no {patch.place.text!r}")
    path.write_text(text.replace(patch.place.text, patch.replacement, 1))


def insert_before(place, code):
    """Return a patch that adds code before a place."""
    return Patch(place, code + place.text)


def insert_after(place, code):
    """Return a patch that adds code after a place."""
    return Patch(place, place.text + code)


# Places.

HOUSEKEEPING = "host/core/housekeeping.py"
ANSWERS = "host/core/answers.py"
IDEMPOTENCY = "host/core/idempotency.py"
MAIN = "host/__main__.py"
MAIN_FUNCTION = Place(MAIN, "def main() -> int:")
LOGS_SET_UP = Place(MAIN, "    configure_logging()\n")
HOUSEKEEPING_IMPORTS = Place(HOUSEKEEPING, "import logging\n")
ANSWERS_FIRST_CLASS = Place(ANSWERS, "\n\n\nclass ")
HOUSEKEEPING_STARTS = Place(HOUSEKEEPING, "    def start(self) -> None:")
ANSWER_COUNTED = Place(ANSWERS, "        self.metrics.count_answer(answer.kind, request.class_index)\n")
ANSWER_SENT = Place(ANSWERS, "        request.reply(self._with_backpressure(answer))")
ANSWERED_LATE = Place(ANSWERS, "request.read_at <= deadline_at < self._clock.now - DEADLINE_SLACK_MS")
KEY_FOUND_ON_ARRIVAL = Place(IDEMPOTENCY, "record = self.table.find(request.idempotency_key, request.created_at)")
KEY_FOUND_IN_TABLE = Place(IDEMPOTENCY, "record = self.table.get(request.idempotency_key)")
KEY_RAN_BEFORE = Place(IDEMPOTENCY, "record.executed_attempt not in (0, EXECUTED_BY_PEER)")
KEY_CLAIMED = Place("host/core/runs.py", "verdict = self._idempotency.claim(")
JSONRPC_ENCODED = Place(
    "host/jsonrpc/messages.py", 'encode({"jsonrpc": "2.0", "id": message_id, "result": result}) + b"\\n"'
)
DRAIN_GRACE = Place("platform_settings.py", "drain_grace_ms=")
HANDOVER_VERSION = Place("handover/messages.py", "\nVERSION = 1 ")
HANDOVER_HELLO_END = Place("handover/messages.py", "0 = no other\n")
HANDOVER_FORMAT = Place("versions.py", '"handover": (1, 1, 1)')

# Expressions of the program that inserted code uses.

IS_KEYED = "request.idempotency_key is not None"
RANDOM_NUMBER = "int(request.request_id, 16)"  # drawn by the gateway for each attempt
FAILED_ANSWER = "Answer(AnswerKind.FAILED)"
REJECTED_ANSWER = "Answer(AnswerKind.REJECTED)"
EXIT_AFTER_A_SECOND = "self._loop.call_later(1.0, os._exit, 9)"


def module_code(code):
    """Add code to the module that sends answers, below its imports and constants."""
    return Patch(ANSWERS_FIRST_CLASS, f"\n\n{code}{ANSWERS_FIRST_CLASS.text}")


# Hosts that fail.

DOES_NOT_START = (Patch(MAIN_FUNCTION, f"raise SystemExit(3)\n{MAIN_FUNCTION.text}"),)
HANGS_AT_START = (insert_after(LOGS_SET_UP, "    import time\n\n    time.sleep(60)\n"),)


def exits_after_a_second(condition="True"):
    """Let a host end a second after it began to serve, where a condition holds."""
    code = (
        f"\n        if {condition}:\n            {EXIT_AFTER_A_SECOND}\n"
        "        return self.start_unpatched()\n\n    def start_unpatched(self) -> None:"
    )
    return (insert_after(HOUSEKEEPING_STARTS, code), insert_after(HOUSEKEEPING_IMPORTS, "import os\n"))


LOGS_DEBUG_LINES = "logging.getLogger().isEnabledFor(logging.DEBUG)"


# Hosts that do worse.


def fails_keyed_requests(tenths, condition="True"):
    """Fail so many tenths of the keyed requests, where a condition holds."""
    code = (
        f"        if {IS_KEYED} and ({condition}) and {RANDOM_NUMBER} % 10 < {tenths}:\n"
        f"            answer = {FAILED_ANSWER}\n"
    )
    return (insert_before(ANSWER_COUNTED, code),)


def fails_keyed_requests_when_warm(tenths, after_s):
    """Fail so many tenths of the keyed requests from a time after the start."""
    return (
        *fails_keyed_requests(tenths, f"time.monotonic() - STARTED_AT > {after_s}"),
        module_code("import time\n\nSTARTED_AT = time.monotonic()"),
    )


def file_exists(path):
    """Return a condition that a file exists."""
    return f"__import__('os').path.exists({str(path)!r})"


def leaks_memory(bytes_an_answer):
    """Keep so many bytes for each answer."""
    return (
        insert_before(ANSWER_SENT, f"        LEAKED.append(bytearray(b'x') * {bytes_an_answer})\n"),
        module_code("LEAKED = []"),
    )


COUNTS_ONE_IN_40_AS_LATE = (Patch(ANSWERED_LATE, f"{RANDOM_NUMBER} % 40 == 0"),)

# Hosts that break a rule, by the rule's name.

_ONE_IN_5 = f"{RANDOM_NUMBER} % 5 == 0"
RULE_BREAKING_HOSTS = {
    "lost": (Patch(ANSWER_SENT, f"        if not {_ONE_IN_5}:\n    {ANSWER_SENT.text}"),),
    "doubled": (Patch(JSONRPC_ENCODED, f"2 * ({JSONRPC_ENCODED.text})"),),
    "twice": (
        Patch(KEY_FOUND_ON_ARRIVAL, "record = None"),
        Patch(KEY_FOUND_IN_TABLE, "record = None"),
        Patch(KEY_RAN_BEFORE, "record.executed_attempt == -9"),
        Patch(KEY_CLAIMED, "verdict = Verdict.RUN if True else ("),
    ),
    "changed": (insert_before(ANSWER_SENT, "        answer = answer._replace(result=answer.result and 'd3Jvbmc=')\n"),),
    "refused": (insert_before(ANSWER_SENT, f"        if {_ONE_IN_5}:\n            answer = {REJECTED_ANSWER}\n"),),
    "drain": (Patch(DRAIN_GRACE, f"{DRAIN_GRACE.text}5 * "),),
    "memory": (module_code("HOG = b'x' * (200 << 20)"),),
}

# Other versions.

SKIPS_A_HANDOVER_VERSION = (Patch(HANDOVER_FORMAT, '"handover": (3, 2, 3)'),)
NEXT_HANDOVER_VERSION = (
    Patch(HANDOVER_VERSION, "\nVERSION = 2 "),
    insert_after(HANDOVER_HELLO_END, "    brand_new: str = 'x'\n"),
    Patch(HANDOVER_FORMAT, '"handover": (1, 1, 2)'),
)
