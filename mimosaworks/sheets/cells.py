"""Reads the other kinds of cells: text, lists, times and yes or no."""

import re
import types

from mimosaworks.sheets.cell_error import CellError

MINUTES_PER_HOUR = 60
MINUTES_A_DAY = 1440

_TIME = re.compile(r'(\d{1,2}):(\d{2})(:00)?', re.ASCII)
_BOOLEANS = types.MappingProxyType({
    'yes': True,
    'true': True,
    '1': True,
    'no': False,
    'false': False,
    '0': False,
})
_SPREADSHEET_ERROR = re.compile(r'#(REF|N/A|NAME|VALUE|DIV/0|NULL|NUM).*')


def parse_text(text: str, _: bool = False) -> str:
    """Return the text; raises CellError for a spreadsheet's error value."""
    if _SPREADSHEET_ERROR.fullmatch(text):
        raise CellError(f'holds the spreadsheet error {text}')
    return text


def parse_list(text: str, _: bool = False) -> str:
    """Return names that are separated by commas, without spaces."""
    names = parse_text(text).split(',')
    return ','.join(filter(None, (name.strip() for name in names)))


def parse_boolean(text: str, _: bool = False) -> bool:
    """Return whether a cell says yes."""
    found = _BOOLEANS.get(text.lower())
    if found is None:
        raise CellError(f'must be yes or no, not {text!r}')
    return found


def parse_time(text: str, _: bool = False) -> int:
    """Return the minutes after midnight of a time, HH:MM up to 24:00."""
    found = _TIME.fullmatch(text)
    if found is not None:
        hour = int(found.group(1))
        minute = int(found.group(2))
        total_min = hour * MINUTES_PER_HOUR + minute
        is_time = minute < MINUTES_PER_HOUR and total_min <= MINUTES_A_DAY
        if is_time:
            return total_min
    raise CellError(f'must be a time like 08:30, not {text!r}')
