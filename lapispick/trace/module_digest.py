"""The digest of the decision module that made a trace, by which a replay knows whether it runs the same one."""

from __future__ import annotations

from hashlib import sha256
from pathlib import Path

from lapispick import admission

MODULE_DIGEST_CHARACTERS = 16


def module_digest() -> str:
    """Return a digest of the present decision module's source."""
    digest = sha256()
    for path in sorted(Path(admission.__file__).parent.glob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()[:MODULE_DIGEST_CHARACTERS]
