"""The plain acknowledgement."""

import attrs


@attrs.frozen
class Ack:
    """Tells whether the receiver took the message."""

    accepted: bool
