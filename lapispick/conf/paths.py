"""Paths in settings, as text: ``pathlib`` would take 0.3 MB in each host, which needs it for nothing else."""

from __future__ import annotations

import os


def normalize(path: str) -> str:
    """Return a path without empty and ``.`` parts, in the form of ``pathlib``.

    Parts ``..`` are kept, as the part before them may be a symbolic link.
    """
    absolute = path.startswith("/")
    has_two_slashes = path.startswith("//") and not path.startswith("///")  # a root of its own in POSIX
    root = "//" if has_two_slashes else "/" * absolute
    parts = [part for part in path.split("/") if part not in ("", ".")]
    return root + "/".join(parts) or "."


def relative_to_file(file: str, path: str) -> str:
    """Return a path resolved against the folder of a file, if it is relative."""
    return normalize(os.path.join(os.path.dirname(file), path))
