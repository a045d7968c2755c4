"""What a node believes of the targets, and when it tells the others."""

import json
from typing import Any

import pytest

from mimosaworks.node import cluster_state as module
from mimosaworks.node.cluster_state import (
    ENTRY_RENEWAL_GRACE_S,
    MODEL_CHANGES_INTERVAL_S,
    ClusterState,
)
from mimosaworks.platform import RowName, StoredRow


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> dict[str, float]:
    made = {'now': 1000.0}
    monkeypatch.setattr(module, 'now_s', lambda: made['now'])
    return made


def row(name: str, version: int, **changes: Any) -> StoredRow:
    entry = {
        'service': 'engines',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'slots': 4,
        'state': 'ready',
        'born': 1,
        'models': [],
        **changes,
    }
    return StoredRow(
        RowName('servers', name), version, json.dumps(entry).encode()
    )


def test_a_leaving_target_is_told_at_once(clock: dict[str, float]) -> None:
    beliefs = ClusterState()
    beliefs.apply_target_rows({'t': row('t', 1)}, 0)
    before = beliefs.targets_version
    beliefs.apply_target_rows({'t': row('t', 2, state='draining')}, 0)
    assert beliefs.targets_version == before + 1


def test_changed_models_are_told_after_a_while(
    clock: dict[str, float],
) -> None:
    # Each beat of a large fleet would else carry all targets.
    beliefs = ClusterState()
    beliefs.apply_target_rows({'t': row('t', 1)}, 0)
    before = beliefs.targets_version
    held = [{'name': 'alpha', 'adapters': []}]
    beliefs.apply_target_rows({'t': row('t', 2, models=held)}, 0)
    assert beliefs.targets_version == before
    clock['now'] += MODEL_CHANGES_INTERVAL_S + 1
    beliefs.apply_target_rows({'t': row('t', 3)}, 0)
    assert beliefs.targets_version == before + 1


def test_entries_missing_after_an_outage_are_kept_for_a_while(
    clock: dict[str, float],
) -> None:
    beliefs = ClusterState()
    beliefs.apply_target_rows({'t': row('t', 1), 'u': row('u', 2)}, 0)
    outage_end_s = clock['now']
    clock['now'] += ENTRY_RENEWAL_GRACE_S / 2
    beliefs.apply_target_rows({'t': row('t', 3)}, outage_end_s)
    assert set(beliefs.targets) == {'t', 'u'}
    clock['now'] += ENTRY_RENEWAL_GRACE_S
    beliefs.apply_target_rows({'t': row('t', 4)}, outage_end_s)
    assert set(beliefs.targets) == {'t'}


# Guards against entries that are missing after an outage and are kept until the
# next change of any entry, though their targets have gone.
def test_a_kept_entry_is_dropped_without_another_change(
    clock: dict[str, float],
) -> None:
    beliefs = ClusterState()
    beliefs.apply_target_rows({'t': row('t', 1), 'u': row('u', 2)}, 0)
    outage_end_s = clock['now']
    beliefs.apply_target_rows({'t': row('t', 3)}, outage_end_s)
    beliefs.record_targets_read(clock['now'])
    assert set(beliefs.targets) == {'t', 'u'}
    before = beliefs.targets_version
    clock['now'] += ENTRY_RENEWAL_GRACE_S + 0.1
    beliefs.record_targets_read(clock['now'])
    assert set(beliefs.targets) == {'t'}
    assert beliefs.targets_version > before


@pytest.mark.parametrize(
    'content',
    [b'\xff\xfe', b'[]', b'{"service": 3}', b'{"service": "engines"}'],
)
def test_an_unreadable_entry_names_no_target(
    clock: dict[str, float], content: bytes
) -> None:
    beliefs = ClusterState()
    foreign = StoredRow(RowName('servers', 'x'), 2, content)
    beliefs.apply_target_rows({'t': row('t', 1), 'x': foreign}, 0)
    assert set(beliefs.targets) == {'t'}


def test_an_older_version_never_comes_back() -> None:
    beliefs = ClusterState()
    limits = {
        'max-header-bytes': 1,
        'max-body-bytes': 1,
        'header-timeout-ms': 1,
        'idle-timeout-ms': 1,
    }

    def desired(version: int, at: int) -> dict[str, StoredRow]:
        content = json.dumps({'version': version, 'limits': limits}).encode()
        return {'config': StoredRow(RowName('op', 'config'), at, content)}

    assert beliefs.apply_deployment_rows(desired(5, 1))
    assert not beliefs.apply_deployment_rows(desired(4, 2))
    assert not beliefs.apply_deployment_rows({
        'config': StoredRow(RowName('op', 'config'), 3, b'nonsense')
    })
    assert beliefs.deployment is not None
    assert beliefs.deployment.version == 5
