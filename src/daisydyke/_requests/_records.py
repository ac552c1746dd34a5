"""Records of parts and their merge."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    A remainder shorter than a record is no record.

    Parameters:
        bodies: each a sequence of records of 16 bytes in any order.
        count: how many records at most.
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        records.extend(
            body[start : start + RECORD_BYTES]
            for start in range(0, whole, RECORD_BYTES)
        )
    return b''.join(heapq.nlargest(count, records))
