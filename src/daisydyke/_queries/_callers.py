"""HTTP interface for callers and operators; see docs/INTERFACES.md."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qs, urlsplit
from uuid import uuid4

import msgspec
from returns.result import Success

from .._adapters._datagrams import Status
from .._adapters._http_client import HttpRequest, HttpResponse
from .._commits._commit import CommitExecutor
from .._commits._commit_values import parse_key, render_error_response
from .._decoding import DECODING_ERRORS
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
from ._caller_bodies import (
    AddressBody,
    AddressesBody,
    QueryRequest,
    StatusBody,
    make_address_body,
    make_answer_body,
)
from ._query import Query, QueryService

_MAXIMUM_ADDRESS_COUNT = 4
_MAXIMUM_REQUEST_ID_LENGTH = 128
_ModelT = TypeVar('_ModelT')


@dataclass(frozen=True, slots=True)
class CallerInterfaceDependencies:
    """Dependencies and settings of a CallerInterface.

    Parameters:
        status: returns the response to ``GET /v1/status``.
        address_keep_ms: milliseconds for which callers may use a list of
            addresses.
    """

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
    """Dispatches callers' requests and builds the responses."""

    def __init__(self, dependencies: CallerInterfaceDependencies) -> None:
        """Initialize the handlers by method and path."""
        self._dependencies = dependencies
        self._out_of_service_since: float | None = None
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
        """Handle a request and record its duration.

        Parameters:
            request: request of a caller; one without ``x-request-id`` gets
                a new identifier.

        Returns:
            The handler's response with ``x-request-id``. A ``CallerError``
            becomes an error response with the outcome ``not_run``.
        """
        request_id = request.headers.get('x-request-id', '') or uuid4().hex
        path = urlsplit(request.target).path
        route = self._routes.get((request.method, path))
        started_at = self._dependencies.clock.monotonic()
        try:
            if len(request_id) > _MAXIMUM_REQUEST_ID_LENGTH:
                raise BadRequestError('x-request-id: too long')
            if route is None:
                raise UnknownResourceError(f'{request.method} {path}')
            response = await route(request, request_id)
        except CallerError as error:
            response = render_error_response(request_id, Outcome.NOT_RUN, error)
        elapsed_ms = (self._dependencies.clock.monotonic() - started_at) * 1000
        self._dependencies.metrics.timing(
            f'caller.{response.status}',
            elapsed_ms,
        )
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
                self._dependencies.address_keep_ms,
                self._idempotency_prefix(),
            ),
        )

    async def _status(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        return _ok(self._dependencies.status())

    async def _query(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        body = _decode(request.body, QueryRequest)
        if self._rejects_queries():
            raise EntryLeavingError('ask /v1/addresses of another entry VM')
        outcome = await self._dependencies.queries.run(
            Query(
                request_id,
                body.service,
                body.deadline_ms / 1000,
                bytes(body.parameters),
            ),
        )
        if not isinstance(outcome, Success):
            raise outcome.failure()
        return _ok(make_answer_body(outcome.unwrap(), detail=body.detail))

    async def _commit(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> HttpResponse:
        key_text = request.headers.get('idempotency-key', '')
        executor = parse_key(key_text).executor
        dependencies = self._dependencies
        if executor.vm == dependencies.membership.me.vm:
            return await dependencies.commits.execute(
                request.body,
                key_text,
                request_id,
            )
        link = dependencies.links.get(executor.vm)
        reply = None
        if link is not None:
            reply = await link.forward_commit(
                request.body,
                key_text,
                request_id,
            )
        if reply is not None:
            return reply
        error = OutcomeUnknownError('the process named by the key is gone')
        return render_error_response(request_id, Outcome.UNKNOWN, error)

    def _idempotency_prefix(self) -> str:
        # Only the process that issues a key can execute requests with it, so
        # a VM that is leaving issues none.
        me = self._dependencies.membership.me
        if me.status is Status.LEAVING:
            return ''
        return self._dependencies.commits.key_prefix()

    def _rejects_queries(self) -> bool:
        """Return whether queries are rejected because the VM is out of service.

        Queries are accepted for ``address_keep_ms`` after the first one that
        finds the VM or its failure domain out of service, so that callers
        have time to replace their lists of addresses.
        """
        me = self._dependencies.membership.me
        configuration = self._dependencies.configuration
        out_of_service = (
            me.domain in configuration.out_domains
            or me.vm in configuration.out_vms
        )
        now = self._dependencies.clock.monotonic()
        if not out_of_service:
            self._out_of_service_since = None
            return False
        if self._out_of_service_since is None:
            self._out_of_service_since = now
        return (
            now - self._out_of_service_since
            > self._dependencies.address_keep_ms / 1000
        )

    def _choose_addresses(
        self,
        domain: str,
        caller: str,
    ) -> list[AddressBody]:
        configuration = self._dependencies.configuration
        members = {
            member.vm: member
            for member in self._dependencies.membership.addressable()
            if member.vm not in configuration.out_vms
            and member.domain not in configuration.out_domains
        }
        same_domain = [
            vm
            for vm, candidate in members.items()
            if candidate.domain == domain
        ]
        other_domains = [
            vm
            for vm, candidate in members.items()
            if candidate.domain != domain
        ]
        ordered = rank(caller, same_domain) + rank(caller, other_domains)
        return [
            make_address_body(members[vm])
            for vm in ordered[:_MAXIMUM_ADDRESS_COUNT]
        ]


def _decode(body: bytes, model: type[_ModelT]) -> _ModelT:
    try:
        return msgspec.json.decode(body, type=model)
    except DECODING_ERRORS as error:
        raise BadRequestError(str(error)) from error


def _ok(body: msgspec.Struct) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))
