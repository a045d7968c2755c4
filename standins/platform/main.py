"""Starts the platform stand-in."""

import click

from standins.platform.app import make_app
from standins.platform.platform import Platform
from standins.platform.weight_store import WeightStore
from standins.serving import run, serve_until_stopped

LOADS_PER_S = 3.0
LOADS_AT_ONCE = 4
BANDWIDTH_BYTES_S = 1_000_000_000.0


@click.command()
@click.option('--listen', required=True, help='HOST:PORT to serve on.')
@click.option(
    '--loads-per-s', type=float, default=LOADS_PER_S, show_default=True
)
@click.option(
    '--loads-at-once', type=int, default=LOADS_AT_ONCE, show_default=True
)
@click.option(
    '--bandwidth-bytes-s',
    type=float,
    default=BANDWIDTH_BYTES_S,
    show_default=True,
    help='Speed of one transfer from the weight store.',
)
def main(
    listen: str,
    loads_per_s: float,
    loads_at_once: int,
    bandwidth_bytes_s: float,
) -> None:
    """Run the table, object store, weight store and VM list."""
    weights = WeightStore(loads_per_s, loads_at_once, bandwidth_bytes_s)
    app = make_app(Platform(weights))
    run(serve_until_stopped(app, 'platform', listen))


if __name__ == '__main__':
    main()
