"""A route from a path prefix to a pool of targets."""

import attrs

ROUTE_KINDS = ('model', 'service')
DEFAULT_DEADLINE_S = 30.0


@attrs.frozen
class Route:
    """Requests under path go to the targets of pool.

    Kind model: the body names the model; service: bodies pass unread.
    is_open routes need no key. is_idempotent tells whether calls with unsafe
    methods may be repeated. deadline_s is the default in seconds.
    cost_tokens is what one service call takes from the workspace's grant.
    workspaces limits the route to these (comma-separated); empty means any.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    path: str = attrs.field(validator=attrs.validators.matches_re('/.*'))
    pool: str = attrs.field(validator=attrs.validators.min_len(1))
    kind: str = attrs.field(
        default='model', validator=attrs.validators.in_(ROUTE_KINDS)
    )
    is_open: bool = False
    is_idempotent: bool = False
    deadline_s: float = attrs.field(
        default=DEFAULT_DEADLINE_S, validator=attrs.validators.gt(0)
    )
    cost_tokens: float = 0
    workspaces: str = ''
