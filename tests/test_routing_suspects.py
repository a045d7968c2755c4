"""Tests of the table of crash suspects."""

from mimosaworks.routing import SuspectTable, compute_fingerprint

FINGERPRINT = compute_fingerprint('w', 'm', b'body')


def test_one_crash_told_twice_counts_once() -> None:
    table = SuspectTable()
    assert table.record_crash(FINGERPRINT, 'e1@7', 0) == 1
    assert table.record_crash(FINGERPRINT, 'e1@7', 1) == 1
    assert table.is_suspect(FINGERPRINT)
    assert not table.is_refused(FINGERPRINT)


def test_a_request_is_refused_after_its_second_crash() -> None:
    table = SuspectTable()
    table.record_crash(FINGERPRINT, 'e1@7', 0)
    table.record_crash(FINGERPRINT, 'e2@4', 1)
    assert table.is_refused(FINGERPRINT)


def test_a_run_to_the_end_clears_a_suspect() -> None:
    table = SuspectTable()
    table.record_crash(FINGERPRINT, 'e1@7', 0)
    table.clear_suspect(FINGERPRINT)
    assert not table.is_suspect(FINGERPRINT)


def test_a_crash_that_was_none_is_taken_back() -> None:
    table = SuspectTable()
    table.record_crash(FINGERPRINT, 'e1@7', 0)
    table.record_crash(FINGERPRINT, 'e2@4', 0)
    table.retract_crash(FINGERPRINT, 'e1@7')
    assert table.is_suspect(FINGERPRINT)
    assert not table.is_refused(FINGERPRINT)
    table.retract_crash(FINGERPRINT, 'e2@4')
    assert not table.is_suspect(FINGERPRINT)


def test_marks_tell_workspace_model_and_body_apart() -> None:
    marks = {
        compute_fingerprint('w', 'm', b'x'),
        compute_fingerprint('wm', '', b'x'),
        compute_fingerprint('w', 'm', b'y'),
        compute_fingerprint('w', 'n', b'x'),
    }
    assert len(marks) == 4
