"""What a target's reports prove about an intent."""

import math

from mimosaworks.clock import DRIFT
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.ledger import Ledger
from mimosaworks.placement.report import LoadedState, OrderReport
from mimosaworks.placement.track import Track

READY = 'ready'
FAILED = 'failed'
DONE = 'done'


def held_state(ledger: Ledger, intent: Intent) -> LoadedState | None:
    """Return what the target reports for the intent's model or adapter."""
    view = ledger.views.get(intent.target)
    if view is None:
        return None
    if intent.adapter:
        return view.report.adapters.get(intent.adapter)
    return view.report.models.get(intent.model)


def is_ready(ledger: Ledger, intent: Intent) -> bool:
    """Whether requests can run under the intent."""
    held = held_state(ledger, intent)
    if held is None or held.state != READY:
        return False
    return intent.state is IntentState.LOAD


def is_ended(ledger: Ledger, intent: Intent) -> bool:
    """Whether the intent only waits for proof that nothing is loaded."""
    if intent.state is IntentState.UNLOAD:
        return True
    if held_state(ledger, intent) is not None:
        return False
    if ledger.tracks[intent.order_id].is_refused:
        return True
    order = _order_report(ledger, intent)
    return order is not None and order.state in {FAILED, DONE}


def may_delete(ledger: Ledger, intent: Intent, quarantine_s: float) -> bool:
    """Whether an ended intent's reservation may end.

    It may if a report, asked for when no load order could be on its way any
    more, shows nothing loaded. A late unload order must not hit a later load
    of the same model, so the target has to know that order too. A holder can
    have been paused for any time between its check of the lease and sending;
    a target that checks numbers is safe from that order once it has reported
    on it, or on an unload with the number of the holder of now.
    """
    view = ledger.views.get(intent.target)
    if view is None or held_state(ledger, intent) is not None:
        return False
    track = ledger.tracks[intent.order_id]
    span_s = quarantine_s * (1 + DRIFT)
    if not is_settled(track, quarantine_s, view.asked_s):
        return False
    is_unload_known = track.unload_id in view.report.orders
    is_guarded = is_unload_known or is_load_known(ledger, intent)
    if intent.checks_fence and not is_guarded:
        return False
    return is_unload_known or view.asked_s >= track.unload_sent_s + span_s


def is_settled(track: Track, quarantine_s: float, now: float) -> bool:
    """Whether no load order can be on its way any more."""
    return now >= track.load_sent_s + quarantine_s * (1 + DRIFT)


def is_load_known(ledger: Ledger, intent: Intent) -> bool:
    """Whether the target has the load order, so that a copy has no effect."""
    return _order_report(ledger, intent) is not None


def is_drained(ledger: Ledger, intent: Intent, lag_s: float) -> bool:
    """Whether the routers know of the drain and nothing runs any more.

    The report must have been asked for longer after the routers had the
    map than reports lag.
    """
    view = ledger.views.get(intent.target)
    track = ledger.tracks[intent.order_id]
    if view is None or math.isinf(track.drain_acked_s):
        return False
    held = held_state(ledger, intent)
    if held is None:
        return True
    return held.running == 0 and view.asked_s >= track.drain_acked_s + lag_s


def resolved_state(ledger: Ledger, intent: Intent) -> str:
    """Return the state for logs: 'ready', 'done', 'failed' or 'running'."""
    held = held_state(ledger, intent)
    if held is not None:
        return held.state
    order = _order_report(ledger, intent)
    return 'unknown' if order is None else order.state


def track_of(ledger: Ledger, intent: Intent) -> Track:
    """Return the intent's track."""
    return ledger.tracks[intent.order_id]


def _order_report(ledger: Ledger, intent: Intent) -> OrderReport | None:
    view = ledger.views.get(intent.target)
    if view is None:
        return None
    return view.report.orders.get(intent.order_id)
