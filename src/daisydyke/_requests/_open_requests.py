"""Requests in progress, and their end when this process stops."""

from __future__ import annotations

import math

from ._dispatch import Dispatch
from ._model import Route

# Multiple of a route's target latency that a request needs to be taken.
_MINIMUM_TIME_FACTOR = 2


class OpenRequests:
    """Ends requests in time for their answers to reach the callers.

    Attributes:
        end_at: monotonic time by which all requests end; infinity while the
            process goes on.
    """

    def __init__(self) -> None:
        """Initialize without requests and without an end."""
        self.end_at = math.inf
        self._dispatches: set[Dispatch] = set()

    def may_start(self, route: Route, now: float) -> bool:
        """Return whether a request is likely to be answered before the end.

        Parameters:
            now: monotonic time.
        """
        needed = _MINIMUM_TIME_FACTOR * route.target_latency
        return self.end_at - now >= needed

    async def run(self, dispatch: Dispatch) -> None:
        """Run a dispatch to its end."""
        self._dispatches.add(dispatch)
        try:
            await dispatch.run()
        finally:
            self._dispatches.discard(dispatch)

    async def end_all(self) -> None:
        """End all requests with what they have."""
        for dispatch in tuple(self._dispatches):
            await dispatch.stop()
