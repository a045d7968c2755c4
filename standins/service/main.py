"""Starts the plain service stand-in."""

import click

from standins.service.app import make_app
from standins.serving import run, serve_until_stopped


@click.command()
@click.option('--listen', required=True, help='HOST:PORT to serve on.')
@click.option(
    '--journal', default='', help='File that gets each run as a line.'
)
def main(listen: str, journal: str) -> None:
    """Run a service that echoes requests and counts them by request id."""
    run(serve_until_stopped(make_app(journal), 'service', listen))


if __name__ == '__main__':
    main()
