"""Decision log as JSON lines, and statsd metrics."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter
from statsd import StatsClient

from .._domain._model import Address
from .._ports import Metrics
from ._bounded_stream import BoundedStream


class JsonDecisionLog:
    """Writes decisions through the standard logger as JSON lines."""

    def __init__(self, logger: logging.Logger) -> None:
        """Keep the logger that has the JSON handler."""
        self._logger = logger

    def record(self, decision: str, **fields: object) -> None:
        """Write one line; ``decision`` becomes the field ``event``."""
        self._logger.info({'event': decision, **fields})


class NullMetrics:
    """Drops every metric; used where no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a timer."""


def make_logger(
    vm_name: str,
    stream: BoundedStream | None = None,
) -> logging.Logger:
    """Return a logger that writes JSON lines.

    Parameters:
        stream: standard error if none is given.
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
    # curio warns of each operation that ends after its time was up.
    logging.getLogger('curio').setLevel(logging.ERROR)
    return logger


def make_metrics(address: Address | None, vm_name: str) -> Metrics:
    """Return a statsd client, or one that drops everything."""
    if address is None:
        return NullMetrics()
    return StatsClient(
        address.host,
        address.port,
        prefix=f'daisydyke.{vm_name}',
    )
