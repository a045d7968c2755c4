"""Which process a target is, by what it tells of itself."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
from aiohttp import ClientError, ClientResponseError

from mimosaworks.bounded import forget_oldest
from mimosaworks.errors import MimosaError
from mimosaworks.node.shared_probes import SharedProbes
from mimosaworks.node.witness import Sign
from mimosaworks.platform import (
    TARGETS_TABLE,
    StoreClient,
    TargetReport,
    decode_entry,
)
from mimosaworks.platform.key_range import KeyRange

# In which a target that has started again writes its entry.
ENTRY_WAIT_S = 0.25
ENTRY_TIMEOUT_S = 0.5
# More than the targets of a deployment.
MAX_REPORTED = 1000
ReadReport = Callable[[str, str], Awaitable[TargetReport]]


@attrs.frozen
class Identity:
    """What a target tells of its process; an incarnation of 0 tells nothing.

    is_other: a target with another name has the address.
    """

    incarnation: int = 0
    is_other: bool = False

    def compare(self, incarnation: int, reported_incarnation: int = 0) -> Sign:
        """Return whether the process is this one, or has replaced it.

        It is this one as well if the target reported its incarnation before.
        """
        if self.incarnation and self.incarnation == reported_incarnation:
            return Sign.OPEN
        if self.is_other or self.incarnation > incarnation:
            return Sign.ENDED
        return Sign.OPEN if self.incarnation == incarnation else Sign.NONE


@attrs.define(eq=False)
class TargetIdentities:
    """Asks targets and the store; those who wait share each question.

    A report is that of the process that answers, an entry may be that of an
    earlier one. The incarnation that a target reported last is kept, as its
    entry shows it later.
    """

    read_report: ReadReport
    store: StoreClient
    _reports: SharedProbes[tuple[str, str], Identity] = attrs.field(init=False)
    _entries: SharedProbes[str, Identity] = attrs.field(init=False)
    _last_reported: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Share reports by target and address, entries by target."""
        self._reports = SharedProbes(self._read_report)
        self._entries = SharedProbes(self._read_entry)

    async def ask_report(self, target: str, address: str) -> Identity:
        """Return what the target at an address reports from now on."""
        return await self._reports.ask((target, address))

    def last_reported(self, target: str) -> int:
        """Return the incarnation that a target reported last, 0 without."""
        return self._last_reported.get(target, 0)

    async def ask_entry(self, target: str) -> Identity:
        """Return what the store has of a target ENTRY_WAIT_S later."""
        return await self._entries.ask(target)

    async def _read_report(self, place: tuple[str, str]) -> Identity:
        try:
            report = await self.read_report(*place)
        except ClientResponseError as exc:
            return Identity(
                is_other=exc.status == HTTPStatus.MISDIRECTED_REQUEST
            )
        except (ClientError, OSError, ValueError):
            return Identity()
        target, _ = place
        self._last_reported.pop(target, None)
        self._last_reported[target] = report.born
        forget_oldest(self._last_reported, MAX_REPORTED)
        return Identity(report.born)

    async def _read_entry(self, target: str) -> Identity:
        # Also spares the store a call for each of many ends.
        await asyncio.sleep(ENTRY_WAIT_S)
        span = KeyRange.covering([target], [])
        try:
            async with asyncio.timeout(ENTRY_TIMEOUT_S):
                answer = await self.store.read(TARGETS_TABLE, span=span)
            written = [row.content or b'' for row in answer.rows]
            entries = [decode_entry(target, content) for content in written]
        except (MimosaError, TimeoutError, ValueError):
            return Identity()
        return Identity(
            max((entry.incarnation for entry in entries), default=0)
        )
