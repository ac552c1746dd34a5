"""State and types that the connections of an HTTP server share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

from .._domain._byte_budget import PeerMemory
from .._ports import Clock
from ._http_client import HttpRequest, HttpResponse

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class NoAnswerError(Exception):
    """Raised by a handler to close the connection without an answer."""


class CutCause(Enum):
    """Why a request gets no whole answer.

    ``CALLER_LEFT``: the client has closed or reset the connection;
    ``CLOSED``: this process closes it, as at a limit or a time-out;
    ``FAILED``: the handler failed; ``SLOW_READER``: the client takes its
    answer too slowly; ``STOPPED``: the process ends.
    """

    CALLER_LEFT = 'caller_left'
    CLOSED = 'closed'
    FAILED = 'failed'
    SLOW_READER = 'slow_reader'
    STOPPED = 'stopped'


# Called with each request that gets no whole answer, the cause, and the error
# of a handler that failed.
CutReport = Callable[[HttpRequest, CutCause, str], None]
# Answers a request that is not handed to the handler for lack of memory.
Refusal = Callable[[HttpRequest], HttpResponse]

_RETRY_AFTER_S = 1
NO_ROOM = HttpResponse(
    HTTPStatus.SERVICE_UNAVAILABLE,
    b'{"code":"service_unavailable","outcome":"not_run"}',
    {'retry-after': str(_RETRY_AFTER_S)},
)


def make_rejection(status: int) -> HttpResponse:
    """Return the response to a request that is not taken for its form."""
    reason = HTTPStatus(status).phrase.lower().replace(' ', '_')
    body = f'{{"code":"{reason}","outcome":"not_run"}}'.encode()
    return HttpResponse(status, body)


def _ignore_cut(request: HttpRequest, cause: CutCause, error: str) -> None:
    """Report nothing."""


def _refuse_without_record(request: HttpRequest) -> HttpResponse:
    """Refuse a request of a server whose refusals are only counted."""
    return NO_ROOM


@dataclass(frozen=True, slots=True)
class UnservedRequests:
    """Takes the requests that the handler does not answer.

    Parameters:
        report_cut: called with each request that gets no whole answer.
        refuse: answers each request for which memory is short.
    """

    report_cut: CutReport = _ignore_cut
    refuse: Refusal = _refuse_without_record


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on requests and connections of clients.

    Parameters:
        head_bytes: largest size of a request head.
        body_bytes: largest size of a request body.
        head_timeout: longest time from the first byte of a request to its
            last one, in seconds.
        idle_timeout: longest time that a connection may wait for a request,
            in seconds.
    """

    head_bytes: int = 16384
    body_bytes: int = 65536
    head_timeout: float = 5.0
    idle_timeout: float = 60.0


@dataclass(slots=True)
class ServerState:
    """State that all connections of a server share.

    Parameters:
        handler: answers one request.
        cancel_on_disconnect: whether the handler of a request is cancelled if
            the client closes the connection.
        clock: clock for the time-outs.
        memory: bounds what is held for all connections together.
        closing: whether each connection is closed with its next response.
        requests_in_progress: number of requests that are being answered.
        refused_count: requests refused so far for lack of memory.
        unserved: takes the requests that the handler does not answer.
    """

    handler: Handler
    cancel_on_disconnect: bool
    clock: Clock
    memory: PeerMemory
    closing: bool = False
    requests_in_progress: int = 0
    refused_count: int = 0
    unserved: UnservedRequests = field(default_factory=UnservedRequests)
