"""Checks of keys."""

import re
from collections.abc import Iterator

from mimosaworks.admin.checks.common import shared_faults
from mimosaworks.admin.fault import Fault
from mimosaworks.entities import Catalogue, Key

KIND = 'key'
_DIGEST = re.compile('[0-9a-f]{64}')


def key_faults(catalogue: Catalogue) -> Iterator[Fault]:
    """Yield the faults of keys and of what they refer to."""
    keys = catalogue.key.values()
    for key in keys:
        yield from _own_faults(catalogue, key)
    # One secret can't stand for two workspaces.
    digests = ((one.name, one.digest) for one in keys)
    yield from shared_faults(KIND, 'digest', digests)


def _own_faults(catalogue: Catalogue, key: Key) -> Iterator[Fault]:
    if key.workspace not in catalogue.workspace:
        yield Fault(
            KIND,
            key.name,
            'workspace',
            f'there is no workspace {key.workspace!r}',
            missing=key.workspace,
        )
    if not _DIGEST.fullmatch(key.digest):
        yield Fault(
            KIND,
            key.name,
            'digest',
            'must be 64 hexadecimal digits in lower case',
        )
