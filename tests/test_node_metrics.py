"""Tests that docs/node-metrics.md and the node's metrics agree."""

from mimosaworks.node.meters import Meters
from tests.catalogue import table_rows


def test_the_page_lists_every_metric_with_its_type() -> None:
    documented = {
        row[0]: row[1] for row in table_rows('node-metrics.md') if row[0]
    }
    served = {
        family.name: family.type for family in Meters().registry.collect()
    }
    assert documented == served
