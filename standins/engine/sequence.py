"""One request that an engine generates tokens for."""

import asyncio

import attrs

from standins.run_record import RunRecord


@attrs.define(eq=False)
class Sequence:
    """Tokens still to generate; the request's task takes them from out.

    next_index is the index of the next token and count that of the end;
    out gets each token's index, and None when the sequence has ended early.
    """

    request_id: str
    model: str
    adapter: str
    prompt: str
    next_index: int
    count: int
    priority: int
    crashes: bool
    record: RunRecord
    ready_s: float = 0
    out: asyncio.Queue[int | None] = attrs.Factory(asyncio.Queue)

    def is_done(self) -> bool:
        """Return whether every token has been generated."""
        return self.next_index >= self.count

    def generate(self) -> None:
        """Generate one token."""
        self.out.put_nowait(self.next_index)
        self.next_index += 1
        self.record.tokens += 1
