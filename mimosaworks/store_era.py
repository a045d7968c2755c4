"""Versions of the store that stay unique when it returns from an older copy."""

import re
from collections.abc import Callable

import attrs

from mimosaworks.errors import StoreInDoubtError
from mimosaworks.events import Event, log_event

# Versions are the store's own below this number, eras are counted above it.
VERSIONS_PER_ERA = 1_000_000_000_000
_ERA = re.compile('[0-9]{1,6}')


def _ignore_era(_era: int) -> None:
    """Ignore that the store has returned from an older copy."""


@attrs.define(eq=False)
class StoreEra:
    """The store's era, which grows when it returns from an older copy.

    The store then gives out versions again that it had given out before, for
    other content. Versions in this process have the era in their upper part,
    so that those of a later era are greater. on_new_era is called with the era
    after a return, not for the first answer.
    """

    on_new_era: Callable[[int], None] = _ignore_era
    current: int | None = None

    def record_answer(self, sent: str) -> int:
        """Return the era of an answer, given as the store sent it.

        Raises StoreInDoubtError when it is older than that of an answer before,
        or no number: the call may have taken effect.
        """
        if not _ERA.fullmatch(sent):
            raise StoreInDoubtError(f'store: its era is {sent!r}')
        era = int(sent)
        known_era = self.current
        if known_era is not None and era < known_era:
            raise StoreInDoubtError(
                f'store: an answer of era {era} came in era {known_era}'
            )
        self.current = era
        if known_era is not None and era > known_era:
            log_event(Event.STORE_RETURNED, era=era, previous=known_era)
            self.on_new_era(era)
        return era

    def is_current(self, version: int) -> bool:
        """Return whether a version is not of an era that has ended."""
        return self.current is None or era_of(version) == self.current


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // VERSIONS_PER_ERA


def with_era(era: int, stored_version: int) -> int:
    """Return the version for one that the store has given out in an era."""
    return era * VERSIONS_PER_ERA + stored_version


def first_version(version: int) -> int:
    """Return the version before all others of the same era."""
    return version - stored_version(version)


def stored_version(version: int) -> int:
    """Return a version as the store gave it out."""
    return version % VERSIONS_PER_ERA
