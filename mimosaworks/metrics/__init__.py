"""Metrics in the statsd protocol."""

from mimosaworks.metrics.client import MetricsClient, open_metrics
from mimosaworks.metrics.metric import Metric

__all__ = ['Metric', 'MetricsClient', 'open_metrics']
