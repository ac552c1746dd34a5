"""Values that describe routes, caller requests, replies and answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from .._domain._model import HeaderFields

# Attributes of HTTPStatus are slow to read and compare.
_LOWEST_SUCCESS = 200
_HIGHEST_SUCCESS = 299
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
    """A service and its share of a route's requests.

    Parameters:
        weight: share relative to the weights of the other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for requests of one host and path prefix.

    Parameters:
        idempotent: whether a request may run more than once.
        timeout: seconds after which a request must have its final answer.
        target_latency: seconds within which an answer has its full value.
        priority: 0 is the most urgent.
        maximum_attempts: number of servers on which a request may run, for
            each shard of a sharded route.
        services: one of them answers each request; empty for a sharded
            route.
        shards: services that each contribute a part of every answer; empty
            for a route that is not sharded.
        maximum_records: number of records in the answer of a sharded route.
        minimum_shard_share: share of the shards, from 0 to 1, that a
            successful answer needs.
        is_open: whether callers need no key although the configuration has
            customers.
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
    maximum_records: int
    minimum_shard_share: float
    is_open: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer on whose behalf callers send requests.

    Parameters:
        priority: goes before that of the route, 0 is the most urgent; None
            to use that of the route.
        rate: requests per second over all VMs together; 0 for no limit.
        burst: requests in addition to those of the rate.
    """

    name: str
    priority: int | None = None
    rate: float = 0
    burst: float = 0


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Limits on the load of a service's servers.

    Parameters:
        maximum_connections: connections to one server from all VMs together.
        cold_rate: requests per second that a cold server can handle; 0 for
            no limit.
        warm_up: seconds for which a server is cold after its start.
    """

    name: str
    maximum_connections: int
    cold_rate: float
    warm_up: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters:
        head_bytes: maximum size of the request line and header fields.
        body_bytes: maximum size of a request body.
        head_timeout: seconds within which a request must be complete once
            some of it has been read.
        idle_timeout: seconds after which an idle connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 262144
    head_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request from a caller.

    Parameters:
        host: host name without a port.
        target: path and query as sent.
        fields: end-to-end header fields to forward.
        identity_fields: further header fields, which state who the caller is;
            forwarded only if the configuration has no customers.
        received: monotonic time at which the whole request had been read.
        timeout: seconds for which the caller waits; None if not stated.
        round_trip: seconds that the transport of the request and of its
            answer takes.
        connecting: seconds that the caller needed to connect for it.
        key_digest: digest of the caller's key; empty without a key.
        customer: name of the customer that holds the key; empty until the
            key has been checked and on routes that need none.
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
    round_trip: float = 0
    connecting: float = 0
    identity_fields: HeaderFields = field(default=(), repr=False)
    key_digest: bytes = field(default=b'', repr=False)
    customer: str = ''


class FailureReason(StrEnum):
    """Reason for which a part of a request has no successful reply.

    Attributes:
        CONNECT: the connection ended before the request was sent.
        CLOSED: the connection ended before the reply was complete.
        GARBLED: the server sent bytes that are not a valid reply.
        MISDIRECTED: another server instance answered; it ran nothing.
        SHED: the server reported that it had not run the request.
        ERROR: the server answered without success.
        TIMEOUT: the deadline passed.
        NO_SERVER: no server could be sent the request.
        NO_CONNECTION: the connection limit of the chosen server was reached.
        NO_BUDGET: the extra-load budget did not allow a retry.
        NO_MEMORY: this VM had no room for the request or its reply.
    """

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
    NO_MEMORY = 'no_memory'
    COLD = 'cold'


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response of a backend server.

    Parameters:
        fields: all header fields, including hop-by-hop fields.
        body: whole body; a HeldBody if it is long.
        stamp: the server's signature of the response; empty if absent.
        request_id: identifier of the request that the server states; may be
            empty.
        not_run: whether the server reports that it has not run the request.
        instance: identifier of the server that answered; may be empty.
        cold_for: seconds for which the server reports that it stays cold.
        keep_alive: seconds for which the connection may stay idle; 0 if the
            server closes it.
    """

    status: int
    fields: HeaderFields
    body: bytes | bytearray
    stamp: str
    request_id: str
    not_run: bool
    instance: str
    cold_for: float
    keep_alive: float

    @property
    def success(self) -> bool:
        """Whether this is a signed 2xx response to a request that ran."""
        return (
            self.status_implies_success
            and bool(self.stamp)
            and not self.not_run
        )

    @property
    def is_shed(self) -> bool:
        """Whether the addressed server had no room for the request."""
        return self.not_run and not self.instance

    @property
    def status_implies_success(self) -> bool:
        """Whether the status is 2xx, which a caller takes for a success."""
        return _LOWEST_SUCCESS <= self.status <= _HIGHEST_SUCCESS

    @property
    def status_implies_not_run(self) -> bool:
        """Whether the status by itself means that the request has not run."""
        return self.status in _NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange that ended without a reply.

    Parameters:
        may_have_run: whether the server may have started the request.
    """

    reason: FailureReason
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Answer that is the unchanged reply of one server."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Merged:
    """Answer of a sharded route, merged from the replies of its shards.

    Parameters:
        stamps: signatures of the replies that are included.
        missing: number of shards whose reply is not included.
        records: the greatest records of the included replies.
    """

    stamps: tuple[str, ...]
    missing: int
    records: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run on any server and will not.

    Parameters:
        reason: failure reasons, separated by commas, or another short code.
        retry_after: seconds after which another attempt may succeed.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class NotRouted:
    """No route of the current configuration matches the request."""


@dataclass(frozen=True, slots=True)
class Unauthorized:
    """No customer of the current configuration holds the caller's key.

    Parameters:
        reason: ``no_key`` if the caller states none, or not just one.
    """

    reason: str = 'unknown_key'


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The customer is over its rate limit; the request will not run.

    Parameters:
        customer: name of the customer.
        retry_after: seconds after which the limit allows another request.
    """

    customer: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No usable answer; the request may or may not have run.

    Parameters:
        reason: failure reasons, separated by commas.
        timed_out: whether time ran out; otherwise every attempt failed.
    """

    reason: str
    timed_out: bool


CallerAnswer = (
    Forwarded
    | Merged
    | Refused
    | NotRouted
    | Unauthorized
    | RateLimited
    | Unanswered
)

# Encodes one request for a server, given the server's identifier and the
# seconds that remain until the deadline.
RequestEncoder = Callable[[str, float], bytes]
# Returns an encoder that can encode a request for any number of servers.
RequestEncoderFactory = Callable[[CallerRequest], RequestEncoder]
