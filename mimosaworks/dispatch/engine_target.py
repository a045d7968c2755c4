"""The holder's record of a target with engines."""

import math
from collections import deque

import attrs

from mimosaworks.deployment import EngineConfig, EngineModel, TargetEntry
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.prefix_cache import PrefixCache
from mimosaworks.dispatch.target_health import TargetHealth

# A load may take this much longer than predicted: about the time of a load
# from disk.
LOAD_GRACE_S = 0.4
# Part of a less urgent prompt that the engine reads before a more urgent one.
LESS_URGENT_PREFILL_SHARE = 0.3


@attrs.define(eq=False)
class LoadedAdapter:
    """An adapter of a loaded model.

    is_ready is set once its load order has ended, jobs counts the requests
    that use it.
    """

    name: str
    last_used_s: float
    is_ready: bool = True
    job_count: int = 0


@attrs.define(eq=False)
class LoadedModel:
    """A model in a target's memory, or one that is being loaded.

    ready_s is the predicted end of its load, is_from_store whether the weights
    come from the weight store; is_unloading is set while an unload order is
    queued. Until drain_until_s it accepts no new requests, so that it can be
    evicted for the model drain_for_model. jobs counts the requests that use
    it.
    """

    model: EngineModel
    last_used_s: float
    ready_s: float = 0
    is_ready: bool = True
    is_from_store: bool = False
    is_unloading: bool = False
    drain_for_model: str = ''
    drain_until_s: float = 0
    job_count: int = 0
    adapters: dict[str, LoadedAdapter] = attrs.field(factory=dict)

    @property
    def size_mb(self) -> float:
        """Memory of the model with its adapters, in MB."""
        return self.model.size_mb + len(self.adapters) * self.model.adapter_mb

    def accepts_requests(self, now: float) -> bool:
        """Return whether new requests may use it, now or once it is loaded."""
        return not self.is_unloading and now >= self.drain_until_s


@attrs.frozen
class Step:
    """One load or unload order in a target's queue.

    Without an adapter it is for the model itself. duration_s is the predicted
    time that it takes.
    """

    is_load: bool
    model: str
    adapter: str = ''
    is_from_store: bool = False
    duration_s: float = 0


@attrs.define(eq=False)
class EngineTarget:
    """Models, orders and requests of one target.

    order_count is the number of accepted orders, is_synced whether it and
    the models were confirmed since this process became holder,
    is_running_orders whether the queued orders are being sent. steps_end_s
    is when the queued orders should have ended, load_completed_s when each
    model was loaded by this holder, prefill_end_s when the engine should have
    read the granted prompts. in_memory and on_disk list copies of weights,
    the least recently used first. reported_incarnation is that of the process
    that answered the last report, 0 before one.
    """

    entry: TargetEntry
    engine_cfg: EngineConfig
    cache: PrefixCache
    health: TargetHealth = attrs.field(factory=TargetHealth)
    models: dict[str, LoadedModel] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    steps: deque[Step] = attrs.field(factory=deque)
    in_memory: list[str] = attrs.field(factory=list)
    on_disk: list[str] = attrs.field(factory=list)
    order_count: int = 0
    steps_end_s: float = 0
    load_completed_s: dict[str, float] = attrs.field(factory=dict)
    prefill_end_s: float = 0
    is_synced: bool = False
    is_running_orders: bool = False
    reported_incarnation: int = 0

    @property
    def software_version(self) -> str:
        """The version of the process that last reported, empty if unknown.

        The entry of a process that has just started may be late, above all
        while the store is away; that of the one before may name another.
        """
        if self.reported_incarnation in {0, self.entry.incarnation}:
            return self.entry.software_version
        return ''

    def runs_version(self, software_version: str) -> bool:
        """Return whether it runs this version; an empty one is any."""
        return software_version in {'', self.software_version}

    @property
    def retained_mb(self) -> float:
        """Memory in MB of all models but those that are being unloaded."""
        return math.fsum(
            loaded.size_mb
            for loaded in self.models.values()
            if not loaded.is_unloading
        )

    @property
    def adapter_count(self) -> int:
        """Number of adapters that are loaded or being loaded."""
        return sum(len(loaded.adapters) for loaded in self.models.values())

    @property
    def kv_tokens(self) -> int:
        """KV cache tokens that the requests need when their answers end."""
        return sum(
            job.assignment_req.profile.tokens_in
            + job.assignment_req.profile.expected_tokens_out
            for job in self.jobs.values()
        )

    def prefill_backlog_tokens(self, priority: int) -> float:
        """Return the prompt tokens read before a prompt of this priority."""
        return math.fsum(
            job.prefill_tokens * _prefill_share_before(job, priority)
            for job in self.jobs.values()
            if not job.is_started
        )

    def count_jobs_before(self, job: Job) -> int:
        """Return how many other requests get a slot before this one."""
        return sum(
            other.is_started
            or other.assignment_req.priority <= job.assignment_req.priority
            for other in self.jobs.values()
            if other is not job
        )

    def local_models(self) -> set[str]:
        """Return the models that are loaded or copied in memory or on disk."""
        return {*self.in_memory, *self.on_disk, *self.models}

    def has_local_copy(self, model: str) -> bool:
        """Return whether a copy of the weights is in its memory or on disk."""
        return model in self.in_memory or model in self.on_disk

    def predict_steps_end(self, start_s: float) -> None:
        """Predict when the queued orders end if the first starts at start_s."""
        durations = (step.duration_s for step in self.steps)
        self.steps_end_s = start_s + math.fsum(durations)

    def can_run_step(self, step: Step) -> bool:
        """Return whether an order can be sent with these models and memory.

        They may have changed since the order was planned.
        """
        if not step.is_load:
            return True
        has_planned_source = step.is_from_store or self.has_local_copy(
            step.model
        )
        if not step.adapter and not has_planned_source:
            # The load would use the weight store, which has no capacity for it.
            return False
        loaded = self.models.get(step.model)
        if loaded is None:
            # A report has shown otherwise since: no memory is reserved for it.
            return False
        if step.adapter and not (
            loaded.is_ready and step.adapter in loaded.adapters
        ):
            return False
        needed_mb = math.fsum(
            loaded.size_mb
            for loaded in self.models.values()
            if loaded.is_ready or loaded.model.name == step.model
        )
        return (
            needed_mb <= self.engine_cfg.weights_mb
            and self.adapter_count <= self.engine_cfg.adapter_slots
        )

    def is_ready_for(self, job: Job) -> bool:
        """Return whether a request's model and adapter are loaded."""
        loaded = self.models.get(job.assignment_req.profile.model)
        if loaded is None or not loaded.is_ready:
            return False
        adapter_name = job.assignment_req.profile.adapter
        if not adapter_name:
            return True
        adapter = loaded.adapters.get(adapter_name)
        return adapter is not None and adapter.is_ready

    def is_load_overdue(self, job: Job, now: float) -> bool:
        """Return whether a request should stop waiting here for its model."""
        loaded = self.models.get(job.assignment_req.profile.model)
        if loaded is not None and loaded.is_from_store and not loaded.is_ready:
            # The load shares the weight store with others, and no other target
            # would have the model sooner. A load that is overdue is assumed to
            # need as long again.
            overdue_s = max(now - loaded.ready_s, 0)
            return (
                max(loaded.ready_s, now + overdue_s)
                > job.assignment_req.first_event_deadline_s
            )
        return now > job.expected_ready_s + LOAD_GRACE_S

    def add_job(self, job: Job, now: float) -> None:
        """Add a request to this target and count it for model and adapter."""
        profile = job.assignment_req.profile
        self.jobs[job.assignment_req.call_id] = job
        job.target = self.entry.name
        loaded = self.models.get(profile.model)
        if loaded is not None:
            loaded.job_count += 1
            loaded.last_used_s = now
            adapter = loaded.adapters.get(profile.adapter)
            if adapter is not None:
                adapter.job_count += 1
                adapter.last_used_s = now

    def remove_job(self, job: Job) -> None:
        """Remove a request from this target, if it is there."""
        if self.jobs.pop(job.assignment_req.call_id, None) is None:
            return
        loaded = self.models.get(job.assignment_req.profile.model)
        if loaded is not None:
            loaded.job_count = max(loaded.job_count - 1, 0)
            adapter = loaded.adapters.get(job.assignment_req.profile.adapter)
            if adapter is not None:
                adapter.job_count = max(adapter.job_count - 1, 0)

    def recount_jobs(self) -> None:
        """Recompute the number of requests for each model and adapter."""
        for loaded in self.models.values():
            profiles = [
                job.assignment_req.profile
                for job in self.jobs.values()
                if job.assignment_req.profile.model == loaded.model.name
            ]
            loaded.job_count = len(profiles)
            for name, adapter in loaded.adapters.items():
                adapter.job_count = sum(
                    name == profile.adapter for profile in profiles
                )


def _prefill_share_before(job: Job, priority: int) -> float:
    return (
        1.0
        if job.assignment_req.priority <= priority
        else LESS_URGENT_PREFILL_SHARE
    )
