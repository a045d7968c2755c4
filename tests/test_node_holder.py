"""What the holder does with asks, without network."""

import asyncio
import json

import attrs

from mimosaworks.clock import now_s
from mimosaworks.dispatch import (
    Dispatcher,
    EntriesView,
    ResendBudgetConfig,
    ResendBudgets,
)
from mimosaworks.node import holder as module
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.holder import Holder
from mimosaworks.platform import decode_desired
from standins.agency.world import desired
from tests.dispatch_world import make_entry
from tests.test_node_local_choice import make_ask

DEPLOYMENT = decode_desired(json.dumps(desired()).encode())


def make_holder() -> Holder:
    terms = ResendBudgetConfig(ratio=0.2, slack=50, window_s=10)
    return Holder(
        cluster_state=ClusterState(deployment=DEPLOYMENT),
        dispatcher=Dispatcher(ResendBudgets(terms)),
        order_runner=None,  # type: ignore[arg-type]
        on_fenced=lambda reason: None,
        is_lease_verified=lambda: True,
        entries_view=lambda: EntriesView({}, 0, 0, 6),
    )


def read_targets(holder: Holder) -> None:
    """Let the holder know one target, as after a read of the entries."""
    known = attrs.evolve(make_entry('t1'), service='ledger')
    holder.cluster_state.targets = {'t1': known}
    holder.cluster_state.targets_version += 1
    holder.cluster_state.targets_read_s = now_s()


# Callers were refused, "no target in service", until the next holder had read
# the targets' entries: 160 in two seconds after a loss of all VMs.
async def test_asks_wait_until_a_new_holder_knows_the_targets() -> None:
    holder = make_holder()
    asked = asyncio.create_task(holder.handle_call_ask(make_ask()))
    await asyncio.sleep(0.1)
    assert not asked.done()
    read_targets(holder)
    reply = await asked
    assert reply.target == 't1'


async def test_asks_are_decided_when_the_store_does_not_answer() -> None:
    holder = make_holder()
    holder.elected_s -= module.FIRST_ENTRIES_TIMEOUT_S
    reply = await asyncio.wait_for(holder.handle_call_ask(make_ask()), 0.5)
    assert reply.kind == 'no_target'


# Guards against a holder that keeps its lease though its ticks have ended, so
# that requests which wait are neither served nor refused.
async def test_a_holder_whose_ticks_failed_steps_down() -> None:
    reasons: list[str] = []
    holder = make_holder()
    holder.on_fenced = reasons.append
    holder.entries_view = dict  # type: ignore[assignment]
    holder.start()
    await asyncio.sleep(2 * module.TICK_S)
    holder.stop()
    assert len(reasons) == 1
    assert 'the ticks failed' in reasons[0]


async def test_a_holder_that_is_stopped_does_not_step_down() -> None:
    reasons: list[str] = []
    holder = make_holder()
    holder.on_fenced = reasons.append
    holder.start()
    await asyncio.sleep(2 * module.TICK_S)
    holder.stop()
    await asyncio.sleep(module.TICK_S)
    assert not reasons
