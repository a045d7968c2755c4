"""Operators and their tokens."""

import hashlib
import hmac
from collections.abc import Mapping

from mimosaworks.errors import SettingError

UNNAMED_OPERATOR = 'operator'


def parse_operators(setting: str) -> dict[str, str]:
    """Return operators' names by token digest.

    The setting is one token, or name:token pairs separated by commas. Raises
    SettingError when a name or token is empty.
    """
    operators = {}
    for entry in setting.split(','):
        name, mark, token = entry.strip().partition(':')
        if not mark:
            name, token = UNNAMED_OPERATOR, name
        if not name or not token:
            raise SettingError('--operator-token has an empty name or token')
        operators[_digest(token)] = name
    return operators


def find_operator(operators: Mapping[str, str], token: str) -> str | None:
    """Return the name of the operator with this token, or None.

    Every digest is compared, each in constant time, so that the duration
    tells nothing about the tokens.
    """
    digest = _digest(token)
    found = None
    for known, name in operators.items():
        if hmac.compare_digest(known, digest):
            found = name
    return found


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
