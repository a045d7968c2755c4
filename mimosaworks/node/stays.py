"""Counts callers' requests from their heads to the ends of their answers."""

import contextlib
from collections.abc import Generator

import attrs
from aiohttp import web

from mimosaworks.node.call import Call


@attrs.define(eq=False)
class Stay:
    """A caller's request at this node; call is None until it was read.

    is_answered and is_refused tell what its caller got, is_cut that the node
    ended it.
    """

    req: web.BaseRequest
    call: Call | None = None
    is_answered: bool = False
    is_refused: bool = False
    is_cut: bool = False

    def note_cut(self) -> None:
        """Note that the node ends before the answer."""
        self.is_cut = True
        if self.call is not None:
            self.call.is_cut = True


@attrs.define
class Tally:
    """How requests ended."""

    answered: int = 0
    refused: int = 0
    left: int = 0
    cut: int = 0

    def count(self, stay: Stay) -> None:
        """Count a request that has ended."""
        if stay.is_cut:
            self.cut += 1
        elif stay.is_refused:
            self.refused += 1
        elif stay.is_answered:
            self.answered += 1
        else:
            self.left += 1


@attrs.define(eq=False)
class Stays:
    """All requests that are at this node, and how earlier ones ended."""

    taken: set[Stay] = attrs.field(factory=set)
    ended: Tally = attrs.field(factory=Tally)

    @contextlib.contextmanager
    def count(self, req: web.BaseRequest) -> Generator[Stay, None, None]:
        """Count a request until its answer is written."""
        stay = Stay(req)
        self.taken.add(stay)
        try:
            yield stay
        finally:
            self.taken.discard(stay)
            self.ended.count(stay)
