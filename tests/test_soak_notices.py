"""What a soak says of requests to targets that leave."""

import types

import pytest

from bench.soak_load import Seen, Sent
from bench.soak_notices import DRAIN_S, broken_notices

NODE = ('node-1', 7)


# Guards against a node that is blamed for a notice in an answer that it never
# read: its caller had left. Whatever the caller got, the notice counts.
@pytest.mark.parametrize('status', [0, 200, 503])
def test_only_a_notice_that_was_read_binds_a_node(status: int) -> None:
    replica = types.SimpleNamespace(
        name='ledger-1',
        told_leaving={'first': 1.0},
        arrivals={'first': 1.0, 'late': 2 + DRAIN_S},
        births={'first': 1, 'late': 1},
        rejected={},
    )
    world = types.SimpleNamespace(replicas={'ledger-1': replica})
    load = types.SimpleNamespace(
        sent={'first': Sent(NODE, 1), 'late': Sent(NODE, 2 + DRAIN_S)},
        seen=[Seen('first', '/look/', status), Seen('late', '/look/', 200)],
    )
    broken = list(broken_notices(world, load))  # type: ignore[arg-type]
    assert bool(broken) is bool(status)
