"""Merging of the records that the shards of a route return."""

from __future__ import annotations

import heapq
import struct
from collections.abc import Iterable
from functools import lru_cache

RECORD_BYTES = 16
_MAXIMUM_CACHED_LAYOUTS = 512


def greatest_records(bodies: Iterable[bytes | bytearray], limit: int) -> bytes:
    """Return the greatest records of all bodies, in descending byte order.

    Trailing bytes that do not fill a record are ignored.

    Parameters:
        bodies: each a concatenation of 16-byte records in any order.
        limit: maximum number of records to return.

    Returns:
        The concatenated records.
    """
    records: list[bytes] = []
    for body in bodies:
        layout = _layout(len(body) // RECORD_BYTES)
        records.extend(layout.unpack_from(body))
    return b''.join(heapq.nlargest(limit, records))


@lru_cache(maxsize=_MAXIMUM_CACHED_LAYOUTS)
def _layout(record_count: int) -> struct.Struct:
    return struct.Struct(f'{RECORD_BYTES}s' * record_count)
