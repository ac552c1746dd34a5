"""End of a daemon's process."""

from __future__ import annotations

import os
from typing import NoReturn


def exit_at_once() -> NoReturn:
    """Exit with 0; the kernel closes the connections.

    The event loop would first end its tasks one by one, which takes longer
    than the grace period with thousands of them and fails if a task starts
    meanwhile. The interpreter would restore the default action of signals
    before the process has gone.
    """
    os._exit(0)
