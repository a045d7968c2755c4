"""Decodes what targets write about themselves."""

from mimosaworks.deployment import ResidentModel, TargetEntry, TargetState
from mimosaworks.json_fields import (
    WHOLE_BITS,
    Fields,
    count,
    parse_table,
    table,
    tables,
    text,
    texts,
    whole,
)
from mimosaworks.platform.boot import MS_PER_S

TARGETS_TABLE = 'servers'
MAX_PORT = 65535


def decode_entry(name: str, written: bytes) -> TargetEntry:
    """Return the target that an entry describes.

    Raises ValueError for an entry that can't be used: no JSON, a field that
    is absent or malformed, or an unknown state.
    """
    fields = parse_table(written)
    at_hand = table(fields, 'at-hand') if 'at-hand' in fields else {}
    return TargetEntry(
        name=name,
        service=text(fields, 'service'),
        address=_address(text(fields, 'address')),
        data_centre=text(fields, 'zone'),
        slots=count(fields, 'slots'),
        state=TargetState(text(fields, 'state')),
        incarnation=count(fields, 'born', 0, WHOLE_BITS),
        resident_models=decode_residences(fields),
        in_memory=texts(at_hand, 'in-memory'),
        on_disk=texts(at_hand, 'on-disk'),
        slow_start_s=whole(fields, 'cold-left-ms', 0) / MS_PER_S,
    )


def decode_residences(fields: Fields) -> tuple[ResidentModel, ...]:
    """Return the models that an entry or a report lists.

    Raises ValueError for a malformed list.
    """
    return tuple(
        ResidentModel(text(entry, 'name'), texts(entry, 'adapters'))
        for entry in tables(fields, 'models')
    )


def _address(address: str) -> str:
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port) > MAX_PORT:
        raise ValueError('address must be host:port')
    return address
