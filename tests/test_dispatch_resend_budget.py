"""Sends beyond the first, over all holders and nodes of a window."""

import attrs

from mimosaworks.dispatch import Assignment, ResendBudgets, ResendTerms
from mimosaworks.node.standalone_chooser import StandaloneChooser
from tests.dispatch_world import entry
from tests.test_node_local_choice import DEPLOYMENT, MEMBERS, choose, make_ask

TERMS = ResendTerms(ratio=0.2, slack=58, window_s=10)
REQUESTS = 100
TRIES = 200


def spend(budgets: ResendBudgets, now: float) -> int:
    """Return how many resends a holder allows beside its requests."""
    for _ in range(REQUESTS):
        budgets.admit('ledger', now, is_resend=False)
    return sum(
        budgets.admit('ledger', now, is_resend=True) for _ in range(TRIES)
    )


def spend_alone(now: float) -> int:
    """Return how many resends all nodes allow that hear no holder."""
    target = attrs.evolve(entry('t1'), service='ledger', slots=TRIES * MEMBERS)
    sent = 0
    for _ in range(MEMBERS):
        local = StandaloneChooser()
        local.apply_token_shares(DEPLOYMENT, {}, MEMBERS, now)
        local.apply_resend_share(TERMS)
        for number in range(TRIES):
            is_resend = number >= REQUESTS // MEMBERS
            ask = make_ask(workspace='agency', resends=int(is_resend))
            decided = choose(local, ask, target, now=now)
            sent += is_resend and isinstance(decided, Assignment)
    return sent


# Guards against a budget that each new holder has anew: with three holders in
# one window targets got nearly twice the promised repeats.
def test_three_holders_in_a_window_keep_the_budget() -> None:
    sent = spend(ResendBudgets(TERMS), 0)
    sent += spend(ResendBudgets(TERMS, taken_over_s=2), 2)
    sent += spend(ResendBudgets(TERMS, taken_over_s=4), 4)
    assert sent <= TERMS.slack + TERMS.ratio * 3 * REQUESTS


# Guards against nodes that hear no holder and repeat without any bound.
def test_nodes_alone_between_two_holders_keep_the_budget() -> None:
    sent = spend(ResendBudgets(TERMS), 0) + spend_alone(2)
    sent += spend(ResendBudgets(TERMS, taken_over_s=4), 4)
    assert sent <= TERMS.slack + TERMS.ratio * 3 * REQUESTS


def test_a_holder_has_the_whole_budget_once_a_window_is_over() -> None:
    first = spend(ResendBudgets(TERMS), 0)
    later = ResendBudgets(TERMS, taken_over_s=2)
    assert 0 < spend(later, 2) < first
    assert spend(later, 2 + 2 * TERMS.window_s) == first
