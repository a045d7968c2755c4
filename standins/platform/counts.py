"""Counts of the calls that the platform stand-in has answered."""

import attrs


@attrs.define
class Counts:
    """Number of calls since the start."""

    reads: int = 0
    commits: int = 0
    conflicts: int = 0
    object_reads: int = 0
    object_writes: int = 0
