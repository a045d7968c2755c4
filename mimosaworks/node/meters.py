"""Prometheus metrics of a node."""

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
_LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
)


@attrs.define(eq=False)
class Meters:
    """The node's metrics; docs/node-metrics.md says what each means."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    answers: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    sends: Counter = attrs.field(init=False)
    orders: Counter = attrs.field(init=False)
    store_calls: Counter = attrs.field(init=False)
    target_notices: Counter = attrs.field(init=False)
    possible_crashes: Counter = attrs.field(init=False)
    rate_limited_requests: Counter = attrs.field(init=False)
    body_room: Counter = attrs.field(init=False)
    wait_seconds: Histogram = attrs.field(init=False)
    first_bytes_seconds: Histogram = attrs.field(init=False)
    complete_answer_seconds: Histogram = attrs.field(init=False)
    running_requests: Gauge = attrs.field(init=False)
    waiting_requests: Gauge = attrs.field(init=False)
    is_holder: Gauge = attrs.field(init=False)
    known_members: Gauge = attrs.field(init=False)
    remaining_tokens: Gauge = attrs.field(init=False)
    view_ages: Gauge = attrs.field(init=False)
    deployment_version: Gauge = attrs.field(init=False)
    rate_limited_targets: Gauge = attrs.field(init=False)
    held_bytes: Gauge = attrs.field(init=False)
    waiting_bodies: Gauge = attrs.field(init=False)
    dropped_log_lines: Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._make_counters()
        self._make_histograms()
        self._make_gauges()

    def count_store_call(self, call: str, outcome: str) -> None:
        """Count a call to the store."""
        self.store_calls.labels(call, outcome).inc()

    def count_order(self, kind: str, source: str, answer: str) -> None:
        """Count an order to a target."""
        self.orders.labels(kind, source, answer).inc()

    def count_rate_limited_request(self, result: str) -> None:
        """Count a request that a target's rate limit delays or refuses."""
        self.rate_limited_requests.labels(result).inc()

    def count_target_notice(self, kind: str) -> None:
        """Count a notice by which a target limits further requests."""
        self.target_notices.labels(kind).inc()

    def count_body_room(self, room_result: str) -> None:
        """Count a body of a request that found no room at once."""
        self.body_room.labels(room_result).inc()

    def make_metrics_app(self) -> web.Application:
        """Return the application that serves the metrics."""

        async def serve_metrics(_: web.Request) -> web.Response:
            page = generate_latest(self.registry)
            return web.Response(body=page, content_type='text/plain')

        app = web.Application()
        app.router.add_get(METRICS_PATH, serve_metrics)
        return app

    def _make_counters(self) -> None:
        self.answers = self._counter(
            'mimosa_answers', 'Answers passed on.', 'service', 'status'
        )
        self.refusals = self._counter(
            'mimosa_refusals', 'Error answers.', 'kind'
        )
        self.sends = self._counter(
            'mimosa_sends', 'Sends to targets.', 'outcome'
        )
        self.orders = self._counter(
            'mimosa_orders', 'Orders to targets.', 'kind', 'source', 'answer'
        )
        self.store_calls = self._counter(
            'mimosa_store_calls', 'Calls to the store.', 'call', 'outcome'
        )
        self.target_notices = self._counter(
            'mimosa_target_notices',
            'Targets that are left out on notice.',
            'kind',
        )
        self.possible_crashes = self._counter(
            'mimosa_target_ends',
            'Requests that may have crashed a target.',
            'kind',
        )

        self.rate_limited_requests = self._counter(
            'mimosa_limited',
            "Requests that a target's rate limit held up.",
            'result',
        )
        self.body_room = self._counter(
            'mimosa_body_room', 'Bodies that found no room at once.', 'result'
        )

    def _make_histograms(self) -> None:
        self.wait_seconds = self._histogram(
            'mimosa_wait_seconds', 'From arrival to a target.'
        )
        self.first_bytes_seconds = self._histogram(
            'mimosa_first_seconds', 'From arrival to the first bytes.'
        )
        self.complete_answer_seconds = self._histogram(
            'mimosa_whole_seconds', 'From arrival to the end.'
        )

    def _make_gauges(self) -> None:
        self.running_requests = self._gauge(
            'mimosa_running', 'Requests in progress.'
        )
        self.waiting_requests = self._gauge(
            'mimosa_waiting', 'Requests that wait at this holder.'
        )
        self.is_holder = self._gauge(
            'mimosa_is_holder', '1 while this node decides.'
        )
        self.known_members = self._gauge(
            'mimosa_members', 'Nodes known by this node.'
        )
        self.remaining_tokens = self._gauge(
            'mimosa_tokens', 'Tokens left at the holder.', 'workspace'
        )
        self.view_ages = self._gauge(
            'mimosa_view_age_seconds', 'Age of what is believed.', 'view'
        )
        self.rate_limited_targets = self._gauge(
            'mimosa_target_limits', 'Targets with a rate limit.'
        )
        self.held_bytes = self._gauge(
            'mimosa_held_bytes', 'Bytes of requests that are held.'
        )
        self.waiting_bodies = self._gauge(
            'mimosa_waiting_bodies', 'Bodies that wait for room.'
        )
        self.deployment_version = self._gauge(
            'mimosa_deployment_version', 'Version in force here.'
        )
        self.dropped_log_lines = self._gauge(
            'mimosa_dropped_log_lines', 'Log lines left out.'
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name,
            text,
            ['service'],
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
