"""Messages between routers on crashes of targets."""

import attrs


@attrs.frozen
class SuspectNotice:
    """A fingerprint ran when a target crashed, or was cleared by a full run.

    crash_id names the target and its generation; empty when cleared.
    """

    mark: str
    crash_id: str = ''
    is_cleared: bool = False
