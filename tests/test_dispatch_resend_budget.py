"""The resend budget over all lease holders and nodes in a window."""

import attrs

from mimosaworks.dispatch import Assignment, ResendBudgetConfig, ResendBudgets
from mimosaworks.node.standalone_chooser import StandaloneChooser
from tests.dispatch_world import make_entry
from tests.test_node_local_choice import DEPLOYMENT, MEMBERS, choose, make_ask

TERMS = ResendBudgetConfig(ratio=0.2, slack=58, window_s=10)
REQUESTS = 100
RESEND_ATTEMPTS = 200


def count_allowed_resends(budgets: ResendBudgets, now: float) -> int:
    """Return how many resends a holder allows for its requests."""
    for _ in range(REQUESTS):
        budgets.count_send('ledger', now, is_resend=False)
    return sum(
        budgets.count_send('ledger', now, is_resend=True)
        for _ in range(RESEND_ATTEMPTS)
    )


def count_standalone_resends(now: float) -> int:
    """Return how many resends all nodes allow without a holder."""
    target = attrs.evolve(
        make_entry('t1'), service='ledger', slots=RESEND_ATTEMPTS * MEMBERS
    )
    sent = 0
    for _ in range(MEMBERS):
        local = StandaloneChooser()
        local.apply_token_shares(DEPLOYMENT, {}, MEMBERS, now)
        local.apply_resend_share(TERMS)
        for number in range(RESEND_ATTEMPTS):
            is_resend = number >= REQUESTS // MEMBERS
            assignment_req = make_ask(
                workspace='agency', resends=int(is_resend)
            )
            decision = choose(local, assignment_req, target, now=now)
            sent += is_resend and isinstance(decision, Assignment)
    return sent


# Guards against a full budget for each new holder: with three holders in one
# window, targets got nearly twice the promised number of resends.
def test_three_holders_in_a_window_keep_to_the_budget() -> None:
    resend_count = count_allowed_resends(ResendBudgets(TERMS), 0)
    resend_count += count_allowed_resends(
        ResendBudgets(TERMS, counting_since_s=2), 2
    )
    resend_count += count_allowed_resends(
        ResendBudgets(TERMS, counting_since_s=4), 4
    )
    assert resend_count <= TERMS.slack + TERMS.ratio * 3 * REQUESTS


# Guards against standalone nodes that resend without a limit.
def test_standalone_nodes_between_two_holders_keep_to_the_budget() -> None:
    resend_count = count_allowed_resends(
        ResendBudgets(TERMS), 0
    ) + count_standalone_resends(2)
    resend_count += count_allowed_resends(
        ResendBudgets(TERMS, counting_since_s=4), 4
    )
    assert resend_count <= TERMS.slack + TERMS.ratio * 3 * REQUESTS


def test_a_holder_uses_the_full_budget_after_one_window() -> None:
    first_count = count_allowed_resends(ResendBudgets(TERMS), 0)
    later_budgets = ResendBudgets(TERMS, counting_since_s=2)
    assert 0 < count_allowed_resends(later_budgets, 2) < first_count
    assert (
        count_allowed_resends(later_budgets, 2 + 2 * TERMS.window_s)
        == first_count
    )
