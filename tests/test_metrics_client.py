"""Tests of metrics, and that docs/metrics.md and the code agree."""

import socket

import pytest

from mimosaworks.metrics import Metric, open_metrics
from tests.catalogue import (
    PACKAGE,
    listed,
    members_of,
    package_nodes,
    table_rows,
)

WAIT_S = 10


def test_catalogue_lists_every_metric_and_who_sends_it() -> None:
    senders: dict[str, set[str]] = {metric.value: set() for metric in Metric}
    for path, node in package_nodes():
        package = path.relative_to(PACKAGE).parts[0]
        for name in members_of('Metric', node):
            senders[Metric[name].value].add(package)
    documented = {row[0]: listed(row[2]) for row in table_rows('metrics.md')}
    assert documented == senders


def test_each_call_sends_one_datagram_with_name_and_type() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(WAIT_S)
        port = sock.getsockname()[1]
        with open_metrics(f'127.0.0.1:{port}', 'router') as metrics:
            metrics.count(Metric.REQUESTS_ANSWERED, 2)
            metrics.gauge(Metric.CONFIG_VERSION, 7)
            metrics.timing(Metric.REQUEST_WAIT, 0.25)
        received = [sock.recv(100).decode() for _ in range(3)]
    assert received == [
        'mimosaworks.router.requests.answered:2|c',
        'mimosaworks.router.config.version:7|g',
        'mimosaworks.router.requests.wait_ms:250.000000|ms',
    ]


def test_client_without_an_address_sends_nothing() -> None:
    with open_metrics('', 'router') as metrics:
        metrics.count(Metric.REQUESTS_ANSWERED)
        assert metrics.sender is None


@pytest.mark.parametrize('address', ['localhost', 'localhost:'])
def test_address_without_a_port_is_refused(address: str) -> None:
    with pytest.raises(ValueError, match='invalid'):
        open_metrics(address, 'router').__enter__()
