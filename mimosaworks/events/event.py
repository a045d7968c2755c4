"""Numbered log events; docs/events.md is their catalogue."""

import enum


@enum.unique
class Event(enum.Enum):
    """One numbered event; numbers are never used again for another one.

    1xx processes and settings, 2xx configuration and members, 3xx admission
    and limits, 4xx routing and relay, 5xx placement, 6xx administration,
    7xx requests at an entry node, 8xx what nodes and their holder believe
    and decide.
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
    CALL_ADMITTED = 701
    CALL_REFUSED = 702
    CALL_SENT = 703
    CALL_STARTED = 704
    CALL_ANSWERED = 705
    CALL_BROKEN = 706
    CALL_RESENT = 707
    CALL_ABANDONED = 708
    CALL_DECIDED_ALONE = 709
    NODE_STARTED = 801
    NODE_STOPPING = 802
    NODE_STOPPED = 803
    SETTINGS_READ = 804
    DEPENDENCY_LOST = 805
    DEPENDENCY_REGAINED = 806
    DEPLOYMENT_APPLIED = 811
    DEPLOYMENT_REJECTED = 812
    TARGET_APPEARED = 813
    TARGET_CHANGED = 814
    TARGET_GONE = 815
    TARGET_IGNORED = 816
    DEPLOYMENT_BEHIND = 817
    TARGET_SUSPECTED = 818
    TARGET_TRUSTED = 819
    HOLDER_BELIEVED = 821
    LEASE_TAKEN = 822
    LEASE_LOST = 823
    MEMBER_JOINED = 824
    MEMBER_LOST = 825
    CALL_DECIDED = 831
    CALL_QUEUED = 832
    CALL_FORGOTTEN = 833
    CALL_POSTPONED = 834
    STEP_SENT = 841
    STEP_ENDED = 842
    TARGET_SYNCED = 843


FAILURE_EVENTS = frozenset((
    Event.CALL_REFUSED,
    Event.CALL_BROKEN,
    Event.CALL_RESENT,
    Event.CALL_ABANDONED,
))
