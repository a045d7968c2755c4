"""Checked access to the fields of decoded JSON."""

from collections.abc import Mapping
from typing import Any

Fields = Mapping[str, Any]


def text(fields: Fields, name: str) -> str:
    """Return a field that must be a text; raises ValueError naming it."""
    found = fields.get(name)
    if not isinstance(found, str):
        raise ValueError(f'{name} must be a text')
    return found


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
    return tuple(_entries(fields, name, str, 'texts'))


def _entries(
    fields: Fields, name: str, kind: type, kind_name: str
) -> list[Any]:
    found = fields.get(name, ())
    if not isinstance(found, list | tuple):
        raise ValueError(f'{name} must be a list')
    if not all(isinstance(entry, kind) for entry in found):
        raise ValueError(f'{name} must hold {kind_name}')
    return list(found)
