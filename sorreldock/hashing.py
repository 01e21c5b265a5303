"""Keyed hashing for pseudo-random draws, with the same results in every process."""

from __future__ import annotations

import hashlib

MASK = (1 << 64) - 1  # the numbers are 64 bits wide


def mix(value: int) -> int:
    """Mix 64 bits as splitmix64's finalizer: each input bit changes about half of the output bits."""
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & MASK
    return value ^ (value >> 31)


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def hash_to_unit(key: int, salt: int) -> float:
    """Return a hash of a key and a salt as a number in (0, 1]."""
    return (mix(key ^ salt) + 1) / (MASK + 2)
