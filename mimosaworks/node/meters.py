"""Counters and histograms of a node."""

import attrs
from aiohttp import web
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

METRICS_PATH = '/metrics'
_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


@attrs.define(eq=False)
class Meters:
    """The node's metrics; docs/metrics.md says what each means."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    answers: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    sends: Counter = attrs.field(init=False)
    wait: Histogram = attrs.field(init=False)
    first: Histogram = attrs.field(init=False)
    whole: Histogram = attrs.field(init=False)
    running: Gauge = attrs.field(init=False)
    ages: Gauge = attrs.field(init=False)
    dropped_lines: Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        reg = self.registry
        self.answers = Counter(
            'mimosa_answers',
            'Answers passed on.',
            ['service', 'status'],
            registry=reg,
        )
        self.refusals = Counter(
            'mimosa_refusals', 'Error answers.', ['kind'], registry=reg
        )
        self.sends = Counter(
            'mimosa_sends', 'Sends to targets.', ['outcome'], registry=reg
        )
        self.wait = Histogram(
            'mimosa_wait_seconds',
            'From arrival to a target.',
            ['service'],
            registry=reg,
            buckets=_SECONDS,
        )
        self.first = Histogram(
            'mimosa_first_seconds',
            'From arrival to the first bytes.',
            ['service'],
            registry=reg,
            buckets=_SECONDS,
        )
        self.whole = Histogram(
            'mimosa_whole_seconds',
            'From arrival to the end.',
            ['service'],
            registry=reg,
            buckets=_SECONDS,
        )
        self.running = Gauge(
            'mimosa_running', 'Requests in progress.', registry=reg
        )
        self.ages = Gauge(
            'mimosa_view_age_seconds',
            'Age of what the node believes.',
            ['view'],
            registry=reg,
        )
        self.dropped_lines = Gauge(
            'mimosa_dropped_log_lines', 'Log lines left out.', registry=reg
        )

    def app(self) -> web.Application:
        """Return the page on which the metrics are served."""

        async def show(_: web.Request) -> web.Response:
            text = generate_latest(self.registry)
            return web.Response(body=text, content_type='text/plain')

        app = web.Application()
        app.router.add_get(METRICS_PATH, show)
        return app
