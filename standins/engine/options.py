"""Options of the engine stand-in."""

import attrs

from mimosaworks.settings import option

ENV_PREFIX = 'STANDIN_ENGINE'
MEMORY_BYTES = 80_000_000_000
STEP_S = 0.005
MAX_BATCH = 32
PREFILL_TOKENS_PER_S = 100_000.0
PREFIXES = 64
MEMORY_LOAD_S = 0.05
DISK_LOAD_S = 0.2
UNLOAD_S = 0.02


@attrs.frozen
class EngineOptions:
    """Flags of one engine; times in seconds, sizes in bytes."""

    listen: str = option('HOST:PORT to serve on.')
    platform_url: str = option('Weight store; empty: none.', '')
    checks_fence: bool = option('Refuse stale fencing numbers.', True)
    memory_bytes: int = option('Accelerator memory.', MEMORY_BYTES)
    step_s: float = option('Time of one token for the whole batch.', STEP_S)
    max_batch: int = option('Requests generated for at once.', MAX_BATCH)
    max_queued: int = option('Waiting requests; beyond it 429.', 1000)
    prefill_tokens_per_s: float = option(
        'Speed of reading a prompt.', PREFILL_TOKENS_PER_S
    )
    prefixes: int = option('Prompt prefixes that the cache holds.', PREFIXES)
    event_lag_s: float = option('Lag of prefix-cache events.', 0.5)
    event_loss: float = option('Share of cache events that are lost.', 0.1)
    report_lag_s: float = option('Lag of running and queued.', 0.5)
    memory_load_s: float = option(
        'Load of a checkpoint in memory.', MEMORY_LOAD_S
    )
    disk_load_s: float = option('Load of a checkpoint on disk.', DISK_LOAD_S)
    remote_load_s: float = option('Load without a weight store.', 0.5)
    unload_s: float = option('Time of an unload.', UNLOAD_S)
    cached_disk: str = option('Checkpoints on disk, with commas.', '')
    preload: str = option('MODEL=BYTES loaded from the start.', '')
    preload_adapters: str = option('ADAPTER=MODEL from the start.', '')
    journal: str = option('File that gets each run as a line.', '')

    def pairs(self, text: str) -> dict[str, str]:
        """Return the pairs of a list like a=1,b=2."""
        parts = (part.partition('=') for part in text.split(',') if part)
        return {name: content for name, _, content in parts}
