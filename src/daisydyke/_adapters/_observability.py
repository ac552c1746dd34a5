"""Decision log in JSON lines and statsd metrics."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter
from statsd import StatsClient

from .._domain._model import Address
from .._ports import Metrics
from ._bounded_stream import BoundedStream


class JsonDecisionLog:
    """Writes decisions as JSON lines through a logger.

    Parameters:
        logger: logger with a JSON handler; see ``make_logger``.
    """

    def __init__(self, logger: logging.Logger) -> None:
        """Initialize with the logger to write to."""
        self._logger = logger

    def record(self, decision: str, **fields: object) -> None:
        """Write one line with ``decision`` as its field ``event``."""
        self._logger.info({'event': decision, **fields})


class NullMetrics:
    """Discards all metrics; used if no statsd address is configured."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a timer."""


def make_logger(
    vm_name: str,
    stream: BoundedStream | None = None,
) -> logging.Logger:
    """Return a logger that writes JSON lines.

    Parameters:
        vm_name: value of the field ``vm`` of each line.
        stream: stream to write to; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '%(event)s',
            static_fields={'vm': vm_name},
            timestamp=True,
        ),
    )
    logger = logging.getLogger('daisydyke')
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    # curio logs a warning for each operation that outlasts its time-out.
    logging.getLogger('curio').setLevel(logging.ERROR)
    return logger


def make_metrics(address: Address | None, vm_name: str) -> Metrics:
    """Return a statsd client.

    Parameters:
        address: address of the statsd server; None to discard all metrics.
        vm_name: name of the VM, which becomes part of each metric's name.
    """
    if address is None:
        return NullMetrics()
    return StatsClient(
        address.host,
        address.port,
        prefix=f'daisydyke.{vm_name}',
    )
