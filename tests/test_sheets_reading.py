"""Tests of reading a planner's sheet."""

import codecs
from decimal import Decimal

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosaworks.entities import Adapter, Catalogue, Model, Target, Workspace
from mimosaworks.sheets import CellError, Sheet, read_sheet
from mimosaworks.sheets.cells import parse_boolean, parse_time
from mimosaworks.sheets.numbers import (
    parse_decimal,
    parse_gigabytes,
    parse_whole,
)

EMPTY = Catalogue()
LLAMA = Model('llama', 'ckpt', 14_500_000_000, ready_from_min=480)

PLAIN = """kind,name,checkpoint,size_gb,ready_from_utc,ready_until_utc,model
model,llama,ckpt/llama,14.5,08:00,18:30,
adapter,appeals,,0.05,,,llama
"""


def faults_of(text: str, catalogue: Catalogue = EMPTY) -> list[str]:
    return [str(one) for one in read_sheet(text.encode(), catalogue).faults]


def entities_of(sheet: Sheet) -> tuple[object, ...]:
    assert not sheet.faults
    return tuple(sheet.entities.values())


EXPECTED = (
    Model(
        'llama',
        'ckpt/llama',
        14_500_000_000,
        ready_from_min=480,
        ready_until_min=1110,
    ),
    Adapter('appeals', 'llama', 50_000_000),
)


def test_plain_sheet_is_read_with_sizes_and_times() -> None:
    assert entities_of(read_sheet(PLAIN.encode(), EMPTY)) == EXPECTED


@pytest.mark.parametrize(
    'content',
    [
        codecs.BOM_UTF8 + PLAIN.encode(),
        PLAIN.encode('utf-16'),
        PLAIN.replace('\n', '\r\n').encode(),
        PLAIN.replace('\n', '\n\n,,,,,,\n').encode(),
        PLAIN.replace('\n', ',,,\n').encode(),
        PLAIN.replace(',', ';').replace('.', ',').encode(),
        PLAIN.replace(',', '\t').encode(),
        PLAIN.replace('appeals', '"appeals"').encode(),
        PLAIN.replace('kind', '"Kind"').encode(),
        PLAIN.replace('size_gb', 'Size GB').encode(),
        PLAIN.replace('08:00', '8:00:00').encode(),
    ],
    ids=[
        'bom',
        'utf-16',
        'crlf',
        'blank-lines',
        'trailing-empty-columns',
        'semicolons-and-decimal-commas',
        'tabs',
        'quoted-cells',
        'quoted-capital-heading',
        'heading-with-space',
        'time-with-seconds',
    ],
)
def test_spreadsheet_exports_are_read_alike(content: bytes) -> None:
    assert entities_of(read_sheet(content, EMPTY)) == EXPECTED


def test_every_fault_is_named_by_row_column_and_reason() -> None:
    text = """kind,name,rate_tokens_per_s,burst_tokens,size_gb,colour
workspace,camp,fast,-1,,

workspace,cups,100,,3,
tent,x,,,,
workspace,camp,1,1,,
workspace,a/b,1,1,,,stray
"""
    assert faults_of(text) == [
        'row 1, column colour: unknown column',
        "row 2, column rate_tokens_per_s: must be a number, not 'fast'",
        "row 2, column burst_tokens: 'burst_tokens' must be > 0: -1.0",
        'row 4, column size_gb: must be empty: a workspace has no such column',
        'row 4, column burst_tokens: is required',
        'row 5, column kind: must be one of workspace, key, model, adapter, '
        "target, route, not 'tent'",
        'row 6, column name: stands in row 2 already',
        'row 7, column G: there is no heading above',
        'row 7, column name: must be 1 to 200 letters, digits and . _ : @ -, '
        'beginning with a letter or digit',
    ]


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('model,llama\n', 'row 1: there is no heading row above'),
        ('kind,pool\n', 'row 1, column name: the column is missing'),
        ('kind,name,pool,pool\n', 'row 1, column pool: the column comes twice'),
        (
            'kind,name,chekpoint\n',
            'row 1, column chekpoint: unknown column: is checkpoint meant?',
        ),
    ],
)
def test_faults_of_headings_are_named(text: str, fault: str) -> None:
    assert faults_of(text) == [fault]


def test_file_that_is_no_utf8_is_refused_with_its_row() -> None:
    content = 'kind,name\nworkspace,кемпинг'.encode('cp1251')
    sheet = read_sheet(content, EMPTY)
    assert sheet.faults[0].row == 2


def test_unclosed_quote_is_a_fault_of_its_row() -> None:
    assert faults_of('kind,name\nmodel,"llama\n')[0].startswith('row 2')


def test_second_heading_row_changes_the_columns() -> None:
    text = """kind,name,rate_tokens_per_s,burst_tokens
workspace,camp,1,2
kind,name,model,size_gb
adapter,appeals,llama,0.05
"""
    assert entities_of(read_sheet(text.encode(), EMPTY)) == (
        Workspace('camp', 1, 2),
        Adapter('appeals', 'llama', 50_000_000),
    )


def test_absent_column_keeps_the_value_and_empty_cell_resets_it() -> None:
    text = 'kind,name,ready_from_utc,replicas_min\nmodel,llama,,1\n'
    sheet = read_sheet(text.encode(), Catalogue(3, model={'llama': LLAMA}))
    assert entities_of(sheet) == (
        Model('llama', 'ckpt', 14_500_000_000, replicas_min=1),
    )


def test_kind_of_a_target_has_a_column_of_its_own() -> None:
    text = 'kind,name,url,pool,type\ntarget,t,http://t,plots,service\n'
    assert entities_of(read_sheet(text.encode(), EMPTY)) == (
        Target('t', 'http://t', 'plots', 'service'),
    )


def test_two_columns_for_one_attribute_are_a_fault() -> None:
    text = 'kind,name,model,size_gb,size_bytes\nadapter,x,m,1,5\n'
    assert faults_of(text) == [
        'row 2, column size_bytes: must be empty: another column says the same'
    ]


@pytest.mark.parametrize(
    ('text', 'comma', 'number'),
    [
        ('5 000', False, 5000),
        ('5\u00a0000', True, 5000),
        ('1 234 567,5', True, 1234567.5),
        ('1,5', True, 1.5),
        ('1.5', True, 1.5),
        ('1.500', False, 1.5),
        ('-3', False, -3),
    ],
)
def test_numbers_of_several_countries_are_read(
    text: str, comma: bool, number: float
) -> None:
    assert float(parse_decimal(text, comma)) == number


@pytest.mark.parametrize(
    ('text', 'comma'),
    [
        ('5,000', False),
        ('1,5', False),
        ('5.000', True),
        ('5,000', True),
        ('1E+06', False),
        ('1,4E+10', True),
        ('nan', False),
        ('inf', False),
        ('1.2.3', False),
        ('1 2', False),
        ('--1', False),
        ('٣', False),
    ],
)
def test_doubtful_number_is_refused_and_not_guessed(
    text: str, comma: bool
) -> None:
    with pytest.raises(CellError):
        parse_decimal(text, comma)


@settings(derandomize=True, deadline=None, database=None)
@given(st.integers(0, 10**15), st.booleans())
def test_gigabytes_are_exact_to_the_byte(size_bytes: int, comma: bool) -> None:
    text = format(Decimal(size_bytes).scaleb(-9), '.9f')
    if comma:
        text = text.replace('.', ',')
    assert parse_gigabytes(text, comma) == size_bytes


def test_fraction_of_a_count_is_refused() -> None:
    with pytest.raises(CellError, match='whole'):
        parse_whole('1.5', False)


@pytest.mark.parametrize('text', ['24:01', '08:60', '8', '8.30', '08:30:15'])
def test_time_that_is_none_is_refused(text: str) -> None:
    with pytest.raises(CellError):
        parse_time(text)


def test_midnight_may_end_the_day() -> None:
    assert parse_time('24:00') == 1440


@pytest.mark.parametrize('text', ['maybe', 'ja', '2'])
def test_boolean_is_not_guessed(text: str) -> None:
    with pytest.raises(CellError):
        parse_boolean(text)


def test_spreadsheet_error_is_no_text() -> None:
    text = 'kind,name,checkpoint,size_gb\nmodel,llama,#N/A,1\n'
    assert faults_of(text) == [
        'row 2, column checkpoint: holds the spreadsheet error #N/A'
    ]


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_are_read_or_faulted_without_an_exception(
    content: bytes,
) -> None:
    read_sheet(b''.join((b'kind,name,size_gb\nmodel,', content)), EMPTY)
