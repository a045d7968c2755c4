"""Times of the beats between nodes and their holder, for any number of nodes.

A holder is lost by unanswered beats alone, never by the pause between two.
"""

MIN_INTERVAL_S = 0.25
BEATS_PER_S = 200  # of all nodes together; each costs the holder half a ms
BEAT_TIMEOUT_S = 0.5  # some round trips, and a lost packet
FIRST_BEAT_S = 0.1  # between beats to a holder that has not answered yet
# Without any answer, after a first beat or ask that got none: two beats, and
# under the lease, so that nodes look for another holder while it ends.
MAX_SILENCE_S = 0.9
MIN_MEMBER_LOST_S = 2.0  # a holder that was paused must not drop all nodes
MISSED_BEATS = 2.5  # beats of a node that may get lost in a row


def beat_interval_s(members: int) -> float:
    """Return the pause between two beats of a node without news, in seconds."""
    return max(MIN_INTERVAL_S, members / BEATS_PER_S)


def member_lost_s(members: int) -> float:
    """Return the silence after which a node is taken for lost, in seconds."""
    unheard_s = MISSED_BEATS * beat_interval_s(members) + BEAT_TIMEOUT_S
    return max(MIN_MEMBER_LOST_S, unheard_s)
