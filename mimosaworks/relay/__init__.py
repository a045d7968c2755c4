"""Relay of answers and streams, and idempotency claims."""

from mimosaworks.relay.exchange import Exchange
from mimosaworks.relay.frontend import Frontend
from mimosaworks.relay.send_guard import guard_trace
from mimosaworks.relay.upstream import Upstream
from mimosaworks.relay.view import View

__all__ = ['Exchange', 'Frontend', 'Upstream', 'View', 'guard_trace']
