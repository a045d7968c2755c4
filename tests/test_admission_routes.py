"""Tests of matching paths with routes."""

import pytest

from mimosaworks.admission import find_route
from mimosaworks.entities import Catalogue, Route
from mimosaworks.errors import ErrorKind, RequestError

CATALOGUE = Catalogue(
    route={
        'open': Route('open', '/open', 'p', 'service', is_open=True),
        'plots': Route('plots', '/open/plots', 'p', 'service'),
    }
)


def test_the_longest_prefix_of_whole_segments_wins() -> None:
    assert find_route(CATALOGUE, '/open/plots/7').name == 'plots'
    assert find_route(CATALOGUE, '/open/plots7').name == 'open'


def test_a_path_without_route_is_refused() -> None:
    with pytest.raises(RequestError) as caught:
        find_route(CATALOGUE, '/opened')
    assert caught.value.kind is ErrorKind.UNKNOWN_ROUTE


@pytest.mark.parametrize('path', ['/open/../plots', '/open/./x', r'/open\..'])
def test_a_path_that_a_target_could_resolve_elsewhere_is_refused(
    path: str,
) -> None:
    with pytest.raises(RequestError) as caught:
        find_route(CATALOGUE, path)
    assert caught.value.kind is ErrorKind.BAD_REQUEST
