"""Where a member stands between its start and its end."""

import enum


@enum.unique
class MemberState(enum.Enum):
    """State in a member's row; only a live or draining member is fresh."""

    JOINING = 'joining'
    LIVE = 'live'
    DRAINING = 'draining'
    STOPPED = 'stopped'
