"""What a member of the system does."""

import enum


@enum.unique
class MemberRole(enum.Enum):
    """The program that a member runs; the value is in its row."""

    ROUTER = 'router'
    PLACER = 'placer'
    ADMIN = 'admin'
