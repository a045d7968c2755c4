"""Decisions of a node that hears no holder."""

import json

import attrs

from mimosaworks.deployment import RequestProfile, ResidentModel, TargetState
from mimosaworks.dispatch import Assignment, Refusal
from mimosaworks.errors import ErrorKind
from mimosaworks.node.standalone_chooser import StandaloneChooser
from mimosaworks.platform import decode_desired
from mimosaworks.wire import CallAsk
from standins.agency.world import desired
from tests.dispatch_world import make_entry

DEPLOYMENT = decode_desired(json.dumps(desired()).encode())
MEMBERS = 5


def make_ask(model: str = '', **fields: object) -> CallAsk:
    call_ask = CallAsk(
        call='c',
        node='n',
        fence=0,
        service='engines' if model else 'ledger',
        workspace='small',
        cost=100,
        priority=0,
        model=model,
        adapter='',
        tokens_in=80,
        tokens_out=20,
        tokens_hint=0,
        parts=(),
        data_centre='north',
        target_s=1,
        left_s=4,
        first_left_s=3,
    )
    return attrs.evolve(call_ask, **fields)


def choose(
    local: StandaloneChooser,
    call_ask: CallAsk,
    *targets: object,
    now: float = 0,
) -> Assignment | Refusal:
    known = {one.name: one for one in targets}  # type: ignore[attr-defined]
    profile = RequestProfile(call_ask.model, call_ask.adapter)
    return local.choose_target(call_ask, profile, known, now)


# Guards against a standalone node that sends a brittle target as much as it
# sends others: its share may be one request, or none.
def test_a_node_alone_keeps_to_its_share_of_a_brittle_target() -> None:
    shares = {'t1': 1, 't2': 0}
    local = StandaloneChooser(find_brittle_share=shares.__getitem__)
    first, second = (make_entry(name, service='ledger') for name in shares)
    decided = choose(local, make_ask(), first, second)
    assert isinstance(decided, Assignment)
    assert decided.target == 't1'
    local.adjust_running_count('t1', 1)
    assert isinstance(choose(local, make_ask(), first, second), Refusal)


def test_only_targets_that_hold_the_model_are_chosen() -> None:
    local = StandaloneChooser()
    holding = attrs.evolve(
        make_entry('t1'), resident_models=(ResidentModel('alpha'),)
    )
    decided = choose(local, make_ask('alpha'), holding, make_entry('t2'))
    assert isinstance(decided, Assignment)
    assert decided.target == 't1'
    refused = choose(local, make_ask('gamma'), holding, make_entry('t2'))
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.MODEL_NOT_READY


def test_draining_and_excluded_targets_are_left_out() -> None:
    local = StandaloneChooser()
    leaving = make_entry('t1', service='ledger', state=TargetState.DRAINING)
    failed = make_entry('t2', service='ledger')
    refused = choose(local, make_ask(excluded=('t2',)), leaving, failed)
    assert isinstance(refused, Refusal)


def test_a_node_takes_no_more_than_its_share_of_a_targets_slots() -> None:
    local = StandaloneChooser()
    local.apply_token_shares(DEPLOYMENT, {}, MEMBERS, 0)
    target = make_entry('t1', service='ledger', slots=10)
    taken = 0
    while isinstance(choose(local, make_ask(cost=0), target), Assignment):
        local.adjust_running_count('t1', 1)
        taken += 1
    assert taken == 10 // MEMBERS + 1


def test_nodes_alone_admit_no_more_than_the_levels_known_last() -> None:
    # The burst is 1500 and 600 of it were left: 120 for each of five nodes.
    target = make_entry('t1', service='ledger', slots=1000)
    admitted = 0
    for _ in range(MEMBERS):
        local = StandaloneChooser()
        local.apply_token_shares(DEPLOYMENT, {'small': 600}, MEMBERS, 0)
        while isinstance(choose(local, make_ask(), target), Assignment):
            admitted += 1
    assert admitted == MEMBERS


def test_the_next_time_alone_starts_from_the_levels_again() -> None:
    local = StandaloneChooser()
    local.apply_token_shares(DEPLOYMENT, {'small': 1500}, MEMBERS, 0)
    local.reset_token_shares()
    local.apply_token_shares(DEPLOYMENT, {'small': 0}, MEMBERS, 60)
    target = make_entry('t1', service='ledger')
    refused = choose(local, make_ask(), target, now=60)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.RATE_EXCEEDED
