"""Entry point of the gateway daemon."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the daemon; SIGHUP is ignored while it is imported.

    The settings are read after the import, so no change of them is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # This import takes a few hundred milliseconds on a slow VM.
    from ._gateway import main as run_daemon

    run_daemon()


if __name__ == '__main__':
    main()
