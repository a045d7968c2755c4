"""What the dispatcher does with requests that may crash their targets."""

import attrs
import pytest

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    Dispatcher,
    PlainPool,
    Refusal,
    ResendBudgets,
    ResendTerms,
    TargetEnd,
)
from mimosaworks.dispatch.crash_book import SUCCESSES_TO_RETRACT
from mimosaworks.dispatch.crash_trials import TRIAL_S
from mimosaworks.errors import ErrorKind
from tests.dispatch_world import entry, make_ask

POISON = 'poison'


@pytest.fixture
def dispatcher() -> Dispatcher:
    """Return one with three targets of a service, of one slot each."""
    made = Dispatcher(ResendBudgets(ResendTerms(0.2, 50, 10)))
    made.pools['ledger'] = PlainPool()
    names = ('t0', 't1', 't2')
    entries = [entry(name, service='ledger', slots=1) for name in names]
    made.follow_entries({one.name: one for one in entries}, 0)
    return made


def crash(dispatcher: Dispatcher, *numbers: int, mark: str = POISON) -> None:
    """Tell of ends of targets that are gone since."""
    ends = [TargetEnd(mark, f'gone-{number}', 1) for number in numbers]
    dispatcher.note_ends(ends, 0)


def run(
    dispatcher: Dispatcher, mark: str, now: float = 0
) -> Assignment | Refusal | None:
    """Ask for a target for a request; None while it waits."""
    ask = make_ask(mark=mark, service='ledger', give_up_s=now + 10)
    admitted = dispatcher.admit(ask, now)
    if isinstance(admitted, Refusal):
        return admitted
    return dispatcher.submit(ask, now)


def test_a_content_that_crashed_three_targets_is_refused_at_once(
    dispatcher: Dispatcher,
) -> None:
    crash(dispatcher, 0, 1, 2)
    refused = run(dispatcher, POISON)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.CRASH_SUSPECT
    assert refused.retry_after_s == 0
    assert isinstance(run(dispatcher, 'other'), Assignment)


# Guards against a third and a fourth run that begin before the end of the
# second is known.
def test_a_content_under_two_ends_runs_one_at_a_time(
    dispatcher: Dispatcher,
) -> None:
    crash(dispatcher, 0, 1)
    assert isinstance(run(dispatcher, POISON), Assignment)
    refused = run(dispatcher, POISON)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.NO_TARGET
    call = next(iter(dispatcher.jobs))
    dispatcher.ended(call, CallOutcome.ANSWERED, 0.1, 0)
    assert isinstance(run(dispatcher, POISON), Assignment)


def plan(dispatcher: Dispatcher, now: float) -> None:
    """Have a trial of the refused content planned and stored."""
    ask = make_ask(mark=POISON, service='ledger')
    assert isinstance(dispatcher.admit(ask, now), Refusal)
    book = dispatcher.crashes
    dispatcher.trials.note_stored(book.version, frozenset(book.suspects))


# Guards against a trial that takes other requests along with its target.
def test_a_trial_runs_at_a_target_that_runs_nothing_else(
    dispatcher: Dispatcher,
) -> None:
    crash(dispatcher, 0, 1, 2)
    others = [run(dispatcher, f'other-{number}') for number in range(2)]
    taken = {one.target for one in others if isinstance(one, Assignment)}
    plan(dispatcher, TRIAL_S)
    tried = run(dispatcher, POISON)
    assert isinstance(tried, Assignment)
    assert tried.target not in taken
    # It is spent now.
    assert isinstance(run(dispatcher, POISON), Refusal)


# Guards against a trial that ends the last target of its service.
@pytest.mark.parametrize(
    ('is_proven', 'kind'), [(False, Refusal), (True, Assignment)]
)
def test_a_trial_leaves_a_target_in_service(
    dispatcher: Dispatcher, kind: type, *, is_proven: bool
) -> None:
    ends = [
        TargetEnd(POISON, f'gone-{number}', 1, is_proven=is_proven)
        for number in range(3)
    ]
    dispatcher.note_ends(ends, 0)
    targets = dispatcher.pools['ledger'].targets
    leaving = targets['t0'].entry
    targets['t0'].entry = attrs.evolve(leaving, state=TargetState.DRAINING)
    targets['t1'].health.note_unreachable(TRIAL_S)
    plan(dispatcher, TRIAL_S)
    assert isinstance(run(dispatcher, POISON, TRIAL_S), kind)


def test_a_proven_content_is_tried_at_busy_targets_too(
    dispatcher: Dispatcher,
) -> None:
    ends = [
        TargetEnd(POISON, f'gone-{number}', 1, is_proven=True)
        for number in range(3)
    ]
    dispatcher.note_ends(ends, 0)
    for target in dispatcher.pools['ledger'].targets.values():
        target.entry = attrs.evolve(target.entry, slots=2)
    for number in range(3):
        run(dispatcher, f'other-{number}')
    plan(dispatcher, TRIAL_S)
    assert isinstance(run(dispatcher, POISON), Assignment)


def test_a_trial_waits_until_a_target_is_idle(dispatcher: Dispatcher) -> None:
    crash(dispatcher, 0, 1, 2)
    for number in range(3):
        run(dispatcher, f'other-{number}')
    plan(dispatcher, TRIAL_S)
    assert isinstance(run(dispatcher, POISON), Refusal)
    first = next(iter(dispatcher.jobs))
    dispatcher.ended(first, CallOutcome.ANSWERED, 0.1, TRIAL_S)
    assert isinstance(run(dispatcher, POISON), Assignment)


@pytest.mark.parametrize(
    ('outcome', 'is_spent'),
    [
        (CallOutcome.NOT_SENT, False),
        (CallOutcome.UNREACHABLE, False),
        (CallOutcome.REFUSED, True),
        (CallOutcome.BROKEN, True),
    ],
)
def test_a_trial_is_spent_once_bytes_of_it_were_sent(
    dispatcher: Dispatcher, outcome: CallOutcome, *, is_spent: bool
) -> None:
    crash(dispatcher, 0, 1, 2)
    plan(dispatcher, TRIAL_S)
    run(dispatcher, POISON)
    call = next(iter(dispatcher.jobs))
    dispatcher.ended(call, outcome, 0.1, TRIAL_S)
    dispatcher.pools['ledger'] = PlainPool()
    again = [entry(name, service='ledger', slots=1) for name in ('t8', 't9')]
    dispatcher.follow_entries({one.name: one for one in again}, TRIAL_S)
    assert isinstance(run(dispatcher, POISON), Refusal) is is_spent


def test_suspects_run_at_targets_of_their_own(dispatcher: Dispatcher) -> None:
    marks = (POISON, 'beside', 'beside-too', 'last')
    for suspect in marks:
        crash(dispatcher, 0, 1, mark=suspect)
    placed = [run(dispatcher, mark) for mark in marks]
    targets = {one.target for one in placed if isinstance(one, Assignment)}
    assert targets == {'t0', 't1', 't2'}
    assert isinstance(placed[-1], Refusal)


# Guards against a third end that takes other requests along, which share it.
def test_a_suspect_goes_where_nothing_runs(dispatcher: Dispatcher) -> None:
    crash(dispatcher, 0, 1)
    others = [run(dispatcher, f'other-{number}') for number in range(2)]
    taken = {one.target for one in others if isinstance(one, Assignment)}
    apart = run(dispatcher, POISON)
    assert isinstance(apart, Assignment)
    assert apart.target not in taken


# Guards against requests that wait for a target while it becomes known that
# they crash it.
def test_waiting_requests_are_refused_with_the_third_end(
    dispatcher: Dispatcher,
) -> None:
    for _ in range(3):
        assert isinstance(run(dispatcher, 'busy'), Assignment)
    assert run(dispatcher, POISON) is None
    assert run(dispatcher, 'other') is None
    ends = [TargetEnd(POISON, f'gone-{number}', 1) for number in range(3)]
    decided = dispatcher.note_ends(ends, 0)
    kinds = [one.kind for _, one in decided if isinstance(one, Refusal)]
    assert kinds == [ErrorKind.CRASH_SUSPECT]
    assert len(dispatcher.jobs) == 4


# Guards against failures of targets that never began to run a content and that
# were taken for whole runs.
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
def test_whole_answers_alone_clear_a_content(
    dispatcher: Dispatcher, outcome: CallOutcome, *, is_cleared: bool
) -> None:
    crash(dispatcher, 0)
    for _ in range(SUCCESSES_TO_RETRACT):
        assert isinstance(run(dispatcher, POISON), Assignment)
        dispatcher.ended(next(iter(dispatcher.jobs)), outcome, 0.1, 0)
    assert (POISON not in dispatcher.crashes.suspects) == is_cleared
