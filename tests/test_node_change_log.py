"""Readers of a change log see the same rows, however far behind they were."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaworks.node.change_log import MAX_GONE, ChangeLog, apply_changes

NAMES = st.sampled_from('abcde')
STEPS = st.lists(
    st.tuples(NAMES, st.one_of(st.none(), st.integers(0, 2)), st.booleans())
)


def read(log: ChangeLog[int], known: dict[str, int], version: int) -> None:
    """Bring a reader's rows up to date."""
    names = {row: name for name, row in log.rows.items()}
    changes = log.since(version)
    before = {} if changes.is_whole else dict(known)
    rows = {names[row]: row for row in changes.rows}
    known.clear()
    known.update(apply_changes(before, rows, changes.gone))


@given(STEPS)
def test_a_reader_that_falls_behind_sees_all_changes(
    steps: list[tuple[str, int | None, bool]],
) -> None:
    log: ChangeLog[int] = ChangeLog()
    known: dict[str, int] = {}
    version = 0
    for name, row, is_read in steps:
        if row is None:
            log.drop(name)
        else:
            log.set(name, ord(name) * 10 + row)
        if is_read:
            read(log, known, version)
            version = log.version
            assert known == log.rows


def test_a_version_grows_with_changes_only() -> None:
    log: ChangeLog[int] = ChangeLog()
    assert log.set('a', 1)
    assert not log.set('a', 1)
    assert log.version == 1
    log.replace({'b': 2})
    assert log.rows == {'b': 2}
    assert log.version == 3


def test_a_reader_behind_the_forgotten_removals_reads_all() -> None:
    log: ChangeLog[int] = ChangeLog()
    for number in range(MAX_GONE + 2):
        log.set(f'n{number}', number)
        log.drop(f'n{number}')
    log.set('last', 1)
    assert log.since(1).is_whole
    assert not log.since(log.version - 1).is_whole
    assert log.since(log.version + 1).is_whole
