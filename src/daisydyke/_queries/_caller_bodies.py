"""Bodies of the HTTP interface for callers; see docs/INTERFACES.md."""

from __future__ import annotations

import msgspec

from .._adapters._datagrams import Member
from .._domain._model import Outcome
from ._progress import Answer


class QueryRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/query``.

    Parameters:
        deadline_ms: milliseconds until the caller needs the answer.
        parameters: JSON text passed to the backend servers.
        detail: whether the response lists how each range was answered.
    """

    service: str
    deadline_ms: int
    parameters: msgspec.Raw = msgspec.Raw(b'{}')
    detail: bool = False


class AddressBody(msgspec.Struct):
    """Address of an entry VM that accepts requests of callers.

    Parameters:
        address: host and caller port, as ``host:port``.
        domain: failure domain of the VM.
    """

    vm: str
    address: str
    domain: str


class AddressesBody(msgspec.Struct):
    """Response to ``GET /v1/addresses``.

    Parameters:
        addresses: entry VMs in order of preference.
        keep_ms: milliseconds for which the caller may use the list.
        idempotency_prefix: prefix to which the caller appends a name of its
            own to form an idempotency key; empty if no key can be issued.
    """

    addresses: list[AddressBody]
    keep_ms: int
    idempotency_prefix: str


class MissingBody(msgspec.Struct):
    """A key range, ``start <= key < end``, that the answer lacks.

    Parameters:
        reason: value of ``Failure``.
    """

    start: int
    end: int
    reason: str


class CoverageBody(msgspec.Struct):
    """Coverage of the key space by an answer.

    Parameters:
        share: keys answered as a share of all keys, 0 to 1.
        ranges: number of ranges, answered and missing.
    """

    share: float
    ranges: int
    ranges_answered: int
    missing: list[MissingBody]


class RangeBody(msgspec.Struct):
    """Details of an answered key range, ``start <= key < end``.

    Parameters:
        server: identifier of the backend server that answered.
        attempts: attempts started, hedges and retries included.
        ms: milliseconds from the first attempt to the answer.
    """

    start: int
    end: int
    server: str
    attempts: int
    ms: float


class AnswerBody(msgspec.Struct, omit_defaults=True):
    """Response to ``POST /v1/query``.

    Parameters:
        outcome: value of ``Outcome``.
        snapshot: index version that all rows come from.
        extra_attempts: sub-requests sent beyond one for each range.
        rows: one JSON array for each answered range.
        ranges: details of the answered ranges, if the query asks for them.
    """

    request_id: str
    service: str
    outcome: str
    snapshot: int
    coverage: CoverageBody
    extra_attempts: int
    rows: list[msgspec.Raw]
    ranges: list[RangeBody] | None = None


class StatusBody(msgspec.Struct):
    """Response to ``GET /v1/status``: state of one entry VM.

    Parameters:
        draining: whether the VM is leaving.
        objects: platform version by ``kind/name`` of each document in force,
            leases excepted.
        members: membership status by VM.
        owned: phase of each backend server owned by this VM, by identifier.
        session_valid: whether the VM's session with the platform is valid.
    """

    vm: str
    domain: str
    draining: bool
    configuration_version: int
    configuration_digest: str
    objects: dict[str, int]
    members: dict[str, str]
    owned: dict[str, str]
    session_valid: bool


def make_address_body(member: Member) -> AddressBody:
    """Return the address of a member for callers."""
    return AddressBody(
        member.vm,
        f'{member.host}:{member.caller_port}',
        member.domain,
    )


def make_answer_body(answer: Answer, *, detail: bool) -> AnswerBody:
    """Return the response to a query.

    Parameters:
        detail: whether to list how each range was answered.
    """
    missing = [
        MissingBody(gap.keys.start, gap.keys.end, gap.reason)
        for gap in answer.missing
    ]
    answered = len(answer.segments)
    return AnswerBody(
        answer.request_id,
        answer.service,
        Outcome.ANSWERED,
        answer.snapshot,
        CoverageBody(
            answer.coverage,
            answered + len(missing),
            answered,
            missing,
        ),
        answer.extra_attempts,
        [msgspec.Raw(rows) for rows in answer.rows],
        _to_range_bodies(answer) if detail else None,
    )


def _to_range_bodies(answer: Answer) -> list[RangeBody]:
    return [
        RangeBody(
            segment.keys.start,
            segment.keys.end,
            segment.server_id,
            segment.attempt_count,
            round(segment.latency_s * 1000, 2),
        )
        for segment in answer.segments
    ]
