"""BLAKE2b without loading OpenSSL: the same digests as ``hashlib.blake2b``.

``hashlib`` loads OpenSSL, which takes memory and is not needed otherwise. CPython has BLAKE2 in an extension module of
its own, which ``hashlib`` itself uses; where an interpreter lacks it, ``hashlib`` is the fallback.
"""

from __future__ import annotations

try:
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

__all__ = ["blake2b"]
