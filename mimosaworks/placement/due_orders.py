"""Selects the orders that have to be sent for the intents."""

from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_ledger import IntentLedger
from mimosaworks.placement.intent_status import (
    find_loaded_state,
    is_intent_ready,
    is_load_order_reported,
    is_terminating,
)
from mimosaworks.placement.order import Order

LOAD_ACTION = 'load'
UNLOAD_ACTION = 'unload'


def collect_due_orders(
    ledger: IntentLedger, fence: int, now: float
) -> list[Order]:
    """Return the orders to send now, only for intents in the table.

    An order is sent again with the same id until the target reports on it:
    engines take each id once.
    """
    orders = []
    for intent in ledger.committed_intents.values():
        order = _next_order(ledger, intent, fence, now)
        if order is not None:
            orders.append(order)
    return orders


def record_sent_order(
    ledger: IntentLedger, order: Order, now: float, retry_s: float
) -> None:
    """Record that an order is about to be sent."""
    track = ledger.tracks.get(order.intent_id)
    if track is None:
        return
    track.next_order_s = now + retry_s
    if order.action.startswith(UNLOAD_ACTION):
        track.unload_sent_s = now
    else:
        track.load_sent_s = now


def record_refused_load(ledger: IntentLedger, order: Order) -> None:
    """Record that a target refused a load for lack of memory."""
    track = ledger.tracks.get(order.intent_id)
    if track is not None and order.order_id == order.intent_id:
        track.is_load_refused = True


def _next_order(
    ledger: IntentLedger, intent: Intent, fence: int, now: float
) -> Order | None:
    has_report = intent.target in ledger.latest_reports
    track = ledger.tracks[intent.order_id]
    if not has_report or now < track.next_order_s:
        return None
    if _has_uncommitted_change(ledger, intent):
        return None
    if intent.state is IntentState.UNLOAD:
        return _next_unload_order(ledger, intent, fence)
    is_load_terminating = is_terminating(ledger, intent)
    if is_load_terminating or find_loaded_state(ledger, intent) is not None:
        return None
    if not _is_base_model_ready(ledger, intent):
        return None
    return _make_order(intent, LOAD_ACTION, intent.order_id, fence)


def _next_unload_order(
    ledger: IntentLedger, intent: Intent, fence: int
) -> Order | None:
    track = ledger.tracks[intent.order_id]
    reported_orders = ledger.latest_reports[intent.target].report.orders
    is_unloaded = find_loaded_state(ledger, intent) is None
    if is_unloaded and not _must_report_fence(ledger, intent):
        return None
    if not track.unload_order_id or track.unload_order_id in reported_orders:
        # An engine ignores an id that it has seen, so what is still (or
        # again) loaded after one unload needs an order of its own.
        track.unload_order_count += 1
        suffix = f'{fence}-{track.unload_order_count}'
        track.unload_order_id = f'{intent.order_id}-u{suffix}'
    return _make_order(intent, UNLOAD_ACTION, track.unload_order_id, fence)


def _must_report_fence(ledger: IntentLedger, intent: Intent) -> bool:
    """Return whether an empty target still has to learn the fencing number."""
    if not intent.checks_fence or is_load_order_reported(ledger, intent):
        return False
    reported_orders = ledger.latest_reports[intent.target].report.orders
    return ledger.tracks[intent.order_id].unload_order_id not in reported_orders


def _has_uncommitted_change(ledger: IntentLedger, intent: Intent) -> bool:
    # An order could contradict a change that isn't in the table yet.
    order_id = intent.order_id
    return order_id in ledger.pending_changes or order_id in ledger.sent_changes


def _is_base_model_ready(ledger: IntentLedger, intent: Intent) -> bool:
    if not intent.adapter:
        return True
    base = ledger.find_intent(intent.target, intent.model)
    return base is not None and is_intent_ready(ledger, base)


def _make_order(
    intent: Intent, action: str, order_id: str, fence: int
) -> Order:
    return Order(
        order_id=order_id,
        action=f'{action}_adapter' if intent.adapter else action,
        model=intent.model,
        adapter=intent.adapter,
        checkpoint=intent.checkpoint,
        size_bytes=intent.size_bytes,
        fence=fence,
        target=intent.target,
        url=intent.url,
        intent_id=intent.order_id,
    )
