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


class BackgroundTasks:
    """Supervised tasks that end together.

    Parameters:
        log_failure: called with each failure of a task, to log it.
    """

    def __init__(self, log_failure: Callable[[Exception], None]) -> None:
        """Initialize without tasks."""
        self._log_failure = log_failure
        self._tasks: list[curio.Task] = []

    async def start(self, task_function: TaskFunction) -> None:
        """Start a task, which runs until ``cancel``."""
        supervised = supervise(task_function, self._log_failure)
        self._tasks.append(await curio.spawn(supervised, daemon=True))

    async def cancel(self) -> None:
        """Cancel all tasks without waiting for their ends."""
        for task in self._tasks:
            await task.cancel(blocking=False)
        self._tasks.clear()
