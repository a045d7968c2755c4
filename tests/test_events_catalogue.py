"""Tests that docs/events.md and the code agree, and of log lines."""

import ast
import types
from typing import Any

import pytest

from mimosaworks.events import Event, log_event
from tests.catalogue import listed, members_of, package_nodes, table_rows

CATALOGUE = types.MappingProxyType({
    row[1].upper(): row for row in table_rows('events.md')
})


def is_log_call(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id == 'log_event'
    )


def test_catalogue_lists_every_event_with_its_number() -> None:
    documented = {name: row[0] for name, row in CATALOGUE.items()}
    assert documented == {one.name: f'E{one.value}' for one in Event}


def test_catalogue_lists_every_field_that_the_code_writes() -> None:
    written: dict[str, set[str]] = {}
    calls: Any = [node for _, node in package_nodes() if is_log_call(node)]
    for call in calls:
        fields = {str(word.arg) for word in call.keywords}
        for name in members_of('Event', call.args[0]):
            written.setdefault(name, set()).update(fields)
    documented = {
        event: listed(row[2])
        for event, row in CATALOGUE.items()
        if event in written
    }
    assert written
    assert documented == written


def test_line_holds_number_name_and_fields_in_order(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO', logger='absl')
    log_event(
        Event.ORDER_SENT, model='a "b"\n', seconds=0.25, names=['x'], count=3
    )
    assert caplog.messages == [
        r'E502 order_sent model="a \"b\"\n" seconds=0.2500 names=["x"] '
        'count=3',
    ]
