"""Decodes what targets write about themselves."""

import json

from mimosaworks.deployment import Residence, TargetEntry, TargetState
from mimosaworks.platform.boot import MS_PER_S
from mimosaworks.platform.fields import (
    Fields,
    table,
    tables,
    text,
    texts,
    whole,
)

TARGETS_TABLE = 'servers'


def decode_entry(name: str, written: bytes) -> TargetEntry:
    """Return the target that an entry describes.

    Raises ValueError for an entry that can't be used: no JSON, a field that
    is absent or malformed, or an unknown state.
    """
    fields = json.loads(written)
    if not isinstance(fields, dict):
        raise ValueError('an entry must be a table')
    at_hand = table(fields, 'at-hand') if 'at-hand' in fields else {}
    return TargetEntry(
        name=name,
        service=text(fields, 'service'),
        address=_address(text(fields, 'address')),
        data_centre=text(fields, 'zone'),
        slots=whole(fields, 'slots'),
        state=TargetState(text(fields, 'state')),
        born=whole(fields, 'born', 0),
        residences=decode_residences(fields),
        in_memory=texts(at_hand, 'in-memory'),
        on_disk=texts(at_hand, 'on-disk'),
        slow_start_s=whole(fields, 'cold-left-ms', 0) / MS_PER_S,
    )


def decode_residences(fields: Fields) -> tuple[Residence, ...]:
    """Return the models that an entry or a report lists.

    Raises ValueError for a malformed list.
    """
    return tuple(
        Residence(text(entry, 'name'), texts(entry, 'adapters'))
        for entry in tables(fields, 'models')
    )


def _address(address: str) -> str:
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError('address must be host:port')
    return address
