"""Rendezvous hashing, which assigns keys to members without coordination."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in order of preference for a key, best first.

    When a member joins or leaves, only the keys that rank it first are
    reassigned.
    """
    return sorted(members, key=lambda member: _score(key, member))


def _score(key: str, member: str) -> int:
    return xxh3_64_intdigest(f'{key}|{member}'.encode())
