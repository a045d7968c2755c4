"""What is counted for requests that may crash targets."""

from collections.abc import Iterator, Mapping

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.dispatch.suspect_keys import (
    Verdict,
    is_part_key,
    verdict_for_crashes,
)
from mimosaworks.dispatch.target_crashes import TargetCrash

MAX_PROVEN_PARTS = 1000
_KeyedCrashes = tuple[str, set[str]]


@attrs.define
class Suspect:
    """The crashes counted for requests with one suspect key, by crash key.

    The suspect also counts the successful answers since its last retracted
    crash, the trial runs that were planned while its requests were refused,
    and how many of these succeeded. It has the time of its last crash or
    trial run, and the tracker's version with the trial run that is planned
    (0 without one). The last field is true once such a request succeeded at
    some target, as a request that crashes every target never does.
    """

    crashes: dict[str, TargetCrash] = attrs.field(factory=dict)
    success_count: int = 0
    trial_count: int = 0
    succeeded_trials: int = 0
    last_seen_s: float = 0
    planned_trial_version: int = 0
    has_succeeded: bool = False

    def verdict(self, key: str) -> Verdict:
        """Return how requests with the suspect's key are served."""
        return verdict_for_crashes(
            key, len(self.crashes), has_succeeded=self.has_succeeded
        )


@attrs.define(eq=False)
class ProvenParts:
    """The keys of parts that were last in requests that targets answered."""

    _keys: dict[str, bool] = attrs.field(factory=dict)

    def record(self, key: str) -> None:
        """Record that a request with a part was answered."""
        self._keys.pop(key, None)
        self._keys[key] = True
        forget_oldest(self._keys, MAX_PROVEN_PARTS)

    def contains(self, key: str) -> bool:
        """Return whether a request with a part is known to be answered."""
        return key in self._keys


def find_blamed_parts(
    suspects: Mapping[str, Suspect],
) -> dict[str, frozenset[str]]:
    """Return the keys of the crashes of all parts that are blamed."""
    return {
        key: frozenset(suspect.crashes)
        for key, suspect in suspects.items()
        if _is_blamed(key, suspect)
    }


def is_explained(crash: TargetCrash, suspects: Mapping[str, Suspect]) -> bool:
    """Return whether a blamed part explains a crash of a proven part."""
    return _is_proven_part(
        crash.fingerprint, suspects[crash.fingerprint]
    ) and any(
        crash.key in suspect.crashes and _is_blamed(key, suspect)
        for key, suspect in suspects.items()
    )


def find_explained(
    crash: TargetCrash, suspects: Mapping[str, Suspect]
) -> Iterator[_KeyedCrashes]:
    """Yield proven parts with crashes that the part of a new crash explains.

    Such a part was in sound requests that ran beside those with the other, or
    in the same ones.
    """
    blamed = suspects[crash.fingerprint]
    if not _is_blamed(crash.fingerprint, blamed):
        return
    for key, suspect in tuple(suspects.items()):
        explained_crashes = blamed.crashes.keys() & suspect.crashes.keys()
        if explained_crashes and _is_proven_part(key, suspect):
            yield (key, explained_crashes)


def _is_blamed(key: str, suspect: Suspect) -> bool:
    """Return whether a part is refused that never was in an answer."""
    return (
        is_part_key(key)
        and not suspect.has_succeeded
        and suspect.verdict(key) is Verdict.REFUSED
    )


def _is_proven_part(key: str, suspect: Suspect) -> bool:
    return is_part_key(key) and suspect.has_succeeded
