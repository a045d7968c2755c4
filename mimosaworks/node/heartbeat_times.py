"""Heartbeat intervals and timeouts between nodes and the lease holder.

They scale with the number of nodes. A node takes the holder for lost only
because of unanswered heartbeats, never because of the interval between two.
"""

MIN_HEARTBEAT_INTERVAL_S = 0.25
# Of all nodes together: each heartbeat costs the holder half a ms.
MAX_HEARTBEATS_PER_S = 200
# Leaves time for some round trips and for a lost packet.
HEARTBEAT_TIMEOUT_S = 0.5
# The interval of heartbeats to a holder that has not answered yet.
UNANSWERED_HEARTBEAT_INTERVAL_S = 0.1
# Counts from the first heartbeat or assignment request that got no answer. It
# has time for two heartbeats, and is shorter than the lease, so that nodes
# search for another holder while the lease expires.
HOLDER_TIMEOUT_S = 0.9
# With less, a holder would drop all nodes after its process was paused.
MIN_MEMBER_TIMEOUT_S = 2.0
# Heartbeats of a node that may get lost in a row.
MAX_MISSED_HEARTBEATS = 2.5


def heartbeat_interval_s(member_count: int) -> float:
    """Return the heartbeat interval of a node without updates, in seconds."""
    return max(MIN_HEARTBEAT_INTERVAL_S, member_count / MAX_HEARTBEATS_PER_S)


def member_timeout_s(member_count: int) -> float:
    """Return the silence after which a node is taken for lost, in seconds."""
    timeout_s = (
        MAX_MISSED_HEARTBEATS * heartbeat_interval_s(member_count)
        + HEARTBEAT_TIMEOUT_S
    )
    return max(MIN_MEMBER_TIMEOUT_S, timeout_s)
