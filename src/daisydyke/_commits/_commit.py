"""Non-idempotent requests, run at most once.

An idempotency key names the process that may execute it. Every other entry
VM only forwards, so one process knows all that has become of a key and no
record in the platform is needed. When that process is gone, the outcome is
unknown and nobody runs the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

import curio
import msgspec
from xxhash import xxh3_128_hexdigest

from .._adapters._http_client import HttpResponse
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
from .._queries._query import LONGEST_DEADLINE_S, usable_servers
from ..exceptions import (
    BadRequestError,
    CallerError,
    KeyReusedError,
    NoSnapshotError,
    OutcomeUnknownError,
    OverloadedError,
    UnknownResourceError,
)
from ._commit_values import (
    CommitRequest,
    IdempotencyKey,
    Verdict,
    judge,
    not_run,
    parse_key,
    render_error_response,
)

RECORD_KEPT_S = 600.0
_RESULT_GRACE_S = 0.25
_MAXIMUM_RECORDS = 100_000
_FIRST_ID = 1_000_000_000_000_000
_MS_PER_S = 1000
_TYPICAL_LATENCY_S = 0.01


@dataclass(slots=True)
class _Record:
    body_hash: str
    expires_at: float
    done: curio.Event
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class CommitExecutorDependencies:
    """What the executor works with."""

    configuration: Configuration
    catalogue: Catalogue
    route: SubRequestRoute
    choice: ReplicaChoice
    clock: Clock
    log: DecisionLog


class CommitExecutor:
    """Executes the requests whose keys name this process."""

    def __init__(self, me: Holder, ports: CommitExecutorDependencies) -> None:
        """Start with no records."""
        self._me = me
        self._executor = f'{me.vm}.{me.start}'
        self._ports = ports
        self._records: dict[str, _Record] = {}
        self._ids = count(_FIRST_ID)
        self._running = 0

    @property
    def running_count(self) -> int:
        """Requests being executed."""
        return self._running

    def key_prefix(self) -> str:
        """Return a prefix for callers to append a name of their own to."""
        issued_ms = int(self._ports.clock.monotonic() * _MS_PER_S)
        return f'{self._executor}.{issued_ms}.'

    async def execute(
        self,
        body: bytes,
        key_text: str,
        request_id: str,
    ) -> HttpResponse:
        """Execute a request once, or repeat what became of it."""
        key = parse_key(key_text)
        record = self._records.get(key_text)
        if record is not None:
            return await self._repeat(record, body, request_id)
        error = self._check_key(key)
        if isinstance(error, OutcomeUnknownError):
            return render_error_response(request_id, Outcome.UNKNOWN, error)
        if error is not None:
            return render_error_response(request_id, Outcome.NOT_RUN, error)
        self._expire()
        if len(self._records) >= _MAXIMUM_RECORDS:
            full = OverloadedError('too many requests on record')
            return render_error_response(request_id, Outcome.NOT_RUN, full)
        return await self._execute_new(body, key_text, request_id)

    def _check_key(self, key: IdempotencyKey) -> CallerError | None:
        if key.executor != self._me:
            return OutcomeUnknownError('the process named by the key is gone')
        now_ms = self._ports.clock.monotonic() * 1000
        if key.issued_ms > now_ms:
            return BadRequestError('idempotency-key: prefix was never given')
        age_s = now_ms / 1000 - key.issued_ms / 1000
        if age_s >= RECORD_KEPT_S:
            return OutcomeUnknownError('the key is older than the records kept')
        return None

    def _expire(self) -> None:
        now = self._ports.clock.monotonic()
        while self._records:
            oldest = next(iter(self._records))
            if self._records[oldest].expires_at > now:
                return
            self._records.pop(oldest)

    async def _repeat(
        self,
        record: _Record,
        body: bytes,
        request_id: str,
    ) -> HttpResponse:
        if record.body_hash != xxh3_128_hexdigest(body):
            reused = KeyReusedError('the key belongs to another body')
            return render_error_response(request_id, Outcome.NOT_RUN, reused)
        await curio.ignore_after(LONGEST_DEADLINE_S, record.done.wait())
        if record.response is None:
            running = OutcomeUnknownError('still running')
            return render_error_response(request_id, Outcome.UNKNOWN, running)
        return record.response

    async def _execute_new(
        self,
        body: bytes,
        key_text: str,
        request_id: str,
    ) -> HttpResponse:
        record = _Record(
            xxh3_128_hexdigest(body),
            self._ports.clock.monotonic() + RECORD_KEPT_S,
            curio.Event(),
        )
        self._records[key_text] = record
        self._running += 1
        try:
            verdict = await self._run(body, key_text, request_id)
        finally:
            self._running -= 1
        record.response = verdict.to_response(request_id)
        if verdict.outcome is Outcome.NOT_RUN:
            # Nothing has run, so the caller's own retry may.
            self._records.pop(key_text)
        await record.done.set()
        self._ports.log.record(
            'commit',
            request_id=request_id,
            outcome=verdict.outcome,
            server=verdict.server_id,
        )
        return record.response

    async def _run(
        self,
        body: bytes,
        key_text: str,
        request_id: str,
    ) -> Verdict:
        try:
            request = msgspec.json.decode(body, type=CommitRequest)
            service, segment, plan = self._locate(request)
        except msgspec.MsgspecError as error:
            return not_run(BadRequestError(str(error)))
        except CallerError as error:
            return not_run(error)
        timeout = min(request.deadline_ms / 1000, LONGEST_DEADLINE_S)
        context = RequestContext(
            request_id,
            service.name,
            plan.snapshot,
            self._ports.clock.monotonic() + timeout,
            bytes(request.parameters),
            key_text,
        )
        return await self._try_servers(service, segment, context)

    def _locate(
        self,
        request: CommitRequest,
    ) -> tuple[ServiceSpec, Segment, Plan]:
        service = self._ports.configuration.services.get(request.service)
        if service is None:
            raise UnknownResourceError(f'no service {request.service!r}')
        states = self._ports.catalogue.states(service)
        usable = self._usable(service)
        try:
            plan = make_plan(states, usable, service.keys)
        except LookupError as error:
            raise NoSnapshotError(str(error)) from error
        wanted = KeyRange(request.key, request.key + 1)
        for segment in plan.segments:
            if segment.keys.covers(wanted):
                return service, segment, plan
        raise NoSnapshotError(f'no server holds key {request.key}')

    async def _try_servers(
        self,
        service: ServiceSpec,
        segment: Segment,
        context: RequestContext,
    ) -> Verdict:
        """Try servers until a byte may have been sent to one of them."""
        verdict = not_run(OverloadedError('no server can take it now'))
        candidates = set(segment.candidates) & self._usable(service)
        while candidates:
            server_id = self._choose(candidates)
            candidates.discard(server_id)
            request = SubRequest(
                next(self._ids),
                server_id,
                segment.keys,
                context,
                patient=not candidates,
            )
            verdict = await self._attempt(request)
            if verdict.final:
                return verdict
        return verdict

    async def _attempt(self, request: SubRequest) -> Verdict:
        results = ResultQueue()
        await self._ports.route.submit(request, results)
        remaining = request.context.deadline - self._ports.clock.monotonic()
        received = await results.next(remaining + _RESULT_GRACE_S)
        if received is None:
            late = OutcomeUnknownError('no response before the deadline')
            return Verdict(Outcome.UNKNOWN, request.server_id, error=late)
        return judge(request.server_id, received[1])

    def _usable(self, service: ServiceSpec) -> set[str]:
        return usable_servers(
            self._ports.configuration,
            self._ports.catalogue,
            service,
        )

    def _choose(self, server_ids: set[str]) -> str:
        catalogue = self._ports.catalogue
        candidates = [
            Candidate(server_id, state.phase, catalogue.evidence(server_id))
            for server_id in sorted(server_ids)
            if (state := catalogue.state(server_id)) is not None
        ]
        return self._ports.choice.choose(
            candidates,
            _TYPICAL_LATENCY_S,
            self._ports.clock.monotonic(),
        ).server_id
