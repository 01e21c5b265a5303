"""Keyed hashing that gives the same numbers in every process, for pseudo-random draws."""

from __future__ import annotations

import hashlib

MASK = (1 << 64) - 1  # the numbers are 64 bits wide


def mix(value: int) -> int:
    """Finalize as splitmix64 does: every bit of the input moves half the bits of the output."""
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & MASK
    return value ^ (value >> 31)


def hash_text(text: str) -> int:
    """Hash a text to 64 bits."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def hash_to_unit(x: int, salt: int) -> float:
    """Hash to a number in (0, 1]."""
    return (mix(x ^ salt) + 1) / (MASK + 2)
