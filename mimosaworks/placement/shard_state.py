"""The state from which a shard's holder decides."""

import functools
from urllib.parse import urlsplit

import attrs

from mimosaworks.entities import Catalogue, Target
from mimosaworks.placement.budget import LoadBudget
from mimosaworks.placement.demand_tracker import DemandTracker
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.intent_ledger import IntentLedger
from mimosaworks.placement.intent_status import (
    find_loaded_state,
    get_track,
    is_intent_ready,
    is_terminating,
)
from mimosaworks.placement.placement_config import PlacementConfig

REPORT_TTL_S = 3.0
ENGINE_KIND = 'engine'
VM_LEAVING = 'leaving'
VM_GONE = 'gone'


@functools.cache
def _vm_state_keys(url: str) -> tuple[str, str]:
    parts = urlsplit(url)
    return parts.netloc, parts.hostname or ''


@attrs.define
class ShardState:
    """The configuration, intents, reports and demand of one shard.

    surplus_since maps a model to when it began to have
    more replicas than wanted. vm_states maps IP numbers, or IP numbers and
    ports, to the platform's state of the VM.
    """

    placement_cfg: PlacementConfig
    load_bucket: LoadBudget
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    ledger: IntentLedger = attrs.field(factory=IntentLedger)
    demand_tracker: DemandTracker = attrs.field(factory=DemandTracker)
    surplus_since: dict[str, float] = attrs.field(factory=dict)
    vm_states: dict[str, str] = attrs.field(factory=dict)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the configuration by another version."""
        self.catalogue = catalogue

    def find_vm_state(self, url: str) -> str:
        """Return the state of the VM at a base URL; empty if not listed."""
        netloc, host = _vm_state_keys(url)
        return self.vm_states.get(netloc) or self.vm_states.get(host, '')

    def is_vm_leaving(self, url: str) -> bool:
        """Whether the VM at a base URL is to get no new work."""
        return self.find_vm_state(url) in {VM_LEAVING, VM_GONE}

    def engines_in_pool(self, pool: str) -> list[Target]:
        """Return the configured engines of a pool."""
        return [
            target
            for target in self.catalogue.target.values()
            if target.kind == ENGINE_KIND and target.pool == pool
        ]

    def is_reachable(self, target: str, now: float) -> bool:
        """Whether a target reported a short while ago."""
        timed_report = self.ledger.latest_reports.get(target)
        return (
            timed_report is not None
            and now - timed_report.requested_s <= REPORT_TTL_S
        )

    def live_replicas(self, model: str, now: float) -> list[Intent]:
        """Return a model's replicas that are or will be of use."""
        return [
            intent
            for intent in self.ledger.replica_intents(model)
            if self.is_intent_live(intent, now)
        ]

    def count_possibly_loaded(self, model: str) -> int:
        """Return how many replicas of a model may be loaded somewhere."""
        return sum(
            not is_terminating(self.ledger, intent)
            for intent in self.ledger.replica_intents(model)
        )

    def is_intent_live(self, intent: Intent, now: float) -> bool:
        """Whether an intent is or will be of use to requests."""
        if intent.target not in self.catalogue.target:
            return False
        if get_track(self.ledger, intent).is_draining:
            return False
        if self.is_vm_leaving(intent.url):
            return False
        is_load_terminating = is_terminating(self.ledger, intent)
        return not is_load_terminating and self.is_reachable(intent.target, now)

    def ready_replicas(self, model: str, now: float) -> list[Intent]:
        """Return a model's replicas that requests can run on."""
        return [
            intent
            for intent in self.live_replicas(model, now)
            if is_intent_ready(self.ledger, intent)
        ]

    def ready_replica_run_counts(self) -> list[int]:
        """Return for each ready replica how many requests it runs."""
        run_counts = []
        for intent in self.ledger.intents().values():
            loaded_state = find_loaded_state(self.ledger, intent)
            is_model = loaded_state is not None and not intent.adapter
            if (
                loaded_state
                and is_model
                and is_intent_ready(self.ledger, intent)
            ):
                run_counts.append(loaded_state.running)
        return run_counts

    def count_running(self, model: str) -> int:
        """Return the requests running on a model, by reports or routers."""
        reported_count = 0
        for intent in self.ledger.replica_intents(model):
            loaded_state = find_loaded_state(self.ledger, intent)
            reported_count += (
                0 if loaded_state is None else loaded_state.running
            )
        return max(reported_count, self.demand_tracker.count_running(model))

    def target_free_bytes(self, target: Target) -> int:
        """Return the memory of a target that nothing reserves."""
        capacity_bytes = self.ledger.target_capacity_bytes(
            target.name, target.memory_bytes
        )
        return capacity_bytes - self.ledger.occupied_bytes(target.name)
