"""Records of parts and their merge."""

from __future__ import annotations

import heapq
import struct
from collections.abc import Iterable
from functools import lru_cache

RECORD_BYTES = 16
_LAYOUTS = 512


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    A remainder shorter than a record is no record.

    Parameters:
        bodies: each a sequence of records of 16 bytes in any order.
        count: how many records at most.
    """
    records: list[bytes] = []
    for body in bodies:
        layout = _layout(len(body) // RECORD_BYTES)
        records.extend(layout.unpack_from(body))
    return b''.join(heapq.nlargest(count, records))


@lru_cache(maxsize=_LAYOUTS)
def _layout(count: int) -> struct.Struct:
    return struct.Struct(f'{RECORD_BYTES}s' * count)
