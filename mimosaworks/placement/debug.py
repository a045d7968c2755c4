"""Debug page with the lease, intents and reports that a placer knows."""

from typing import Any

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.placement.intent_status import reported_state
from mimosaworks.placement.shard_placer import ShardPlacer


def add_debug_handler(app: web.Application, placer: ShardPlacer) -> None:
    """Serve GET /debug/placement: lease, intents and targets as JSON."""

    async def answer(_: web.Request) -> web.Response:
        return web.json_response(_describe_placer(placer, now_s()))

    app.router.add_get('/debug/placement', answer)


def _describe_placer(placer: ShardPlacer, now: float) -> dict[str, Any]:
    ledger = placer.state.ledger
    row = placer.lease.row
    return {
        'shard': placer.shard,
        'lease': None if row is None else attrs.asdict(row),
        'is_holder': placer.is_holder,
        'may_act': placer.lease.may_send_orders(now),
        'config_version': placer.state.catalogue.version,
        'intents': [
            {
                'order_id': intent.order_id,
                'state': intent.state.value,
                'model': intent.model,
                'adapter': intent.adapter,
                'target': intent.target,
                'size_bytes': intent.size_bytes,
                'reported': reported_state(ledger, intent),
            }
            for intent in ledger.intents().values()
        ],
        'report_age_s': {
            target: now - view.requested_s
            for target, view in ledger.latest_reports.items()
        },
    }
