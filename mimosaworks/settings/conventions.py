"""Checks that follow from a setting's name and type."""

import math
import re
from typing import Any

import attrs

ADDRESS_SUFFIX = '_address'
URL_SUFFIX = '_url'
MAX_PORT = 65535

_ADDRESS = re.compile(r'\[?[\w.:-]+\]?:(\d{1,5})', re.ASCII)
_URL = re.compile(r'https?://[\w.\[\]:-]+(/.*)?', re.ASCII)


def check_conventions(cfg: attrs.AttrsInstance) -> None:
    """Raise ValueError, which names the setting, for one that is not valid.

    A setting that is called an address holds host:port, one that is called
    a URL an http or https URL; both may be empty if that is the default. A
    number is finite.
    """
    for field in attrs.fields(type(cfg)):
        reason = _fault(field, getattr(cfg, field.name))
        if reason:
            name = field.name.replace('_', '-')
            raise ValueError(f'--{name} {reason}')


def _fault(field: 'attrs.Attribute[Any]', content: Any) -> str:
    if isinstance(content, float) and not math.isfinite(content):
        return f'must be finite, not {content}'
    if field.default == '' and not content:
        return ''
    if field.name.endswith(ADDRESS_SUFFIX) and not _is_address(content):
        return f'must be host:port, not {content!r}'
    if field.name.endswith(URL_SUFFIX) and not _URL.fullmatch(content):
        return f'must be a URL, not {content!r}'
    return ''


def _is_address(content: str) -> bool:
    found = _ADDRESS.fullmatch(content)
    return found is not None and int(found.group(1)) <= MAX_PORT
