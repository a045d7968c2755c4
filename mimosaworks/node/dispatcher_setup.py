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
    *,
    is_informed: bool,
) -> Dispatcher:
    """Return a dispatcher that keeps to the limits of targets from the start.

    It decides before the first heartbeats of nodes arrive. is_informed: this
    node had heard from an earlier holder.
    """
    rate_limits = TargetRateLimits()
    rate_limits.import_limits(limit_view.rate_limits_per_s(), now)
    rejection_limits = RejectionLimits()
    if not is_informed:
        # Reads the heads of answers to reports and orders at once.
        rejection_limits.is_known = brittle_targets.is_known_sound
    rejection_limits.import_limits(brittle_targets.known_limits(), now)
    return Dispatcher(resend_budgets, rate_limits, rejection_limits)
