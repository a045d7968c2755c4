"""Selects the targets that can accept a request now."""

from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.entities import Catalogue, Target
from mimosaworks.routing.queue_key import QueueKey
from mimosaworks.routing.replica_table import ReplicaTable
from mimosaworks.routing.routed_request import RoutedRequest
from mimosaworks.routing.suspects import SuspectTable
from mimosaworks.routing.target_status import TargetStatus

REFUSAL_HOLDOFF_S = 0.25


@attrs.define
class TargetPool:
    """The targets that one router knows, with their status.

    Used by Dispatcher. max_in_flight limits this router's requests at one
    target, so that the order of service is decided here and not in the
    target's own queue.
    """

    catalogue: Callable[[], Catalogue]
    replicas: ReplicaTable
    suspects: SuspectTable
    max_in_flight: int
    is_leaving: Callable[[Target], bool]
    _statuses: dict[str, TargetStatus] = attrs.field(factory=dict)
    _refused_until_s: dict[tuple[str, QueueKey], float] = attrs.field(
        factory=dict
    )

    def candidates(self, routed_req: RoutedRequest) -> list[TargetStatus]:
        """Return the targets that can accept the request now.

        Targets that failed it are left out unless there is no other.
        """
        now = now_s()
        available_targets = [
            status
            for status in self.serving_targets(routed_req.queue_key)
            if self._can_accept(status, routed_req)
            and not self._is_held_off(status, routed_req.queue_key, now)
        ]
        untried_targets = [
            status
            for status in available_targets
            if status.name not in routed_req.failed_targets
        ]
        return untried_targets or available_targets

    def serving_targets(self, key: QueueKey) -> list[TargetStatus]:
        """Return the targets that serve a queue, busy ones included."""
        targets = self.catalogue().target
        if key.model:
            ready_replicas = self.replicas.ready_replicas(
                key.model, key.adapter
            )
            names = [entry.target for entry in ready_replicas]
        else:
            pool = key.pool
            names = [
                name for name, target in targets.items() if target.pool == pool
            ]
        return [
            self._statuses.setdefault(name, TargetStatus(name))
            for name in names
            if name in targets and not self.is_leaving(targets[name])
        ]

    def record_refusal(self, name: str, key: QueueKey, now_s: float) -> None:
        """Exclude a target from one queue for REFUSAL_HOLDOFF_S.

        Called after it refused a request. It stays a candidate for its other
        models, since it may just have unloaded this one.
        """
        self._refused_until_s[name, key] = now_s + REFUSAL_HOLDOFF_S

    def has_serving_target(self, key: QueueKey) -> bool:
        """Return whether any target serves the queue."""
        return bool(self.serving_targets(key))

    def has_free_slot(self, key: QueueKey, open_turns: int) -> bool:
        """Return whether one more request than the open turns can be sent."""
        now = now_s()
        free_slots = sum(
            self.max_in_flight - status.in_flight
            for status in self.serving_targets(key)
            if not self._is_held_off(status, key, now)
            and not status.exclusive_fingerprint
        )
        return free_slots > open_turns

    def _is_held_off(
        self, status: TargetStatus, key: QueueKey, now: float
    ) -> bool:
        until_s = self._refused_until_s.get((status.name, key), 0)
        return status.is_cooling_down(now) or now < until_s

    def _can_accept(
        self, status: TargetStatus, routed_req: RoutedRequest
    ) -> bool:
        if status.exclusive_fingerprint:
            return False
        if self.suspects.is_suspect(routed_req.fingerprint):
            return status.in_flight == 0
        return status.in_flight < self.max_in_flight
