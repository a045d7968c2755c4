"""All that a shard's holder decides from."""

import functools
from urllib.parse import urlsplit

import attrs

from mimosaworks.entities import Catalogue, Target
from mimosaworks.placement.budget import LoadBudget
from mimosaworks.placement.demand_book import DemandBook
from mimosaworks.placement.evidence import (
    held_state,
    is_ended,
    is_ready,
    track_of,
)
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.ledger import Ledger
from mimosaworks.placement.rules import PlacementRules

REPORT_TTL_S = 3.0
ENGINE = 'engine'
VM_LEAVING = 'leaving'
VM_GONE = 'gone'


@functools.cache
def _vm_names(url: str) -> tuple[str, str]:
    parts = urlsplit(url)
    return parts.netloc, parts.hostname or ''


@attrs.define
class ShardState:
    """The configuration, intents, reports and demand of one shard.

    surplus_since maps a model to when it began to have
    more replicas than wanted. vm_states maps IP numbers, or IP numbers and
    ports, to the platform's state of the VM.
    """

    rules: PlacementRules
    budget: LoadBudget
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    ledger: Ledger = attrs.field(factory=Ledger)
    demand: DemandBook = attrs.field(factory=DemandBook)
    surplus_since: dict[str, float] = attrs.field(factory=dict)
    vm_states: dict[str, str] = attrs.field(factory=dict)

    def on_catalogue(self, catalogue: Catalogue) -> None:
        """Take in a version of the configuration."""
        self.catalogue = catalogue

    def vm_state(self, url: str) -> str:
        """Return the state of the VM at a base URL; empty if not listed."""
        netloc, host = _vm_names(url)
        return self.vm_states.get(netloc) or self.vm_states.get(host, '')

    def is_leaving(self, url: str) -> bool:
        """Whether the VM at a base URL is to get no new work."""
        return self.vm_state(url) in {VM_LEAVING, VM_GONE}

    def engines(self, pool: str) -> list[Target]:
        """Return the configured engines of a pool."""
        return [
            target
            for target in self.catalogue.target.values()
            if target.kind == ENGINE and target.pool == pool
        ]

    def is_reachable(self, target: str, now: float) -> bool:
        """Whether a target reported a short while ago."""
        view = self.ledger.views.get(target)
        return view is not None and now - view.asked_s <= REPORT_TTL_S

    def live(self, model: str, now: float) -> list[Intent]:
        """Return a model's replicas that are or will be of use."""
        return [
            intent
            for intent in self.ledger.replicas(model)
            if self.is_live(intent, now)
        ]

    def held(self, model: str) -> int:
        """Return how many replicas of a model may be loaded somewhere."""
        return sum(
            not is_ended(self.ledger, intent)
            for intent in self.ledger.replicas(model)
        )

    def is_live(self, intent: Intent, now: float) -> bool:
        """Whether an intent is or will be of use to requests."""
        if intent.target not in self.catalogue.target:
            return False
        if track_of(self.ledger, intent).is_draining:
            return False
        if self.is_leaving(intent.url):
            return False
        is_over = is_ended(self.ledger, intent)
        return not is_over and self.is_reachable(intent.target, now)

    def ready(self, model: str, now: float) -> list[Intent]:
        """Return a model's replicas that requests can run on."""
        return [
            intent
            for intent in self.live(model, now)
            if is_ready(self.ledger, intent)
        ]

    def replicas_running(self) -> list[int]:
        """Return for each ready replica how many requests it runs."""
        found = []
        for intent in self.ledger.intents().values():
            held = held_state(self.ledger, intent)
            is_model = held is not None and not intent.adapter
            if held and is_model and is_ready(self.ledger, intent):
                found.append(held.running)
        return found

    def running(self, model: str) -> int:
        """Return the requests running on a model, by reports or routers."""
        reported = 0
        for intent in self.ledger.replicas(model):
            held = held_state(self.ledger, intent)
            reported += 0 if held is None else held.running
        return max(reported, self.demand.running(model))

    def free_bytes(self, target: Target) -> int:
        """Return the memory of a target that nothing reserves."""
        capacity = self.ledger.capacity_bytes(target.name, target.memory_bytes)
        return capacity - self.ledger.taken_bytes(target.name)
