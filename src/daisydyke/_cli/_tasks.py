"""Supervision of a daemon's background tasks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

_RESTART_DELAY_S = 0.5

TaskFunction = Callable[[], Awaitable[None]]


async def supervise(
    task_function: TaskFunction, log_failure: Callable[[Exception], None]
) -> None:
    """Run a task until cancelled; restart it when it fails or returns.

    Parameters:
        task_function: starts the task.
        log_failure: called with each failure, to log it.
    """
    while True:
        try:
            await task_function()
        except Exception as error:
            log_failure(error)
        await curio.sleep(_RESTART_DELAY_S)
