"""The accelerator memory of an engine."""

import time

import attrs


@attrs.define
class Memory:
    """Reserves memory by model; counts what a placer must not do.

    overcommits counts orders that did not fit; history has each change as
    (CLOCK_BOOTTIME, what, model), which oracles compare between engines of
    one machine.
    """

    total_bytes: int
    reserved: dict[str, int] = attrs.Factory(dict)
    peak_bytes: int = 0
    overcommits: int = 0
    history: list[tuple[float, str, str]] = attrs.Factory(list)

    def used_bytes(self) -> int:
        """Return the sum of the reservations."""
        return sum(self.reserved.values())

    def reserve(self, model: str, size_bytes: int) -> bool:
        """Reserve memory for a model; return False if it does not fit."""
        if model in self.reserved:
            return True
        if self.used_bytes() + size_bytes > self.total_bytes:
            self.overcommits += 1
            return False
        self.reserved[model] = size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes())
        self.note('reserved', model)
        return True

    def free(self, model: str) -> None:
        """Give a model's memory back."""
        if self.reserved.pop(model, None) is not None:
            self.note('freed', model)

    def note(self, what: str, model: str) -> None:
        """Write one change to the history."""
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.history.append((now_s, what, model))
