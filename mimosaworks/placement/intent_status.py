"""Derives the status of an intent from its target's reports."""

import math

from mimosaworks.clock import DRIFT
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_ledger import IntentLedger
from mimosaworks.placement.intent_track import IntentTrack
from mimosaworks.placement.report import LoadedState, OrderReport

READY = 'ready'
FAILED = 'failed'
DONE = 'done'


def find_loaded_state(
    ledger: IntentLedger, intent: Intent
) -> LoadedState | None:
    """Return what the target reports for the intent's model or adapter."""
    timed_report = ledger.latest_reports.get(intent.target)
    if timed_report is None:
        return None
    if intent.adapter:
        return timed_report.report.adapters.get(intent.adapter)
    return timed_report.report.models.get(intent.model)


def is_intent_ready(ledger: IntentLedger, intent: Intent) -> bool:
    """Whether requests can run under the intent."""
    loaded_state = find_loaded_state(ledger, intent)
    if loaded_state is None or loaded_state.state != READY:
        return False
    return intent.state is IntentState.LOAD


def is_terminating(ledger: IntentLedger, intent: Intent) -> bool:
    """Return whether the intent only awaits proof that nothing is loaded."""
    if intent.state is IntentState.UNLOAD:
        return True
    if find_loaded_state(ledger, intent) is not None:
        return False
    if ledger.tracks[intent.order_id].is_load_refused:
        return True
    order_report = _find_load_order_report(ledger, intent)
    return order_report is not None and order_report.state in {FAILED, DONE}


def may_delete_intent(
    ledger: IntentLedger, intent: Intent, quarantine_s: float
) -> bool:
    """Return whether a terminating intent may be deleted with its reservation.

    It may if a report that was requested when no load order could be in
    transit any more shows nothing loaded. A late unload order must not hit a
    later load of the same model, so the target has to know that order too. A
    holder can have been paused for any time between its check of the lease
    and sending; a target that checks fencing numbers is safe from that order
    once it has reported on it, or on an unload with the fencing number of
    the current holder.
    """
    timed_report = ledger.latest_reports.get(intent.target)
    if timed_report is None or find_loaded_state(ledger, intent) is not None:
        return False
    track = ledger.tracks[intent.order_id]
    quarantine_with_drift_s = quarantine_s * (1 + DRIFT)
    if not is_load_order_expired(track, quarantine_s, timed_report.requested_s):
        return False
    is_unload_reported = track.unload_order_id in timed_report.report.orders
    is_late_order_fenced = is_unload_reported or is_load_order_reported(
        ledger, intent
    )
    if intent.checks_fence and not is_late_order_fenced:
        return False
    return (
        is_unload_reported
        or timed_report.requested_s
        >= track.unload_sent_s + quarantine_with_drift_s
    )


def is_load_order_expired(
    track: IntentTrack, quarantine_s: float, now: float
) -> bool:
    """Return whether no load order can be in transit any more."""
    return now >= track.load_sent_s + quarantine_s * (1 + DRIFT)


def is_load_order_reported(ledger: IntentLedger, intent: Intent) -> bool:
    """Return whether the target has the load order; a copy has no effect."""
    return _find_load_order_report(ledger, intent) is not None


def is_replica_drained(
    ledger: IntentLedger, intent: Intent, report_lag_s: float
) -> bool:
    """Return whether the routers know of the drain and no request runs.

    The report must have been requested more than report_lag_s after the
    routers acknowledged the map, as reports lag by up to that time.
    """
    timed_report = ledger.latest_reports.get(intent.target)
    track = ledger.tracks[intent.order_id]
    if timed_report is None or math.isinf(track.drain_acked_s):
        return False
    loaded_state = find_loaded_state(ledger, intent)
    if loaded_state is None:
        return True
    return (
        loaded_state.running == 0
        and timed_report.requested_s >= track.drain_acked_s + report_lag_s
    )


def reported_state(ledger: IntentLedger, intent: Intent) -> str:
    """Return the state for logs: 'ready', 'done', 'failed' or 'running'."""
    loaded_state = find_loaded_state(ledger, intent)
    if loaded_state is not None:
        return loaded_state.state
    order_report = _find_load_order_report(ledger, intent)
    return 'unknown' if order_report is None else order_report.state


def get_track(ledger: IntentLedger, intent: Intent) -> IntentTrack:
    """Return the state that the holder keeps in memory for the intent."""
    return ledger.tracks[intent.order_id]


def _find_load_order_report(
    ledger: IntentLedger, intent: Intent
) -> OrderReport | None:
    timed_report = ledger.latest_reports.get(intent.target)
    if timed_report is None:
        return None
    return timed_report.report.orders.get(intent.order_id)
