"""Errors of decoders, for input that may be anything."""

from __future__ import annotations

import msgspec

# Besides their own errors, decoders raise those of nesting without end, and of
# numbers and texts that Python does not convert.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    OverflowError,
    ValueError,
)
