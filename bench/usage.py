"""What a process has used, read from the operating system."""

import attrs
import psutil

from standins.node import Node

BYTES_PER_MB = 1000000


@attrs.frozen
class Usage:
    """One reading, or the difference of two.

    cpu_s is processor time in seconds; moved_bytes is read and written by
    system calls on sockets, without the log file; resident_mb is the set at
    the reading.
    """

    cpu_s: float
    moved_bytes: int
    resident_mb: float

    def since(self, before: 'Usage') -> 'Usage':
        """Return what was used after an earlier reading."""
        return Usage(
            self.cpu_s - before.cpu_s,
            self.moved_bytes - before.moved_bytes,
            self.resident_mb,
        )


def read_usage(node: Node) -> Usage:
    """Return a started program's usage so far."""
    process = psutil.Process(node.process.pid)
    times = process.cpu_times()
    moved = process.io_counters()
    logged = node.process.log.stat().st_size
    return Usage(
        times.user + times.system,
        moved.read_chars + moved.write_chars - logged,
        process.memory_info().rss / BYTES_PER_MB,
    )


def mean_usage(usages: list[Usage]) -> Usage:
    """Return the mean over several processes."""
    count = len(usages)
    return Usage(
        sum(usage.cpu_s for usage in usages) / count,
        sum(usage.moved_bytes for usage in usages) // count,
        sum(usage.resident_mb for usage in usages) / count,
    )
