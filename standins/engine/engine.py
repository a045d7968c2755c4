"""State of the engine stand-in."""

import secrets

import attrs

from standins.engine.batch import Batch
from standins.engine.checkpoints import Checkpoints
from standins.engine.loaded import Loaded
from standins.engine.memory import Memory
from standins.engine.options import EngineOptions
from standins.engine.order import Order
from standins.engine.outcome import Outcome
from standins.recorder import Recorder


@attrs.define
class Engine:
    """Everything that one engine holds; generation is new for each boot."""

    cfg: EngineOptions
    batch: Batch
    checkpoints: Checkpoints
    memory: Memory
    recorder: Recorder
    generation: str = attrs.Factory(lambda: secrets.token_hex(8))
    models: dict[str, Loaded] = attrs.Factory(dict)
    adapters: dict[str, Loaded] = attrs.Factory(dict)
    orders: dict[str, Outcome] = attrs.Factory(dict)
    received: list[Order] = attrs.Factory(list)
    highest_fence: int = 0
    stale_refused: int = 0
    unloads_while_running: int = 0
    role: str = ''

    def resolve(self, name: str) -> tuple[str, str] | None:
        """Return model and adapter of a ready name; None if not loaded."""
        adapter = self.adapters.get(name)
        if adapter is None:
            return (name, '') if self._is_ready(name) else None
        is_ready = adapter.state == 'ready' and self._is_ready(adapter.model)
        return (adapter.model, name) if is_ready else None

    def preload(self) -> None:
        """Load what the options name at once."""
        self.checkpoints.disk.extend(
            name for name in self.cfg.cached_disk.split(',') if name
        )
        for model, size in self.cfg.pairs(self.cfg.preload).items():
            self.memory.reserve(model, int(size))
            self.models[model] = Loaded(
                model, '', int(size), model, state='ready'
            )
        adapters = self.cfg.pairs(self.cfg.preload_adapters)
        for adapter, base in adapters.items():
            self.adapters[adapter] = Loaded(base, '', 0, state='ready')

    def _is_ready(self, model: str) -> bool:
        return model in self.models and self.models[model].state == 'ready'
