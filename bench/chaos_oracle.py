"""The oracle of a chaos run: all promises, each with its function."""

import types

from bench import chaos_oracle_calls as calls
from bench import chaos_oracle_loads as engines
from bench import chaos_oracle_system as system
from bench.chaos_record import ChaosRecord

REPLICAS = 'no model has more replicas than decided'
PROMISES = types.MappingProxyType({
    'a service call and an idempotency key run at most once': calls.runs_once,
    'what was answered not-run has not run': calls.not_run_is_true,
    'each caller is answered by its deadline': calls.answers_in_time,
    'no caller is refused without reason': calls.refusals_are_true,
    "each answer is its own request's": calls.answers_are_own,
    "no target sees a caller's key": calls.keys_stay_here,
    'a withdrawn key admits nothing': calls.withdrawn_keys_rest,
    'a workspace gets no more than its grant': system.grants_hold,
    'no engine is filled beyond its memory': engines.memory_holds,
    REPLICAS: engines.replicas_hold,
    'no member goes back to an older version': system.versions_grow,
    'no accepted change is lost': system.changes_stay,
    'the system serves again after the faults': system.serves_again,
    'no model is loaded without an intent': engines.loads_are_decided,
})


def violations(record: ChaosRecord) -> list[str]:
    """Return each broken promise with what broke it."""
    return [
        f'{promise}: {problem}'
        for promise, check in PROMISES.items()
        for problem in check(record)
    ]
