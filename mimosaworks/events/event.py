"""Numbered log events; docs/events.md is their catalogue."""

import enum


@enum.unique
class Event(enum.Enum):
    """One numbered event; numbers are never used again for another one.

    1xx processes and settings, 2xx configuration and members, 3xx admission
    and limits, 4xx routing and relay, 5xx placement, 6xx administration.
    """

    PROCESS_STARTED = 101
    PROCESS_DRAINING = 102
    PROCESS_STOPPED = 103
    CONFIG_APPLIED = 201
    MEMBER_STATE_CHANGED = 202
    FRESHNESS_LOST = 203
    FRESHNESS_REGAINED = 204
    REQUEST_REFUSED = 301
    TOKENS_TRANSFERRED = 302
    ROUTING_DECIDED = 401
    REQUEST_ANSWERED = 402
    REQUEST_RETRIED = 403
    STREAM_RESUMED = 404
    CRASH_SUSPECTED = 405
    PLACEMENT_DECIDED = 501
    ORDER_SENT = 502
    ORDER_RESOLVED = 503
    SHARD_LEASE_TAKEN = 504
    SHARD_LEASE_LOST = 505
    CHANGE_ACCEPTED = 601
    CHANGE_REJECTED = 602
    CHANGE_PENDING = 603
    OPERATOR_REFUSED = 604
