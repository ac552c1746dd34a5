"""Splitting of JSON text of which single values may be unreadable.

Decoders recurse into nested values, even into those that are not asked for,
and fail on the whole text. This splits the text without recursion, so that a
value that cannot be decoded spoils no other.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from .._decoding import DECODING_ERRORS


_STRING = rb'"(?:[^"\\]++|\\.)*+"'
# Brackets are matched in runs, since nesting may be deep.
_MARK = re.compile(rb'%b|[\[{]++|[\]}]++|,' % _STRING, re.DOTALL)
_KEY = re.compile(rb'\s*(%b)\s*:\s*' % _STRING, re.DOTALL)
_OPENING = b'[{'
_CLOSING = b']}'


def split_array(text: bytes) -> list[bytes]:
    """Return the JSON text of each item of an array.

    Raises:
        ValueError: the brackets of the text are not balanced.
    """
    return [item for item in _split(text) if item.strip()]


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the JSON text of each member of an object, by name.

    Members whose name is unreadable are left out.

    Raises:
        ValueError: the brackets of the text are not balanced.
    """
    members: dict[str, bytes] = {}
    for member in _split(text):
        key = _KEY.match(member)
        if key is None:
            continue
        try:
            name = msgspec.json.decode(key[1], type=str)
        except DECODING_ERRORS:
            continue
        members[name] = member[key.end() :].strip()
    return members


def _split(text: bytes) -> Iterator[bytes]:
    depth = 0
    start = 0
    for mark in _MARK.finditer(text):
        if not depth:
            start = mark.start() + 1
        change = _depth_change(mark[0])
        depth += change
        if depth < 0:
            raise ValueError('JSON text with too many closing brackets')
        if change and not depth:
            yield text[start : mark.end() - 1]
            return
        if depth == 1 and mark[0] == b',':
            yield text[start : mark.start()]
            start = mark.end()
    raise ValueError('JSON text without an end')


def _depth_change(mark: bytes) -> int:
    first = mark[:1]
    if first in _OPENING:
        return len(mark)
    return -len(mark) if first in _CLOSING else 0
