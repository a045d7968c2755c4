"""Validators of settings; their messages name the setting."""

import re
from typing import Any

_ADDRESS = re.compile(r'\[?[\w.:-]+\]?:(\d{1,5})')
_URL = re.compile(r'https?://[\w.\[\]:-]+(/.*)?')
MAX_PORT = 65535


def address(_instance: Any, field: Any, content: str) -> None:
    """Raise ValueError unless the setting is host:port."""
    found = _ADDRESS.fullmatch(content)
    if found is None or int(found.group(1)) > MAX_PORT:
        raise ValueError(f'{_flag(field)} must be host:port, not {content!r}')


def optional_address(instance: Any, field: Any, content: str) -> None:
    """Raise ValueError unless the setting is host:port or empty."""
    if content:
        address(instance, field, content)


def url(_instance: Any, field: Any, content: str) -> None:
    """Raise ValueError unless the setting is an http or https URL."""
    if not _URL.fullmatch(content):
        raise ValueError(f'{_flag(field)} must be a URL, not {content!r}')


def not_empty(_instance: Any, field: Any, content: str) -> None:
    """Raise ValueError if the setting is empty."""
    if not content:
        raise ValueError(f'{_flag(field)} must not be empty')


def _flag(field: Any) -> str:
    name = field.name.replace('_', '-')
    return f'--{name}'
