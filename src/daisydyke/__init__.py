"""Query tier between callers and sharded backend servers."""

from .exceptions import (
    CallerError,
    DaisydykeError,
    InvalidDocumentError,
    PlatformError,
    VersionConflictError,
)

__all__ = (
    'CallerError',
    'DaisydykeError',
    'InvalidDocumentError',
    'PlatformError',
    'VersionConflictError',
)
