"""The settings file that the platform writes for each process."""

import pathlib

import attrs

from mimosaworks.errors import SettingError
from mimosaworks.json_fields import (
    Fields,
    flag,
    number,
    parse_table,
    table,
    text,
    whole,
)

MS_PER_S = 1000
UNLIMITED_MBPS = 1000.0
HEARTBEAT_MS = 1200  # where the settings name none
ROW_BYTES = 65536  # where the settings name no bound
MEMORY_MB = 300  # where the settings name none
LEASE_MS = 3000  # where a deployment without engines names none
_PORT_SPAN = 2


@attrs.frozen
class Bounds:
    """Times and ratios that the deployment promises, in seconds.

    drain_s: a leaving target gets nothing after it. grace_s: from SIGTERM to
    SIGKILL. lease_s: the pause between two holders' orders where targets do
    not check fences. retry_ratio and retry_slack: sends beyond the first for
    each request in retry_window_s.
    """

    drain_s: float
    grace_s: float
    lease_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    orders_are_fenced: bool


@attrs.frozen
class BootSettings:
    """What one process is told at its start; addresses are host:port.

    cores is the power of the VM's processor in cores, memory_mb what a process
    may use, row_bytes the size that the store allows for a row, heartbeat_s the
    pause between two signs of life of a target.
    """

    name: str
    data_centre: str
    ip: str
    front_address: str
    ready_address: str
    directory_address: str
    first_port: int
    last_port: int
    cores: float
    link_mbps: float
    memory_mb: int
    store_address: str
    row_bytes: int
    heartbeat_s: float
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
        return _decode(parse_table(pathlib.Path(path).read_bytes()))
    except (OSError, ValueError) as exc:
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
        cores=_cores(limits),
        link_mbps=limits.get('link-mbps', UNLIMITED_MBPS),
        memory_mb=whole(limits, 'memory-mb', MEMORY_MB),
        store_address=text(table(parsed, 'platform'), 'address'),
        row_bytes=whole(table(parsed, 'platform'), 'row-bytes', ROW_BYTES),
        heartbeat_s=parsed.get('heartbeat-ms', HEARTBEAT_MS) / MS_PER_S,
        bounds=_bounds(table(parsed, 'bounds')),
    )


def _cores(limits: Fields) -> float:
    """Return the processor's power: a share of a core, so often as fast."""
    share: float = limits.get('cpu-share', 1)
    return share * float(limits.get('cores', 1))


def _bounds(parsed: Fields) -> Bounds:
    return Bounds(
        drain_s=number(parsed, 'drain-ms') / MS_PER_S,
        grace_s=number(parsed, 'grace-s'),
        lease_s=parsed.get('lease-ms', LEASE_MS) / MS_PER_S,
        retry_ratio=number(parsed, 'retry-budget-ratio'),
        retry_slack=number(parsed, 'budget-slack'),
        retry_window_s=number(parsed, 'budget-window-s'),
        orders_are_fenced=flag(parsed, 'fence-required', default=False),
    )
