"""Where the check of a configuration reads configurations from."""

from __future__ import annotations

from pathlib import Path

import curio
from returns.result import Failure, Result, Success

from .._checks._outline import ConfigurationOutline
from .._domain._model import Address
from .._ports import StoredObject
from ..exceptions import InvalidDocumentError, PlatformError
from ..platform._documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_outline,
)
from ..platform._store import ObjectStore

OutlineResult = Result[ConfigurationOutline, InvalidDocumentError]


def read_file(path: Path) -> OutlineResult:
    """Read a configuration from a file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or 'file cannot be read'
        return _fail(str(path), reason)
    return decode_outline(text, str(path))


def read_store(address: Address) -> OutlineResult:
    """Read the configuration in force from the platform's store."""
    source = f'{address.host}:{address.port}'
    stored: Result[StoredObject | None, PlatformError] = curio.run(
        ObjectStore(address).read, CONFIGURATION_KIND, CONFIGURATION_NAME
    )
    if not isinstance(stored, Success):
        return _fail(source, str(stored.failure()))
    document = stored.unwrap()
    if document is None or document.text is None:
        return _fail(source, 'no configuration is in force')
    return decode_outline(document.text, source)


def _fail(source: str, rule: str) -> OutlineResult:
    return Failure(InvalidDocumentError(source, '$', rule))
