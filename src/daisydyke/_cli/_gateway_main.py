"""Entry point of the gateway daemon."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the daemon; a SIGHUP while it is imported does not end it.

    The settings are read after the import, so no change of them is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the daemon takes a few hundred milliseconds on a slow VM.
    from ._gateway import main as run_daemon

    run_daemon()


if __name__ == '__main__':
    main()
