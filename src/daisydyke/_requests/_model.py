"""Values that describe a caller's request and what became of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from .._domain._model import HeaderFields

_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Parameters:
        idempotent: whether a request may run more than once.
        timeout: seconds after which a request has its final answer.
        target_latency: seconds within which an answer is of full use.
        priority: 0 is the most urgent.
        maximum_attempts: servers on which one request may run, for each
            shard.
        services: one of them serves a request; empty for a sharded route.
        shards: each contributes a part of every answer.
        top: records in the answer of a sharded route.
        minimum_share: least share of the shards in a successful answer.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    maximum_attempts: int
    services: tuple[WeightedService, ...]
    shards: tuple[str, ...]
    top: int
    minimum_share: float


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What a service's servers bear.

    Parameters:
        maximum_connections: connections of all callers to one server.
        cold_rate: requests a second that a cold server bears, 0 for any.
        warm_up: seconds for which a server is cold after its start.
    """

    name: str
    maximum_connections: int
    cold_rate: float
    warm_up: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes and seconds."""

    head_bytes: int = 16384
    body_bytes: int = 262144
    head_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    Parameters:
        target: path and query as sent.
        fields: end-to-end header fields to forward.
        received: monotonic time at which it was read whole.
        timeout: seconds that the caller waits, None if it did not say.
    """

    request_id: str
    method: bytes
    host: str
    path: str
    target: bytes
    fields: HeaderFields
    body: bytes
    received: float
    timeout: float | None


class FailureReason(StrEnum):
    """Why an exchange with a backend server gave no usable reply."""

    CONNECT = 'connect'
    CLOSED = 'closed'
    GARBLED = 'garbled'
    MISDIRECTED = 'misdirected'
    SHED = 'shed'
    ERROR = 'error'
    TIMEOUT = 'timeout'
    NO_SERVER = 'no_server'
    NO_CONNECTION = 'no_connection'
    NO_BUDGET = 'no_budget'
    COLD = 'cold'


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole response of a backend server.

    Parameters:
        fields: all header fields, those of the connection included.
        stamp: the server's signature of the response.
        request_id: request that the server says it answers, may be empty.
        not_run: whether the server says that it has not run the request.
        instance: identifier of the server that answered, may be empty.
        cold_for: seconds for which the server says it stays cold.
        keep_alive: seconds for which the connection may be idle, 0 if the
            server closes it.
    """

    status: int
    fields: HeaderFields
    body: bytes
    stamp: str
    request_id: str
    not_run: bool
    instance: str
    cold_for: float
    keep_alive: float

    @property
    def success(self) -> bool:
        """Whether it is a signed 2xx of a server that ran the request."""
        return (
            HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
            and bool(self.stamp)
            and not self.not_run
        )

    @property
    def claims_not_run(self) -> bool:
        """Whether the status alone tells a caller that nothing has run."""
        return self.status in _NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Why an exchange gave no reply.

    Parameters:
        may_have_run: whether the server may have begun to work on the request.
    """

    reason: FailureReason
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Answer with one server's reply, unchanged."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Merged:
    """Answer with the greatest records of several parts.

    Parameters:
        stamps: signatures of the parts that are in.
        missing: number of shards without a part.
    """

    stamps: tuple[str, ...]
    missing: int
    records: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and will not.

    Parameters:
        retry_after: seconds after which another attempt may succeed.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class NotRouted:
    """No route in force matches the request."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No usable answer; whether the request has run is not known.

    Parameters:
        timed_out: whether time ran out, rather than every attempt failing.
    """

    reason: str
    timed_out: bool


CallerAnswer = Forwarded | Merged | Refused | NotRouted | Unanswered

# Encodes one request for a server, given its identifier and the seconds left.
RequestEncoder = Callable[[str, float], bytes]
# Prepares the encoding of a request for any number of servers.
Encode = Callable[[CallerRequest], RequestEncoder]
