"""Entry point of the gateway daemon."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the daemon, which outlives a SIGHUP sent while it is imported.

    Settings are read after the import, so that such a signal tells nothing.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the daemon takes a few hundred milliseconds on a slow VM.
    from ._gateway import main as run_daemon

    run_daemon()


if __name__ == '__main__':
    main()
