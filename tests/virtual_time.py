"""Virtual time: curio with a clock that advances to the next timer."""

from __future__ import annotations

import selectors
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import curio

_START_S = 1000.0
_SHUTDOWN_ROUNDS = 20


class VirtualClock:
    """Clock read by both curio and the code under test.

    Parameters:
        now: virtual time in seconds; tests may advance it.
    """

    def __init__(self) -> None:
        """Initialize the clock with an arbitrary positive time."""
        self.now = _START_S

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files, or advance the clock by the timeout.

        Raises:
            RuntimeError: no file is ready and no timer is set, so that no
                task could ever continue.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self._clock.now += max(timeout, 0)
        return []


def run_virtual(
    coroutine_function: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> Any:
    """Run a coroutine function to completion in virtual time.

    Parameters:
        coroutine_function: called with the VirtualClock and ``arguments``.

    Returns:
        The result of the coroutine function.
    """
    clock = VirtualClock()
    with mock.patch('time.monotonic', clock.monotonic):
        kernel = curio.Kernel(selector=_VirtualSelector(clock))
        try:
            return kernel.run(coroutine_function, clock, *arguments)
        finally:
            _shut_down(kernel)


def _shut_down(kernel: curio.Kernel) -> None:
    # Tasks not cancelled yet may start others during the shutdown, which
    # makes curio raise AssertionError.
    for _ in range(_SHUTDOWN_ROUNDS):
        try:
            kernel.run(shutdown=True)
        except AssertionError:
            continue
        return
    raise RuntimeError('tasks remain after all shutdown rounds')
