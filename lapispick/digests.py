"""BLAKE2b without OpenSSL, with the same digests as ``hashlib.blake2b``.

``hashlib`` loads OpenSSL, which takes memory and is not needed for anything else. CPython has BLAKE2 in a separate
extension module, which ``hashlib`` itself uses; an interpreter without that module falls back to ``hashlib``.
"""

from __future__ import annotations

try:
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

__all__ = ["blake2b"]
