"""Reads catalogues in the docs and their counterparts in the code."""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / 'mimosaworks'


def table_rows(page: str) -> list[list[str]]:
    """Return the cells of each row of a page's tables, headings left out."""
    lines = (ROOT / 'docs' / page).read_text().splitlines()
    rows = [line.strip('|').split('|') for line in lines if line[:1] == '|']
    cells = [[cell.strip().strip('`') for cell in row] for row in rows]
    is_rule = [set(row[0]) <= {'-'} for row in cells]
    headings = {place - 1 for place, rule in enumerate(is_rule) if rule}
    return [
        row
        for place, row in enumerate(cells)
        if not is_rule[place] and place not in headings
    ]


def listed(cell: str) -> set[str]:
    """Return the words of a cell that are separated by commas."""
    return {word.strip(' `') for word in cell.split(',')} - {''}


def _modules() -> Iterator[tuple[Path, ast.Module]]:
    for path in sorted(PACKAGE.rglob('*.py')):
        yield path, ast.parse(path.read_text())


# Parsed while the tests are collected: a finalizer of another test's objects
# that formats a traceback parses too, and parsing is not re-entrant.
MODULES = tuple(_modules())


def package_nodes() -> Iterator[tuple[Path, ast.AST]]:
    """Yield each syntax node of the package with its module's path."""
    for path, module in MODULES:
        for node in ast.walk(module):
            yield path, node


def members_of(enum_name: str, node: ast.AST) -> set[str]:
    """Return the names of the members of an enum that a node mentions."""
    return {
        one.attr
        for one in ast.walk(node)
        if isinstance(one, ast.Attribute)
        and isinstance(one.value, ast.Name)
        and one.value.id == enum_name
    }
