"""Readers of a change log see the same rows, however far behind they were."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaworks.node.change_log import (
    MAX_REMOVED_NAMES,
    ChangeLog,
    apply_changes,
)

NAMES = st.sampled_from('abcde')
STEPS = st.lists(
    st.tuples(NAMES, st.one_of(st.none(), st.integers(0, 2)), st.booleans())
)


def read(log: ChangeLog[int], known: dict[str, int], version: int) -> None:
    """Bring a reader's rows up to date."""
    names = {row: name for name, row in log.rows.items()}
    changes = log.changes_since(version)
    before = {} if changes.is_full_snapshot else dict(known)
    rows = {names[row]: row for row in changes.rows}
    known.clear()
    known.update(apply_changes(before, rows, changes.removed_names))


@given(STEPS)
def test_a_reader_that_falls_behind_sees_all_changes(
    steps: list[tuple[str, int | None, bool]],
) -> None:
    log: ChangeLog[int] = ChangeLog()
    known: dict[str, int] = {}
    version = 0
    for name, row, is_read in steps:
        if row is None:
            log.remove_row(name)
        else:
            log.set_row(name, ord(name) * 10 + row)
        if is_read:
            read(log, known, version)
            version = log.version
            assert known == log.rows


def test_a_version_grows_with_changes_only() -> None:
    log: ChangeLog[int] = ChangeLog()
    assert log.set_row('a', 1)
    assert not log.set_row('a', 1)
    assert log.version == 1
    log.replace_rows({'b': 2})
    assert log.rows == {'b': 2}
    assert log.version == 3


def test_a_reader_behind_the_forgotten_removals_reads_all() -> None:
    log: ChangeLog[int] = ChangeLog()
    for number in range(MAX_REMOVED_NAMES + 2):
        log.set_row(f'n{number}', number)
        log.remove_row(f'n{number}')
    log.set_row('last', 1)
    assert log.changes_since(1).is_full_snapshot
    assert not log.changes_since(log.version - 1).is_full_snapshot
    assert log.changes_since(log.version + 1).is_full_snapshot
