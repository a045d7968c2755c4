"""How the memory of a process is shared out."""

import attrs

from mimosaworks.bounded_answers import MB, AnswerBounds
from mimosaworks.errors import SettingError

# The rest is left to the program, answers, heads, peers' messages and buffers.
BODY_SHARE = 0.25


@attrs.frozen
class MemoryBounds:
    """The bytes of answers and of requests' bodies that are held at once."""

    answers: AnswerBounds
    body_bytes: int


def share_memory(
    memory_mb: int, answers: AnswerBounds, all_bodies_mb: int | None
) -> MemoryBounds:
    """Return the bounds of a process with so many megabytes of memory.

    all_bodies_mb are for bodies, a quarter of the memory if it is None. Raises
    SettingError if there is no memory or if the bounds exceed it.
    """
    if memory_mb < 1:
        raise SettingError('limits: memory-mb must be above 0')
    all_bytes = memory_mb * MB
    body_bytes = int(all_bytes * BODY_SHARE)
    if all_bodies_mb is not None:
        body_bytes = all_bodies_mb * MB
        if body_bytes + answers.all_held_bytes > all_bytes:
            raise SettingError(
                '--all-bodies-mb and --all-held-mb together exceed '
                f'limits.memory-mb, which is {memory_mb}'
            )
    return MemoryBounds(answers, body_bytes)
