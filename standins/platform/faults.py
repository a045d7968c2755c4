"""Faults that the platform stand-in has been told to show."""

import attrs


@attrs.define
class Faults:
    """State of the faults; slow_s delays each call, in seconds.

    drop_replies is the number of commits still to apply without an answer.
    """

    outage: bool = False
    slow_s: float = 0
    drop_replies: int = 0

    def takes_drop(self) -> bool:
        """Return whether this commit's reply is to be dropped; count it."""
        if self.drop_replies <= 0:
            return False
        self.drop_replies -= 1
        return True
