"""Time limits of requests, by their routes and by what callers state."""

from __future__ import annotations

import math

from .._domain._latency import LatencyEstimate
from ._answers import required_parts
from ._model import CallerRequest, Route
from ._open_requests import OpenRequests
from ._parts import Schedule

# For this VM's own work on an answer, in addition to its transport.
_DEADLINE_MARGIN_S = 0.006
_PARTIAL_ANSWER_MARGIN_S = 0.009
# A request with less time left is refused.
MINIMUM_REMAINING_S = 0.003
# A route with less is refused as a whole, or its answers come late.
MINIMUM_TIMEOUT_S = _DEADLINE_MARGIN_S + MINIMUM_REMAINING_S
MINIMUM_TARGET_S = _PARTIAL_ANSWER_MARGIN_S
# With less of the target latency left, the answer would lack most shards.
_MINIMUM_TARGET_SHARE = 0.25
# Share of the target latency; a hedge then still answers in time.
_INITIAL_HEDGE_DELAY_SHARE = 0.5


class RequestScheduler:
    """Sets the time limits of requests.

    Parameters:
        open_requests: states the time by which all requests end.
    """

    def __init__(self, open_requests: OpenRequests) -> None:
        """Initialize without latency estimates; each route gets its own."""
        self._open_requests = open_requests
        self._latencies: dict[str, LatencyEstimate] = {}
        self._longest_timeouts: dict[str, float] = {}

    def latency_estimate(self, route: Route) -> LatencyEstimate:
        """Return the estimate of a route's latency, shared by its requests."""
        estimate = self._latencies.get(route.name)
        if estimate is None:
            estimate = LatencyEstimate(
                route.target_latency * _INITIAL_HEDGE_DELAY_SHARE
            )
            self._latencies[route.name] = estimate
        return estimate

    def schedule(self, request: CallerRequest, route: Route) -> Schedule:
        """Return the time limits of a request."""
        timeout = route.timeout
        if request.timeout is not None:
            timeout = min(timeout, request.timeout)
        deadline = min(
            request.received
            + timeout
            - request.round_trip
            - _DEADLINE_MARGIN_S,
            self._open_requests.end_at,
        )
        partial_answer_at = request.received + self._partial_answer_time(
            request, route
        )
        hedge_delay = math.inf
        if route.idempotent:
            hedge_delay = self.latency_estimate(route).hedge_delay
        return Schedule(
            deadline,
            partial_answer_at,
            required_parts(route) if route.shards else 1,
            hedge_delay,
        )

    def _partial_answer_time(
        self, request: CallerRequest, route: Route
    ) -> float:
        """Return after how many seconds an answer may leave shards out.

        That is when the answer can just reach the caller within the target
        latency. A caller that it cannot reach by then gets as much time for
        its answer as others.
        """
        target = route.target_latency - _PARTIAL_ANSWER_MARGIN_S
        before = max(request.connecting, self._waited_before(request, route))
        left = target - before - request.round_trip
        return target if left < target * _MINIMUM_TARGET_SHARE else left

    def _waited_before(self, request: CallerRequest, route: Route) -> float:
        """Return for how long the caller had waited when it sent a request.

        Callers state how much of their timeout is left. The longest that has
        been stated on a route is that of a caller which had not waited.
        """
        if request.timeout is None:
            return 0
        longest = max(
            self._longest_timeouts.get(route.name, 0), request.timeout
        )
        self._longest_timeouts[route.name] = longest
        return longest - request.timeout
