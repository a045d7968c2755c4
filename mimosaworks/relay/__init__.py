"""Relay of answers and streams, and idempotency claims."""

from mimosaworks.relay.claim_book import ClaimBook
from mimosaworks.relay.claimed_run import ClaimedRuns
from mimosaworks.relay.cutoff import Cutoff
from mimosaworks.relay.exchange import Exchange
from mimosaworks.relay.frontend import Frontend
from mimosaworks.relay.sent_call import CheckEnd, SentCall
from mimosaworks.relay.upstream import Upstream
from mimosaworks.relay.view import View
from mimosaworks.send_guard import guard_trace

__all__ = [
    'CheckEnd',
    'ClaimBook',
    'ClaimedRuns',
    'Cutoff',
    'Exchange',
    'Frontend',
    'SentCall',
    'Upstream',
    'View',
    'guard_trace',
]
