"""Tests of the table from error kind to answer."""

from syrupy.assertion import SnapshotAssertion

from mimosaworks.errors import ERROR_ANSWERS, ErrorKind


def test_every_kind_has_an_answer() -> None:
    assert set(ERROR_ANSWERS) == set(ErrorKind)


def test_answers_of_the_kinds_stay_as_they_are(
    snapshot: SnapshotAssertion,
) -> None:
    lines = [
        ' '.join((
            kind.value,
            str(answer.status.value),
            answer.run_state.value,
            str(answer.retry_after_s),
        ))
        for kind, answer in ERROR_ANSWERS.items()
    ]
    assert lines == snapshot
