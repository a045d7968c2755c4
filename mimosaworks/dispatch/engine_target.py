"""A target with engines, as the holder sees it."""

import math
from collections import deque

import attrs

from mimosaworks.deployment import EngineModel, EngineTerms, TargetEntry
from mimosaworks.dispatch.health import Health
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.prefix_cache import PrefixCache

OVERDUE_S = 0.4  # about the time of a load from disk
LESS_URGENT_SHARE = 0.3  # of a less urgent prompt that is read before


@attrs.define(eq=False)
class LoadedAdapter:
    """An adapter beside its model; is_ready once its order has ended."""

    name: str
    used_s: float
    is_ready: bool = True
    jobs: int = 0


@attrs.define(eq=False)
class LoadedModel:
    """A model in a target's memory, or on its way there.

    ready_s is when its load should end, is_from_store whether it comes from
    the weight store; is_leaving marks one that is ordered to be unloaded.
    Until closed_until_s it takes no new requests, so that it can make way for
    the model closed_for.
    """

    terms: EngineModel
    used_s: float
    ready_s: float = 0
    is_ready: bool = True
    is_from_store: bool = False
    is_leaving: bool = False
    closed_for: str = ''
    closed_until_s: float = 0
    jobs: int = 0
    adapters: dict[str, LoadedAdapter] = attrs.field(factory=dict)

    @property
    def size_mb(self) -> float:
        """Memory of the model with its adapters."""
        return self.terms.size_mb + len(self.adapters) * self.terms.adapter_mb

    def is_open(self, now: float) -> bool:
        """Tell whether new requests may use it, now or once it is loaded."""
        return not self.is_leaving and now >= self.closed_until_s


@attrs.frozen
class Step:
    """One order that a target's queue holds."""

    is_load: bool
    model: str
    adapter: str = ''
    is_from_store: bool = False
    duration_s: float = 0


@attrs.define(eq=False)
class EngineTarget:
    """Models, orders and requests of one target.

    orders is the count of accepted orders, is_synced whether it and the
    models were confirmed since this process became holder. steps_end_s is
    when the queued orders should have ended, loads_s when each model was
    loaded by this holder, read_until_s when the granted prompts should be read.
    in_memory and on_disk list the least recently used copy first.
    """

    entry: TargetEntry
    terms: EngineTerms
    cache: PrefixCache
    health: Health = attrs.field(factory=Health)
    models: dict[str, LoadedModel] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    steps: deque[Step] = attrs.field(factory=deque)
    in_memory: list[str] = attrs.field(factory=list)
    on_disk: list[str] = attrs.field(factory=list)
    orders: int = 0
    steps_end_s: float = 0
    loads_s: dict[str, float] = attrs.field(factory=dict)
    read_until_s: float = 0
    is_synced: bool = False
    is_ordering: bool = False

    @property
    def staying_mb(self) -> float:
        """Memory of all models but those that are leaving."""
        return math.fsum(
            loaded.size_mb
            for loaded in self.models.values()
            if not loaded.is_leaving
        )

    @property
    def adapter_count(self) -> int:
        """Adapters loaded or on their way."""
        return sum(len(loaded.adapters) for loaded in self.models.values())

    @property
    def kv_tokens(self) -> int:
        """Cache memory that the requests need at their end."""
        return sum(
            job.ask.facts.tokens_in + job.ask.facts.expected_out
            for job in self.jobs.values()
        )

    def backlog_tokens(self, priority: int) -> float:
        """Prompt tokens to read before a new request of this priority."""
        return math.fsum(
            job.prefill_tokens * _share_before(job, priority)
            for job in self.jobs.values()
            if not job.is_started
        )

    def count_before(self, job: Job) -> int:
        """Return the number of other requests that get a slot before one."""
        return sum(
            other.is_started or other.ask.priority <= job.ask.priority
            for other in self.jobs.values()
            if other is not job
        )

    def at_hand(self) -> set[str]:
        """Return the models that are loaded, in its memory or on its disk."""
        return {*self.in_memory, *self.on_disk, *self.models}

    def has_copy(self, model: str) -> bool:
        """Tell whether a model's weights are in its memory or on its disk."""
        return model in self.in_memory or model in self.on_disk

    def expect_steps_from(self, begin_s: float) -> None:
        """Foresee the end of the queued orders, the first from begin_s on."""
        durations = (step.duration_s for step in self.steps)
        self.steps_end_s = begin_s + math.fsum(durations)

    def allows(self, step: Step) -> bool:
        """Tell whether an order fits the models and the memory.

        They may have changed since the order was planned.
        """
        if not step.is_load:
            return True
        is_planned = step.is_from_store or self.has_copy(step.model)
        if not step.adapter and not is_planned:
            # It would use the weight store, which has no place for it.
            return False
        loaded = self.models.get(step.model)
        if step.adapter and (loaded is None or not loaded.is_ready):
            return False
        needed_mb = math.fsum(
            loaded.size_mb
            for loaded in self.models.values()
            if loaded.is_ready or loaded.terms.name == step.model
        )
        return (
            needed_mb <= self.terms.weights_mb
            and self.adapter_count <= self.terms.adapter_slots
        )

    def is_ready_for(self, job: Job) -> bool:
        """Tell whether a request's model and adapter are loaded."""
        loaded = self.models.get(job.ask.facts.model)
        if loaded is None or not loaded.is_ready:
            return False
        wanted = job.ask.facts.adapter
        if not wanted:
            return True
        adapter = loaded.adapters.get(wanted)
        return adapter is not None and adapter.is_ready

    def is_late(self, job: Job, now: float) -> bool:
        """Tell whether a request should not wait here for its model longer."""
        loaded = self.models.get(job.ask.facts.model)
        if loaded is not None and loaded.is_from_store and not loaded.is_ready:
            # It shares the store with others, and no target has it any sooner.
            # One that is overdue is taken to need as long again.
            late_s = max(now - loaded.ready_s, 0)
            return max(loaded.ready_s, now + late_s) > job.ask.first_by_s
        return now > job.due_s + OVERDUE_S

    def add_job(self, job: Job, now: float) -> None:
        """Book a request on this target."""
        facts = job.ask.facts
        self.jobs[job.ask.call] = job
        job.target = self.entry.name
        loaded = self.models.get(facts.model)
        if loaded is not None:
            loaded.jobs += 1
            loaded.used_s = now
            adapter = loaded.adapters.get(facts.adapter)
            if adapter is not None:
                adapter.jobs += 1
                adapter.used_s = now

    def drop_job(self, job: Job) -> None:
        """Take a request off this target's books."""
        if self.jobs.pop(job.ask.call, None) is None:
            return
        loaded = self.models.get(job.ask.facts.model)
        if loaded is not None:
            loaded.jobs = max(loaded.jobs - 1, 0)
            adapter = loaded.adapters.get(job.ask.facts.adapter)
            if adapter is not None:
                adapter.jobs = max(adapter.jobs - 1, 0)

    def count_jobs(self) -> None:
        """Count the requests of each model and adapter anew."""
        for loaded in self.models.values():
            facts = [
                job.ask.facts
                for job in self.jobs.values()
                if job.ask.facts.model == loaded.terms.name
            ]
            loaded.jobs = len(facts)
            for name, adapter in loaded.adapters.items():
                adapter.jobs = sum(name == fact.adapter for fact in facts)


def _share_before(job: Job, priority: int) -> float:
    return 1.0 if job.ask.priority <= priority else LESS_URGENT_SHARE
