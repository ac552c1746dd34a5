"""Tasks of a daemon that should run until it ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

_RESTART_PAUSE_S = 0.5

Run = Callable[[], Awaitable[None]]


async def supervise(run: Run, report: Callable[[Exception], None]) -> None:
    """Run a task again whenever it fails.

    Parameters:
        report: logs the failure.
    """
    while True:
        try:
            await run()
        except Exception as error:
            report(error)
        await curio.sleep(_RESTART_PAUSE_S)
