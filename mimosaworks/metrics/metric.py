"""The closed list of metric names; docs/metrics.md is their catalogue."""

import enum


@enum.unique
class Metric(enum.Enum):
    """One metric; the value is its name below mimosaworks.PROGRAM.

    The name's last part is the unit where it is not a count of events.
    """

    REQUESTS_ANSWERED = 'requests.answered'
    REQUESTS_REFUSED = 'requests.refused'
    REQUESTS_RETRIED = 'requests.retried'
    REQUESTS_WAITING = 'requests.waiting'
    REQUESTS_RUNNING = 'requests.running'
    REQUEST_WAIT = 'requests.wait_ms'
    REQUEST_DURATION = 'requests.duration_ms'
    FIRST_BYTE = 'requests.first_byte_ms'
    COLD_START = 'requests.cold_start_ms'
    TOKENS_DISPATCHED = 'tokens.dispatched'
    TOKENS_TRANSFERRED = 'tokens.transferred'
    CONFIG_VERSION = 'config.version'
    MEMBER_IS_FRESH = 'members.is_fresh'
    REPLICAS_READY = 'placement.replicas_ready'
    REPLICAS_IDLE = 'placement.replicas_idle_s'
    ORDERS_SENT = 'placement.orders_sent'
    ORDERS_FAILED = 'placement.orders_failed'
    CHANGES_ACCEPTED = 'admin.changes_accepted'
    CHANGES_REJECTED = 'admin.changes_rejected'
    CHANGES_PENDING = 'admin.changes_pending'
