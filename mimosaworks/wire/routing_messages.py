"""Messages between routers on crashes of targets."""

import attrs


@attrs.frozen
class SuspectNotice:
    """A fingerprint ran when a target crashed, or is cleared of crashes.

    crash_id names the target and its generation. is_cleared takes that crash
    back, or all of them when crash_id is empty.
    """

    mark: str
    crash_id: str = ''
    is_cleared: bool = False
