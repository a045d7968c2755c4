"""Tells nodes and the log of contents under which several targets ended."""

import attrs

from mimosaworks.dispatch import BookNews, CrashBook, judge_ends
from mimosaworks.dispatch.crash_book import APART_ENDS, REFUSED_ENDS
from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.wire import SuspectRow


@attrs.define(eq=False)
class SuspectWatch:
    """The contents that nodes are told of, as of the last look.

    Nodes need not know the many that were beside one end.
    """

    log: ChangeLog[SuspectRow] = attrs.field(factory=ChangeLog)
    _version: int = 0

    def look(self, book: CrashBook) -> bool:
        """Take over what has changed; tell whether the store should know."""
        if book.version == self._version:
            return False
        while book.news:
            _log_news(book.news.popleft())
        seen_version = self._version
        self._version = book.version
        known_version = self.log.version
        rows = {
            mark: SuspectRow(mark, tuple(suspect.ends))
            for mark, suspect in book.counted(APART_ENDS)
        }
        for mark in self.log.rows.keys() - rows.keys():
            log_event(Event.CONTENT_CLEARED, mark=mark)
        for mark, row in rows.items():
            if self.log.set(mark, row):
                log_event(
                    Event.CONTENT_SUSPECTED,
                    mark=mark,
                    ends=list(row.ends),
                    verdict=judge_ends(len(row.ends)).value,
                )
        self.log.replace(rows)
        has_plans = any(
            suspect.planned > seen_version
            for _, suspect in book.counted(REFUSED_ENDS)
        )
        return has_plans or self.log.version > known_version


def _log_news(news: BookNews) -> None:
    if news.end is None:
        log_event(Event.CONTENT_TRIED, mark=news.mark, reason=news.reason)
        return
    log_event(
        Event.TARGET_END_DROPPED,
        mark=news.mark,
        target=news.end.target,
        born=news.end.born,
        number=news.end.number,
        reason=news.reason,
    )
