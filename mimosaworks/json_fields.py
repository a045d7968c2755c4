"""Checked access to the fields of decoded JSON."""

import json
from collections.abc import Mapping
from typing import Any

Fields = Mapping[str, Any]
MAX_COUNT = 1000000000  # so that the sum of some has 32 bits
WHOLE_BITS = 63  # of a whole number, beside its sign


def parse_table(written: bytes) -> Fields:
    """Return a JSON object; raises ValueError for all other bytes."""
    try:
        parsed = json.loads(written)
    except RecursionError as exc:
        raise ValueError('the JSON is nested too deep') from exc
    if not isinstance(parsed, dict):
        raise ValueError('the JSON must be a table')
    return parsed


def text(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a field that must be a text, or the default.

    Raises ValueError naming the field.
    """
    found = fields.get(name, default)
    if not isinstance(found, str):
        raise ValueError(f'{name} must be a text')
    return _checked(name, found)


def number(fields: Fields, name: str) -> float:
    """Return a field that must be a number; raises ValueError naming it."""
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise ValueError(f'{name} must be a number')
    return found


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    """Return a field that must be a whole number, or the default.

    Raises ValueError naming the field.
    """
    found = fields.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int):
        raise ValueError(f'{name} must be a whole number')
    if found.bit_length() > WHOLE_BITS:
        raise ValueError(f'{name} must have {WHOLE_BITS} bits at most')
    return found


def count(
    fields: Fields, name: str, default: int | None = None, bits: int = 32
) -> int:
    """Return a field that must be a whole number from 0, or the default.

    Raises ValueError naming the field, also for one of more bits.
    """
    found = whole(fields, name, default)
    if found < 0 or found.bit_length() > bits:
        raise ValueError(f'{name} must be from 0 and have {bits} bits at most')
    return found


def read_count(name: str, sent: str) -> int:
    """Return a number that is spelled out, of something in a request.

    Raises ValueError naming the field.
    """
    found = int(sent)
    if not 0 <= found <= MAX_COUNT:
        raise ValueError(f'{name} must hold 0 to {MAX_COUNT}')
    return found


def flag(fields: Fields, name: str, *, default: bool | None = None) -> bool:
    """Return a field that must be true or false, or the default.

    Raises ValueError naming the field.
    """
    found = fields.get(name, default)
    if not isinstance(found, bool):
        raise ValueError(f'{name} must be true or false')
    return found


def table(fields: Fields, name: str) -> Fields:
    """Return a field that must be a table; raises ValueError naming it."""
    found = fields.get(name)
    if not isinstance(found, dict):
        raise ValueError(f'{name} must be a table')
    return found


def tables(fields: Fields, name: str) -> list[Fields]:
    """Return a field that must be a list of tables; empty when absent.

    Raises ValueError naming the field.
    """
    return _entries(fields, name, dict, 'tables')


def texts(fields: Fields, name: str) -> tuple[str, ...]:
    """Return a field that must be a list of texts; empty when absent.

    Raises ValueError naming the field.
    """
    found = _entries(fields, name, str, 'texts')
    return tuple(_checked(name, entry) for entry in found)


def _checked(name: str, found: str) -> str:
    """Return a text that can be sent on; JSON may hold half a character."""
    try:
        found.encode()
    except UnicodeEncodeError as exc:
        raise ValueError(f'{name} must be a text: {exc}') from exc
    return found


def _entries(
    fields: Fields, name: str, kind: type, kind_name: str
) -> list[Any]:
    found = fields.get(name, ())
    if not isinstance(found, list | tuple):
        raise ValueError(f'{name} must be a list')
    if not all(isinstance(entry, kind) for entry in found):
        raise ValueError(f'{name} must hold {kind_name}')
    return list(found)
