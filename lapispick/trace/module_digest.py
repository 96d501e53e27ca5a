"""Digest of the decision module that made a trace; a replay checks with it whether it runs the same module."""

from __future__ import annotations

from hashlib import sha256
from pathlib import Path

from lapispick import admission

MODULE_DIGEST_CHARACTERS = 16


def module_digest() -> str:
    """Return the digest of the source code of this program's decision module."""
    digest = sha256()
    for path in sorted(Path(admission.__file__).parent.glob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()[:MODULE_DIGEST_CHARACTERS]
