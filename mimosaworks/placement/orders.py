"""Which orders are due under the intents."""

from mimosaworks.placement.evidence import (
    held_state,
    is_ended,
    is_load_known,
    is_ready,
)
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.ledger import Ledger
from mimosaworks.placement.order import Order

LOAD = 'load'
UNLOAD = 'unload'


def due_orders(ledger: Ledger, fence: int, now: float) -> list[Order]:
    """Return the orders to send now, only for intents in the table.

    An order is sent again with the same id until the target reports on it:
    engines take each id once.
    """
    orders = []
    for intent in ledger.rows.values():
        order = _due_order(ledger, intent, fence, now)
        if order is not None:
            orders.append(order)
    return orders


def order_sent(
    ledger: Ledger, order: Order, now: float, retry_s: float
) -> None:
    """Note that an order is about to leave."""
    track = ledger.tracks.get(order.intent_id)
    if track is None:
        return
    track.next_send_s = now + retry_s
    if order.action.startswith(UNLOAD):
        track.unload_sent_s = now
    else:
        track.load_sent_s = now


def order_refused(ledger: Ledger, order: Order) -> None:
    """Note that a target refused a load for lack of memory."""
    track = ledger.tracks.get(order.intent_id)
    if track is not None and order.order_id == order.intent_id:
        track.is_refused = True


def _due_order(
    ledger: Ledger, intent: Intent, fence: int, now: float
) -> Order | None:
    is_known = intent.target in ledger.views
    track = ledger.tracks[intent.order_id]
    if not is_known or now < track.next_send_s:
        return None
    if _is_changing(ledger, intent):
        return None
    if intent.state is IntentState.UNLOAD:
        return _due_unload(ledger, intent, fence)
    is_over = is_ended(ledger, intent)
    if is_over or held_state(ledger, intent) is not None:
        return None
    if not _has_base(ledger, intent):
        return None
    return _order(intent, LOAD, intent.order_id, fence)


def _due_unload(ledger: Ledger, intent: Intent, fence: int) -> Order | None:
    track = ledger.tracks[intent.order_id]
    known = ledger.views[intent.target].report.orders
    is_gone = held_state(ledger, intent) is None
    if is_gone and not _needs_fence(ledger, intent):
        return None
    if not track.unload_id or track.unload_id in known:
        # An engine ignores an id that it has seen, so what is still (or
        # again) loaded after one unload needs an order of its own.
        track.unload_count += 1
        suffix = f'{fence}-{track.unload_count}'
        track.unload_id = f'{intent.order_id}-u{suffix}'
    return _order(intent, UNLOAD, track.unload_id, fence)


def _needs_fence(ledger: Ledger, intent: Intent) -> bool:
    """Whether a target has to learn the number though nothing is loaded."""
    if not intent.checks_fence or is_load_known(ledger, intent):
        return False
    known = ledger.views[intent.target].report.orders
    return ledger.tracks[intent.order_id].unload_id not in known


def _is_changing(ledger: Ledger, intent: Intent) -> bool:
    # A change of the row that isn't in the table yet may cross the order.
    order_id = intent.order_id
    return order_id in ledger.pending or order_id in ledger.sent


def _has_base(ledger: Ledger, intent: Intent) -> bool:
    if not intent.adapter:
        return True
    base = ledger.find(intent.target, intent.model)
    return base is not None and is_ready(ledger, base)


def _order(intent: Intent, action: str, order_id: str, fence: int) -> Order:
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
