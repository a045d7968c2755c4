"""Settings of mimosa-router."""

import attrs

from mimosaworks.settings import option

_POSITIVE = attrs.validators.gt(0)
DEFAULT_MAX_BODY_BYTES = 8388608  # 8 MiB
DEFAULT_BODY_TIMEOUT_S = 10.0
DEFAULT_MAX_IN_FLIGHT = 32
DEFAULT_DIRECTORY_MAX_AGE_S = 5.0
DEFAULT_DRAIN_S = 60.0


@attrs.frozen
class RouterSettings:
    """Where mimosa-router listens, whom it asks and what bounds it keeps."""

    http_address: str = option('Address, host:port, that callers reach.')
    peer_address: str = option(
        'Address, host:port, that other processes of the system reach.'
    )
    platform_url: str = option('Base URL of the platform.')
    data_centre: str = option('Data centre of this VM.', default='')
    statsd_address: str = option(
        'Address, host:port, of a statsd daemon; empty for no metrics.',
        default='',
    )
    max_body_bytes: int = option(
        'Largest body of a request, in bytes.',
        default=DEFAULT_MAX_BODY_BYTES,
        validator=_POSITIVE,
    )
    body_timeout_s: float = option(
        'Time in which a body must arrive, in seconds.',
        default=DEFAULT_BODY_TIMEOUT_S,
        validator=_POSITIVE,
    )
    max_in_flight: int = option(
        'Most requests of this router at one target.',
        default=DEFAULT_MAX_IN_FLIGHT,
        validator=_POSITIVE,
    )
    directory_max_age_s: float = option(
        'Time for which callers may keep the list of entries, in seconds.',
        default=DEFAULT_DIRECTORY_MAX_AGE_S,
        validator=_POSITIVE,
    )
    drain_s: float = option(
        'Longest time that a stop waits for running requests, in seconds.',
        default=DEFAULT_DRAIN_S,
        validator=_POSITIVE,
    )
