"""Patched copies of this program: hosts that fail, break a rule, or have another version of a format.

Only this file contains the program text that is replaced and the code that replaces it. A missing text raises
``PatchError``, so that a change of the program cannot silently turn a faulty host into a correct one.
"""

import shutil
from pathlib import Path
from typing import NamedTuple

import lapispick

PACKAGE_FOLDER = Path(lapispick.__file__).parent


class PatchError(AssertionError):
    """The text that a patch replaces does not exist."""


class PatchTarget(NamedTuple):
    """A text in a file of the package that a patch replaces."""

    file: str
    text: str


class Patch(NamedTuple):
    """A target and its replacement; only the first occurrence of the text is replaced."""

    target: PatchTarget
    replacement: str


def make_program_folder(folder, patches=()):
    """Make a program folder with a copy of this program, apply the patches to it, and return the folder."""
    folder.mkdir(parents=True)
    package = folder / "lapispick"
    shutil.copytree(PACKAGE_FOLDER, package, ignore=shutil.ignore_patterns("__pycache__"))
    for patch in patches:
        _apply(package, patch)
    return folder


def _apply(package, patch):
    path = package / patch.target.file
    if not path.is_file():
        raise PatchError(f"{patch.target.file} does not exist")
    text = path.read_text()
    if patch.target.text not in text:
        raise PatchError(f"{patch.target.file} does not contain {patch.target.text!r}")
    path.write_text(text.replace(patch.target.text, patch.replacement, 1))


def insert_before(target, code):
    """Return a patch that adds code before a target."""
    return Patch(target, code + target.text)


def insert_after(target, code):
    """Return a patch that adds code after a target."""
    return Patch(target, target.text + code)


# Files and targets.

HOUSEKEEPING = "host/core/housekeeping.py"
ANSWERS = "host/core/answers.py"
IDEMPOTENCY = "host/core/idempotency.py"
MAIN = "host/__main__.py"
MAIN_FUNCTION = PatchTarget(MAIN, "def main() -> int:")
LOGS_SET_UP = PatchTarget(MAIN, "    configure_logging()\n")
HOUSEKEEPING_IMPORTS = PatchTarget(HOUSEKEEPING, "import logging\n")
ANSWERS_FIRST_CLASS = PatchTarget(ANSWERS, "\n\n\nclass ")
HOUSEKEEPING_STARTS = PatchTarget(HOUSEKEEPING, "    def start(self) -> None:")
ANSWER_COUNTED = PatchTarget(ANSWERS, "        self.metrics.count_answer(answer.kind, request.class_index)\n")
ANSWER_SENT = PatchTarget(ANSWERS, "        request.reply(self._with_backpressure(answer))")
ANSWERED_LATE = PatchTarget(ANSWERS, "request.read_at <= deadline_at < self._clock.now - DEADLINE_SLACK_MS")
KEY_FOUND_ON_ARRIVAL = PatchTarget(IDEMPOTENCY, "record = self.table.find(request.idempotency_key, request.created_at)")
KEY_FOUND_IN_TABLE = PatchTarget(IDEMPOTENCY, "record = self.table.get(request.idempotency_key)")
KEY_RAN_BEFORE = PatchTarget(IDEMPOTENCY, "record.executed_attempt not in (0, EXECUTED_BY_PEER)")
KEY_CLAIMED = PatchTarget("host/core/runs.py", "verdict = self._idempotency.claim(")
JSONRPC_ENCODED = PatchTarget(
    "host/jsonrpc/messages.py", 'encode({"jsonrpc": "2.0", "id": message_id, "result": result}) + b"\\n"'
)
DRAIN_GRACE = PatchTarget("platform_settings.py", "drain_grace_ms=")
HANDOVER_VERSION = PatchTarget("handover/messages.py", "\nVERSION = 1 ")
HANDOVER_HELLO_END = PatchTarget("handover/messages.py", "0 = no other\n")
HANDOVER_FORMAT = PatchTarget("versions.py", '"handover": (1, 1, 1)')

# Expressions and statements for inserted code.

IS_KEYED = "request.idempotency_key is not None"
RANDOM_NUMBER = "int(request.request_id, 16)"  # the gateway draws it for each attempt
FAILED_ANSWER = "Answer(AnswerKind.FAILED)"
REJECTED_ANSWER = "Answer(AnswerKind.REJECTED)"
EXIT_AFTER_A_SECOND = "self._loop.call_later(1.0, os._exit, 9)"


def add_module_code(code):
    """Return a patch that adds code to the module that sends answers, below its imports and constants."""
    return Patch(ANSWERS_FIRST_CLASS, f"\n\n{code}{ANSWERS_FIRST_CLASS.text}")


# Hosts that fail.

DOES_NOT_START = (Patch(MAIN_FUNCTION, f"raise SystemExit(3)\n{MAIN_FUNCTION.text}"),)
HANGS_AT_START = (insert_after(LOGS_SET_UP, "    import time\n\n    time.sleep(60)\n"),)


def exits_after_a_second(condition="True"):
    """Return patches with which a host exits one second after it starts to serve, if the condition is true."""
    code = (
        f"\n        if {condition}:\n            {EXIT_AFTER_A_SECOND}\n"
        "        return self.start_unpatched()\n\n    def start_unpatched(self) -> None:"
    )
    return (insert_after(HOUSEKEEPING_STARTS, code), insert_after(HOUSEKEEPING_IMPORTS, "import os\n"))


LOGS_DEBUG_LINES = "logging.getLogger().isEnabledFor(logging.DEBUG)"


# Hosts with worse results.


def fails_keyed_requests(tenths, condition="True"):
    """Return patches with which a host fails a number of tenths of the keyed requests while the condition is true."""
    code = (
        f"        if {IS_KEYED} and ({condition}) and {RANDOM_NUMBER} % 10 < {tenths}:\n"
        f"            answer = {FAILED_ANSWER}\n"
    )
    return (insert_before(ANSWER_COUNTED, code),)


def fails_keyed_requests_when_warm(tenths, after_s):
    """Return patches with which a host fails tenths of the keyed requests from ``after_s`` seconds after its start."""
    return (
        *fails_keyed_requests(tenths, f"time.monotonic() - STARTED_AT > {after_s}"),
        add_module_code("import time\n\nSTARTED_AT = time.monotonic()"),
    )


def file_exists_condition(path):
    """Return the code of a condition that is true while a file exists."""
    return f"__import__('os').path.exists({str(path)!r})"


def leaks_memory(bytes_per_answer):
    """Return patches with which a host leaks a number of bytes with each answer."""
    return (
        insert_before(ANSWER_SENT, f"        LEAKED.append(bytearray(b'x') * {bytes_per_answer})\n"),
        add_module_code("LEAKED = []"),
    )


COUNTS_ONE_IN_40_AS_LATE = (Patch(ANSWERED_LATE, f"{RANDOM_NUMBER} % 40 == 0"),)

# Patches of hosts that break a rule, by the name of the rule.

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
    "memory": (add_module_code("UNUSED_BYTES = b'x' * (200 << 20)"),),
}

# Hosts with other versions of the hand-over format.

SKIPS_A_HANDOVER_VERSION = (Patch(HANDOVER_FORMAT, '"handover": (3, 2, 3)'),)
NEXT_HANDOVER_VERSION = (
    Patch(HANDOVER_VERSION, "\nVERSION = 2 "),
    insert_after(HANDOVER_HELLO_END, "    brand_new: str = 'x'\n"),
    Patch(HANDOVER_FORMAT, '"handover": (1, 1, 2)'),
)
