"""Hashing that every process computes alike."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sorreldock.hashing import MASK, hash_text, hash_to_unit, mix


def test_known_values_stay_as_they_are() -> None:
    """Processes of different versions serve side by side while one follows another."""
    assert mix(0) == 0
    assert mix(1) == 0x5692161D100B05E5
    assert hash_text("e0") == 0x11B5E1D53AE82B14


@given(st.integers(0, MASK), st.integers(0, MASK))
def test_mix_is_one_to_one_and_unit_is_in_its_interval(x: int, y: int) -> None:
    assert 0 <= mix(x) <= MASK and (mix(x) == mix(y)) == (x == y)
    assert 0.0 < hash_to_unit(x, y) <= 1.0
