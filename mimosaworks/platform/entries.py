"""Decodes what targets write about themselves."""

import ipaddress
import re

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
from mimosaworks.json_seconds import MS_PER_S, seconds_left

TARGETS_TABLE = 'servers'
MAX_PORT = 65535
MAX_HOST_BYTES = 253
IPV6 = 6
_PORT = re.compile('[0-9]{1,5}')
_HOST_LABEL = re.compile('[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?')


def decode_entry(name: str, written: bytes) -> TargetEntry:
    """Return the target that an entry describes, as if received at 0 s.

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
        software_version=text(fields, 'version', ''),
        leaves_at_s=seconds_left(fields, 'remaining-ms'),
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
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'address {address!r} must have a port up to 65535')
    if not _is_ip_address(host) and not _is_host_name(host):
        raise ValueError(f'address {address!r} must name a host')
    return address


def _is_ip_address(host: str) -> bool:
    """Return whether it is an IPv4 address, or an IPv6 one in brackets."""
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        version = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return is_bracketed == (version.version == IPV6)


def _is_host_name(host: str) -> bool:
    """Return whether it is a name, and no malformed IP address."""
    labels = host.split('.')
    return (
        len(host) <= MAX_HOST_BYTES
        and all(map(_HOST_LABEL.fullmatch, labels))
        and not labels[-1].isdigit()
    )
