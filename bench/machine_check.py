"""Tells whether the machine rather than a program was the limit."""

import attrs
import psutil

from standins.cluster import Cluster

BUSY_SHARE = 0.9


@attrs.define
class MachineCheck:
    """Processor use over a run, of each process and of the machine."""

    cluster: Cluster
    _before: dict[str, float] = attrs.field(factory=dict)

    def start(self) -> None:
        """Begin the measurement."""
        self._before = self._read()
        psutil.cpu_percent()

    def lines(self, duration_s: float) -> list[str]:
        """Return a line for each busy process, and one for the machine."""
        used = self._read()
        shares = {
            name: (used[name] - before) / duration_s
            for name, before in self._before.items()
            if name in used
        }
        busy = [
            f'{name} used {share:.2f} cores'
            for name, share in shares.items()
            if share > BUSY_SHARE
        ]
        machine = psutil.cpu_percent()
        return [*busy, f'the machine used {machine:.0f}% of its processors']

    def _read(self) -> dict[str, float]:
        return {
            f'{child.name}-{child.pid}': _user_s(child.pid)
            for child in self.cluster.runner.started
            if child.is_running()
        }


def _user_s(pid: int) -> float:
    return psutil.Process(pid).cpu_times().user
