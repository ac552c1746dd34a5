"""Customers of a soak, their keys, and the checks on both."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus

from daisydyke._adapters._http_client import HttpRequest
from stand_ins.platform_server import RequestRun

OPEN_PREFIX = '/open/'
QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20
_FORGED_SHARE = 0.2
_CUSTOMER_FIELD = b'daisydyke-tenant-id'
_FORGED_FIELDS = ('daisydyke-tenant-id', 'daisydyke_tenant_id')
_FORGED_NAME = 'forged'
_UNKNOWN_KEY_STATUSES = frozenset((401, 503))


@dataclass(frozen=True)
class Credential:
    """Key that a caller sends, with the customer that holds it.

    Parameters:
        customer: its name; empty if no customer holds the key.
        rate: requests per second of the customer; 0 for no limit.
        burst: requests beyond that rate.
    """

    key: str
    customer: str = ''
    rate: float = 0
    burst: float = 0

    @property
    def most_runs(self) -> float:
        """Requests that may run in any window."""
        allowed = self.rate * QUOTA_WINDOW_S + self.burst
        return allowed * (1 + QUOTA_EXCESS) + QUOTA_SLACK

    def document(self) -> dict[str, object]:
        """Return the customer's entry in the configuration."""
        return {
            'name': self.customer,
            'api_keys': [self.key],
            'rate_per_s': self.rate,
            'burst_size': self.burst,
        }


UNLIMITED = (
    Credential('key-of-first', 'first'),
    Credential('key-of-second', 'second'),
)
LIMITED = Credential('key-of-limited', 'limited', rate=2, burst=4)
UNKNOWN = Credential('key-of-nobody')
CUSTOMERS = (*UNLIMITED, LIMITED)
# Callers beside the ordinary ones, most of whose requests are refused.
EXTRA_CREDENTIALS = (LIMITED, LIMITED, UNKNOWN)


def allows_status(
    status: int, credential: Credential | None, target: str
) -> bool:
    """Return whether a request may be answered with a status.

    Only refusals on account of the key or of the customer's limit, and
    whatever else an unknown key gets, are judged.
    """
    is_open = target.startswith(OPEN_PREFIX)
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return bool(credential and credential.rate and not is_open)
    if credential is UNKNOWN and not is_open:
        return status in _UNKNOWN_KEY_STATUSES
    return status != HTTPStatus.UNAUTHORIZED


@dataclass
class CustomerChecks:
    """Checks on the requests that servers receive and run.

    Parameters:
        credentials: credential of each request sent, by its identifier.
        refused_ids: identifiers of requests answered with 401 or 429.
        errors: what servers received wrongly.
    """

    credentials: dict[str, Credential] = field(default_factory=dict)
    refused_ids: set[str] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)

    def sign(
        self, request: HttpRequest, credential: Credential, draws: random.Random
    ) -> None:
        """Add a key to a request, and at times a customer's name."""
        request_id = request.headers['daisydyke-request-id']
        self.credentials[request_id] = credential
        request.headers['authorization'] = f'Bearer {credential.key}'
        if draws.random() < _FORGED_SHARE:
            request.headers[draws.choice(_FORGED_FIELDS)] = _FORGED_NAME

    def check_received(self, request: HttpRequest) -> None:
        """Check the fields of a request that a server has received."""
        request_id = request.headers.get('daisydyke-request-id', '')
        if _holds_key(request):
            self.errors.append(f'KEY {request_id} was passed on')
        credential = self.credentials.get(request_id)
        if credential is None:
            return
        names = [
            text.decode()
            for name, text in request.fields
            if name.replace(b'_', b'-') == _CUSTOMER_FIELD
        ]
        is_open = request.target.startswith(OPEN_PREFIX)
        expected = [] if is_open else [credential.customer]
        if names != expected:
            self.errors.append(f'CUSTOMER {request_id}: {names}')

    def run_errors(self, runs: Iterable[RequestRun]) -> Iterator[str]:
        """Return the errors in what ran, in the order of the runs."""
        first_runs: dict[str, RequestRun] = {}
        for run in runs:
            first_runs.setdefault(run.request_id, run)
        for request_id, run in first_runs.items():
            is_open = run.target.startswith(OPEN_PREFIX)
            if self.credentials.get(request_id) is UNKNOWN and not is_open:
                yield f'UNKNOWN KEY {request_id}, which ran'
            if request_id in self.refused_ids:
                yield f'REFUSED {request_id} by key or limit, which ran'
        yield from self._limit_errors(first_runs.values())

    def _limit_errors(self, runs: Iterable[RequestRun]) -> Iterator[str]:
        """Return each run that exceeds the limit of its customer."""
        latest: deque[float] = deque()
        for run in runs:
            credential = self.credentials.get(run.request_id)
            if credential is not LIMITED or run.target.startswith(OPEN_PREFIX):
                continue
            latest.append(run.started_at)
            while latest[0] <= run.started_at - QUOTA_WINDOW_S:
                latest.popleft()
            if len(latest) > credential.most_runs:
                yield f'QUOTA {len(latest)} requests within the window'


def _holds_key(request: HttpRequest) -> bool:
    names = {name for name, _ in request.fields}
    texts = [text for _, text in request.fields]
    received = b' '.join((request.target.encode(), request.body, *texts))
    keys = [credential.key.encode() for credential in (*CUSTOMERS, UNKNOWN)]
    return b'authorization' in names or any(key in received for key in keys)
