"""Keys under which crashes of targets are counted, and what follows from them.

A key is the fingerprint of a request's content, or a part of its prompt.
"""

import enum
from collections.abc import Callable, Collection, Mapping

from mimosaworks.deployment import RequestProfile

BlamedParts = Mapping[str, Collection[str]]
_PART_PREFIX = 'part:'
# From this number of crashes on, requests run one at a time.
MIN_CRASHES_SERIALIZED = 2
MIN_CRASHES_REFUSED = 3
# Parts that are in many requests are often there when targets crash.
MIN_CRASHES_REFUSED_PROVEN_PART = 5


class Verdict(enum.Enum):
    """How requests with a key are served; 'apart': one at a time."""

    SERVED = 'served'
    SERIALIZED = 'apart'
    REFUSED = 'refused'


def suspect_keys(fingerprint: str, profile: RequestProfile) -> tuple[str, ...]:
    """Return the keys of a request: its fingerprint, then its shared parts.

    The last part of a prompt belongs to the request itself, or to its session.
    """
    part_keys = dict.fromkeys(
        _PART_PREFIX + part.part_id for part in profile.parts[:-1]
    )
    return (fingerprint, *part_keys)


def is_part_key(key: str) -> bool:
    """Return whether a key is a part of a prompt."""
    return key.startswith(_PART_PREFIX)


def verdict_for_crash_count(crash_count: int) -> Verdict:
    """Return how requests are served that crashed this many targets."""
    if crash_count >= MIN_CRASHES_REFUSED:
        return Verdict.REFUSED
    return (
        Verdict.SERIALIZED
        if crash_count >= MIN_CRASHES_SERIALIZED
        else Verdict.SERVED
    )


def verdict_for_crashes(
    key: str, crash_count: int, *, has_succeeded: bool
) -> Verdict:
    """Return how requests with a key are served.

    has_succeeded: a request with the key succeeded before. A part that did is
    in sound requests, which are not to wait for each other.
    """
    if not (has_succeeded and is_part_key(key)):
        return verdict_for_crash_count(crash_count)
    if crash_count >= MIN_CRASHES_REFUSED_PROVEN_PART:
        return Verdict.REFUSED
    return Verdict.SERVED


def find_request_verdicts(
    verdicts: Mapping[str, Verdict],
    find_blamed: Callable[[], BlamedParts],
) -> dict[str, Verdict]:
    """Return the verdicts of a request's keys, given those of each alone.

    find_blamed returns the crashes of all blamed parts. Parts that were only in
    the same requests have the same crashes. A request without the other one
    runs by itself, so that it shows which of the two crashes targets.
    """
    if Verdict.REFUSED not in verdicts.values():
        return dict(verdicts)
    blamed = find_blamed()
    other_crashes = [
        frozenset(crashes)
        for key, crashes in blamed.items()
        if key not in verdicts
    ]
    return {
        key: Verdict.SERIALIZED
        if verdict is Verdict.REFUSED
        and key in blamed
        and any(crashes.issuperset(blamed[key]) for crashes in other_crashes)
        else verdict
        for key, verdict in verdicts.items()
    }
