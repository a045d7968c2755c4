"""What a node knows of the deployment and of the targets."""

import math

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import Deployment, TargetEntry, TargetState
from mimosaworks.events import Event, log_event
from mimosaworks.node.table_follower import Rows
from mimosaworks.platform import (
    DESIRED_KEY,
    decode_desired,
    decode_entry,
)

# Nodes need the models of targets only while there is no holder.
MODEL_CHANGES_INTERVAL_S = 3.0
# Targets renew entries that lapsed in a store outage within this time.
ENTRY_RENEWAL_GRACE_S = 2.0


@attrs.define(eq=False)
class ClusterState:
    """The deployment in force and the registered targets, as a node knows them.

    targets_version grows with each change that other nodes need at once, and
    every MODEL_CHANGES_INTERVAL_S when models have changed. targets_read_s is
    the time as of which the entries are known.
    """

    deployment: Deployment | None = None
    targets: dict[str, TargetEntry] = attrs.field(factory=dict)
    targets_version: int = 0
    targets_read_s: float = 0
    _last_version_change_s: float = 0
    _rows_to_apply_again: Rows | None = None
    _grace_end_s: float = 0
    _decoded_entries: dict[str, tuple[int, TargetEntry | None]] = attrs.field(
        factory=dict
    )

    def apply_deployment_rows(self, rows: Rows) -> bool:
        """Apply a newer deployment; return whether there was one."""
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
        known_deployment = self.deployment
        if (
            known_deployment is not None
            and deployment.version <= known_deployment.version
        ):
            return False
        self.deployment = deployment
        log_event(
            Event.DEPLOYMENT_APPLIED,
            version=deployment.version,
            row=row.version,
            previous=0
            if known_deployment is None
            else known_deployment.version,
        )
        return True

    def apply_target_rows(self, rows: Rows, outage_end_s: float) -> None:
        """Apply the entries that targets wrote.

        An entry that is missing shortly after a store outage is kept: its
        target may not have been able to renew it.
        """
        now = now_s()
        found_entries: dict[str, TargetEntry] = {}
        for name, row in rows.items():
            entry = self._decode_cached_entry(
                name, row.version, row.content or b''
            )
            if entry is not None:
                found_entries[name] = self._as_leaving(entry)
        self._rows_to_apply_again = None
        if now - outage_end_s < ENTRY_RENEWAL_GRACE_S:
            found_entries = self.targets | found_entries
            self._rows_to_apply_again = rows
            self._grace_end_s = outage_end_s + ENTRY_RENEWAL_GRACE_S
        self._log_target_changes(found_entries)
        self._update_targets_version(found_entries, now)
        self.targets = found_entries

    def record_targets_read(self, as_of_s: float) -> None:
        """Record that the entries are known as of a time."""
        self.targets_read_s = max(self.targets_read_s, as_of_s)
        rows = self._rows_to_apply_again
        if rows is not None and as_of_s >= self._grace_end_s:
            # What is still missing has gone.
            self.apply_target_rows(rows, -math.inf)

    def targets_age_s(self) -> float:
        """Return the age of the entries in seconds."""
        return now_s() - self.targets_read_s

    def _update_targets_version(
        self, found_entries: dict[str, TargetEntry], now: float
    ) -> None:
        is_urgent = _routing_keys(found_entries) != _routing_keys(self.targets)
        is_due = now - self._last_version_change_s > MODEL_CHANGES_INTERVAL_S
        if is_urgent or (is_due and found_entries != self.targets):
            self.targets_version += 1
            self._last_version_change_s = now

    def _as_leaving(self, entry: TargetEntry) -> TargetEntry:
        """Return an entry, as draining if its incarnation was known to drain.

        A store that returned from an older copy may say that it is ready.
        """
        known_entry = self.targets.get(entry.name)
        if (
            known_entry is not None
            and known_entry.state is TargetState.DRAINING
            and known_entry.incarnation == entry.incarnation
        ):
            return attrs.evolve(
                entry,
                state=TargetState.DRAINING,
                leaves_at_s=min(entry.leaves_at_s, known_entry.leaves_at_s),
            )
        return entry

    def _decode_cached_entry(
        self, name: str, version: int, content: bytes
    ) -> TargetEntry | None:
        cached = self._decoded_entries.get(name)
        if cached is not None and cached[0] == version:
            return cached[1]
        entry = None
        try:
            entry = decode_entry(name, content)
            entry = attrs.evolve(entry, leaves_at_s=now_s() + entry.leaves_at_s)
        except (ValueError, TypeError) as exc:
            log_event(
                Event.TARGET_IGNORED,
                target=name,
                row=version,
                reason=str(exc),
            )
        self._decoded_entries[name] = (version, entry)
        return entry

    def _log_target_changes(
        self, found_entries: dict[str, TargetEntry]
    ) -> None:
        for name in self.targets.keys() - found_entries.keys():
            log_event(Event.TARGET_GONE, target=name)
            self._decoded_entries.pop(name, None)
        for name, entry in found_entries.items():
            known_entry = self.targets.get(name)
            if known_entry is None:
                log_event(
                    Event.TARGET_APPEARED,
                    target=name,
                    service=entry.service,
                    address=entry.address,
                    state=entry.state.value,
                    born=entry.incarnation,
                    software_version=entry.software_version,
                )
            elif (known_entry.state, known_entry.incarnation) != (
                entry.state,
                entry.incarnation,
            ):
                log_event(
                    Event.TARGET_CHANGED,
                    target=name,
                    state=entry.state.value,
                    born=entry.incarnation,
                    software_version=entry.software_version,
                )


def _routing_keys(
    targets: dict[str, TargetEntry],
) -> set[tuple[str, str, TargetState, int]]:
    return {
        (entry.name, entry.address, entry.state, entry.incarnation)
        for entry in targets.values()
    }
