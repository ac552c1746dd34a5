"""Decoding of the lists of objects that the platform's store returns.

Any writer may put any value into an object. One that cannot be decoded is
passed on as it is, for the reader of its kind to reject.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from .._adapters._json_parts import split_array, split_object
from .._decoding import DECODING_ERRORS
from .._ports import Listing, StoredObject
from ..exceptions import ProtocolViolationError

_SALVAGE_ERRORS = (KeyError, *DECODING_ERRORS)
_JSON_TRUE = b'true'
_JSON_NULL = b'null'

ROLLOUT_KIND = 'rollouts'
# Kinds whose objects are read as a JSON object of their spec, their status and
# the version of their creation; the others as their spec alone.
_KINDS_WITH_STATUS = frozenset((ROLLOUT_KIND,))


class Meta(msgspec.Struct):
    """Name of an object, and the store's revisions of it.

    Parameters:
        revision: that of its last change.
        created_rev: that of its creation, which only the store tells.
    """

    name: str
    revision: int = 0
    created_rev: int | msgspec.UnsetType = msgspec.UNSET


class ObjectBody(msgspec.Struct):
    """One object as the store sends and takes it."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(_JSON_NULL)
    status: msgspec.Raw = msgspec.Raw(_JSON_NULL)


class StatusBody(msgspec.Struct):
    """A new status of an object, as the store takes it."""

    meta: Meta
    status: msgspec.Raw


class _Page(msgspec.Struct):
    items: list[ObjectBody]
    at_rev: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: ObjectBody
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at_rev: int


@dataclass(frozen=True, slots=True)
class Page:
    """A part of the objects of a kind.

    Parameters:
        objects: objects in the order of their names.
        version: revision of the store.
        has_more: whether other objects follow.
    """

    objects: tuple[StoredObject, ...]
    version: int
    has_more: bool


def decode_page(kind: str, text: bytes) -> Page:
    """Decode the response to a list call.

    Raises:
        ProtocolViolationError: it is no list of objects.
    """
    try:
        page = msgspec.json.decode(text, type=_Page)
    except DECODING_ERRORS:
        return _salvage_page(kind, text)
    objects = tuple(_to_stored_object(kind, item) for item in page.items)
    return Page(objects, page.at_rev, page.has_more)


def decode_events(kind: str, after: int, text: bytes) -> Listing:
    """Decode the response to a watch.

    Parameters:
        after: revision from which the kind was watched.

    Returns:
        The changes, deletions with None as text.

    Raises:
        ProtocolViolationError: it is no list of events, or belongs to an
            earlier watch, such as a second copy of that response.
    """
    try:
        page = msgspec.json.decode(text, type=_Events)
    except DECODING_ERRORS:
        changes = _salvage_events(kind, text)
    else:
        changes = Listing(
            page.at_rev,
            tuple(_to_change(kind, event) for event in page.events),
        )
    if changes.objects and changes.version <= after:
        raise ProtocolViolationError('response to an earlier watch')
    return changes


def decode_object(kind: str, text: bytes) -> StoredObject:
    """Decode the response to a read of one object.

    Raises:
        ProtocolViolationError: it is no object.
    """
    stored = _decode_or_salvage(kind, text)
    if stored is None:
        raise ProtocolViolationError('no object')
    return stored


def _to_stored_object(kind: str, body: ObjectBody) -> StoredObject:
    created = b'%d' % (body.meta.created_rev or 0)
    text = _text(kind, bytes(body.spec), bytes(body.status), created)
    return StoredObject(kind, body.meta.name, body.meta.revision, text)


def _text(kind: str, spec: bytes, status: bytes, created: bytes) -> bytes:
    if kind in _KINDS_WITH_STATUS:
        return b'{"spec":%s,"status":%s,"created":%s}' % (
            spec,
            status,
            created,
        )
    return spec


def _to_change(kind: str, event: _Event) -> StoredObject:
    stored = _to_stored_object(kind, event.object)
    return _to_deletion(stored) if event.deleted else stored


def _to_deletion(stored: StoredObject) -> StoredObject:
    return StoredObject(stored.kind, stored.name, stored.version, None)


def _salvage_page(kind: str, text: bytes) -> Page:
    try:
        members = split_object(text)
        return Page(
            tuple(_salvage_objects(kind, members['items'])),
            msgspec.json.decode(members['at_rev'], type=int),
            members.get('has_more') == _JSON_TRUE,
        )
    except _SALVAGE_ERRORS as error:
        raise ProtocolViolationError(f'no list: {error}') from error


def _salvage_events(kind: str, text: bytes) -> Listing:
    try:
        members = split_object(text)
        return Listing(
            msgspec.json.decode(members['at_rev'], type=int),
            tuple(_salvage_changes(kind, members['events'])),
        )
    except _SALVAGE_ERRORS as error:
        raise ProtocolViolationError(f'no events: {error}') from error


def _salvage_objects(kind: str, text: bytes) -> Iterator[StoredObject]:
    for item in split_array(text):
        stored = _decode_or_salvage(kind, item)
        if stored is not None:
            yield stored


def _salvage_changes(kind: str, text: bytes) -> Iterator[StoredObject]:
    for event in split_array(text):
        members = split_object(event)
        stored = _decode_or_salvage(kind, members.get('object', b''))
        if stored is not None:
            deleted = members.get('deleted') == _JSON_TRUE
            yield _to_deletion(stored) if deleted else stored


def _decode_or_salvage(kind: str, text: bytes) -> StoredObject | None:
    """Return an object, None if even its name cannot be read."""
    try:
        return _to_stored_object(
            kind, msgspec.json.decode(text, type=ObjectBody)
        )
    except DECODING_ERRORS:
        return _salvage_object(kind, text)


def _salvage_object(kind: str, text: bytes) -> StoredObject | None:
    try:
        members = split_object(text)
        meta = split_object(members['meta'])
        return StoredObject(
            kind,
            msgspec.json.decode(meta['name'], type=str),
            msgspec.json.decode(meta.get('revision', b'0'), type=int),
            _text(
                kind,
                members.get('spec', _JSON_NULL),
                members.get('status', _JSON_NULL),
                b'0',
            ),
        )
    except _SALVAGE_ERRORS:
        return None
