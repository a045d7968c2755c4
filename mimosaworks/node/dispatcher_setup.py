"""Makes a new holder's dispatcher from what its node knew before."""

from mimosaworks.dispatch import (
    Dispatcher,
    RejectionLimits,
    ResendBudgets,
    TargetRateLimits,
)
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.limit_view import LimitView


def make_dispatcher(
    resend_budgets: ResendBudgets,
    limit_view: LimitView,
    brittle_targets: BrittleTargets,
    now: float,
) -> Dispatcher:
    """Return a dispatcher that keeps to the limits of targets from the start.

    It decides before the first heartbeats of nodes arrive.
    """
    rate_limits = TargetRateLimits()
    rate_limits.import_limits(limit_view.rate_limits_per_s(), now)
    rejection_limits = RejectionLimits()
    rejection_limits.import_limits(brittle_targets.known_limits(), now)
    return Dispatcher(resend_budgets, rate_limits, rejection_limits)
