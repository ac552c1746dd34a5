"""The interface to callers and operators; see docs/INTERFACES.md."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qs, urlsplit
from uuid import uuid4

import msgspec
from returns.result import Success

from .._adapters._datagrams import Member, Status
from .._adapters._http_client import HttpRequest, HttpResponse
from .._commits._commit import CommitExecutor
from .._commits._commit_values import parse_key, render_error_response
from .._domain._model import Outcome
from .._domain._rendezvous import rank
from .._members._membership import Membership
from .._operations._configuration import Configuration
from .._peers._peers import PeerLinks
from .._ports import Clock, DecisionLog, Metrics
from ..exceptions import (
    BadRequestError,
    CallerError,
    EntryLeavingError,
    OutcomeUnknownError,
    UnknownResourceError,
)
from ._progress import Answer
from ._query import Query, QueryService

_ADDRESSES_GIVEN = 4
_MAXIMUM_ID_LENGTH = 128
_ModelT = TypeVar('_ModelT')


class QueryRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a query."""

    service: str
    deadline_ms: int
    parameters: msgspec.Raw = msgspec.Raw(b'{}')
    detail: bool = False


class AddressBody(msgspec.Struct):
    """One entry VM that callers may use."""

    vm: str
    address: str
    domain: str


class AddressesBody(msgspec.Struct):
    """Entry VMs to use, the preferred ones first."""

    addresses: list[AddressBody]
    keep_ms: int
    idempotency_prefix: str


class MissingBody(msgspec.Struct):
    """A range that the answer lacks."""

    start: int
    end: int
    reason: str


class CoverageBody(msgspec.Struct):
    """How much of the key space an answer covers."""

    share: float
    ranges: int
    ranges_answered: int
    missing: list[MissingBody]


class RangeBody(msgspec.Struct):
    """How one range was answered."""

    start: int
    end: int
    server: str
    attempts: int
    ms: float


class AnswerBody(msgspec.Struct, omit_defaults=True):
    """Response to a query."""

    request_id: str
    service: str
    outcome: str
    snapshot: int
    coverage: CoverageBody
    extra_attempts: int
    rows: list[msgspec.Raw]
    ranges: list[RangeBody] | None = None


class StatusBody(msgspec.Struct):
    """What is in force on an entry VM."""

    vm: str
    domain: str
    draining: bool
    configuration_version: int
    configuration_digest: str
    objects: dict[str, int]
    members: dict[str, str]
    owned: dict[str, str]
    session_valid: bool


@dataclass(frozen=True, slots=True)
class CallerPorts:
    """What the caller interface works with."""

    queries: QueryService
    commits: CommitExecutor
    membership: Membership
    configuration: Configuration
    links: PeerLinks
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    status: Callable[[], StatusBody]
    address_keep_ms: int


class CallerInterface:
    """Maps requests of callers to services and results to responses."""

    def __init__(self, ports: CallerPorts) -> None:
        """Wire the interface."""
        self._ports = ports
        self._out_since: float | None = None
        self.leaving = False
        self._routes: dict[
            tuple[str, str],
            Callable[[HttpRequest, str], Awaitable[HttpResponse]],
        ] = {
            ('GET', '/v1/addresses'): self._addresses,
            ('GET', '/v1/status'): self._status,
            ('POST', '/v1/query'): self._query,
            ('POST', '/v1/commit'): self._commit,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        request_id = request.headers.get('x-request-id', '') or uuid4().hex
        path = urlsplit(request.target).path
        route = self._routes.get((request.method, path))
        started = self._ports.clock.monotonic()
        try:
            if len(request_id) > _MAXIMUM_ID_LENGTH:
                raise BadRequestError('x-request-id: too long')
            if route is None:
                raise UnknownResourceError(f'{request.method} {path}')
            response = await route(request, request_id)
        except CallerError as error:
            response = render_error_response(request_id, Outcome.NOT_RUN, error)
        elapsed_ms = (self._ports.clock.monotonic() - started) * 1000
        self._ports.metrics.timing(f'caller.{response.status}', elapsed_ms)
        return HttpResponse(
            response.status,
            response.body,
            {**response.headers, 'x-request-id': request_id},
        )

    async def _addresses(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        query = parse_qs(urlsplit(request.target).query)
        domain = query.get('domain', [''])[0]
        caller = query.get('caller', [request_id])[0]
        return _ok(
            AddressesBody(
                self._choose_addresses(domain, caller),
                self._ports.address_keep_ms,
                self._key_prefix(),
            ),
        )

    async def _status(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        return _ok(self._ports.status())

    async def _query(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        body = _decode(request.body, QueryRequest)
        if self._refuses_work():
            raise EntryLeavingError('ask /v1/addresses of another entry VM')
        outcome = await self._ports.queries.run(
            Query(
                request_id,
                body.service,
                body.deadline_ms / 1000,
                bytes(body.parameters),
            ),
        )
        if not isinstance(outcome, Success):
            raise outcome.failure()
        return _ok(_to_body(outcome.unwrap(), detail=body.detail))

    async def _commit(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        key_text = request.headers.get('idempotency-key', '')
        executor = parse_key(key_text).executor
        ports = self._ports
        if executor.vm == ports.membership.me.vm:
            return await ports.commits.execute(
                request.body,
                key_text,
                request_id,
            )
        link = ports.links.get(executor.vm)
        reply = None
        if link is not None:
            reply = await link.forward_commit(
                request.body,
                key_text,
                request_id,
            )
        if reply is not None:
            return reply
        gone = OutcomeUnknownError('the process named by the key is gone')
        return render_error_response(request_id, Outcome.UNKNOWN, gone)

    def _key_prefix(self) -> str:
        # A key handed out by a process that is about to end is worth nothing.
        me = self._ports.membership.me
        if me.status is Status.LEAVING:
            return ''
        return self._ports.commits.key_prefix()

    def _refuses_work(self) -> bool:
        """Tell whether callers have had time to use other addresses."""
        me = self._ports.membership.me
        configuration = self._ports.configuration
        out = (
            me.domain in configuration.out_domains
            or me.vm in configuration.out_vms
        )
        now = self._ports.clock.monotonic()
        if not out:
            self._out_since = None
            return False
        if self._out_since is None:
            self._out_since = now
        return now - self._out_since > self._ports.address_keep_ms / 1000

    def _choose_addresses(
        self,
        domain: str,
        caller: str,
    ) -> list[AddressBody]:
        configuration = self._ports.configuration
        members = {
            member.vm: member
            for member in self._ports.membership.addressable()
            if member.vm not in configuration.out_vms
            and member.domain not in configuration.out_domains
        }
        near = [vm for vm, one in members.items() if one.domain == domain]
        far = [vm for vm, one in members.items() if one.domain != domain]
        ordered = rank(caller, near) + rank(caller, far)
        return [_to_address(members[vm]) for vm in ordered[:_ADDRESSES_GIVEN]]


def _decode(body: bytes, model: type[_ModelT]) -> _ModelT:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadRequestError(str(error)) from error


def _ok(body: msgspec.Struct) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


def _to_address(member: Member) -> AddressBody:
    return AddressBody(
        member.vm,
        f'{member.host}:{member.caller_port}',
        member.domain,
    )


def _to_body(answer: Answer, *, detail: bool) -> AnswerBody:
    missing = [
        MissingBody(one.keys.start, one.keys.end, one.reason)
        for one in answer.missing
    ]
    answered = len(answer.segments)
    return AnswerBody(
        answer.request_id,
        answer.service,
        Outcome.ANSWERED,
        answer.snapshot,
        CoverageBody(
            answer.share,
            answered + len(missing),
            answered,
            missing,
        ),
        answer.extra,
        [msgspec.Raw(rows) for rows in answer.rows],
        _to_ranges(answer) if detail else None,
    )


def _to_ranges(answer: Answer) -> list[RangeBody]:
    return [
        RangeBody(
            one.keys.start,
            one.keys.end,
            one.server_id,
            one.attempts,
            round(one.seconds * 1000, 2),
        )
        for one in answer.segments
    ]
