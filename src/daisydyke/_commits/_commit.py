"""Executes non-idempotent requests at most once.

An idempotency key names the only process that may execute its request; every
other entry VM forwards the request to that process. One process therefore
holds the complete record of a key, and nothing is stored in the platform. If
that process has ended, the outcome is unknown and no process runs the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

import curio
import msgspec
from xxhash import xxh3_128_hexdigest

from .._adapters._http_client import HttpResponse
from .._decoding import DECODING_ERRORS
from .._domain._choice import Candidate, ReplicaChoice
from .._domain._model import (
    Holder,
    KeyRange,
    Outcome,
    Plan,
    RequestContext,
    Segment,
    ServiceSpec,
    SubRequest,
)
from .._domain._planning import make_plan
from .._operations._configuration import Configuration
from .._ports import Clock, DecisionLog, SubRequestRoute
from .._queries._catalogue import Catalogue
from .._queries._progress import ResultQueue
from .._queries._query import MAXIMUM_TIMEOUT_S, usable_servers
from ..exceptions import (
    BadRequestError,
    CallerError,
    EntryLeavingError,
    KeyReusedError,
    NoSnapshotError,
    OutcomeUnknownError,
    OverloadedError,
    UnknownResourceError,
)
from ._commit_values import (
    CommitRequest,
    CommitResult,
    IdempotencyKey,
    classify_result,
    not_run_result,
    parse_key,
    render_error_response,
)

RECORD_RETENTION_S = 600.0
# Allows a failure that is reported at the deadline to arrive with its reason.
_RESULT_GRACE_S = 0.25
_MAXIMUM_RECORD_COUNT = 100_000
# Keeps the sub-requests of commits apart from those of queries, whose
# identifiers count up from 1: a gate identifies sub-requests by these alone.
_FIRST_SUB_ID = 1_000_000_000_000_000
_MS_PER_S = 1000
_DRAIN_POLL_INTERVAL_S = 0.01
# The executor keeps no latency estimates.
_ASSUMED_MEDIAN_LATENCY_S = 0.01


@dataclass(slots=True)
class _Record:
    """Execution record of one idempotency key.

    Parameters:
        body_hash: hash of the request body, to detect reuse with another body.
        expires_at: monotonic time in seconds.
        completed: set once the outcome is known.
        response: response to repeat; None until the outcome is known.
    """

    body_hash: str
    expires_at: float
    completed: curio.Event
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class CommitExecutorDependencies:
    """Dependencies of a CommitExecutor."""

    configuration: Configuration
    catalogue: Catalogue
    route: SubRequestRoute
    choice: ReplicaChoice
    clock: Clock
    log: DecisionLog


class CommitExecutor:
    """Executes the requests whose idempotency keys name this process.

    Parameters:
        process: this process, as named in idempotency keys.
    """

    def __init__(
        self,
        process: Holder,
        dependencies: CommitExecutorDependencies,
    ) -> None:
        """Initialize without records."""
        self._process = process
        self._executor_name = f'{process.vm}.{process.start}'
        self._dependencies = dependencies
        self._records: dict[str, _Record] = {}
        self._sub_ids = count(_FIRST_SUB_ID)
        self._running_count = 0
        self._draining = False

    def key_prefix(self) -> str:
        """Return a prefix of idempotency keys that name this process.

        Callers append a unique name of their own. The prefix contains the
        time of issue, from which the age of the key follows.
        """
        issued_ms = int(self._dependencies.clock.monotonic() * _MS_PER_S)
        return f'{self._executor_name}.{issued_ms}.'

    async def execute(
        self,
        body: bytes,
        key_text: str,
        request_id: str,
    ) -> HttpResponse:
        """Execute a request, or return the outcome recorded for its key.

        A repeated request waits for the first execution to complete, up to
        the longest deadline.

        Parameters:
            body: JSON text of a CommitRequest.
            key_text: idempotency key of the request.

        Returns:
            The response for the caller, which states the outcome.

        Raises:
            BadRequestError: the idempotency key is malformed.
        """
        key = parse_key(key_text)
        record = self._records.get(key_text)
        if record is not None:
            return await self._repeat_response(record, body, request_id)
        error = self._check_key(key)
        if isinstance(error, OutcomeUnknownError):
            return render_error_response(request_id, Outcome.UNKNOWN, error)
        if error is not None:
            return render_error_response(request_id, Outcome.NOT_RUN, error)
        self._remove_expired_records()
        if len(self._records) >= _MAXIMUM_RECORD_COUNT:
            overload = OverloadedError('too many requests on record')
            return render_error_response(request_id, Outcome.NOT_RUN, overload)
        return await self._execute_new(body, key_text, request_id)

    async def drain(self) -> None:
        """Reject new requests from now on, and await those that run.

        A request on record still gets its outcome.
        """
        self._draining = True
        while self._running_count:
            await curio.sleep(_DRAIN_POLL_INTERVAL_S)

    def _check_key(self, key: IdempotencyKey) -> CallerError | None:
        if key.executor != self._process:
            return OutcomeUnknownError('the process named by the key is gone')
        now_ms = self._dependencies.clock.monotonic() * 1000
        if key.issued_ms > now_ms:
            return BadRequestError('idempotency-key: prefix was never given')
        age_s = now_ms / 1000 - key.issued_ms / 1000
        if age_s >= RECORD_RETENTION_S:
            return OutcomeUnknownError('the key is older than the records kept')
        if self._draining:
            return EntryLeavingError('take a key from another entry VM')
        return None

    def _remove_expired_records(self) -> None:
        now = self._dependencies.clock.monotonic()
        # All records have the same retention, so the first one expires first.
        while self._records:
            oldest = next(iter(self._records))
            if self._records[oldest].expires_at > now:
                return
            self._records.pop(oldest)

    async def _repeat_response(
        self,
        record: _Record,
        body: bytes,
        request_id: str,
    ) -> HttpResponse:
        if record.body_hash != xxh3_128_hexdigest(body):
            conflict = KeyReusedError('the key belongs to another body')
            return render_error_response(request_id, Outcome.NOT_RUN, conflict)
        await curio.ignore_after(MAXIMUM_TIMEOUT_S, record.completed.wait())
        if record.response is None:
            pending = OutcomeUnknownError('still running')
            return render_error_response(request_id, Outcome.UNKNOWN, pending)
        return record.response

    async def _execute_new(
        self,
        body: bytes,
        key_text: str,
        request_id: str,
    ) -> HttpResponse:
        record = _Record(
            xxh3_128_hexdigest(body),
            self._dependencies.clock.monotonic() + RECORD_RETENTION_S,
            curio.Event(),
        )
        self._records[key_text] = record
        self._running_count += 1
        try:
            result = await self._run_request(body, key_text, request_id)
        finally:
            self._running_count -= 1
        record.response = result.to_response(request_id)
        if result.outcome is Outcome.NOT_RUN:
            # The request has not run, so a retry with this key may run it.
            self._records.pop(key_text)
        await record.completed.set()
        self._dependencies.log.record(
            'commit',
            request_id=request_id,
            outcome=result.outcome,
            server=result.server_id,
        )
        return record.response

    async def _run_request(
        self,
        body: bytes,
        key_text: str,
        request_id: str,
    ) -> CommitResult:
        try:
            request = msgspec.json.decode(body, type=CommitRequest)
            service, segment, plan = self._find_segment(request)
        except DECODING_ERRORS as error:
            return not_run_result(BadRequestError(str(error)))
        except CallerError as error:
            return not_run_result(error)
        timeout_s = min(request.deadline_ms / 1000, MAXIMUM_TIMEOUT_S)
        context = RequestContext(
            request_id,
            service.name,
            plan.snapshot,
            self._dependencies.clock.monotonic() + timeout_s,
            bytes(request.parameters),
            key_text,
        )
        return await self._try_servers(service, segment, context)

    def _find_segment(
        self,
        request: CommitRequest,
    ) -> tuple[ServiceSpec, Segment, Plan]:
        service = self._dependencies.configuration.services.get(request.service)
        if service is None:
            raise UnknownResourceError(f'no service {request.service!r}')
        states = self._dependencies.catalogue.states(service)
        usable_ids = self._usable_server_ids(service)
        try:
            plan = make_plan(states, usable_ids, service.keys)
        except LookupError as error:
            raise NoSnapshotError(str(error)) from error
        key_range = KeyRange(request.key, request.key + 1)
        for segment in plan.segments:
            if segment.keys.covers(key_range):
                return service, segment, plan
        raise NoSnapshotError(f'no server holds key {request.key}')

    async def _try_servers(
        self,
        service: ServiceSpec,
        segment: Segment,
        context: RequestContext,
    ) -> CommitResult:
        """Try servers until one may have received part of the request."""
        result = not_run_result(OverloadedError('no server can take it now'))
        candidates = set(segment.candidates) & self._usable_server_ids(service)
        while candidates:
            server_id = self._choose_server(candidates)
            candidates.discard(server_id)
            request = SubRequest(
                next(self._sub_ids),
                server_id,
                segment.keys,
                context,
                wait_if_cold=not candidates,
            )
            result = await self._send_attempt(request)
            if result.is_final:
                return result
        return result

    async def _send_attempt(self, request: SubRequest) -> CommitResult:
        results = ResultQueue()
        await self._dependencies.route.submit(request, results)
        remaining_s = (
            request.context.deadline - self._dependencies.clock.monotonic()
        )
        received = await results.next(remaining_s + _RESULT_GRACE_S)
        if received is None:
            error = OutcomeUnknownError('no response before the deadline')
            return CommitResult(Outcome.UNKNOWN, request.server_id, error=error)
        return classify_result(request.server_id, received[1])

    def _usable_server_ids(self, service: ServiceSpec) -> set[str]:
        return usable_servers(
            self._dependencies.configuration,
            self._dependencies.catalogue,
            service,
        )

    def _choose_server(self, server_ids: set[str]) -> str:
        catalogue = self._dependencies.catalogue
        candidates = [
            Candidate(server_id, state.phase, catalogue.evidence(server_id))
            for server_id in sorted(server_ids)
            if (state := catalogue.state(server_id)) is not None
        ]
        return self._dependencies.choice.choose(
            candidates,
            _ASSUMED_MEDIAN_LATENCY_S,
            self._dependencies.clock.monotonic(),
        ).server_id
