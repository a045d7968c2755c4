"""The settings file that the platform writes for each process."""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

from mimosaworks.errors import SettingError
from mimosaworks.platform.fields import (
    Fields,
    flag,
    number,
    table,
    text,
    whole,
)

MS_PER_S = 1000
UNLIMITED_MBPS = 1000.0
_PORT_SPAN = 2


@attrs.frozen
class StoreSettings:
    """Where the platform's store is, and the calls a second it takes."""

    address: str
    writes_per_s: float
    reads_per_s: float


@attrs.frozen
class Bounds:
    """Times and ratios that the deployment promises, in seconds.

    drain_s: a leaving target gets nothing after it. apply_s: a new version
    is in force. grace_s: from SIGTERM to SIGKILL. contact_s: a VM that was
    out of reach is in step again. lease_s: the pause between two holders'
    orders. retry_ratio and retry_slack: sends beyond the first for each
    request in retry_window_s. ttl_s: the longest that a caller keeps
    addresses. loads_window_s: over which loads from the weight store count.
    """

    drain_s: float
    apply_s: float
    grace_s: float
    contact_s: float
    lease_s: float
    address_reuse_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    ttl_s: float
    loads_window_s: float
    orders_are_fenced: bool


@attrs.frozen
class BootSettings:
    """What one process is told at its start; addresses are host:port.

    cores is the power of the VM's processor in cores.
    """

    name: str
    data_centre: str
    ip: str
    front_address: str
    ready_address: str
    directory_address: str
    first_port: int
    last_port: int
    memory_mb: float
    max_fds: int
    cores: float
    link_mbps: float
    beat_s: float
    store: StoreSettings
    bounds: Bounds

    @property
    def peer_address(self) -> str:
        """Where other processes of the system reach this one."""
        return f'{self.ip}:{self.first_port}'

    @property
    def metrics_address(self) -> str:
        """Where counters and histograms are served."""
        return f'{self.ip}:{self.last_port}'


def read_boot(path: str) -> BootSettings:
    """Return the checked settings of a file; unknown fields are ignored.

    Raises SettingError naming the file and the field.
    """
    try:
        parsed = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as exc:
        raise SettingError(f'{path}: {exc}') from exc
    if not isinstance(parsed, dict):
        raise SettingError(f'{path}: not a table of settings')
    try:
        return _decode(parsed)
    except ValueError as exc:
        raise SettingError(f'{path}: {exc}') from exc


def _decode(parsed: Fields) -> BootSettings:
    listen = table(parsed, 'listen')
    limits = table(parsed, 'limits')
    ports = parsed.get('internal-ports')
    if not isinstance(ports, list) or len(ports) != _PORT_SPAN:
        raise ValueError('internal-ports must hold the first and last port')
    return BootSettings(
        name=text(parsed, 'node-name'),
        data_centre=text(parsed, 'zone'),
        ip=text(parsed, 'ip'),
        front_address=text(listen, 'front'),
        ready_address=text(listen, 'ready'),
        directory_address=text(listen, 'directory'),
        first_port=int(ports[0]),
        last_port=int(ports[1]),
        memory_mb=number(limits, 'memory-mb'),
        max_fds=whole(limits, 'max-fds'),
        cores=_cores(limits),
        link_mbps=limits.get('link-mbps', UNLIMITED_MBPS),
        beat_s=number(parsed, 'heartbeat-ms') / MS_PER_S,
        store=_store(table(parsed, 'platform')),
        bounds=_bounds(table(parsed, 'bounds')),
    )


def _cores(limits: Fields) -> float:
    """Return the processor's power: a share of a core, so often as fast."""
    share: float = limits.get('cpu-share', 1)
    return share * float(limits.get('cores', 1))


def _store(parsed: Fields) -> StoreSettings:
    return StoreSettings(
        address=text(parsed, 'address'),
        writes_per_s=number(parsed, 'writes-per-s'),
        reads_per_s=number(parsed, 'reads-per-s'),
    )


def _bounds(parsed: Mapping[str, Any]) -> Bounds:
    return Bounds(
        drain_s=number(parsed, 'drain-ms') / MS_PER_S,
        apply_s=number(parsed, 'config-apply-ms') / MS_PER_S,
        grace_s=number(parsed, 'grace-s'),
        contact_s=number(parsed, 'contact-ms') / MS_PER_S,
        lease_s=number(parsed, 'lease-ms') / MS_PER_S,
        address_reuse_s=number(parsed, 'addr-reuse-s'),
        retry_ratio=number(parsed, 'retry-budget-ratio'),
        retry_slack=number(parsed, 'budget-slack'),
        retry_window_s=number(parsed, 'budget-window-s'),
        ttl_s=number(parsed, 'ttl_max_s'),
        loads_window_s=number(parsed, 'ceiling-window-s'),
        orders_are_fenced=flag(parsed, 'fence-required'),
    )
