"""Crash suspects: requests that were running when a target crashed."""

import hashlib

import attrs

REFUSE_AFTER_CRASHES = 2
SUSPECT_TTL_S = 600.0


def compute_fingerprint(workspace: str, model: str, body: bytes) -> str:
    """Return the hash of workspace, model and body as hexadecimal text."""
    digest = hashlib.sha256(f'{workspace}\0{model}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.define
class Suspect:
    """The crashes during which requests with one fingerprint were running."""

    crash_ids: set[str] = attrs.field(factory=set)
    expires_at_s: float = 0


@attrs.define
class SuspectTable:
    """The number of crashes by fingerprint, shared between routers.

    A crash id consists of target and generation, so that a crash that
    several routers report counts once.
    """

    _suspects: dict[str, Suspect] = attrs.field(factory=dict)

    def record_crash(
        self, fingerprint: str, crash_id: str, now_s: float
    ) -> int:
        """Record a crash for a fingerprint; return its number of crashes."""
        self._remove_expired(now_s)
        suspect = self._suspects.setdefault(fingerprint, Suspect())
        suspect.crash_ids.add(crash_id)
        suspect.expires_at_s = now_s + SUSPECT_TTL_S
        return len(suspect.crash_ids)

    def retract_crash(self, fingerprint: str, crash_id: str) -> None:
        """Remove a crash of a fingerprint, since the target did not crash."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.crash_ids.discard(crash_id)
            if not suspect.crash_ids:
                self.clear_suspect(fingerprint)

    def clear_suspect(self, fingerprint: str) -> None:
        """Remove a fingerprint whose request ran without a crash."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request needs a target without other requests."""
        return fingerprint in self._suspects

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether the request has crashed too many targets."""
        suspect = self._suspects.get(fingerprint)
        return (
            suspect is not None
            and len(suspect.crash_ids) >= REFUSE_AFTER_CRASHES
        )

    def _remove_expired(self, now_s: float) -> None:
        expired_fingerprints = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at_s < now_s
        ]
        for fingerprint in expired_fingerprints:
            self._suspects.pop(fingerprint)
