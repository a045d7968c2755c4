"""Sends metrics to a statsd daemon."""

import contextlib
from collections.abc import Generator

import attrs
import statsd

from mimosaworks.metrics.metric import Metric

NAMESPACE = 'mimosaworks'
MS_PER_S = 1000


@attrs.define
class MetricsClient:
    """Sends one UDP datagram for each call; does nothing when off.

    sender is None when no statsd daemon is set. A datagram that gets lost is
    not sent again.
    """

    sender: statsd.StatsClient | None = None

    def count(self, metric: Metric, amount: float = 1) -> None:
        """Add an amount to a counter."""
        if self.sender is not None:
            self.sender.incr(metric.value, amount)

    def gauge(self, metric: Metric, level: float) -> None:
        """Set the level of a gauge."""
        if self.sender is not None:
            self.sender.gauge(metric.value, level)

    def timing(self, metric: Metric, duration_s: float) -> None:
        """Record a duration, given in seconds and sent in milliseconds."""
        if self.sender is not None:
            self.sender.timing(metric.value, duration_s * MS_PER_S)


@contextlib.contextmanager
def open_metrics(
    address: str, program: str
) -> Generator[MetricsClient, None, None]:
    """Yield a client for the daemon at host:port; off when it is empty.

    The names begin with mimosaworks.PROGRAM. Raises ValueError for an
    address without a port.
    """
    if not address:
        yield MetricsClient()
        return
    host, _, port = address.rpartition(':')
    sender = statsd.StatsClient(
        host, int(port), prefix=f'{NAMESPACE}.{program}'
    )
    try:
        yield MetricsClient(sender)
    finally:
        sender.close()
