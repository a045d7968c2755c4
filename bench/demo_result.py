"""What the demo saw, for its report and for tests."""

import attrs


@attrs.define
class DemoResult:
    """Figures of one run; times in seconds, memory in MB by program."""

    accepted_s: float = 0
    cold_first_token_s: float = 0
    warm_first_token_s: float = 0
    loads: int = 0
    streams_under_stop: int = 0
    streams_whole: int = 0
    resident_mb: dict[str, float] = attrs.field(factory=dict)
