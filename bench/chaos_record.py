"""All that a chaos run leaves for its oracle."""

from collections import Counter

import attrs

from bench.chaos_call import ChaosCall
from bench.chaos_keys import ChaosKeys
from bench.chaos_plan import ChaosFault
from bench.chaos_system import ChaosSystem
from bench.chaos_watch import SeenRun
from mimosaworks.entities import Catalogue


@attrs.frozen
class ChaosRecord:
    """Calls, faults and logs of a run.

    recovered_s holds the seconds after the faults' end at which each router
    served again, infinite where it did not; final is the configuration that
    was read at the end.
    """

    seed: int
    calls: list[ChaosCall]
    faults: list[ChaosFault]
    system: ChaosSystem
    keys: ChaosKeys
    recovered_s: dict[str, float]
    final: Catalogue

    def named_runs(self) -> list[tuple[SeenRun, str]]:
        """Return the runs with their calls' names, empty where unknown."""
        known = {call.request_id: call.ask.name for call in self.calls}
        known.pop('', None)
        watch = self.system.watch
        return [
            (run, known.get(run.request_id) or watch.call_of(run.request_id))
            for run in watch.runs
        ]

    def runs_by_call(self) -> Counter[str]:
        """Return how often each call ran, by name."""
        return Counter(name for _, name in self.named_runs())

    def summary(self) -> dict[str, object]:
        """Return figures that tell whether the run was a hard one."""
        runs = self.runs_by_call()
        keys = self.keys
        return {
            'seed': self.seed,
            'calls': len(self.calls),
            'answers': dict(Counter(call.code() for call in self.calls)),
            'faults': dict(
                Counter(f'{one.part} {one.kind}' for one in self.faults)
            ),
            'runs': runs.total(),
            'runs_of_unknown_calls': runs[''],
            'targets_not_read': dict(self.system.watch.missed),
            'table_readings': len(self.system.watch.intents),
            'keys_added': len(keys.added),
            'keys_withdrawn_in_force': len(keys.withdrawn),
            'key_changes_unknown': len(keys.unknown),
            'recovered_s': self.recovered_s,
        }
