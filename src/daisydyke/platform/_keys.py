"""Callers' keys, of which only digests are kept."""

from __future__ import annotations

import hashlib

from .._domain._model import HeaderFields
from . import _headers

_SCHEME = b'bearer'
_WHITESPACE = b' \t'


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known in this process."""
    return hashlib.sha256(key).digest()


def read_key_digest(fields: HeaderFields) -> bytes:
    """Return the digest of the key that a request carries.

    Parameters:
        fields: header fields with lower-case names.

    Returns:
        The digest; empty if there is no key, or more than one field that
        could hold it.
    """
    credentials = [
        text for name, text in fields if name == _headers.AUTHORIZATION
    ]
    if len(credentials) != 1:
        return b''
    scheme, _, key = credentials[0].strip(_WHITESPACE).partition(b' ')
    key = key.strip(_WHITESPACE)
    if scheme.lower() != _SCHEME or not key:
        return b''
    return digest_key(key)
