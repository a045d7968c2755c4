"""Settings of mimosa-admin."""

from typing import Any

import attrs

from mimosaworks.admin.operators import parse_operators
from mimosaworks.settings import option


def _operators(_instance: Any, _field: Any, content: str) -> None:
    parse_operators(content)


@attrs.frozen
class AdminSettings:
    """Where mimosa-admin listens, whom it asks and who may use it."""

    http_address: str = option("Address, host:port, of the operators' API.")
    peer_address: str = option(
        'Address, host:port, that other processes of the system reach.'
    )
    platform_url: str = option('Base URL of the platform.')
    operator_token: str = option(
        'Token of the operators, or name:token pairs with commas between.',
        validator=_operators,
        is_secret=True,
    )
    data_centre: str = option('Data centre of this VM.', default='')
    statsd_address: str = option(
        'Address, host:port, of a statsd daemon; empty for no metrics.',
        default='',
    )
