"""What has become of an order."""

import attrs


@attrs.define
class Outcome:
    """State of one order: running, done or failed, with the reason."""

    state: str = 'running'
    reason: str = ''
