"""How the dispatcher treats requests that may crash targets."""

import attrs
import pytest

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    Dispatcher,
    PlainPool,
    Refusal,
    ResendBudgetConfig,
    ResendBudgets,
    TargetCrash,
)
from mimosaworks.dispatch.crash_tracker import SUCCESSES_TO_RETRACT
from mimosaworks.dispatch.trial_planner import TRIAL_DELAY_S
from mimosaworks.errors import ErrorKind
from tests.dispatch_world import make_assignment_req, make_entry

POISON = 'poison'


@pytest.fixture
def dispatcher() -> Dispatcher:
    """Return a dispatcher with three targets of one slot each."""
    made = Dispatcher(ResendBudgets(ResendBudgetConfig(0.2, 50, 10)))
    made.pools['ledger'] = PlainPool()
    names = ('t0', 't1', 't2')
    entries = [make_entry(name, service='ledger', slots=1) for name in names]
    made.apply_entries({one.name: one for one in entries}, 0)
    return made


def record_crashes_of(
    dispatcher: Dispatcher, *numbers: int, fingerprint: str = POISON
) -> None:
    """Record crashes of targets that have no entry any more."""
    crashes = [
        TargetCrash(fingerprint, f'gone-{number}', 1) for number in numbers
    ]
    dispatcher.record_crashes(crashes, 0)


def submit_request(
    dispatcher: Dispatcher, fingerprint: str, now: float = 0
) -> Assignment | Refusal | None:
    """Return the decision for a new request; None while it waits."""
    assignment_req = make_assignment_req(
        fingerprint=fingerprint, service='ledger', deadline_s=now + 10
    )
    admitted = dispatcher.admit(assignment_req, now)
    if isinstance(admitted, Refusal):
        return admitted
    return dispatcher.submit(assignment_req, now)


def test_a_request_that_crashed_three_targets_is_refused(
    dispatcher: Dispatcher,
) -> None:
    record_crashes_of(dispatcher, 0, 1, 2)
    refused = submit_request(dispatcher, POISON)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.CRASH_SUSPECT
    assert refused.retry_after_s == 0
    assert isinstance(submit_request(dispatcher, 'other'), Assignment)


# Guards against a third and a fourth run that start before the outcome of the
# second is known.
def test_a_request_that_crashed_two_targets_runs_one_at_a_time(
    dispatcher: Dispatcher,
) -> None:
    record_crashes_of(dispatcher, 0, 1)
    assert isinstance(submit_request(dispatcher, POISON), Assignment)
    refused = submit_request(dispatcher, POISON)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.NO_TARGET
    call = next(iter(dispatcher.jobs))
    dispatcher.record_outcome(call, CallOutcome.ANSWERED, 0.1, 0)
    assert isinstance(submit_request(dispatcher, POISON), Assignment)


def store_trial_plan(dispatcher: Dispatcher, now: float) -> None:
    """Plan a trial run of the refused request and record it as stored."""
    assignment_req = make_assignment_req(fingerprint=POISON, service='ledger')
    assert isinstance(dispatcher.admit(assignment_req, now), Refusal)
    tracker = dispatcher.crash_tracker
    dispatcher.trial_planner.record_stored_suspects(
        tracker.version, frozenset(tracker.suspects)
    )


# Guards against a trial run that fails other requests when its target crashes.
def test_a_trial_runs_at_an_idle_target(
    dispatcher: Dispatcher,
) -> None:
    record_crashes_of(dispatcher, 0, 1, 2)
    others = [
        submit_request(dispatcher, f'other-{number}') for number in range(2)
    ]
    busy_targets = {one.target for one in others if isinstance(one, Assignment)}
    store_trial_plan(dispatcher, TRIAL_DELAY_S)
    trial_assignment = submit_request(dispatcher, POISON)
    assert isinstance(trial_assignment, Assignment)
    assert trial_assignment.target not in busy_targets
    # There is no second trial run.
    assert isinstance(submit_request(dispatcher, POISON), Refusal)


# Guards against a trial run that crashes the last target of its service.
@pytest.mark.parametrize(
    ('has_succeeded', 'kind'), [(False, Refusal), (True, Assignment)]
)
def test_a_trial_needs_another_target_in_service(
    dispatcher: Dispatcher, kind: type, *, has_succeeded: bool
) -> None:
    crashes = [
        TargetCrash(POISON, f'gone-{number}', 1, has_succeeded=has_succeeded)
        for number in range(3)
    ]
    dispatcher.record_crashes(crashes, 0)
    targets = dispatcher.pools['ledger'].targets
    entry_before = targets['t0'].entry
    targets['t0'].entry = attrs.evolve(entry_before, state=TargetState.DRAINING)
    targets['t1'].health.record_unreachable(TRIAL_DELAY_S)
    store_trial_plan(dispatcher, TRIAL_DELAY_S)
    assert isinstance(submit_request(dispatcher, POISON, TRIAL_DELAY_S), kind)


def test_a_trial_after_a_success_may_run_at_a_busy_target(
    dispatcher: Dispatcher,
) -> None:
    crashes = [
        TargetCrash(POISON, f'gone-{number}', 1, has_succeeded=True)
        for number in range(3)
    ]
    dispatcher.record_crashes(crashes, 0)
    for target in dispatcher.pools['ledger'].targets.values():
        target.entry = attrs.evolve(target.entry, slots=2)
    for number in range(3):
        submit_request(dispatcher, f'other-{number}')
    store_trial_plan(dispatcher, TRIAL_DELAY_S)
    assert isinstance(submit_request(dispatcher, POISON), Assignment)


def test_a_trial_waits_until_a_target_is_idle(dispatcher: Dispatcher) -> None:
    record_crashes_of(dispatcher, 0, 1, 2)
    for number in range(3):
        submit_request(dispatcher, f'other-{number}')
    store_trial_plan(dispatcher, TRIAL_DELAY_S)
    assert isinstance(submit_request(dispatcher, POISON), Refusal)
    first = next(iter(dispatcher.jobs))
    dispatcher.record_outcome(first, CallOutcome.ANSWERED, 0.1, TRIAL_DELAY_S)
    assert isinstance(submit_request(dispatcher, POISON), Assignment)


@pytest.mark.parametrize(
    ('outcome', 'is_spent'),
    [
        (CallOutcome.NOT_SENT, False),
        (CallOutcome.UNREACHABLE, False),
        (CallOutcome.REFUSED, True),
        (CallOutcome.BROKEN, True),
    ],
)
def test_a_trial_counts_once_bytes_of_it_were_sent(
    dispatcher: Dispatcher, outcome: CallOutcome, *, is_spent: bool
) -> None:
    record_crashes_of(dispatcher, 0, 1, 2)
    store_trial_plan(dispatcher, TRIAL_DELAY_S)
    submit_request(dispatcher, POISON)
    call = next(iter(dispatcher.jobs))
    dispatcher.record_outcome(call, outcome, 0.1, TRIAL_DELAY_S)
    dispatcher.pools['ledger'] = PlainPool()
    new_entries = [
        make_entry(name, service='ledger', slots=1) for name in ('t8', 't9')
    ]
    dispatcher.apply_entries(
        {one.name: one for one in new_entries}, TRIAL_DELAY_S
    )
    assert isinstance(submit_request(dispatcher, POISON), Refusal) is is_spent


def test_each_suspect_runs_at_another_target(dispatcher: Dispatcher) -> None:
    fingerprints = (POISON, 'beside', 'beside-too', 'last')
    for suspect in fingerprints:
        record_crashes_of(dispatcher, 0, 1, fingerprint=suspect)
    decisions = [
        submit_request(dispatcher, fingerprint) for fingerprint in fingerprints
    ]
    targets = {one.target for one in decisions if isinstance(one, Assignment)}
    assert targets == {'t0', 't1', 't2'}
    assert isinstance(decisions[-1], Refusal)


# Guards against a third crash that fails other requests, which it is then
# counted for as well.
def test_a_suspect_runs_at_an_idle_target(dispatcher: Dispatcher) -> None:
    record_crashes_of(dispatcher, 0, 1)
    others = [
        submit_request(dispatcher, f'other-{number}') for number in range(2)
    ]
    busy_targets = {one.target for one in others if isinstance(one, Assignment)}
    suspect_assignment = submit_request(dispatcher, POISON)
    assert isinstance(suspect_assignment, Assignment)
    assert suspect_assignment.target not in busy_targets


# Guards against requests that go on waiting for a target after it has become
# known that they crash targets.
def test_waiting_requests_are_refused_with_the_third_crash(
    dispatcher: Dispatcher,
) -> None:
    for _ in range(3):
        assert isinstance(submit_request(dispatcher, 'busy'), Assignment)
    assert submit_request(dispatcher, POISON) is None
    assert submit_request(dispatcher, 'other') is None
    crashes = [TargetCrash(POISON, f'gone-{number}', 1) for number in range(3)]
    decision = dispatcher.record_crashes(crashes, 0)
    kinds = [one.kind for _, one in decision if isinstance(one, Refusal)]
    assert kinds == [ErrorKind.CRASH_SUSPECT]
    assert len(dispatcher.jobs) == 4


# Guards against failures of targets that never began to run a request and that
# were counted as completed runs.
@pytest.mark.parametrize(
    ('outcome', 'is_cleared'),
    [
        (CallOutcome.ANSWERED, True),
        (CallOutcome.FAILED, False),
        (CallOutcome.ERRED, False),
        (CallOutcome.BROKEN, False),
        (CallOutcome.REFUSED, False),
    ],
)
def test_only_successful_answers_clear_a_suspect(
    dispatcher: Dispatcher, outcome: CallOutcome, *, is_cleared: bool
) -> None:
    record_crashes_of(dispatcher, 0)
    for _ in range(SUCCESSES_TO_RETRACT):
        assert isinstance(submit_request(dispatcher, POISON), Assignment)
        dispatcher.record_outcome(next(iter(dispatcher.jobs)), outcome, 0.1, 0)
    assert (POISON not in dispatcher.crash_tracker.suspects) == is_cleared
