"""Tests of what applying a sheet would change."""

import pytest

from mimosaworks.entities import (
    Adapter,
    Catalogue,
    Key,
    Model,
    Target,
    Workspace,
    apply_changes,
    digest_key,
)
from mimosaworks.sheets import Plan, plan_sheet, read_sheet

PRESENT = Catalogue(
    7,
    workspace={'camp': Workspace('camp', 100, 200)},
    key={'desk': Key('desk', digest_key('k'), 'camp')},
    model={'llama': Model('llama', 'c', 1000), 'old': Model('old', 'c', 1)},
    adapter={'appeals': Adapter('appeals', 'old', 10)},
    target={'e1': Target('e1', 'http://e1', 'models', memory_bytes=5000)},
)


def plan_of(text: str, prune: bool = False) -> Plan:
    sheet = read_sheet(text.encode(), PRESENT)
    return plan_sheet(sheet, PRESENT, prune)


def test_plan_names_each_action_and_difference() -> None:
    plan = plan_of(
        'kind,name,size_bytes,checkpoint,replicas_max\n'
        'model,llama,2000,c,3\nmodel,new,5,c,1\nmodel,old,1,c,1\n'
    )
    assert [str(step) for step in plan.steps] == [
        'update model llama: size_bytes 1000 -> 2000, replicas_max 1 -> 3',
        'create model new',
    ]
    assert plan.base_version == 7


def test_planning_again_after_applying_changes_nothing() -> None:
    text = 'kind,name,rate_tokens_per_s,burst_tokens\nworkspace,cups,5,6\n'
    plan = plan_of(text)
    after = apply_changes(PRESENT, plan.changes, 8)
    assert not plan_sheet(read_sheet(text.encode(), after), after, False).steps


def test_rows_that_the_sheet_lacks_are_kept_without_prune() -> None:
    plan = plan_of('kind,name,replicas_max\nmodel,llama,2\n')
    assert [step.action for step in plan.steps] == ['update']


def test_prune_deletes_only_kinds_that_the_sheet_holds() -> None:
    plan = plan_of('kind,name,model\nadapter,appeals,llama\n', prune=True)
    assert [str(step) for step in plan.steps] == [
        "update adapter appeals: model 'old' -> 'llama'"
    ]


def test_prune_of_a_model_that_an_adapter_needs_is_a_fault() -> None:
    plan = plan_of('kind,name,replicas_max\nmodel,llama,2\n', prune=True)
    assert [str(fault) for fault in plan.faults] == [
        "adapter appeals model: there is no model 'old'"
    ]


def test_row_that_could_not_be_read_is_not_pruned() -> None:
    plan = plan_of('kind,name,replicas_max\nmodel,old,many\n', prune=True)
    assert [str(step) for step in plan.steps] == ['delete model llama']


def test_faults_between_entities_name_the_row_and_column() -> None:
    plan = plan_of(
        'kind,name,model,size_gb,ready_from_utc\n'
        'adapter,x,none,1,\nmodel,llama,,0.000001,08:00\n'
    )
    assert [str(fault) for fault in plan.faults] == [
        "row 2, column model: there is no model 'none'",
        'row 3, column ready_until_utc: must be a time of the day other than '
        'that of ready_from_min',
    ]


def test_reference_to_an_unreadable_row_is_no_second_fault() -> None:
    plan = plan_of(
        'kind,name,model,size_gb,checkpoint\n'
        'model,new,,big,c\nadapter,x,new,1,\n'
    )
    assert [str(fault) for fault in plan.faults] == [
        "row 2, column size_gb: must be a number, not 'big'"
    ]


@pytest.mark.parametrize(
    ('pool', 'size', 'reason'),
    [
        ('none', '1', 'column pool: pool none has no targets'),
        ('models', '9000', 'column size_bytes: no target of pool models'),
    ],
)
def test_model_that_fits_nowhere_is_a_warning(
    pool: str, size: str, reason: str
) -> None:
    plan = plan_of(f'kind,name,pool,size_bytes\nmodel,llama,{pool},{size}\n')
    assert not plan.faults
    assert f'warning: row 2, {reason}' in str(plan.warnings[0])
