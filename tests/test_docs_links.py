"""Relative links of the pages lead somewhere."""

import re

import pytest

from tests.catalogue import ROOT

PAGES = sorted([*ROOT.glob('*.md'), *(ROOT / 'docs').rglob('*.md')])


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_each_relative_link_exists(page: 'object') -> None:
    text = page.read_text()  # type: ignore[attr-defined]
    links = re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', text)
    missing = [
        link
        for link in links
        if not (page.parent / link).exists()  # type: ignore[attr-defined]
    ]
    assert not missing
