"""Every error that daisydyke raises or returns, each as a type of its own."""

from __future__ import annotations

from typing import ClassVar


class DaisydykeError(Exception):
    """Base of all errors of the package."""

    code: ClassVar[str] = 'internal'


class InvalidDocumentError(DaisydykeError):
    """A settings file or a stored document breaks a rule.

    Parameters:
        source: file or object that holds the document.
        path: JSON path of the offending member, such as ``$.limits.slots``.
        rule: what the member must satisfy.
    """

    code = 'invalid_document'

    def __init__(self, source: str, path: str, rule: str) -> None:
        """Keep where the fault is and which rule it breaks."""
        super().__init__(f'{source}: {path}: {rule}')
        self.source = source
        self.path = path
        self.rule = rule


class PlatformError(DaisydykeError):
    """The platform's object API did not do what was asked."""

    code = 'platform'


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may or may not have happened."""

    code = 'platform_unavailable'


class HistoryGoneError(PlatformError):
    """The changes after the version watched from are no longer kept."""

    code = 'history_gone'


class VersionConflictError(PlatformError):
    """A conditional update named a version that is no longer current.

    Parameters:
        name: name of the object.
        expected: version the update was conditional on.
        current: version the platform holds.
    """

    code = 'version_conflict'

    def __init__(self, name: str, expected: int, current: int) -> None:
        """Keep both versions for the operator."""
        super().__init__(
            f'{name}: expected version {expected}, platform has {current}',
        )
        self.name = name
        self.expected = expected
        self.current = current


class ConnectionLostError(DaisydykeError):
    """A connection ended before a whole response was read."""

    code = 'connection_lost'


class ProtocolViolationError(DaisydykeError):
    """A message does not follow the published protocol."""

    code = 'protocol_violation'


class CallerError(DaisydykeError):
    """A request is not answered; the response says whether it was run.

    Parameters:
        detail: what the caller can do about it.
    """

    code = 'refused'
    status: ClassVar[int] = 503

    def __init__(self, detail: str) -> None:
        """Keep the explanation for the response body."""
        super().__init__(detail)
        self.detail = detail


class BadRequestError(CallerError):
    """The request does not follow the published interface."""

    code = 'bad_request'
    status = 400


class UnknownResourceError(CallerError):
    """No such service or resource is in force on this VM."""

    code = 'unknown_resource'
    status = 404


class EntryLeavingError(CallerError):
    """This entry VM is leaving or its failure domain is out."""

    code = 'entry_leaving'


class OverloadedError(CallerError):
    """The work cannot finish by its deadline, so it is not started."""

    code = 'overloaded'


class NoSnapshotError(CallerError):
    """No index version of the service is known to be served."""

    code = 'no_snapshot'


class CoverageTooLowError(CallerError):
    """The answer covers less than the team's document accepts."""

    code = 'coverage_too_low'


class OutcomeUnknownError(CallerError):
    """Nobody can tell whether a non-idempotent request has run."""

    code = 'outcome_unknown'
    status = 504


class KeyReusedError(CallerError):
    """An idempotency key came with another body than the first time."""

    code = 'idempotency_key_reused'
    status = 422
