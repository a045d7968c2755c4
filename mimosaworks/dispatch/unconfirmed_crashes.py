"""Unconfirmed crashes: requests without an answer at a target."""

from collections.abc import Iterator

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.dispatch.target_crashes import (
    MAX_CRASHES,
    EntriesView,
    TargetCrash,
)

MAX_FINGERPRINTS = 2000
# Time in which the entry of a crashed target expires and is read, from a
# store whose answers may be some seconds old.
CONFIRMATION_WAIT_S = 10.0


@attrs.define
class _UnconfirmedCrash:
    """A crash that broke no connection, and when it was recorded.

    is_recent: the entries were not yet read for long enough to confirm it.
    """

    crash: TargetCrash
    recorded_s: float
    is_recent: bool = True


@attrs.define(eq=False)
class UnconfirmedCrashes:
    """Crashes that count once entries confirm them.

    They are kept by fingerprint and crash key; used by the crash tracker.
    """

    _pending: dict[str, dict[str, _UnconfirmedCrash]] = attrs.field(
        factory=dict
    )

    def add(self, crash: TargetCrash, now: float) -> None:
        """Record a possible crash."""
        pending = self._pending.setdefault(crash.fingerprint, {})
        pending.setdefault(crash.key, _UnconfirmedCrash(crash, now))
        forget_oldest(pending, MAX_CRASHES)
        forget_oldest(self._pending, MAX_FINGERPRINTS)

    def discard_answered(self, fingerprint: str) -> None:
        """Discard the crashes of a fingerprint that a target answered."""
        self._pending.pop(fingerprint, None)

    def count_recent_targets(self, fingerprint: str) -> int:
        """Return the number of targets with a crash that is still recent."""
        pending = self._pending.get(fingerprint, {}).values()
        return len({
            unconfirmed_crash.crash.target
            for unconfirmed_crash in pending
            if unconfirmed_crash.is_recent
        })

    def pop_confirmed(self, view: EntriesView) -> Iterator[TargetCrash]:
        """Remove and yield the crashes that entries confirm.

        Those of targets that are shown to run on are removed as well.
        """
        for fingerprint, pending in list(self._pending.items()):
            remaining: dict[str, _UnconfirmedCrash] = {}
            for crash_key, unconfirmed_crash in pending.items():
                if view.confirms_crash(
                    unconfirmed_crash.crash, unconfirmed_crash.recorded_s
                ):
                    yield unconfirmed_crash.crash
                elif not view.is_confirmation_overdue(
                    unconfirmed_crash.recorded_s
                ):
                    unconfirmed_crash.is_recent = (
                        view.observed_s(unconfirmed_crash.recorded_s)
                        < CONFIRMATION_WAIT_S
                    )
                    remaining[crash_key] = unconfirmed_crash
            self._replace_pending(fingerprint, remaining)

    def _replace_pending(
        self, fingerprint: str, remaining: dict[str, _UnconfirmedCrash]
    ) -> None:
        if remaining:
            self._pending[fingerprint] = remaining
        else:
            self._pending.pop(fingerprint)
