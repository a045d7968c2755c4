"""Tests that docs/sheets.md and the examples agree with the code."""

import re
from pathlib import Path

import pytest

from mimosaworks.entities import ENTITY_TYPES, Catalogue
from mimosaworks.sheets import columns_of, plan_sheet, read_sheet
from tests.catalogue import ROOT, table_rows

EXAMPLES = sorted((ROOT / 'examples').glob('*.csv'))


def test_page_lists_the_columns_of_each_kind() -> None:
    listed_words = {
        row[0]: set(re.findall(r'\w+', row[1])) - {'or'}
        for row in table_rows('sheets.md')
    }
    assert listed_words == {
        kind: set(columns_of(kind)) for kind in ENTITY_TYPES
    }


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.name)
def test_example_sheet_has_no_faults(path: Path) -> None:
    empty = Catalogue()
    plan = plan_sheet(read_sheet(path.read_bytes(), empty), empty, prune=True)
    assert plan.steps
    assert not plan.faults
