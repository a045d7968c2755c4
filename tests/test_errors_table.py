"""Tests of the table from error kind to answer."""

from mimosaworks.errors import ERROR_ANSWERS, ErrorKind


def test_every_kind_has_an_answer() -> None:
    assert set(ERROR_ANSWERS) == set(ErrorKind)
