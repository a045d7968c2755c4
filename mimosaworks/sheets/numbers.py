"""Reads numbers as spreadsheets of several countries write them."""

import re
from decimal import Decimal

from mimosaworks.sheets.cell_error import CellError

BYTES_PER_GB = 10**9

_PLAIN = re.compile(r'-?\d+(\.\d+)?', re.ASCII)
_SPACED_GROUPS = re.compile(r'-?\d{1,3}([ \u00a0\u202f]\d{3})+(?!\d)', re.ASCII)
_SPACES = re.compile(r'[ \u00a0\u202f]')
_GROUPED = re.compile(r'-?\d{1,3}([.,]\d{3})+', re.ASCII)
_EXPONENT = re.compile(r'-?\d+([.,]\d+)?[eE][+-]?\d+')


def parse_decimal(text: str, has_decimal_comma: bool) -> Decimal:
    """Return the number that a cell's text stands for.

    Spaces between groups of three digits are passed over. A comma is a
    decimal mark only where has_decimal_comma is set, as in sheets whose
    cells are separated by semicolons; there a mark before three digits is
    refused, since it may separate thousands. Raises CellError.
    """
    if _SPACED_GROUPS.match(text):
        text = _SPACES.sub('', text)
    _refuse_doubtful(text, has_decimal_comma)
    if has_decimal_comma:
        text = text.replace(',', '.', 1)
    if not _PLAIN.fullmatch(text):
        raise CellError(f'must be a number, not {text!r}')
    return Decimal(text)


def parse_whole(text: str, has_decimal_comma: bool) -> int:
    """Return the whole number that a cell's text stands for."""
    number = parse_decimal(text, has_decimal_comma)
    if number != int(number):
        raise CellError(f'must be a whole number, not {text!r}')
    return int(number)


def parse_gigabytes(text: str, has_decimal_comma: bool) -> int:
    """Return the bytes in a number of gigabytes (10^9 bytes)."""
    size_bytes = parse_decimal(text, has_decimal_comma) * BYTES_PER_GB
    if size_bytes != int(size_bytes):
        raise CellError(f'must be a whole number of bytes, not {text!r} GB')
    return int(size_bytes)


def _refuse_doubtful(text: str, has_decimal_comma: bool) -> None:
    if _EXPONENT.fullmatch(text):
        raise CellError(
            f'{text!r} may have lost digits: format the cell as a number'
        )
    if has_decimal_comma and _GROUPED.fullmatch(text):
        raise CellError(
            f'{text!r} may mean thousands or a fraction: write it without '
            'separators, or with another number of decimals'
        )
