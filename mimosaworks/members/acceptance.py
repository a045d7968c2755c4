"""Outcome of the publication of a version."""

import enum


@enum.unique
class Acceptance(enum.Enum):
    """Whether a version is in force everywhere, or may not yet be."""

    IN_FORCE = 'in_force'
    PENDING = 'pending'
