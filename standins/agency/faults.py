"""Faults of the store that a test switches on."""

import attrs


@attrs.define
class StoreFaults:
    """is_down answers 503; loses_answers resets after a write took effect.

    is_silent leaves calls without an answer, delay_s holds each one back.
    """

    is_down: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    delay_s: float = 0
