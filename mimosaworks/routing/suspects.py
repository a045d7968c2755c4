"""Requests that were running when a target crashed."""

import hashlib

import attrs

REFUSE_AFTER_CRASHES = 2
SUSPECT_TTL_S = 600.0


def fingerprint(workspace: str, model: str, body: bytes) -> str:
    """Return the identity of a request's content as hexadecimal text."""
    digest = hashlib.sha256(f'{workspace}\0{model}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.define
class Suspect:
    """Crashes with which one fingerprint was connected."""

    crash_ids: set[str] = attrs.field(factory=set)
    expires_at_s: float = 0


@attrs.define
class SuspectTable:
    """Counts crashes by fingerprint; shared between routers by gossip.

    A crash is named by target and generation, so that the same crash told
    by several routers counts once.
    """

    _suspects: dict[str, Suspect] = attrs.field(factory=dict)

    def note_crash(self, mark: str, crash_id: str, now_s: float) -> int:
        """Connect a fingerprint with a crash; return its count."""
        self._expire(now_s)
        suspect = self._suspects.setdefault(mark, Suspect())
        suspect.crash_ids.add(crash_id)
        suspect.expires_at_s = now_s + SUSPECT_TTL_S
        return len(suspect.crash_ids)

    def retract(self, mark: str, crash_id: str) -> None:
        """Take one crash back: the target had not ended."""
        suspect = self._suspects.get(mark)
        if suspect is not None:
            suspect.crash_ids.discard(crash_id)
            if not suspect.crash_ids:
                self.clear(mark)

    def clear(self, mark: str) -> None:
        """Forget a fingerprint that ran to its end."""
        self._suspects.pop(mark, None)

    def is_suspect(self, mark: str) -> bool:
        """Tell whether the request has to run alone."""
        return mark in self._suspects

    def is_refused(self, mark: str) -> bool:
        """Tell whether the request has crashed too many targets."""
        suspect = self._suspects.get(mark)
        return (
            suspect is not None
            and len(suspect.crash_ids) >= REFUSE_AFTER_CRASHES
        )

    def _expire(self, now_s: float) -> None:
        old = [
            mark
            for mark, suspect in self._suspects.items()
            if suspect.expires_at_s < now_s
        ]
        for mark in old:
            self._suspects.pop(mark)
