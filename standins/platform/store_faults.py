"""Faults of the store that a test switches on."""

import attrs


@attrs.define
class StoreFaults:
    """outage answers 503; loses_answers resets after a write took effect.

    drop_replies is the number of writes still to reset after their effect.
    is_silent leaves calls without an answer, slow_s holds each one back,
    is_busy answers 429, resets_calls resets each connection. Calls that wait
    for changes when a fault begins meet it too.
    """

    outage: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    drop_replies: int = 0
    slow_s: float = 0
    is_busy: bool = False
    resets_calls: bool = False

    def takes_drop(self) -> bool:
        """Tell whether a write's answer is to be lost; count it."""
        if self.drop_replies > 0:
            self.drop_replies -= 1
            return True
        return self.loses_answers
