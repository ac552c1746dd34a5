"""Exceptions that daisydyke raises or returns."""

from __future__ import annotations

from typing import ClassVar


class DaisydykeError(Exception):
    """Base class of all exceptions of the package."""

    code: ClassVar[str] = 'internal'


class InvalidDocumentError(DaisydykeError):
    """A settings file or a stored document is invalid.

    Parameters:
        source: name of the file or object that contains the document.
        path: JSON path of the invalid member, such as ``$.limits.slots``.
        rule: rule that the member violates.
    """

    code = 'invalid_document'

    def __init__(self, source: str, path: str, rule: str) -> None:
        """Initialize with the location and the violated rule."""
        super().__init__(f'{source}: {path}: {rule}')
        self.source = source
        self.path = path
        self.rule = rule


class PlatformError(DaisydykeError):
    """A call to the platform's object API failed."""

    code = 'platform'


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; it is unknown whether a write happened."""

    code = 'platform_unavailable'


class HistoryGoneError(PlatformError):
    """The platform no longer keeps the changes after the watched version."""

    code = 'history_gone'


class VersionConflictError(PlatformError):
    """A conditional write expected a version that is not current.

    Parameters:
        name: name of the object.
        expected: version on which the write was conditional.
        current: version of the object in the platform.
    """

    code = 'version_conflict'

    def __init__(self, name: str, expected: int, current: int) -> None:
        """Initialize with the name and both versions."""
        super().__init__(
            f'{name}: expected version {expected}, platform has {current}',
        )
        self.name = name
        self.expected = expected
        self.current = current


class ConnectionLostError(DaisydykeError):
    """A connection failed before a complete message was read."""

    code = 'connection_lost'


class ProtocolViolationError(DaisydykeError):
    """A message violates the published protocol."""

    code = 'protocol_violation'


class CallerError(DaisydykeError):
    """A request was not answered; the response states whether it has run.

    Parameters:
        detail: explanation for the caller.
    """

    code = 'refused'
    status: ClassVar[int] = 503

    def __init__(self, detail: str) -> None:
        """Initialize with the explanation for the response body."""
        super().__init__(detail)
        self.detail = detail


class BadRequestError(CallerError):
    """The request violates the published interface."""

    code = 'bad_request'
    status = 400


class UnknownResourceError(CallerError):
    """The service or resource is unknown to this VM."""

    code = 'unknown_resource'
    status = 404


class EntryLeavingError(CallerError):
    """This entry VM is leaving or its failure domain is out of service."""

    code = 'entry_leaving'


class OverloadedError(CallerError):
    """The request cannot finish by its deadline and is not started."""

    code = 'overloaded'


class NoSnapshotError(CallerError):
    """No server is known to serve an index version of the service."""

    code = 'no_snapshot'


class CoverageTooLowError(CallerError):
    """The coverage is below the minimum in the team's document."""

    code = 'coverage_too_low'


class OutcomeUnknownError(CallerError):
    """It is unknown whether a non-idempotent request has run."""

    code = 'outcome_unknown'
    status = 504


class KeyReusedError(CallerError):
    """An idempotency key was reused with a different request body."""

    code = 'idempotency_key_reused'
    status = 422
