"""What a node believes of the deployment and the targets."""

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import Deployment, TargetEntry, TargetState
from mimosaworks.events import Event, log_event
from mimosaworks.node.table_feed import Rows
from mimosaworks.platform import (
    DESIRED_KEY,
    decode_desired,
    decode_entry,
)

MODELS_PERIOD_S = 3.0  # models matter to nodes only without a holder
RETURN_S = 2.0  # entries that lapsed in an outage are back within it


@attrs.define(eq=False)
class Beliefs:
    """The deployment in force and the targets that registered.

    targets_version grows with each change that other nodes need at once, and
    each MODELS_PERIOD_S when models have changed.
    """

    deployment: Deployment | None = None
    targets: dict[str, TargetEntry] = attrs.field(factory=dict)
    targets_version: int = 0
    targets_read_s: float = 0
    _told_s: float = 0
    _decoded: dict[str, tuple[int, TargetEntry | None]] = attrs.field(
        factory=dict
    )

    def apply_desired(self, rows: Rows) -> bool:
        """Take over a newer version; return whether there was one."""
        row = rows.get(DESIRED_KEY)
        if row is None or row.content is None:
            return False
        try:
            deployment = decode_desired(row.content)
        except (ValueError, TypeError) as exc:
            log_event(
                Event.DEPLOYMENT_REJECTED, row=row.version, reason=str(exc)
            )
            return False
        current = self.deployment
        if current is not None and deployment.version <= current.version:
            return False
        self.deployment = deployment
        log_event(
            Event.DEPLOYMENT_APPLIED,
            version=deployment.version,
            row=row.version,
            previous=0 if current is None else current.version,
        )
        return True

    def apply_entries(self, rows: Rows, outage_end_s: float) -> None:
        """Take over what the targets wrote.

        An entry that is missing shortly after an outage of the store is
        kept: the target may not have been able to renew it.
        """
        now = now_s()
        found: dict[str, TargetEntry] = {}
        for name, row in rows.items():
            entry = self._decode(name, row.version, row.content or b'')
            if entry is not None:
                found[name] = entry
        if now - outage_end_s < RETURN_S:
            found = self.targets | found
        self._note_changes(found)
        self._count_version(found, now)
        self.targets = found
        self.targets_read_s = now

    def _count_version(self, found: dict[str, TargetEntry], now: float) -> None:
        is_urgent = _places(found) != _places(self.targets)
        is_due = now - self._told_s > MODELS_PERIOD_S
        if is_urgent or (is_due and found != self.targets):
            self.targets_version += 1
            self._told_s = now

    def _decode(
        self, name: str, version: int, content: bytes
    ) -> TargetEntry | None:
        known = self._decoded.get(name)
        if known is not None and known[0] == version:
            return known[1]
        entry = None
        try:
            entry = decode_entry(name, content)
        except (ValueError, TypeError) as exc:
            log_event(
                Event.TARGET_IGNORED,
                target=name,
                row=version,
                reason=str(exc),
            )
        self._decoded[name] = (version, entry)
        return entry

    def _note_changes(self, found: dict[str, TargetEntry]) -> None:
        for name in self.targets.keys() - found.keys():
            log_event(Event.TARGET_GONE, target=name)
            self._decoded.pop(name, None)
        for name, entry in found.items():
            known = self.targets.get(name)
            if known is None:
                log_event(
                    Event.TARGET_APPEARED,
                    target=name,
                    service=entry.service,
                    address=entry.address,
                    state=entry.state.value,
                    born=entry.born,
                )
            elif (known.state, known.born) != (entry.state, entry.born):
                log_event(
                    Event.TARGET_CHANGED,
                    target=name,
                    state=entry.state.value,
                    born=entry.born,
                )


def _places(
    targets: dict[str, TargetEntry],
) -> set[tuple[str, str, TargetState, int]]:
    return {
        (entry.name, entry.address, entry.state, entry.born)
        for entry in targets.values()
    }
